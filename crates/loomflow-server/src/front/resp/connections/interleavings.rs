//! Generated interleavings of a few connections: requests, answers, ends from either side, slow readers, idle times and the
//! notice to leave, each read and written as a driver does.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use loomflow_protocol::gateway::MAX_OPEN_REQUESTS;
use proptest::prelude::*;

use super::closing::CLOSE_STALL_TIMEOUT_MS;
use super::shutdown::KILL_MARGIN_MS;
use super::*;

const CONNECTIONS: u64 = 4;
const IDLE: f64 = 400.0;
/// How long the end may take, ms.
const STOP: f64 = 3_000.0;
/// How much of it passes before the drivers have their turns, ms.
const HELD_UP: f64 = 600.0;

#[derive(Clone, Debug)]
enum GatewayStep {
    Open(u64),
    /// A gateway writes a request with a new tag, or with the last one again.
    Write(u64, bool),
    /// A driver reads and writes, and its peer takes at most so many bytes.
    Drive(u64, usize),
    /// The owner takes in so much of what the drivers have told it.
    TakeIn(usize),
    /// The oldest or the newest open request of a connection is answered.
    Answer(u64, bool),
    /// What the peer says is no message, or it closes its side.
    Malformed(u64),
    HalfClose(u64),
    /// Time passes, then the owner handles a batch; meanwhile the driver at this place may have a turn (0: none has).
    Pass(u64, u64),
    Leave,
}

fn gateway_step() -> impl Strategy<Value = GatewayStep> {
    let connection = || 1..=CONNECTIONS;
    prop_oneof![
        2 => connection().prop_map(GatewayStep::Open),
        5 => (connection(), proptest::bool::weighted(0.05)).prop_map(|(id, again)| GatewayStep::Write(id, again)),
        6 => (connection(), prop_oneof![Just(usize::MAX), 0..60usize]).prop_map(|(id, most)| GatewayStep::Drive(id, most)),
        6 => (1..6usize).prop_map(GatewayStep::TakeIn),
        4 => (connection(), any::<bool>()).prop_map(|(id, oldest)| GatewayStep::Answer(id, oldest)),
        1 => connection().prop_map(GatewayStep::Malformed),
        1 => connection().prop_map(GatewayStep::HalfClose),
        3 => (1..700u64, 0..=CONNECTIONS).prop_map(|(ms, place)| GatewayStep::Pass(ms, place)),
        1 => Just(GatewayStep::Leave),
    ]
}

/// What a driver tells the owner, in the order in which it came.
enum Told {
    Said(u64),
    Stopped(CloseReason),
    Ended(CloseReason),
}

/// What the peer and the driver of one connection have.
struct Peer {
    outbox: Arc<ConnectionHandle>,
    /// Tags written and not yet read.
    unread: VecDeque<u64>,
    last_tag: u64,
    /// Read and not yet answered.
    open: BTreeSet<u64>,
    /// How many answers each tag is owed: a gateway may use one again that was answered.
    owed: BTreeMap<u64, usize>,
    heard: Vec<u8>,
    /// When it last read something, or had nothing to read.
    read_at: f64,
    /// Its end, once its side is closed or it talks nonsense; it is told once.
    stops: Option<CloseReason>,
    is_told: bool,
    /// Why the owner takes nothing more from it.
    stopped: Option<CloseReason>,
    /// Over and closed.
    over: Option<CloseReason>,
}

impl Peer {
    /// Reads all that the driver would, and tells the owner of it; the end comes after all that came before it.
    fn read(&mut self, told: &mut VecDeque<Told>) {
        while self.outbox.driver_view().0 {
            if let Some(tag) = self.unread.pop_front() {
                self.outbox.message_received();
                told.push_back(Told::Said(tag));
                continue;
            }
            if let Some(ending) = self.stops.filter(|_| !self.is_told) {
                self.is_told = true;
                self.outbox.close(ending);
                told.push_back(Told::Stopped(ending));
            }
            return;
        }
    }

    /// Whether some of what was said to it is dropped.
    fn is_cut_off(&self) -> bool {
        self.outbox.is_flushed() && self.outbox.bytes_written() < self.outbox.bytes_queued()
    }
}

struct GatewayModel {
    gateways: GatewayConnections,
    /// The connection that is at each place now, and all that there were.
    places: BTreeMap<u64, u64>,
    peers: BTreeMap<u64, Peer>,
    told: VecDeque<(u64, Told)>,
    now: f64,
    /// When it was told to leave.
    left_at: Option<f64>,
}

impl GatewayModel {
    fn new() -> GatewayModel {
        let limits =
            Limits { near_capacity: 3, max_connections: usize::MAX, max_unwritten_bytes: usize::MAX };
        let gateways = GatewayConnections::new(IDLE, limits);
        GatewayModel {
            gateways,
            places: BTreeMap::new(),
            peers: BTreeMap::new(),
            told: VecDeque::new(),
            now: 0.0,
            left_at: None,
        }
    }

