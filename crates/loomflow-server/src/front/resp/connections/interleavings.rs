//! Generated interleavings of a few connections: requests, responses, closes from either side, slow readers, idle timeouts and
//! the shutdown, each read and written as a driver does.

mod peer_model;

use std::collections::VecDeque;

use proptest::prelude::*;

use super::closing::CLOSE_STALL_TIMEOUT_MS;
use super::shutdown::KILL_MARGIN_MS;
use super::*;
use peer_model::{DriverEvent, PeerModel};

/// Places for connections; there is at most one at each at a time.
const PLACES: u64 = 4;
const IDLE_TIMEOUT_MS: Millis = 400.0;
/// How long a shutdown may take.
const STOP_TIMEOUT_MS: Millis = 3_000.0;
/// How long before the kill the shutdown is to be complete.
const SHUTDOWN_MARGIN_MS: Millis = 300.0;
/// How much of a shutdown may pass before all drivers have had a turn.
const MAX_SHUTDOWN_DELAY_MS: Millis = 600.0;
/// Time between two batches while the shutdown is completed.
const BATCH_INTERVAL_MS: Millis = 20.0;

#[derive(Clone, Debug)]
enum GatewayStep {
    Connect(u64),
    /// A gateway sends a request, with a new tag or with its last one again.
    SendRequest(u64, bool),
    /// A driver reads and writes, and its gateway reads at most this many bytes.
    Drive(u64, usize),
    /// The owner handles at most this many of the drivers' events.
    HandleEvents(usize),
    /// The oldest or the newest open request of a connection gets its response.
    Respond(u64, bool),
    /// The gateway sends no valid message, or closes its side.
    SendMalformed(u64),
    HalfClose(u64),
    /// Time passes in ms, then the owner handles a batch. Meanwhile the driver at this place may have a turn (0: none has).
    ProcessBatch(u64, u64),
    BeginShutdown,
}

fn gateway_step() -> impl Strategy<Value = GatewayStep> {
    let place = || 1..=PLACES;
    let max_bytes = prop_oneof![Just(usize::MAX), 0..60usize];
    let reuses_tag = proptest::bool::weighted(0.05);
    prop_oneof![
        2 => place().prop_map(GatewayStep::Connect),
        5 => (place(), reuses_tag).prop_map(|(place, reuses_tag)| GatewayStep::SendRequest(place, reuses_tag)),
        6 => (place(), max_bytes).prop_map(|(place, max_bytes)| GatewayStep::Drive(place, max_bytes)),
        6 => (1..6usize).prop_map(GatewayStep::HandleEvents),
        4 => (place(), any::<bool>()).prop_map(|(place, oldest)| GatewayStep::Respond(place, oldest)),
        1 => place().prop_map(GatewayStep::SendMalformed),
        1 => place().prop_map(GatewayStep::HalfClose),
        3 => (1..700u64, 0..=PLACES).prop_map(|(ms, place)| GatewayStep::ProcessBatch(ms, place)),
        1 => Just(GatewayStep::BeginShutdown),
    ]
}

