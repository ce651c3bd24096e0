//! Property test of [`GatewayConnections`] with generated interleavings of requests, responses, closes by either side, slow
//! readers, idle timeouts and the shutdown. [`peer_model`] replaces the drivers and their gateways.

mod peer_model;

use std::collections::VecDeque;

use proptest::prelude::*;

use super::closing::CLOSE_STALL_TIMEOUT_MS;
use super::shutdown::KILL_MARGIN_MS;
use super::*;
use peer_model::{DriverEvent, PeerModel};

/// Maximum number of concurrent connections; a step names its connection by the slot, 1 to `SLOTS`.
const SLOTS: u64 = 4;
const IDLE_TIMEOUT_MS: Millis = 400.0;
/// Time from the start of a shutdown to the kill.
const STOP_TIMEOUT_MS: Millis = 3_000.0;
/// How long before the kill all connections have to be closed.
const SHUTDOWN_MARGIN_MS: Millis = 300.0;
/// How much of a shutdown the generated steps may use up before [`GatewayModel::complete_shutdown`] runs all drivers.
const MAX_SHUTDOWN_DELAY_MS: Millis = 600.0;
/// Interval between batches while the shutdown completes.
const BATCH_INTERVAL_MS: Millis = 20.0;

/// A step of the generated sequence. The first field is the slot unless stated otherwise.
#[derive(Clone, Debug)]
enum GatewayStep {
    /// A gateway connects, unless the slot is in use or a shutdown has begun.
    Connect(u64),
    /// The gateway sends a request; if true, it reuses its last tag.
    SendRequest(u64, bool),
    /// The driver runs for one turn, in which the gateway reads at most this many bytes.
    Drive(u64, usize),
    /// The owner handles at most this many driver events.
    HandleEvents(usize),
    /// The owner responds to the request with the lowest (true) or highest (false) open tag.
    Respond(u64, bool),
    /// The gateway sends a malformed message.
    SendMalformed(u64),
    /// The gateway closes its side.
    HalfClose(u64),
    /// Time passes (first field, ms), then the owner processes a batch. Before it checks timeouts, the driver in the slot
    /// (second field, 0 for none) runs.
    ProcessBatch(u64, u64),
    BeginShutdown,
}

fn gateway_step() -> impl Strategy<Value = GatewayStep> {
    let slot = || 1..=SLOTS;
    let max_bytes = prop_oneof![Just(usize::MAX), 0..60usize];
    let reuses_tag = proptest::bool::weighted(0.05);
    prop_oneof![
        2 => slot().prop_map(GatewayStep::Connect),
        5 => (slot(), reuses_tag).prop_map(|(slot, reuses_tag)| GatewayStep::SendRequest(slot, reuses_tag)),
        6 => (slot(), max_bytes).prop_map(|(slot, max_bytes)| GatewayStep::Drive(slot, max_bytes)),
        6 => (1..6usize).prop_map(GatewayStep::HandleEvents),
        4 => (slot(), any::<bool>()).prop_map(|(slot, lowest)| GatewayStep::Respond(slot, lowest)),
        1 => slot().prop_map(GatewayStep::SendMalformed),
        1 => slot().prop_map(GatewayStep::HalfClose),
        3 => (1..700u64, 0..=SLOTS).prop_map(|(ms, slot)| GatewayStep::ProcessBatch(ms, slot)),
        1 => Just(GatewayStep::BeginShutdown),
    ]
}

/// The connections under test, their peers and the queue of driver events.
struct GatewayModel {
    connections: GatewayConnections,
    /// The latest connection in each slot.
    slots: BTreeMap<u64, ConnectionId>,
    /// The peers of all connections, also of closed ones.
    peers: BTreeMap<ConnectionId, PeerModel>,
    /// Driver events that the owner has not handled yet.
    events: VecDeque<(ConnectionId, DriverEvent)>,
    now: Millis,
    shutdown_at: Option<Millis>,
}

impl GatewayModel {
    fn new() -> GatewayModel {
        let limits =
            Limits { near_capacity: 3, max_connections: usize::MAX, max_unwritten_bytes: usize::MAX };
        GatewayModel {
            connections: GatewayConnections::new(IDLE_TIMEOUT_MS, limits),
            slots: BTreeMap::new(),
            peers: BTreeMap::new(),
            events: VecDeque::new(),
            now: 0.0,
            shutdown_at: None,
        }
    }

