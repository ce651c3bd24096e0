//! A model of a gateway and of the driver of its connection.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::Arc;

use loomflow::time::Millis;
use loomflow_protocol::gateway::MAX_OPEN_REQUESTS;
use proptest::prelude::*;

use crate::close_reason::CloseReason;
use crate::connection::ConnectionHandle;

/// What a driver reports to the owner.
#[derive(Clone, Copy)]
pub(super) enum DriverEvent {
    RequestRead(u64),
    InputClosed(CloseReason),
    Disconnected(CloseReason),
}

/// A gateway, and the driver of its connection.
pub(super) struct PeerModel {
    pub(super) handle: Arc<ConnectionHandle>,
    /// Tags that were sent and not yet read.
    unread_tags: VecDeque<u64>,
    last_tag: u64,
    /// Read and not yet answered.
    pub(super) open_tags: BTreeSet<u64>,
    /// How many responses each tag has to get: a gateway may use one again that was answered.
    pub(super) responses_due: BTreeMap<u64, usize>,
    received: Vec<u8>,
    /// When it last read something, or had nothing to read.
    pub(super) last_read_at: Millis,
    /// How its input ends: it closed its side, or sent something malformed.
    input_end: Option<CloseReason>,
    is_input_end_reported: bool,
    /// Why the owner takes no further request from it.
    pub(super) closed_by_owner: Option<CloseReason>,
    /// Why its driver has closed it.
    pub(super) disconnected: Option<CloseReason>,
}

impl PeerModel {
    pub(super) fn new(now: Millis) -> PeerModel {
        PeerModel {
            handle: Arc::new(ConnectionHandle::new(Some(MAX_OPEN_REQUESTS))),
            unread_tags: VecDeque::new(),
            last_tag: 0,
            open_tags: BTreeSet::new(),
            responses_due: BTreeMap::new(),
            received: Vec::new(),
            last_read_at: now,
            input_end: None,
            is_input_end_reported: false,
            closed_by_owner: None,
            disconnected: None,
        }
    }

    /// The gateway sends a request, with a new tag or with its last one again.
    pub(super) fn send_request(&mut self, reuses_tag: bool) {
        if self.input_end.is_some() {
            return;
        }
        self.last_tag += u64::from(!reuses_tag || self.last_tag == 0);
        self.unread_tags.push_back(self.last_tag);
    }

    /// The gateway sends nothing valid after what it has sent.
    pub(super) fn end_input(&mut self, reason: CloseReason) {
        self.input_end.get_or_insert(reason);
    }

    /// One turn of the driver, in which the gateway reads at most `max_bytes`.
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

    /// Reads all that a driver would; the end of the input is reported after all that came before it.
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

    /// Whether some of what was queued for it is discarded.
    pub(super) fn is_cut_off(&self) -> bool {
        self.handle.is_flushed() && self.handle.bytes_written() < self.handle.bytes_queued()
    }

    /// Checks what it has received: one response for each that a tag has to get, and at most one goodbye.
    pub(super) fn check_responses(&self, id: u64) -> Result<(), TestCaseError> {
        let text = String::from_utf8_lossy(&self.received).into_owned();
        let lines: Vec<&str> = text.split("\r\n").collect();
        let goodbyes = lines.iter().filter(|line| **line == "BYE").count();
        prop_assert!(goodbyes <= 1, "{goodbyes} goodbyes on {id}");
        let is_cut_off = self.is_cut_off();
        for tag in 1..=self.last_tag {
            let received = count_responses(&lines, tag);
            let due = self.responses_due.get(&tag).copied().unwrap_or_default();
            let min = if is_cut_off { 0 } else { due };
            prop_assert!(
                (min..=due).contains(&received),
                "{received} responses to {tag} of {id}, {due} due: {text}"
            );
        }
        Ok(())
    }
}

/// A response is an array of four elements, the first of which is its tag.
fn count_responses(lines: &[&str], tag: u64) -> usize {
    let tag = tag.to_string();
    lines.windows(3).filter(|window| window[0] == "*4" && window[2] == tag).count()
}
