//! Backoff for reconnects, which is reset only by a stable connection.

use crate::{ExponentialBackoff, Millis};

/// Backoff before a lost connection is opened again. It is reset only after a connection that lasted for
/// `stable_after`, so that a peer that accepts connections and closes them at once does not cause a hot loop of
/// reconnects.
#[derive(Clone, Debug)]
pub struct ReconnectBackoff {
    backoff: ExponentialBackoff,
    /// How long a connection must last to count as stable.
    stable_after: Millis,
    /// When the current connection was established, if there is one.
    connected_at: Option<Millis>,
}

impl ReconnectBackoff {
    /// Creates a backoff for a peer that has not been connected to.
    pub fn new(backoff: ExponentialBackoff, stable_after: Millis) -> ReconnectBackoff {
        ReconnectBackoff { backoff, stable_after, connected_at: None }
    }

    /// Records that a connection was established.
    pub fn connected(&mut self, now: Millis) {
        self.connected_at = Some(now);
    }

    /// Records that the connection was lost, or could not be opened. Resets the delay if the connection was stable.
    pub fn disconnected(&mut self, now: Millis) {
        if self.connected_at.take().is_some_and(|connected_at| now - connected_at >= self.stable_after) {
            self.backoff.reset();
        }
    }

    /// Restores the first delay and forgets the connection, because the peer has changed.
    pub fn reset(&mut self) {
        self.connected_at = None;
        self.backoff.reset();
    }

    /// Returns the delay before the next connection attempt without advancing.
    pub fn delay(&self) -> Millis {
        self.backoff.delay()
    }

    /// Returns the delay before the next connection attempt, and doubles the delay for the attempt after it.
    pub fn advance(&mut self) -> Millis {
        self.backoff.advance()
    }
}

#[cfg(test)]
mod tests;