    fn open(&mut self, place: u64) {
        if self.left_at.is_some() || self.peer(place).is_some() {
            return;
        }
        let id = self.peers.len() as u64 + 1;
        self.places.insert(place, id);
        let outbox = Arc::new(ConnectionHandle::new(Some(MAX_OPEN_REQUESTS)));
        self.gateways.connected(id, outbox.clone(), self.now);
        let peer = Peer {
            outbox,
            unread: VecDeque::new(),
            last_tag: 0,
            open: BTreeSet::new(),
            owed: BTreeMap::new(),
            heard: Vec::new(),
            read_at: self.now,
            stops: None,
            is_told: false,
            stopped: None,
            over: None,
        };
        self.peers.insert(id, peer);
    }

    /// The connection at a place, unless it is over.
    fn peer(&mut self, place: u64) -> Option<(u64, &mut Peer)> {
        let id = *self.places.get(&place)?;
        Some((id, self.peers.get_mut(&id).filter(|peer| peer.over.is_none())?))
    }

    fn known(&mut self, id: u64) -> &mut Peer {
        self.peers.get_mut(&id).expect("a connection")
    }

    fn write(&mut self, place: u64, again: bool) {
        let Some((_, peer)) = self.peer(place).filter(|(_, peer)| peer.stops.is_none()) else { return };
        peer.last_tag += u64::from(!again || peer.last_tag == 0);
        let tag = peer.last_tag;
        peer.unread.push_back(tag);
    }

    /// One turn of the driver at a place.
    fn drive(&mut self, place: u64, most: usize) {
        let now = self.now;
        let mut told = VecDeque::new();
        let Some((id, peer)) = self.peer(place) else { return };
        let bytes = peer.outbox.take_written(most);
        if !bytes.is_empty() || peer.outbox.is_flushed() {
            peer.read_at = now;
        }
        peer.heard.extend(bytes);
        peer.read(&mut told);
        if let Some(ending) = peer.outbox.driver_view().1 {
            if ending == CloseReason::IdleTimeout
                && !peer.unread.is_empty()
                && peer.outbox.cancel_idle_close()
            {
                peer.read(&mut told);
            } else {
                peer.over = Some(ending);
                told.push_back(Told::Ended(ending));
            }
        }
        self.told.extend(told.into_iter().map(|told| (id, told)));
    }

    /// The owner takes in what was told first.
    fn take_in(&mut self, count: usize) -> Result<(), TestCaseError> {
        for _ in 0..count {
            match self.told.pop_front() {
                Some((id, Told::Said(tag))) => self.said(id, tag)?,
                Some((id, Told::Stopped(ending))) => self.stop(id, ending),
                Some((id, Told::Ended(ending))) => {
                    let open = &self.known(id).open;
                    prop_assert!(
                        ending != CloseReason::IdleTimeout || open.is_empty(),
                        "closed as idle with {open:?} open"
                    );
                    self.stop(id, ending);
                    self.gateways.disconnected(id);
                    self.gateways.descriptor_closed(id);
                }
                None => return Ok(()),
            }
        }
        Ok(())
    }

    fn said(&mut self, id: u64, tag: u64) -> Result<(), TestCaseError> {
        match self.gateways.open_tag(id, tag) {
            TagState::Opened => {
                let peer = self.known(id);
                prop_assert!(peer.open.insert(tag), "{tag} is opened twice");
                *peer.owed.entry(tag).or_default() += 1;
            }
            TagState::InputClosed => {
                *self.known(id).owed.entry(tag).or_default() += 1;
                self.gateways.respond(
                    id,
                    tag,
                    ResponseStatus::Busy,
                    ResponseFields::default(),
                    &[],
                    self.now,
                );
            }
            TagState::Duplicate => self.stop(id, CloseReason::ProtocolViolation("reused")),
            TagState::Unreachable => {
                let is_heard = self.known(id).stopped.is_none_or(CloseReason::is_reported_to_peer);
                prop_assert!(!is_heard, "{tag} of {id} was read and is not answered");
            }
        }
        Ok(())
    }

    /// Settles what is open on a connection that ends, as the front does.
    fn stop(&mut self, id: u64, ending: CloseReason) {
        self.known(id).stopped.get_or_insert(ending);
        for tag in self.gateways.close_input(id, ending, self.now) {
            self.known(id).open.remove(&tag);
            if ending.is_reported_to_peer() {
                self.gateways.respond(
                    id,
                    tag,
                    ResponseStatus::Failed,
                    ResponseFields::default(),
                    &[],
                    self.now,
                );
            } else {
                self.gateways.discard_tag(id, tag);
                *self.known(id).owed.get_mut(&tag).expect("it is owed one") -= 1;
            }
        }
    }

