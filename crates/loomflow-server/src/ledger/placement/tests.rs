use std::sync::Arc;

use super::*;
use crate::connection::ConnectionHandle;

const READ: PlacementRequest = PlacementRequest { id: 100, has_effect: false };
const PAYMENT: PlacementRequest = PlacementRequest { has_effect: true, ..READ };

/// Connections with these numbers of calls in flight; they have the ids 1, 2, 3 and were last used at 0, 1, 2 ms.
fn connections(calls_in_flight: &[usize]) -> BTreeMap<LinkId, LedgerConnection> {
    let connection = |(at, calls_in_flight): (usize, &usize)| {
        let mut connection = LedgerConnection::new(Arc::new(ConnectionHandle::new(None)), at as f64);
        connection.calls_in_flight = *calls_in_flight;
        (at as LinkId + 1, connection)
    };
    calls_in_flight.iter().enumerate().map(connection).collect()
}

#[test]
fn call_without_an_effect_reuses_the_latest_idle_connection() {
    let connections = connections(&[0, 0, 1]);
    assert_eq!(Placement::choose(&connections, 9, READ, 5.0), Placement::Existing(2));
    assert_eq!(Placement::choose(&connections, 9, PAYMENT, 5.0), Placement::New);
}

#[test]
fn call_shares_the_least_loaded_connection_at_the_maximum() {
    let loaded = connections(&[3, 1, 2]);
    assert_eq!(Placement::choose(&loaded, 4, PAYMENT, 5.0), Placement::New);
    assert_eq!(Placement::choose(&loaded, 3, PAYMENT, 5.0), Placement::Existing(2));
    assert_eq!(Placement::choose(&connections(&[0]), 1, PAYMENT, 5.0), Placement::Unavailable);
}
