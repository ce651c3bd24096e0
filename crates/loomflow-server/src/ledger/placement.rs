//! Chooses the connection for a call to the ledger. A fault on a connection fails every call on it, so a call gets
//! its own connection until the maximum is reached; then it shares the connection with the fewest calls in flight.

use std::collections::BTreeMap;

use loomflow::interface::RequestId;
use loomflow::time::Millis;

use super::connection::LedgerConnection;
use crate::mailbox::LinkId;

/// The connection that is chosen for a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Placement {
    /// An open connection, idle or shared.
    Existing(LinkId),
    /// A new connection.
    New,
    /// There is no connection that may carry the call; it cannot be made.
    Unavailable,
}

/// The properties of a call that its placement depends on.
#[derive(Clone, Copy, Debug)]
pub(super) struct PlacementRequest {
    /// The request whose run makes the call.
    pub(super) id: RequestId,
    /// Whether the call may have an effect, so that it must not be made twice.
    pub(super) has_effect: bool,
}

impl Placement {
    /// Chooses the most recently used idle connection, otherwise a new one, otherwise the one with the fewest calls
    /// in flight.
    pub(super) fn choose(
        connections: &BTreeMap<LinkId, LedgerConnection>,
        max_connections: usize,
        call: PlacementRequest,
        now: Millis,
    ) -> Placement {
        let PlacementRequest { id, has_effect } = call;
        let reusable = connections.iter().filter(|(_, link)| link.is_reusable(id, has_effect, now));
        if let Some((link, _)) = reusable.max_by(|a, b| a.1.last_used_at.total_cmp(&b.1.last_used_at)) {
            return Placement::Existing(*link);
        }
        if connections.len() < max_connections {
            return Placement::New;
        }
        let shareable = connections.iter().filter(|(_, connection)| connection.is_shareable(id));
        let least_loaded = shareable.min_by_key(|(_, connection)| connection.calls_in_flight);
        least_loaded.map_or(Placement::Unavailable, |(link, _)| Placement::Existing(*link))
    }
}

#[cfg(test)]
mod tests;
