//! The backoff between connections: it grows until one of them is stable.

use crate::{ExponentialBackoff, Millis};

/// The backoff before a lost connection is opened again. Only a connection that was up for long enough resets it, so that
/// a peer that accepts connections and drops them is not connected to in a hot loop.
#[derive(Clone, Debug)]
pub struct ReconnectBackoff {
    backoff: ExponentialBackoff,
    /// A connection that was up for so long was stable.
    stable_after: Millis,
    connected_at: Option<Millis>,
}

impl ReconnectBackoff {
    /// No connection yet.
    pub fn new(backoff: ExponentialBackoff, stable_after: Millis) -> ReconnectBackoff {
        ReconnectBackoff { backoff, stable_after, connected_at: None }
    }

    /// A connection is up.
    pub fn connected(&mut self, now: Millis) {
        self.connected_at = Some(now);
    }

    /// A connection was lost, or could not be opened.
    pub fn disconnected(&mut self, now: Millis) {
        if self.connected_at.take().is_some_and(|connected_at| now - connected_at >= self.stable_after) {
            self.backoff.reset();
        }
    }

    /// The peer is another one: nothing is known of it.
    pub fn reset(&mut self) {
        self.connected_at = None;
        self.backoff.reset();
    }

    /// The delay before the connection after this one.
    pub fn delay(&self) -> Millis {
        self.backoff.delay()
    }

    /// Returns the delay before the next connection, and doubles the one after it.
    pub fn advance(&mut self) -> Millis {
        self.backoff.advance()
    }
}

#[cfg(test)]
mod tests;
