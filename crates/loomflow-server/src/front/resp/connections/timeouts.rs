//! Timeouts of idle gateway connections.

use loomflow::time::Millis;

/// A connection without any complete message is closed after this time.
pub(super) const FIRST_MESSAGE_TIMEOUT_MS: Millis = 1_500.0;
/// How long a gateway has to close its connection after a `BYE`.
pub(super) const BYE_TIMEOUT_MS: Millis = 500.0;
/// Replaces [`BYE_TIMEOUT_MS`] near the connection limit. It exceeds the 50 ms within which a gateway resends
/// a request that crossed the close.
pub(super) const BYE_TIMEOUT_NEAR_CAPACITY_MS: Millis = 80.0;

/// Timeouts of all connections, as of one check.
#[derive(Clone, Copy, Debug)]
pub(super) struct Timeouts {
    /// How long a connection may be idle before it gets a `BYE`.
    pub(super) idle: Millis,
    /// How long after its `BYE` an idle connection is closed.
    pub(super) bye: Millis,
    /// Whether a partial message keeps a connection from being idle.
    pub(super) waits_for_partial_messages: bool,
}

/// Idle state of a connection without open requests.
#[derive(Clone, Copy, Debug)]
pub(super) struct Idleness {
    /// Time of the last response, or of the accept.
    pub(super) idle_since: Millis,
    pub(super) bye_sent_at: Option<Millis>,
    /// Whether a complete message was ever received.
    pub(super) has_received_message: bool,
}

/// Action on an idle connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum IdleAction {
    /// Nothing: no timeout has expired.
    Wait,
    /// Send `BYE`, which asks the peer to close the connection.
    SendBye,
    /// Close the connection from this side.
    Close,
}

impl Timeouts {
    /// How long a gateway has to close its connection after a `BYE`.
    pub(super) fn bye_timeout(is_near_capacity: bool) -> Millis {
        if is_near_capacity { BYE_TIMEOUT_NEAR_CAPACITY_MS } else { BYE_TIMEOUT_MS }
    }

    /// The action due on an idle connection. Without any complete message it is closed after [`FIRST_MESSAGE_TIMEOUT_MS`],
    /// without a `BYE`.
    pub(super) fn idle_action(&self, connection: Idleness, now: Millis) -> IdleAction {
        let Idleness { idle_since, bye_sent_at, has_received_message } = connection;
        let idle = now - idle_since;
        let is_silent = !has_received_message && idle >= FIRST_MESSAGE_TIMEOUT_MS;
        match bye_sent_at {
            _ if is_silent => IdleAction::Close,
            None if idle >= self.idle => IdleAction::SendBye,
            Some(sent_at) if now - sent_at.max(idle_since) >= self.bye => IdleAction::Close,
            _ => IdleAction::Wait,
        }
    }
}

#[cfg(test)]
mod tests;
