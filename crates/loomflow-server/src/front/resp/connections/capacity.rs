//! Limits on the gateways' connections: selects the idle connections to close early and the slow readers to abort.

use std::cmp::Ordering;

use loomflow::time::Millis;

use crate::mailbox::ConnectionId;

/// Timeout of a connection's first complete message while connections are reclaimed.
pub(super) const FIRST_MESSAGE_TIMEOUT_NEAR_CAPACITY_MS: Millis = 100.0;

/// Limits on all connections together.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Above this number of connections, idle ones are closed early.
    pub near_capacity: usize,
    /// At this number of connections, no further one is accepted.
    pub max_connections: usize,
    /// Maximum total of response bytes that are not yet written to the sockets.
    pub max_unwritten_bytes: usize,
}

/// A connection that may be reclaimed: it has no open request and is not being closed.
#[derive(Clone, Copy, Debug)]
pub(super) struct IdleConnection {
    pub(super) id: ConnectionId,
    pub(super) idle_since: Millis,
    /// Whether a complete message was ever received.
    pub(super) has_received_message: bool,
    /// Whether a message has been received in part.
    pub(super) has_partial_message: bool,
}

/// How to reclaim an idle connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ReclaimAction {
    /// Send `BYE`, which asks the peer to close the connection.
    SendBye,
    /// Close without a `BYE`, because the peer never sent a request.
    Close,
    /// Keep for now: the timeout of the first message has not expired.
    Wait,
}

/// Size of a connection's responses that are not yet written to its socket.
#[derive(Clone, Copy, Debug)]
pub(super) struct UnwrittenResponses {
    pub(super) id: ConnectionId,
    pub(super) bytes: usize,
}

impl Limits {
    /// Whether `open` connections are so many that idle ones are closed early.
    pub(super) fn is_near_capacity(&self, open: usize) -> bool {
        open > self.near_capacity
    }

    /// The number of connections to reclaim: the excess over `near_capacity`, and at least half of the open ones once no
    /// further connection can be accepted, because gateways with requests may be queued behind many without any.
    pub(super) fn reclaim_count(&self, open: usize, half_closed: usize) -> usize {
        let is_full = open + half_closed >= self.max_connections;
        let min = if is_full { open / 2 } else { 0 };
        open.saturating_sub(self.near_capacity).max(min)
    }

    /// The connections to abort, those with the most unwritten bytes first, so that the rest stays within
    /// `max_unwritten_bytes`.
    pub(super) fn slow_readers(&self, mut unwritten: Vec<UnwrittenResponses>) -> Vec<ConnectionId> {
        let mut total: usize = unwritten.iter().map(|responses| responses.bytes).sum();
        unwritten.sort_by_key(|responses| responses.bytes);
        let mut slow_readers = Vec::new();
        while total > self.max_unwritten_bytes {
            let Some(UnwrittenResponses { id, bytes }) = unwritten.pop() else { break };
            slow_readers.push(id);
            total -= bytes;
        }
        slow_readers
    }
}

impl IdleConnection {
    /// Order of reclaiming: connections that never received any bytes first, then those that never received a complete message,
    /// then the others; the longest idle first within each group.
    pub(super) fn reclaim_order(&self, other: &IdleConnection) -> Ordering {
        let rank =
            |connection: &IdleConnection| (connection.has_received_message, connection.has_partial_message);
        rank(self).cmp(&rank(other)).then(self.idle_since.total_cmp(&other.idle_since))
    }

    /// How to reclaim this connection.
    pub(super) fn reclaim_action(&self, now: Millis) -> ReclaimAction {
        if self.has_received_message {
            ReclaimAction::SendBye
        } else if now - self.idle_since >= FIRST_MESSAGE_TIMEOUT_NEAR_CAPACITY_MS {
            ReclaimAction::Close
        } else {
            ReclaimAction::Wait
        }
    }
}

#[cfg(test)]
mod tests;
