//! Bounds on the gateways' connections: which idle connections are closed early, and which slow readers are aborted.

use std::cmp::Ordering;

use loomflow::time::Millis;

use crate::mailbox::ConnectionId;

/// Near capacity, a connection on which no complete message was ever received is closed after this time.
pub(super) const FIRST_MESSAGE_TIMEOUT_NEAR_CAPACITY_MS: Millis = 100.0;

/// Bounds on the connections.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Above this number of connections the longest idle are closed.
    pub near_capacity: usize,
    /// At this number of connections no further one is accepted.
    pub max_connections: usize,
    /// Bytes of responses that are not yet written to the sockets, in all.
    pub max_unwritten_bytes: usize,
}

/// A connection without an open request.
#[derive(Clone, Copy, Debug)]
pub(super) struct IdleConnection {
    pub(super) id: ConnectionId,
    pub(super) idle_since: Millis,
    /// A complete message was received on it.
    pub(super) has_received_message: bool,
    /// A part of a message was received on it.
    pub(super) has_partial_message: bool,
}

/// How an idle connection is reclaimed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Reclaim {
    /// Its peer gets a goodbye, and closes it.
    SendGoodbye,
    /// It is closed without a goodbye: its peer never sent a request.
    Close,
    /// Its peer still has time for a first message.
    Wait,
}

/// Responses that are not yet written to the socket of a connection.
#[derive(Clone, Copy, Debug)]
pub(super) struct UnwrittenResponses {
    pub(super) id: ConnectionId,
    pub(super) bytes: usize,
}

impl Limits {
    /// Whether idle connections are closed early.
    pub(super) fn is_near_capacity(&self, open: usize) -> bool {
        open > self.near_capacity
    }

    /// How many connections are to be reclaimed: those above `near_capacity`, and half of all once none can be accepted,
    /// because gateways with requests may wait behind many without any.
    pub(super) fn reclaim_count(&self, open: usize, lingering: usize) -> usize {
        let is_full = open + lingering >= self.max_connections;
        let min = if is_full { open / 2 } else { 0 };
        open.saturating_sub(self.near_capacity).max(min)
    }

    /// The connections to abort, the one with the most unwritten bytes first, until the others are within the bound.
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
    /// The order in which connections are reclaimed: those without a message first, then the longest idle.
    pub(super) fn reclaim_order(&self, other: &IdleConnection) -> Ordering {
        let rank =
            |connection: &IdleConnection| (connection.has_received_message, connection.has_partial_message);
        rank(self).cmp(&rank(other)).then(self.idle_since.total_cmp(&other.idle_since))
    }

    /// How it is reclaimed.
    pub(super) fn reclaim(&self, now: Millis) -> Reclaim {
        if self.has_received_message {
            Reclaim::SendGoodbye
        } else if now - self.idle_since >= FIRST_MESSAGE_TIMEOUT_NEAR_CAPACITY_MS {
            Reclaim::Close
        } else {
            Reclaim::Wait
        }
    }
}

#[cfg(test)]
mod tests;
