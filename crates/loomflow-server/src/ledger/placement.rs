//! Which connection carries a call. A fault on a connection fails every call on it, so each call has one to itself while
//! there is capacity; otherwise calls share the least loaded.

use std::collections::BTreeMap;

use loomflow::interface::RequestId;
use loomflow::time::Millis;

use super::connection::LedgerConnection;
use crate::mailbox::LinkId;

/// Which connection carries a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Placement {
    /// This one.
    Existing(LinkId),
    /// A new one.
    New,
    /// None: the call cannot be made.
    Unavailable,
}

/// A call that is to be placed.
#[derive(Clone, Copy, Debug)]
pub(super) struct PlacedCall {
    /// The request that calls.
    pub(super) id: RequestId,
    /// The call may have an effect, so it must not be made twice.
    pub(super) has_effect: bool,
}

impl Placement {
    /// The most recently used idle connection, else a new one, else the least loaded.
    pub(super) fn choose(
        connections: &BTreeMap<LinkId, LedgerConnection>,
        max_connections: usize,
        call: PlacedCall,
        now: Millis,
    ) -> Placement {
        let PlacedCall { id, has_effect } = call;
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
