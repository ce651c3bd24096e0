//! Deadlines for closing the gateways' connections in a graceful shutdown.

use loomflow::time::Millis;

use super::timeouts::BYE_TIMEOUT_MS;
use crate::connection::LINGERING_CLOSE_TIMEOUT;
use crate::time::duration_millis;

/// How long before the kill the process exits, even if responses are unwritten.
pub(super) const KILL_MARGIN_MS: Millis = 50.0;

/// Deadlines of the gateways' connections in a graceful shutdown.
#[derive(Clone, Copy, Debug)]
pub(super) struct ConnectionDeadlines {
    /// How long a peer has to close its connection after a `BYE`.
    pub(super) bye_timeout: Millis,
    /// When partial messages no longer keep a connection open. Early enough before `deadline` that its peer
    /// can still read the responses.
    pub(super) partial_message_deadline: Millis,
    /// When all connections have to be closed.
    pub(super) deadline: Millis,
    /// When the process will be killed.
    kill_deadline: Millis,
}

impl ConnectionDeadlines {
    /// Leaves the peers at most half of the time until `deadline` to close their connections; in the rest this server closes
    /// them.
    pub(super) fn new(deadline: Millis, kill_deadline: Millis, now: Millis) -> ConnectionDeadlines {
        let bye_timeout = BYE_TIMEOUT_MS.min((deadline - now).max(0.0) / 2.0);
        let lingering_close = duration_millis(LINGERING_CLOSE_TIMEOUT);
        let partial_message_deadline = (deadline - lingering_close).max(now + bye_timeout);
        ConnectionDeadlines { bye_timeout, partial_message_deadline, deadline, kill_deadline }
    }

    /// Whether the kill is at most [`KILL_MARGIN_MS`] away.
    pub(super) fn is_kill_imminent(&self, now: Millis) -> bool {
        now >= self.kill_deadline - KILL_MARGIN_MS
    }
}

#[cfg(test)]
mod tests;
