//! One connection of a gateway: its open requests, and when it is closed.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Instant;

use loomflow::time::Millis;
use loomflow_protocol::gateway;

use super::capacity::IdleConnection;
use super::closing::Closing;
use super::timeouts::{IdleAction, Idleness, Timeouts};
use crate::close_reason::CloseReason;
use crate::connection::ConnectionHandle;
use crate::mailbox::ConnectionId;

/// A gateway's connection.
pub(super) struct GatewayConnection {
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

impl GatewayConnection {
    /// A connection that was accepted.
    pub(super) fn new(handle: Arc<ConnectionHandle>, now: Millis) -> GatewayConnection {
        GatewayConnection {
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
        self.closing.get_or_insert(Closing::new(bytes_written, now));
        self.handle.close(reason);
    }

    /// Closes it because it was idle for too long.
    pub(super) fn close_idle(&mut self, now: Millis) {
        // A partial message would cancel an idle close.
        let has_partial_message = self.handle.partial_message().is_some();
        let reason = if has_partial_message { CloseReason::Aborted } else { CloseReason::IdleTimeout };
        self.close(reason, now);
    }

    /// Sends the peer a goodbye, after which it closes the connection.
    pub(super) fn send_goodbye(&mut self, now: Millis) {
        if self.goodbye_sent_at.is_none() {
            self.goodbye_sent_at = Some(now);
            self.handle.enqueue(gateway::write_bye);
        }
    }

    /// Its state for [`super::capacity`], where it may be reclaimed.
    pub(super) fn as_idle(&self, id: ConnectionId) -> Option<IdleConnection> {
        let has_partial_message = self.handle.partial_message().is_some();
        let is_receiving = self.has_received_message && has_partial_message;
        let is_idle = self.input_closed.is_none()
            && self.closing.is_none()
            && self.open_tags.is_empty()
            && !is_receiving;
        is_idle.then_some(IdleConnection {
            id,
            idle_since: self.idle_since,
            has_received_message: self.has_received_message,
            has_partial_message,
        })
    }

    /// Handles its deadlines. Returns true where a partial message on it has stalled.
    pub(super) fn check_timeouts(&mut self, timeouts: &Timeouts, now: Millis) -> bool {
        if self.input_closed.is_none() && !self.handle.is_closing() {
            // The driver has cancelled the close: the peer had sent something before it.
            self.closing = None;
        }
        if self.check_closing(now) || self.input_closed.is_some() {
            return false;
        }
        match self.handle.partial_message() {
            Some(partial) if partial.is_stalled(Instant::now()) => return true,
            // A message is being received: the peer is slow, and not idle.
            Some(_) if timeouts.waits_for_partial_messages => {}
            _ if !self.open_tags.is_empty() => {}
            _ => self.check_idle(timeouts, now),
        }
        false
    }

    /// Whether it is being closed and all its requests are answered. Then it is aborted if its peer does not read, whichever
    /// side has closed it.
    fn check_closing(&mut self, now: Millis) -> bool {
        let Some(closing) = self.closing.as_mut().filter(|_| self.open_tags.is_empty()) else { return false };
        if closing.is_stalled(self.handle.bytes_written(), self.idle_since, now) {
            self.handle.abort();
        }
        true
    }

    fn check_idle(&mut self, timeouts: &Timeouts, now: Millis) {
        let idleness = Idleness {
            idle_since: self.idle_since,
            goodbye_sent_at: self.goodbye_sent_at,
            has_received_message: self.has_received_message,
        };
        match timeouts.idle_action(idleness, now) {
            IdleAction::Wait => {}
            IdleAction::SendGoodbye => self.send_goodbye(now),
            IdleAction::Close => self.close_idle(now),
        }
    }
}
