use super::*;

fn connection() -> LedgerConnection {
    LedgerConnection::new(Arc::new(ConnectionHandle::new(None)), 0.0)
}

#[test]
fn an_idle_connection_is_reused_for_a_while_and_never_by_a_call_with_an_effect() {
    let connection = connection();
    assert!(connection.is_reusable(1, false, MAX_IDLE_MS - 1.0));
    assert!(!connection.is_reusable(1, false, MAX_IDLE_MS));
    assert!(!connection.is_reusable(1, true, 1.0));
}

#[test]
fn a_connection_carries_one_call_of_a_request_and_a_bounded_number_in_all() {
    let mut connection = connection();
    connection.call_started(1, 0.0);
    assert!(!connection.is_shareable(1) && connection.is_shareable(2));
    for id in 2..=MAX_CALLS_PER_CONNECTION as RequestId {
        connection.call_started(id, 0.0);
    }
    assert!(!connection.is_shareable(1_000));
}

#[test]
fn a_retired_connection_is_closed_once_it_is_drained_or_its_time_is_over() {
    let mut connection = connection();
    connection.call_started(1, 0.0);
    connection.retire(0.0);
    assert!(!connection.is_shareable(2) && !connection.is_due(RETIRED_DRAIN_MS - 1.0));
    connection.retire_once(100.0);
    assert!(connection.is_due(RETIRED_DRAIN_MS));
    connection.calls_in_flight = 0;
    assert!(connection.is_due(1.0));
}