    fn apply(&mut self, step: &GatewayStep) -> Result<(), TestCaseError> {
        match *step {
            GatewayStep::Connect(slot) => self.connect(slot),
            GatewayStep::SendRequest(slot, reuses_tag) => {
                if let Some((_, peer)) = self.peer_at(slot) {
                    peer.send_request(reuses_tag);
                }
            }
            GatewayStep::Drive(slot, max_bytes) => self.drive(slot, max_bytes),
            GatewayStep::HandleEvents(count) => self.handle_events(count)?,
            GatewayStep::Respond(slot, lowest) => self.respond(slot, lowest),
            GatewayStep::SendMalformed(slot) => {
                self.end_input(slot, CloseReason::ProtocolViolation("malformed"));
            }
            GatewayStep::HalfClose(slot) => self.end_input(slot, CloseReason::PeerClosed),
            GatewayStep::ProcessBatch(ms, slot) => self.process_batch(ms as f64, slot)?,
            GatewayStep::BeginShutdown => self.begin_shutdown(),
        }
        Ok(())
    }

    fn connect(&mut self, slot: u64) {
        if self.shutdown_at.is_some() || self.peer_at(slot).is_some() {
            return;
        }
        let id = self.peers.len() as ConnectionId + 1;
        self.slots.insert(slot, id);
        let peer = PeerModel::new(self.now);
        self.connections.connected(id, peer.handle.clone(), self.now);
        self.peers.insert(id, peer);
    }

    /// The connection in a slot, unless its driver has closed it.
    fn peer_at(&mut self, slot: u64) -> Option<(ConnectionId, &mut PeerModel)> {
        let id = *self.slots.get(&slot)?;
        Some((id, self.peers.get_mut(&id).filter(|peer| peer.disconnected.is_none())?))
    }

    fn peer(&mut self, id: ConnectionId) -> &mut PeerModel {
        self.peers.get_mut(&id).expect("peers has every connection id")
    }

    fn end_input(&mut self, slot: u64, reason: CloseReason) {
        if let Some((_, peer)) = self.peer_at(slot) {
            peer.end_input(reason);
        }
    }

    /// Runs the driver in a slot for one turn.
    fn drive(&mut self, slot: u64, max_bytes: usize) {
        let now = self.now;
        let Some((id, peer)) = self.peer_at(slot) else { return };
        let events = peer.drive(max_bytes, now);
        self.events.extend(events.into_iter().map(|event| (id, event)));
    }

    /// Handles up to `count` driver events, as the owner does.
    fn handle_events(&mut self, count: usize) -> Result<(), TestCaseError> {
        for _ in 0..count {
            let Some((id, event)) = self.events.pop_front() else { return Ok(()) };
            match event {
                DriverEvent::RequestRead(tag) => self.request_read(id, tag)?,
                DriverEvent::InputClosed(reason) => self.close_input(id, reason),
                DriverEvent::Disconnected(reason) => self.disconnected(id, reason)?,
            }
        }
        Ok(())
    }

    fn request_read(&mut self, id: ConnectionId, tag: u64) -> Result<(), TestCaseError> {
        match self.connections.open_tag(id, tag) {
            TagState::Opened => {
                let peer = self.peer(id);
                prop_assert!(
                    peer.open_tags.insert(tag),
                    "tag {tag} of connection {id} was opened while it was open"
                );
                *peer.expected_responses.entry(tag).or_default() += 1;
            }
            TagState::InputClosed => {
                *self.peer(id).expected_responses.entry(tag).or_default() += 1;
                self.send_response(id, tag, ResponseStatus::Busy, &[]);
            }
            TagState::Duplicate => self.close_input(id, CloseReason::ProtocolViolation("reused")),
            TagState::Unreachable => {
                let reads_responses =
                    self.peer(id).closed_by_owner.is_none_or(CloseReason::is_reported_to_peer);
                prop_assert!(!reads_responses, "tag {tag} of connection {id} was read but gets no response");
            }
        }
        Ok(())
    }

    /// Closes a connection's input and settles its open requests, as `RespFront::close_connection` does.
    fn close_input(&mut self, id: ConnectionId, reason: CloseReason) {
        self.peer(id).closed_by_owner.get_or_insert(reason);
        for tag in self.connections.close_input(id, reason, self.now) {
            self.peer(id).open_tags.remove(&tag);
            if reason.is_reported_to_peer() {
                self.send_response(id, tag, ResponseStatus::Failed, &[]);
            } else {
                self.connections.discard_tag(id, tag);
                *self
                    .peer(id)
                    .expected_responses
                    .get_mut(&tag)
                    .expect("an open tag has an expected response") -= 1;
            }
        }
    }

    fn disconnected(&mut self, id: ConnectionId, reason: CloseReason) -> Result<(), TestCaseError> {
        let open_tags = &self.peer(id).open_tags;
        let is_idle = reason != CloseReason::IdleTimeout || open_tags.is_empty();
        prop_assert!(is_idle, "connection {id} was closed as idle with open tags {open_tags:?}");
        self.close_input(id, reason);
        self.connections.disconnected(id);
        self.connections.descriptor_closed(id);
        Ok(())
    }

