//! A single gateway connection: its open requests and the checks that close it.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Instant;

use loomflow::time::Millis;
use loomflow_protocol::gateway;

use super::capacity::IdleConnection;
use super::closing::CloseProgress;
use super::timeouts::{IdleAction, Idleness, Timeouts};
use crate::close_reason::CloseReason;
use crate::connection::ConnectionHandle;
use crate::mailbox::ConnectionId;

/// The front's state of a gateway connection.
pub(super) struct GatewayConnection {
    pub(super) handle: Arc<ConnectionHandle>,
    /// Tags of the requests that have no response yet.
    pub(super) open_tags: BTreeSet<u64>,
    /// Time of the last response, or of the accept.
    pub(super) idle_since: Millis,
    bye_sent_at: Option<Millis>,
    /// Whether a complete message was ever received.
    pub(super) has_received_message: bool,
    /// Present once nothing more is read from the peer.
    pub(super) input_closed: Option<InputClosed>,
    /// Progress of a requested close; `None` before the request, and again if the driver cancels an idle close.
    closing: Option<CloseProgress>,
}

/// State of a connection on which nothing more is read.
#[derive(Clone, Copy)]
pub(super) struct InputClosed {
    /// Whether the peer can still read responses.
    pub(super) peer_reads: bool,
}

impl GatewayConnection {
    /// Creates the state of a connection accepted at `now`.
    pub(super) fn new(handle: Arc<ConnectionHandle>, now: Millis) -> GatewayConnection {
        GatewayConnection {
            handle,
            open_tags: BTreeSet::new(),
            idle_since: now,
            bye_sent_at: None,
            has_received_message: false,
            input_closed: None,
            closing: None,
        }
    }

    /// Requests the close, which takes effect once no request is open and everything is written.
    pub(super) fn close(&mut self, reason: CloseReason, now: Millis) {
        let bytes_written = self.handle.bytes_written();
        self.closing.get_or_insert(CloseProgress::new(bytes_written, now));
        self.handle.close(reason);
    }

    /// Closes a connection that was idle for too long.
    pub(super) fn close_idle(&mut self, now: Millis) {
        // The driver cancels a close with the reason `IdleTimeout` if there is unread input, such as a
        // partial message. So a connection with a partial message is closed with another reason.
        let has_partial_message = self.handle.partial_message().is_some();
        let reason = if has_partial_message { CloseReason::Aborted } else { CloseReason::IdleTimeout };
        self.close(reason, now);
    }

    /// Sends `BYE`, which asks the peer to close the connection; does nothing if it was sent before.
    pub(super) fn send_bye(&mut self, now: Millis) {
        if self.bye_sent_at.is_none() {
            self.bye_sent_at = Some(now);
            self.handle.enqueue(gateway::write_bye);
        }
    }

    /// The data for [`super::capacity`] if the connection is idle and may be reclaimed.
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

    /// Checks the timeouts of this connection. Returns true if a partial message has stalled.
    pub(super) fn check_timeouts(&mut self, timeouts: &Timeouts, now: Millis) -> bool {
        if self.input_closed.is_none() && !self.handle.is_closing() {
            // The driver has cancelled the idle close because of unread input.
            self.closing = None;
        }
        if self.check_closing(now) || self.input_closed.is_some() {
            return false;
        }
        match self.handle.partial_message() {
            Some(partial) if partial.is_stalled(Instant::now()) => return true,
            // The peer is still sending a message, so the connection is not idle.
            Some(_) if timeouts.waits_for_partial_messages => {}
            _ if !self.open_tags.is_empty() => {}
            _ => self.check_idle(timeouts, now),
        }
        false
    }

    /// If the connection is being closed and has no open request, aborts it once the peer has stopped
    /// reading, whichever side requested the close. Returns whether the connection is in this state, aborted
    /// or not.
    fn check_closing(&mut self, now: Millis) -> bool {
        let Some(close) = self.closing.as_mut().filter(|_| self.open_tags.is_empty()) else { return false };
        if close.is_stalled(self.handle.bytes_written(), self.idle_since, now) {
            self.handle.abort();
        }
        true
    }

    fn check_idle(&mut self, timeouts: &Timeouts, now: Millis) {
        let idleness = Idleness {
            idle_since: self.idle_since,
            bye_sent_at: self.bye_sent_at,
            has_received_message: self.has_received_message,
        };
        match timeouts.idle_action(idleness, now) {
            IdleAction::Wait => {}
            IdleAction::SendBye => self.send_bye(now),
            IdleAction::Close => self.close_idle(now),
        }
    }
}
