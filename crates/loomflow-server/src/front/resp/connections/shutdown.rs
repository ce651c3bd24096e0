//! The deadlines of a graceful shutdown, for the gateways' connections.

use loomflow::time::Millis;

use super::timeouts::GOODBYE_TIMEOUT_MS;
use crate::connection::LINGER_TIMEOUT;
use crate::time::duration_millis;

/// How long before the kill the process ends, whatever is unwritten.
pub(super) const KILL_MARGIN_MS: Millis = 50.0;

/// The deadlines of a graceful shutdown.
#[derive(Clone, Copy, Debug)]
pub(super) struct ConnectionDeadlines {
    /// How long a connection stays open after its goodbye.
    pub(super) goodbye_timeout: Millis,
    /// When the rest of a message is waited for no longer, so that its peer can still read the responses.
    pub(super) partial_message_deadline: Millis,
    /// When all connections have to be closed.
    pub(super) deadline: Millis,
    /// When the process will be killed.
    kill_deadline: Millis,
}

impl ConnectionDeadlines {
    /// Of the time until `deadline`, one half is for the peers to close their connections, the other for this server.
    pub(super) fn new(deadline: Millis, kill_deadline: Millis, now: Millis) -> ConnectionDeadlines {
        let goodbye_timeout = GOODBYE_TIMEOUT_MS.min((deadline - now).max(0.0) / 2.0);
        let linger = duration_millis(LINGER_TIMEOUT);
        let partial_message_deadline = (deadline - linger).max(now + goodbye_timeout);
        ConnectionDeadlines { goodbye_timeout, partial_message_deadline, deadline, kill_deadline }
    }

    /// Whether the process is about to be killed.
    pub(super) fn is_kill_imminent(&self, now: Millis) -> bool {
        now >= self.kill_deadline - KILL_MARGIN_MS
    }
}

#[cfg(test)]
mod tests;
