//! One connection of a gateway: its open requests, and when it is closed.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use loomflow::time::Millis;
use loomflow_protocol::gateway;

use crate::close_reason::CloseReason;
use crate::connection::ConnectionHandle;

#[cfg(test)]
mod tests;

/// A connection on which no complete message was ever received is closed after this.
pub(super) const FIRST_MESSAGE_TIMEOUT_MS: Millis = 1_500.0;
/// The rest of a message is waited for so long after its last byte, and so long in all: a slow peer is waited for, a
/// stalled one is not.
const PARTIAL_MESSAGE_STALL_TIMEOUT: Duration = Duration::from_millis(1_500);
const PARTIAL_MESSAGE_TIMEOUT: Duration = Duration::from_secs(10);
/// A connection that is being closed is aborted once its peer has read nothing for so long, or not everything for so long:
/// a peer that reads slowly is waited for, one that does not read is not.
pub(super) const CLOSE_STALL_TIMEOUT_MS: Millis = 2_000.0;
pub(super) const CLOSE_TIMEOUT_MS: Millis = 10_000.0;

/// A gateway's connection.
pub(super) struct Connection {
    pub(super) handle: Arc<ConnectionHandle>,
    /// Tags of the requests that have no response yet.
    pub(super) open_tags: BTreeSet<u64>,
    pub(super) idle_since: Millis,
    goodbye_sent_at: Option<Millis>,
    /// A complete message was received on it.
    pub(super) has_received_message: bool,
    /// Nothing more is read on it.
    pub(super) input_closed: Option<InputClosed>,
    /// It is closed once everything is written.
    closing: Option<Closing>,
}

/// Nothing more is read on a connection.
#[derive(Clone, Copy)]
pub(super) struct InputClosed {
    /// The peer may still read responses.
    pub(super) peer_reads: bool,
}

/// A connection that is being closed.
#[derive(Clone, Copy)]
struct Closing {
    started_at: Millis,
    /// How much was written at the last check, and since when no more has been.
    bytes_written: u64,
    stalled_since: Millis,
}

impl Closing {
    /// Whether the peer is no longer waited for. `owed_since`: when the last response was queued.
    fn is_stalled(&mut self, bytes_written: u64, owed_since: Millis, now: Millis) -> bool {
        if bytes_written != self.bytes_written {
            self.bytes_written = bytes_written;
            self.stalled_since = now;
        }
        let started_at = self.started_at.max(owed_since);
        let is_stalled = now - started_at.max(self.stalled_since) >= CLOSE_STALL_TIMEOUT_MS;
        is_stalled || now - started_at >= CLOSE_TIMEOUT_MS
    }
}

/// The deadlines that hold for all connections at a check.
#[derive(Clone, Copy)]
pub(super) struct Timeouts {
    /// A goodbye is sent on a connection that has been idle for so long.
    pub(super) idle: Millis,
    /// A connection is closed so long after a goodbye.
    pub(super) goodbye: Millis,
    /// The rest of a message is still waited for.
    pub(super) waits_for_partial_messages: bool,
}

impl Connection {
    pub(super) fn new(handle: Arc<ConnectionHandle>, now: Millis) -> Connection {
        Connection {
            handle,
            open_tags: BTreeSet::new(),
            idle_since: now,
            goodbye_sent_at: None,
            has_received_message: false,
            input_closed: None,
            closing: None,
        }
    }

    /// Closes it once no request is open and everything is written.
    pub(super) fn close(&mut self, reason: CloseReason, now: Millis) {
        let bytes_written = self.handle.bytes_written();
        self.closing.get_or_insert(Closing { started_at: now, bytes_written, stalled_since: now });
        self.handle.close(reason);
    }

    /// Tells the peer that no further request is wanted.
    pub(super) fn send_goodbye(&mut self, now: Millis) {
        if self.goodbye_sent_at.is_none() {
            self.goodbye_sent_at = Some(now);
            self.handle.enqueue(gateway::write_goodbye);
        }
    }

    /// Whether it may be closed where there are too many connections.
    pub(super) fn is_reclaimable(&self) -> bool {
        let is_receiving = self.has_received_message && self.handle.partial_message().is_some();
        self.input_closed.is_none() && self.closing.is_none() && self.open_tags.is_empty() && !is_receiving
    }

    /// Why it is closed where it has been idle for too long.
    pub(super) fn idle_close_reason(&self) -> CloseReason {
        // An idle close would be cancelled by a partial message.
        if self.handle.partial_message().is_some() { CloseReason::Aborted } else { CloseReason::IdleTimeout }
    }

    /// Handles its deadlines. Returns true where a partial message on it has stalled.
    pub(super) fn check_timeouts(&mut self, timeouts: Timeouts, now: Millis) -> bool {
        if self.input_closed.is_none() && !self.handle.is_closing() {
            // The driver has cancelled the close: the peer had sent something before it.
            self.closing = None;
        }
        if self.is_closing_settled(now) || self.input_closed.is_some() {
            return false;
        }
        match self.handle.partial_message() {
            Some(partial) if partial.is_stalled(PARTIAL_MESSAGE_STALL_TIMEOUT, PARTIAL_MESSAGE_TIMEOUT) => {
                return true;
            }
            // A message is on its way: the peer is slow, and not idle.
            Some(_) if timeouts.waits_for_partial_messages => {}
            _ if !self.open_tags.is_empty() => {}
            _ => self.check_idle(timeouts, now),
        }
        false
    }

    /// Whether it is being closed and all its requests are answered: then a peer that does not read does not keep it,
    /// whichever side has closed it.
    fn is_closing_settled(&mut self, now: Millis) -> bool {
        let Some(closing) = self.closing.as_mut().filter(|_| self.open_tags.is_empty()) else { return false };
        if closing.is_stalled(self.handle.bytes_written(), self.idle_since, now) {
            self.handle.abort();
        }
        true
    }

    fn check_idle(&mut self, timeouts: Timeouts, now: Millis) {
        let idle = now - self.idle_since;
        match self.goodbye_sent_at {
            _ if !self.has_received_message && idle >= FIRST_MESSAGE_TIMEOUT_MS => {
                self.close(self.idle_close_reason(), now);
            }
            None if idle >= timeouts.idle => self.send_goodbye(now),
            Some(sent_at) if now - sent_at.max(self.idle_since) >= timeouts.goodbye => {
                self.close(self.idle_close_reason(), now);
            }
            _ => {}
        }
    }
}
