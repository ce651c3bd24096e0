//! Model of a gateway and of the driver of its connection. It uses the real [`ConnectionHandle`], but no socket.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::Arc;

use loomflow::time::Millis;
use loomflow_protocol::gateway::MAX_OPEN_REQUESTS;
use proptest::prelude::*;

use crate::close_reason::CloseReason;
use crate::connection::ConnectionHandle;

/// Event that a driver reports to the owner.
#[derive(Clone, Copy)]
pub(super) enum DriverEvent {
    /// A request with this tag was read.
    RequestRead(u64),
    InputClosed(CloseReason),
    Disconnected(CloseReason),
}

/// A gateway, the driver of its connection, and the expected responses.
pub(super) struct PeerModel {
    pub(super) handle: Arc<ConnectionHandle>,
    /// Tags of requests that the gateway has sent and the driver has not read.
    unread_tags: VecDeque<u64>,
    last_tag: u64,
    /// Tags of requests that the owner has opened and not responded to.
    pub(super) open_tags: BTreeSet<u64>,
    /// Expected number of responses to each tag; may exceed 1, because a gateway may reuse a tag after its response.
    pub(super) expected_responses: BTreeMap<u64, usize>,
    /// All bytes that the gateway has read.
    received: Vec<u8>,
    /// When the gateway last read something or had nothing to read.
    pub(super) last_read_at: Millis,
    /// How the gateway ended its input: it closed its side or sent a malformed message.
    input_end: Option<CloseReason>,
    is_input_end_reported: bool,
    /// Reason with which the owner closed the connection's input.
    pub(super) closed_by_owner: Option<CloseReason>,
    /// Reason with which the driver closed the connection.
    pub(super) disconnected: Option<CloseReason>,
}

impl PeerModel {
    pub(super) fn new(now: Millis) -> PeerModel {
        PeerModel {
            handle: Arc::new(ConnectionHandle::new(Some(MAX_OPEN_REQUESTS))),
            unread_tags: VecDeque::new(),
            last_tag: 0,
            open_tags: BTreeSet::new(),
            expected_responses: BTreeMap::new(),
            received: Vec::new(),
            last_read_at: now,
            input_end: None,
            is_input_end_reported: false,
            closed_by_owner: None,
            disconnected: None,
        }
    }

    /// Sends a request with a new tag, or with the last one if `reuses_tag`.
    pub(super) fn send_request(&mut self, reuses_tag: bool) {
        if self.input_end.is_some() {
            return;
        }
        self.last_tag += u64::from(!reuses_tag || self.last_tag == 0);
        self.unread_tags.push_back(self.last_tag);
    }

    /// Ends the gateway's input after the requests that it has sent.
    pub(super) fn end_input(&mut self, reason: CloseReason) {
        self.input_end.get_or_insert(reason);
    }

    /// Runs the driver for one turn, in which the gateway reads at most `max_bytes`.
    pub(super) fn drive(&mut self, max_bytes: usize, now: Millis) -> Vec<DriverEvent> {
        let mut events = Vec::new();
        let bytes = self.handle.take_written(max_bytes);
        if !bytes.is_empty() || self.handle.is_flushed() {
            self.last_read_at = now;
        }
        self.received.extend(bytes);
        self.read(&mut events);
        if let Some(reason) = self.handle.driver_view().1 {
            let may_cancel = reason == CloseReason::IdleTimeout && !self.unread_tags.is_empty();
            if may_cancel && self.handle.cancel_idle_close() {
                self.read(&mut events);
            } else {
                self.disconnected = Some(reason);
                events.push(DriverEvent::Disconnected(reason));
            }
        }
        events
    }

    /// Reads as many requests as the handle allows; the end of the input is reported after all requests sent before it.
    fn read(&mut self, events: &mut Vec<DriverEvent>) {
        while self.handle.driver_view().0 {
            if let Some(tag) = self.unread_tags.pop_front() {
                self.handle.message_received();
                events.push(DriverEvent::RequestRead(tag));
                continue;
            }
            if let Some(reason) = self.input_end.filter(|_| !self.is_input_end_reported) {
                self.is_input_end_reported = true;
                self.handle.close(reason);
                events.push(DriverEvent::InputClosed(reason));
            }
            return;
        }
    }

    /// Whether queued bytes have been discarded.
    pub(super) fn is_cut_off(&self) -> bool {
        self.handle.is_flushed() && self.handle.bytes_written() < self.handle.bytes_queued()
    }

    /// Checks the received bytes: the expected number of responses to each tag, or fewer if bytes were discarded, and at most
    /// one `BYE`.
    pub(super) fn check_responses(&self, id: u64) -> Result<(), TestCaseError> {
        let text = String::from_utf8_lossy(&self.received).into_owned();
        let lines: Vec<&str> = text.split("\r\n").collect();
        let byes = lines.iter().filter(|line| **line == "BYE").count();
        prop_assert!(byes <= 1, "{byes} BYE messages on connection {id}");
        let is_cut_off = self.is_cut_off();
        for tag in 1..=self.last_tag {
            let received = count_responses(&lines, tag);
            let expected = self.expected_responses.get(&tag).copied().unwrap_or_default();
            let min = if is_cut_off { 0 } else { expected };
            prop_assert!(
                (min..=expected).contains(&received),
                "{received} responses to tag {tag} of connection {id}, expected {min} to {expected}: {text}"
            );
        }
        Ok(())
    }
}

/// Counts the responses to `tag`: RESP arrays of four elements whose first element is the tag.
fn count_responses(lines: &[&str], tag: u64) -> usize {
    let tag = tag.to_string();
    lines.windows(3).filter(|window| window[0] == "*4" && window[2] == tag).count()
}