/// The connections, and everything that they are connected to.
struct GatewayModel {
    connections: GatewayConnections,
    /// The connection that is at each place now.
    places: BTreeMap<u64, ConnectionId>,
    /// All connections that there were.
    peers: BTreeMap<ConnectionId, PeerModel>,
    /// Events that the owner has not handled.
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
            places: BTreeMap::new(),
            peers: BTreeMap::new(),
            events: VecDeque::new(),
            now: 0.0,
            shutdown_at: None,
        }
    }

    fn apply(&mut self, step: &GatewayStep) -> Result<(), TestCaseError> {
        match *step {
            GatewayStep::Connect(place) => self.connect(place),
            GatewayStep::SendRequest(place, reuses_tag) => {
                if let Some((_, peer)) = self.peer_at(place) {
                    peer.send_request(reuses_tag);
                }
            }
            GatewayStep::Drive(place, max_bytes) => self.drive(place, max_bytes),
            GatewayStep::HandleEvents(count) => self.handle_events(count)?,
            GatewayStep::Respond(place, oldest) => self.respond(place, oldest),
            GatewayStep::SendMalformed(place) => {
                self.end_input(place, CloseReason::ProtocolViolation("malformed"));
            }
            GatewayStep::HalfClose(place) => self.end_input(place, CloseReason::PeerClosed),
            GatewayStep::ProcessBatch(ms, place) => self.process_batch(ms as f64, place)?,
            GatewayStep::BeginShutdown => self.begin_shutdown(),
        }
        Ok(())
    }

    fn connect(&mut self, place: u64) {
        if self.shutdown_at.is_some() || self.peer_at(place).is_some() {
            return;
        }
        let id = self.peers.len() as ConnectionId + 1;
        self.places.insert(place, id);
        let peer = PeerModel::new(self.now);
        self.connections.connected(id, peer.handle.clone(), self.now);
        self.peers.insert(id, peer);
    }

    /// The connection at a place, unless its driver has closed it.
    fn peer_at(&mut self, place: u64) -> Option<(ConnectionId, &mut PeerModel)> {
        let id = *self.places.get(&place)?;
        Some((id, self.peers.get_mut(&id).filter(|peer| peer.disconnected.is_none())?))
    }

    fn peer(&mut self, id: ConnectionId) -> &mut PeerModel {
        self.peers.get_mut(&id).expect("a connection")
    }

    fn end_input(&mut self, place: u64, reason: CloseReason) {
        if let Some((_, peer)) = self.peer_at(place) {
            peer.end_input(reason);
        }
    }

    /// One turn of the driver at a place.
    fn drive(&mut self, place: u64, max_bytes: usize) {
        let now = self.now;
        let Some((id, peer)) = self.peer_at(place) else { return };
        let events = peer.drive(max_bytes, now);
        self.events.extend(events.into_iter().map(|event| (id, event)));
    }

    /// The owner handles the first events.
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
                prop_assert!(peer.open_tags.insert(tag), "{tag} is opened twice");
                *peer.responses_due.entry(tag).or_default() += 1;
            }
            TagState::InputClosed => {
                *self.peer(id).responses_due.entry(tag).or_default() += 1;
                self.send_response(id, tag, ResponseStatus::Busy, &[]);
            }
            TagState::Duplicate => self.close_input(id, CloseReason::ProtocolViolation("reused")),
            TagState::Unreachable => {
                let reads_responses =
                    self.peer(id).closed_by_owner.is_none_or(CloseReason::is_reported_to_peer);
                prop_assert!(!reads_responses, "{tag} of {id} was read and gets no response");
            }
        }
        Ok(())
    }

    /// Settles what is open on a connection that is closed, as the front does.
    fn close_input(&mut self, id: ConnectionId, reason: CloseReason) {
        self.peer(id).closed_by_owner.get_or_insert(reason);
        for tag in self.connections.close_input(id, reason, self.now) {
            self.peer(id).open_tags.remove(&tag);
            if reason.is_reported_to_peer() {
                self.send_response(id, tag, ResponseStatus::Failed, &[]);
            } else {
                self.connections.discard_tag(id, tag);
                *self.peer(id).responses_due.get_mut(&tag).expect("a response is due") -= 1;
            }
        }
    }

    fn disconnected(&mut self, id: ConnectionId, reason: CloseReason) -> Result<(), TestCaseError> {
        let open_tags = &self.peer(id).open_tags;
        let is_idle = reason != CloseReason::IdleTimeout || open_tags.is_empty();
        prop_assert!(is_idle, "closed as idle with {open_tags:?} open");
        self.close_input(id, reason);
        self.connections.disconnected(id);
        self.connections.descriptor_closed(id);
        Ok(())
    }

    fn send_response(&mut self, id: ConnectionId, tag: u64, status: ResponseStatus, body: &[u8]) {
        self.connections.respond(id, tag, status, ResponseFields::default(), body, self.now);
    }

    fn respond(&mut self, place: u64, oldest: bool) {
        let Some((id, peer)) = self.peer_at(place) else { return };
        let tag = if oldest { peer.open_tags.pop_first() } else { peer.open_tags.pop_last() };
        if let Some(tag) = tag {
            self.send_response(id, tag, ResponseStatus::Ok, b"result");
        }
    }

    /// Time passes, and the owner handles a batch as `Owner::process_batch` does: first all events that were reported before,
    /// then deadlines. What a driver reports between the two is left for the next batch. During a shutdown the machine is not
    /// delayed for more than a fraction of the time that is left.
    fn process_batch(&mut self, ms: Millis, place: u64) -> Result<(), TestCaseError> {
        let max_delay =
            self.shutdown_at.map_or(f64::INFINITY, |at| (at + MAX_SHUTDOWN_DELAY_MS - self.now).max(0.0));
        self.now += ms.min(max_delay);
        self.handle_events(usize::MAX)?;
        self.drive(place, usize::MAX);
        self.check_timeouts()
    }

    fn check_timeouts(&mut self) -> Result<(), TestCaseError> {
        for stalled in self.connections.check_timeouts(self.now) {
            self.close_input(stalled, CloseReason::ProtocolViolation("stalled"));
        }
        for (id, peer) in self.peers.iter().filter(|(_, peer)| peer.is_cut_off()) {
            let unread_for = self.now - peer.last_read_at;
            let may_be_cut_off = peer.disconnected.is_some() || unread_for >= CLOSE_STALL_TIMEOUT_MS;
            prop_assert!(may_be_cut_off, "{id} is cut off {unread_for} ms after it read");
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

    /// Completes the shutdown: everything is answered and read, and the process ends in time.
    fn complete_shutdown(&mut self) -> Result<(), TestCaseError> {
        self.begin_shutdown();
        let kill_deadline = self.shutdown_at.expect("it has begun") + STOP_TIMEOUT_MS;
        while !self.connections.is_drained(self.now) {
            prop_assert!(self.now <= kill_deadline, "not drained in time");
            for place in 1..=PLACES {
                self.drive(place, usize::MAX);
                self.handle_events(usize::MAX)?;
                while self.peer_at(place).is_some_and(|(_, peer)| !peer.open_tags.is_empty()) {
                    self.respond(place, true);
                }
                self.drive(place, usize::MAX);
                self.handle_events(usize::MAX)?;
            }
            self.now += BATCH_INTERVAL_MS;
            self.check_timeouts()?;
        }
        prop_assert!(self.now < kill_deadline - KILL_MARGIN_MS, "it took until the kill");
        Ok(())
    }
}

fn play(steps: &[GatewayStep]) -> Result<(), TestCaseError> {
    let mut model = GatewayModel::new();
    steps.iter().try_for_each(|step| model.apply(step))?;
    model.complete_shutdown()?;
    for (id, peer) in &model.peers {
        let is_closing = peer.handle.is_closing();
        prop_assert!(peer.disconnected.is_some() || !is_closing, "{id} is never closed completely");
        peer.check_responses(*id)?;
    }
    Ok(())
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 400, failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn no_interleaving_of_connections_loses_or_doubles_an_answer_or_holds_up_the_end(
        steps in proptest::collection::vec(gateway_step(), 1..120),
    ) {
        play(&steps)?;
    }
}
