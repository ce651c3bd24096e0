//! How long a gateway's connection may be idle.

use loomflow::time::Millis;

/// A connection on which no complete message was ever received is closed after this time.
pub(super) const FIRST_MESSAGE_TIMEOUT_MS: Millis = 1_500.0;
/// How long a gateway has to close a connection after a goodbye.
pub(super) const GOODBYE_TIMEOUT_MS: Millis = 500.0;
/// The same near capacity; a gateway resends a request that crosses the close within 50 ms.
pub(super) const GOODBYE_TIMEOUT_NEAR_CAPACITY_MS: Millis = 80.0;

/// The timeouts that apply to all connections at a check.
#[derive(Clone, Copy, Debug)]
pub(super) struct Timeouts {
    /// How long a connection may be idle before a goodbye is sent on it.
    pub(super) idle: Millis,
    /// How long after a goodbye a connection is closed.
    pub(super) goodbye: Millis,
    /// Whether the rest of a partial message is waited for.
    pub(super) waits_for_partial_messages: bool,
}

/// Since when a connection is idle.
#[derive(Clone, Copy, Debug)]
pub(super) struct Idleness {
    pub(super) idle_since: Millis,
    pub(super) goodbye_sent_at: Option<Millis>,
    /// A complete message was received on it.
    pub(super) has_received_message: bool,
}

/// What is done about an idle connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum IdleAction {
    /// Nothing.
    Wait,
    /// Its peer gets a goodbye, and closes it.
    SendGoodbye,
    /// It is closed.
    Close,
}

impl Timeouts {
    /// How long a connection stays open after its goodbye.
    pub(super) fn goodbye_timeout(is_near_capacity: bool) -> Millis {
        if is_near_capacity { GOODBYE_TIMEOUT_NEAR_CAPACITY_MS } else { GOODBYE_TIMEOUT_MS }
    }

    /// What is due on an idle connection. A peer that never sent a request gets no goodbye.
    pub(super) fn idle_action(&self, connection: Idleness, now: Millis) -> IdleAction {
        let Idleness { idle_since, goodbye_sent_at, has_received_message } = connection;
        let idle = now - idle_since;
        let is_silent = !has_received_message && idle >= FIRST_MESSAGE_TIMEOUT_MS;
        match goodbye_sent_at {
            _ if is_silent => IdleAction::Close,
            None if idle >= self.idle => IdleAction::SendGoodbye,
            Some(sent_at) if now - sent_at.max(idle_since) >= self.goodbye => IdleAction::Close,
            _ => IdleAction::Wait,
        }
    }
}

#[cfg(test)]
mod tests;