    fn answer(&mut self, place: u64, oldest: bool) {
        let Some((id, peer)) = self.peer(place) else { return };
        let tag = if oldest { peer.open.pop_first() } else { peer.open.pop_last() };
        if let Some(tag) = tag {
            self.gateways.respond(
                id,
                tag,
                ResponseStatus::Ok,
                ResponseFields::default(),
                b"result",
                self.now,
            );
        }
    }

    /// Time passes, and the owner handles a batch as in `process_batch`: all that was told before, and deadlines after that. What
    /// a driver tells between the two is left for the next batch. A machine that leaves is not held up for more than a fraction
    /// of the time that it has for that.
    fn pass(&mut self, ms: f64, place: u64) -> Result<(), TestCaseError> {
        let most = self.left_at.map_or(f64::INFINITY, |at| (at + HELD_UP - self.now).max(0.0));
        self.now += ms.min(most);
        self.take_in(usize::MAX)?;
        self.drive(place, usize::MAX);
        self.sweep()
    }

    fn sweep(&mut self) -> Result<(), TestCaseError> {
        for stuck in self.gateways.check_timeouts(self.now) {
            self.stop(stuck, CloseReason::ProtocolViolation("stuck"));
        }
        for (id, peer) in self.peers.iter().filter(|(_, peer)| peer.is_cut_off()) {
            let rested = self.now - peer.read_at;
            prop_assert!(
                peer.over.is_some() || rested >= CLOSE_STALL_TIMEOUT_MS,
                "{id} is cut off {rested} ms after it read"
            );
        }
        Ok(())
    }

    fn leave(&mut self) {
        if self.left_at.is_none() {
            self.left_at = Some(self.now);
            self.gateways.begin_shutdown(self.now + STOP - 300.0, self.now + STOP, self.now);
        }
    }

    fn play(&mut self, step: &GatewayStep) -> Result<(), TestCaseError> {
        match *step {
            GatewayStep::Open(id) => self.open(id),
            GatewayStep::Write(id, again) => self.write(id, again),
            GatewayStep::Drive(id, most) => self.drive(id, most),
            GatewayStep::TakeIn(count) => self.take_in(count)?,
            GatewayStep::Answer(id, oldest) => self.answer(id, oldest),
            GatewayStep::Malformed(id) => self.end_of_reading(id, CloseReason::ProtocolViolation("nonsense")),
            GatewayStep::HalfClose(id) => self.end_of_reading(id, CloseReason::PeerClosed),
            GatewayStep::Pass(ms, place) => self.pass(ms as f64, place)?,
            GatewayStep::Leave => self.leave(),
        }
        Ok(())
    }

    fn end_of_reading(&mut self, id: u64, ending: CloseReason) {
        if let Some((_, peer)) = self.peer(id) {
            peer.stops.get_or_insert(ending);
        }
    }

    /// What a connection's peer has read: one answer to each tag that is owed one, one `BYE` at the most.
    fn check(&self, id: u64, peer: &Peer) -> Result<(), TestCaseError> {
        let text = String::from_utf8_lossy(&peer.heard).into_owned();
        let lines: Vec<&str> = text.split("\r\n").collect();
        let byes = lines.iter().filter(|line| **line == "BYE").count();
        prop_assert!(byes <= 1, "{byes} words that no request is wanted on {id}");
        let cut_off = peer.is_cut_off();
        for tag in 1..=peer.last_tag {
            // An answer is an array of four words, the first of which is its tag.
            let name = tag.to_string();
            let of_tag = |words: &&[&str]| words[0] == "*4" && words[2] == name;
            let answers = lines.windows(3).filter(of_tag).count();
            let owed = peer.owed.get(&tag).copied().unwrap_or_default();
            let least = if cut_off { 0 } else { owed };
            prop_assert!(
                (least..=owed).contains(&answers),
                "{answers} answers to {tag} of {id}, {owed} owed: {text}"
            );
        }
        Ok(())
    }
}

fn play(steps: &[GatewayStep]) -> Result<(), TestCaseError> {
    let mut model = GatewayModel::new();
    steps.iter().try_for_each(|step| model.play(step))?;
    // Everything is answered and read, and the process ends in time.
    model.leave();
    let left_at = model.left_at.expect("it was told to");
    while !model.gateways.is_drained(model.now) {
        prop_assert!(model.now <= left_at + STOP, "not settled in time");
        for place in 1..=CONNECTIONS {
            model.drive(place, usize::MAX);
            model.take_in(usize::MAX)?;
            while model.peer(place).is_some_and(|(_, peer)| !peer.open.is_empty()) {
                model.answer(place, true);
            }
            model.drive(place, usize::MAX);
            model.take_in(usize::MAX)?;
        }
        model.now += 20.0;
        model.sweep()?;
    }
    prop_assert!(model.now < left_at + STOP - KILL_MARGIN_MS, "it took until the kill");
    for (id, peer) in &model.peers {
        prop_assert!(peer.over.is_some() || !peer.outbox.is_closing(), "{id} does not come to its end");
        model.check(*id, peer)?;
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