    fn send_response(&mut self, id: ConnectionId, tag: u64, status: ResponseStatus, body: &[u8]) {
        self.connections.respond(id, tag, status, ResponseFields::default(), body, self.now);
    }

    fn respond(&mut self, slot: u64, lowest_tag: bool) {
        let Some((id, peer)) = self.peer_at(slot) else { return };
        let tag = if lowest_tag { peer.open_tags.pop_first() } else { peer.open_tags.pop_last() };
        if let Some(tag) = tag {
            self.send_response(id, tag, ResponseStatus::Ok, b"result");
        }
    }

    /// Advances the time and processes a batch like `Owner::process_batch`: first all events reported so far, then deadlines.
    /// Events that a driver reports between the two remain for the next batch. During a shutdown, time advances by no more
    /// than [`MAX_SHUTDOWN_DELAY_MS`] in total.
    fn process_batch(&mut self, ms: Millis, slot: u64) -> Result<(), TestCaseError> {
        let max_delay =
            self.shutdown_at.map_or(f64::INFINITY, |at| (at + MAX_SHUTDOWN_DELAY_MS - self.now).max(0.0));
        self.now += ms.min(max_delay);
        self.handle_events(usize::MAX)?;
        self.drive(slot, usize::MAX);
        self.check_timeouts()
    }

    fn check_timeouts(&mut self) -> Result<(), TestCaseError> {
        for stalled in self.connections.check_timeouts(self.now) {
            self.close_input(stalled, CloseReason::ProtocolViolation("stalled"));
        }
        for (id, peer) in self.peers.iter().filter(|(_, peer)| peer.is_cut_off()) {
            let since_last_read = self.now - peer.last_read_at;
            let may_be_cut_off = peer.disconnected.is_some() || since_last_read >= CLOSE_STALL_TIMEOUT_MS;
            prop_assert!(
                may_be_cut_off,
                "connection {id} was aborted {since_last_read} ms after its peer read, the minimum is {CLOSE_STALL_TIMEOUT_MS}"
            );
        }
        Ok(())
    }

    fn begin_shutdown(&mut self) {
        if self.shutdown_at.is_none() {
            self.shutdown_at = Some(self.now);
            let kill_deadline = self.now + STOP_TIMEOUT_MS;
            self.connections.begin_shutdown(kill_deadline - SHUTDOWN_MARGIN_MS, kill_deadline, self.now);
        }
    }

    /// Completes the shutdown: every driver runs and every request gets its response. Fails if the connections are not drained
    /// before the kill is imminent.
    fn complete_shutdown(&mut self) -> Result<(), TestCaseError> {
        self.begin_shutdown();
        let kill_deadline = self.shutdown_at.expect("the shutdown has begun") + STOP_TIMEOUT_MS;
        while !self.connections.is_drained(self.now) {
            prop_assert!(
                self.now <= kill_deadline,
                "not drained at {} ms, the kill is at {kill_deadline} ms",
                self.now
            );
            for slot in 1..=SLOTS {
                self.drive(slot, usize::MAX);
                self.handle_events(usize::MAX)?;
                while self.peer_at(slot).is_some_and(|(_, peer)| !peer.open_tags.is_empty()) {
                    self.respond(slot, true);
                }
                self.drive(slot, usize::MAX);
                self.handle_events(usize::MAX)?;
            }
            self.now += BATCH_INTERVAL_MS;
            self.check_timeouts()?;
        }
        prop_assert!(
            self.now < kill_deadline - KILL_MARGIN_MS,
            "drained only at {} ms, the kill is at {kill_deadline} ms",
            self.now
        );
        Ok(())
    }
}

/// Runs the steps and a shutdown, then checks that every connection is closed and every request has got its response.
fn run_steps(steps: &[GatewayStep]) -> Result<(), TestCaseError> {
    let mut model = GatewayModel::new();
    steps.iter().try_for_each(|step| model.apply(step))?;
    model.complete_shutdown()?;
    for (id, peer) in &model.peers {
        let is_closing = peer.handle.is_closing();
        prop_assert!(
            peer.disconnected.is_some() || !is_closing,
            "connection {id} is closing but was never disconnected"
        );
        peer.check_responses(*id)?;
    }
    Ok(())
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 400, failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn every_request_gets_one_response_and_the_shutdown_completes(
        steps in proptest::collection::vec(gateway_step(), 1..120),
    ) {
        run_steps(&steps)?;
    }
}
