//! A replicated log among a few voters: Raft, by the library `raft`. Fed messages and times; it knows no socket, and of
//! its disk only [`Disk`].
//!
//! Election with pre-vote and a check of the quorum, hand-over, snapshots and changes of configuration are the library's.
//! Ours is the order of things around it: a step is durable before anything that follows from it is said; a disk that
//! fails takes this voter out of the agreement until it can be read and written again, with what it then holds; and a
//! voter is the folder that it keeps, so that one whose folder is lost is another voter.

pub mod disk;
mod log;
mod seats;

use std::collections::BTreeMap;

use raft::eraftpb::{ConfChangeV2, ConfState, Entry, EntryType, HardState, Message, MessageType, Snapshot};
use raft::{Config, RawNode, SnapshotStatus, StateRole};
use serde::{Deserialize, Serialize};

use crate::member::{Ms, Name, Seat};
use disk::{Disk, Image, Stamp, Write};
use log::Log;

/// The library's tick, ms. A leader speaks every second tick; who hears nothing for 10 to 20 asks for an election.
const TICK: Ms = 100;
const HEARTBEAT_TICKS: usize = 2;
const ELECTION_TICKS: usize = 10;
/// A snapshot is made of so many entries: what a restart reads again at the most.
const SNAPSHOT_EVERY: u64 = 512;
/// A disk that failed is tried again after this, ms.
const DISK_AGAIN: Ms = 1_000;
/// A snapshot that did not arrive is sent again after this, ms.
const SNAPSHOT_AGAIN: Ms = 3_000;
/// Proposals that may stand uncommitted, bytes.
const MOST_UNCOMMITTED: u64 = 16 * 1024 * 1024;
/// A new group's log begins here and not at the first entry, so that whoever joins it gets its first state.
const FIRST: u64 = 16;
/// How much further the log of a fleet stands that was made anew from one voter's folder.
const LEAP: u64 = 1 << 20;

/// What the log is applied to: the same bytes in the same order give the same state everywhere.
pub trait Machine: Default + Send {
    /// What comes of one entry, for whoever asked.
    type Output;
    fn apply(&mut self, entry: &[u8]) -> Option<Self::Output>;
    /// Who has a vote from now on.
    fn voters(&mut self, names: Vec<Name>);
    /// The fleet was made anew from one folder: numbers that others may have heard of must not come again.
    fn made_anew(&mut self);
    fn save(&self) -> Vec<u8>;
    /// Errors where the bytes are not what [`Machine::save`] writes.
    fn load(bytes: &[u8]) -> Result<Self, String>;
}

/// What a snapshot holds beside the machine.
#[derive(Serialize, Deserialize)]
struct Kept {
    seats: BTreeMap<u64, Name>,
    machine: Vec<u8>,
}

/// Why nothing was proposed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NotNow {
    NotLeader,
    /// The leader hands over, or too much stands uncommitted.
    Dropped,
}

pub struct Agreement<M: Machine> {
    name: Name,
    seed: u64,
    disk: Box<dyn Disk>,
    stamp: Stamp,
    /// None while the disk is at fault.
    node: Option<RawNode<Log>>,
    /// What is wrong with the disk.
    fault: Option<String>,
    machine: M,
    applied: u64,
    /// Who sits where: by the log, and by what voters said that are not yet in it.
    seats: BTreeMap<u64, Name>,
    heard: BTreeMap<u64, Name>,
    tick_at: Ms,
    snapshot_at: Ms,
    out: Vec<(Name, Vec<u8>)>,
    outputs: Vec<M::Output>,
    /// Messages of another group, or that could not be taken.
    pub refused: u64,
}

impl<M: Machine> Agreement<M> {
    /// Takes up what the folder holds. An empty folder is a new seat, drawn from `draw`. Where the folder cannot be read or
    /// written this one goes on without a vote and tries again; [`Agreement::fault`] says why.
    pub fn start(name: Name, disk: Box<dyn Disk>, draw: u64, wall: u64, now: Ms) -> Self {
        let mut agreement = Agreement {
            name,
            seed: draw,
            disk,
            // The wall clock only helps where the folder was lost; a jump back of it cannot make the number fall.
            stamp: Stamp { incarnation: wall, ..Stamp::default() },
            node: None,
            fault: None,
            machine: M::default(),
            applied: 0,
            seats: BTreeMap::new(),
            heard: BTreeMap::new(),
            tick_at: now,
            snapshot_at: now,
            out: Vec::new(),
            outputs: Vec::new(),
            refused: 0,
        };
        if let Ok(image) = agreement.disk.read() {
            agreement.stamp.incarnation = wall.max(image.stamp.incarnation + 1);
        }
        agreement.fault = agreement.begin().err();
        agreement
    }

    /// Reads the folder, stamps it with this start, and begins from what it holds.
    fn begin(&mut self) -> Result<(), String> {
        let image = self.disk.read()?;
        let kept = image.stamp;
        if self.stamp.seat.id != 0 && kept.seat != self.stamp.seat {
            return Err("the folder is another voter's now".into());
        }
        let seat = if kept.seat.id == 0 { Seat { id: self.seed.max(1), group: 0 } } else { kept.seat };
        let stamp = Stamp { incarnation: self.stamp.incarnation, seat };
        self.disk.write(&Write { stamp: Some(stamp), ..Write::default() })?;
        self.stamp = stamp;
        self.open(image)
    }

    pub fn incarnation(&self) -> u64 {
        self.stamp.incarnation
    }

    pub fn seat(&self) -> Seat {
        self.stamp.seat
    }

    pub fn machine(&self) -> &M {
        &self.machine
    }

    pub fn applied(&self) -> u64 {
        self.applied
    }

    pub fn fault(&self) -> Option<&str> {
        self.fault.as_deref()
    }

    pub fn term(&self) -> u64 {
        self.node.as_ref().map_or(0, |node| node.raft.term)
    }

    /// Whether this one leads, and has applied all that was agreed on before it did.
    pub fn leads(&self) -> bool {
        self.node.as_ref().is_some_and(|node| {
            node.raft.state == StateRole::Leader
                && node.raft.apply_to_current_term()
                && node.raft.lead_transferee.is_none()
        })
    }

    pub fn leader(&self) -> Option<&Name> {
        let id = self.node.as_ref()?.raft.leader_id;
        self.seats.get(&id)
    }

    /// Those with a vote, in the order of their seats.
    pub fn voters(&self) -> Vec<Name> {
        let Some(node) = &self.node else { return Vec::new() };
        let conf = node.store().conf();
        conf.voters.iter().filter_map(|id| self.seats.get(id).cloned()).collect()
    }

    /// Begins a fleet with this voter alone. Errors: this one already belongs to a group.
    pub fn found(&mut self, group: u64) -> Result<(), String> {
        if self.stamp.seat.group != 0 {
            return Err("this voter already belongs to a fleet".into());
        }
        self.begin_alone(group, FIRST, 1)
    }

    /// Makes the fleet anew from what this folder holds, with this voter alone: for when a majority of folders is lost.
    /// What only the lost ones had agreed on is lost. Errors: this one never belonged to a group.
    pub fn recover(&mut self, group: u64) -> Result<(), String> {
        if self.stamp.seat.group == 0 {
            return Err("this voter never belonged to a fleet: found one instead".into());
        }
        let (index, term) = self
            .node
            .as_ref()
            .map_or((self.applied, 1), |node| (node.raft.raft_log.last_index(), node.raft.term));
        self.machine.made_anew();
        self.begin_alone(group, index + LEAP, term + 1)
    }

    fn begin_alone(&mut self, group: u64, index: u64, term: u64) -> Result<(), String> {
        let id = self.stamp.seat.id;
        let conf = ConfState { voters: vec![id], ..ConfState::default() };
        self.seats = BTreeMap::from([(id, self.name.clone())]);
        self.machine.voters(vec![self.name.clone()]);
        let snapshot = self.snapshot(index, term, conf);
        let hard = HardState { term, commit: index, ..HardState::default() };
        let stamp = Stamp { seat: Seat { id, group: group.max(1) }, ..self.stamp };
        let write = Write {
            stamp: Some(stamp),
            hard: Some(encode(&hard)?),
            snapshot: Some((index, encode(&snapshot)?)),
            entries: Vec::new(),
            anew: true,
        };
        self.disk.write(&write)?;
        self.stamp = stamp;
        let image = self.disk.read()?;
        self.open(image)?;
        // Nobody else can lead, so nobody need be waited for.
        if let Some(node) = &mut self.node {
            let _ = node.campaign();
        }
        self.settle();
        Ok(())
    }

    /// Begins from what the folder holds. Errors leave no node.
    fn open(&mut self, image: Image) -> Result<(), String> {
        self.node = None;
        let Image { hard, snapshot, entries, .. } = image;
        let snapshot: Snapshot = snapshot.as_deref().map(decode).transpose()?.unwrap_or_default();
        let hard: Option<HardState> = hard.as_deref().map(decode).transpose()?;
        let entries: Vec<Entry> = entries.iter().map(|(_, bytes)| decode(bytes)).collect::<Result<_, _>>()?;
        let index = snapshot.get_metadata().index;
        (self.machine, self.seats) = match index {
            0 => (M::default(), BTreeMap::new()),
            _ => {
                let kept: Kept =
                    postcard::from_bytes(&snapshot.data).map_err(|e| format!("snapshot: {e}"))?;
                (M::load(&kept.machine)?, kept.seats)
            }
        };
        self.applied = index;
        let log = Log::new(snapshot, hard, &entries).map_err(|e| format!("the log: {e}"))?;
        let config = Config {
            id: self.stamp.seat.id,
            election_tick: ELECTION_TICKS,
            heartbeat_tick: HEARTBEAT_TICKS,
            applied: index,
            max_size_per_msg: 256 * 1024,
            max_inflight_msgs: 64,
            check_quorum: true,
            pre_vote: true,
            max_uncommitted_size: MOST_UNCOMMITTED,
            ..Config::default()
        };
        let logger = slog::Logger::root(slog::Discard, slog::o!());
        self.node = Some(RawNode::new(&config, log, &logger).map_err(|e| e.to_string())?);
        self.told_voters();
        self.settle();
        Ok(())
    }

    /// A message of another voter of this fleet.
    pub fn step(&mut self, from: &Name, group: u64, bytes: &[u8]) {
        let Ok(message) = decode::<Message>(bytes) else {
            self.refused += 1;
            return;
        };
        let seat = self.stamp.seat;
        // One that belongs to no group takes what is for its own seat: only a leader that let it in knows that number.
        let adopts = seat.group == 0 && message.to == seat.id && group != 0;
        if self.node.is_none() || message.to != seat.id || (group != seat.group && !adopts) {
            self.refused += 1;
            return;
        }
        if adopts {
            let stamp = Stamp { seat: Seat { group, ..seat }, ..self.stamp };
            if let Err(why) = self.disk.write(&Write { stamp: Some(stamp), ..Write::default() }) {
                return self.failed(why);
            }
            self.stamp = stamp;
        }
        self.heard.insert(message.from, from.clone());
        while self.heard.len() > 16 {
            self.heard.pop_first();
        }
        let Some(node) = &mut self.node else { return };
        // Local messages of the library's own are not for the wire.
        if raft::raw_node::is_local_msg(message.get_msg_type()) || node.step(message).is_err() {
            self.refused += 1;
        }
        self.settle();
    }

    /// Does what is due. After a sleep only one tick is made up for: the others had theirs.
    pub fn tick(&mut self, now: Ms) {
        if now < self.tick_at {
            return;
        }
        if self.node.is_none() {
            self.tick_at = now + DISK_AGAIN;
            self.fault = self.begin().err();
            return;
        }
        self.tick_at = now + TICK;
        let Some(node) = &mut self.node else { return };
        node.tick();
        if now >= self.snapshot_at {
            self.snapshot_at = now + SNAPSHOT_AGAIN;
            let waits = raft::ProgressState::Snapshot;
            let late: Vec<u64> =
                node.raft.prs().iter().filter(|(_, p)| p.state == waits).map(|(id, _)| *id).collect();
            late.into_iter().for_each(|id| node.report_snapshot(id, SnapshotStatus::Failure));
        }
        self.settle();
    }

    pub fn next_wake(&self) -> Ms {
        self.tick_at
    }

    /// Puts an entry into the log, if this one leads.
    pub fn propose(&mut self, entry: Vec<u8>) -> Result<(), NotNow> {
        if !self.leads() {
            return Err(NotNow::NotLeader);
        }
        let Some(node) = &mut self.node else { return Err(NotNow::NotLeader) };
        node.propose(Vec::new(), entry).map_err(|_| NotNow::Dropped)?;
        self.settle();
        Ok(())
    }

    /// Lets another voter lead, the one that is furthest. `fit` says who may. False where nobody is.
    pub fn hand_over(&mut self, fit: &dyn Fn(&Name) -> bool) -> bool {
        let Some(node) = self.node.as_mut().filter(|node| node.raft.state == StateRole::Leader) else {
            return false;
        };
        let voters = node.store().conf().voters;
        let own = self.stamp.seat.id;
        let seats = &self.seats;
        let others = voters.iter().filter(|id| **id != own && seats.get(id).is_some_and(fit));
        let best = others.max_by_key(|id| node.raft.prs().get(**id).map_or(0, |p| p.matched)).copied();
        if let Some(to) = best {
            node.transfer_leader(to);
        }
        self.settle();
        best.is_some()
    }

    /// Carries out what the library wants done, until it wants nothing.
    fn settle(&mut self) {
        while self.node.as_ref().is_some_and(|node| node.has_ready()) {
            if let Err(why) = self.turn() {
                return self.failed(why);
            }
        }
        self.settle_timeout();
        if let Some(node) = &self.node
            && self.applied >= node.store().snapshot_index() + SNAPSHOT_EVERY
        {
            self.keep_snapshot();
        }
    }

    /// The library draws how long it waits for a leader from the thread's generator; here it follows from the seat, the
    /// term and the role, so that a simulation is the same every time.
    fn settle_timeout(&mut self) {
        let Some(node) = &mut self.node else { return };
        let raft = &mut node.raft;
        let mix = [raft.id, raft.term, raft.state as u64]
            .iter()
            .fold(self.seed, |sum, part| (sum ^ part).wrapping_mul(0x9E37_79B9_7F4A_7C15).rotate_left(29));
        raft.set_randomized_election_timeout(ELECTION_TICKS + (mix % ELECTION_TICKS as u64) as usize);
    }

    fn turn(&mut self) -> Result<(), String> {
        let Some(node) = &mut self.node else { return Ok(()) };
        let mut ready = node.ready();
        let said = ready.take_messages();
        let mut write = Write::default();
        let snapshot = ready.snapshot().clone();
        if snapshot.get_metadata().index > 0 {
            write.snapshot = Some((snapshot.get_metadata().index, encode(&snapshot)?));
            write.anew = true;
        }
        write.entries =
            ready.entries().iter().map(|e| Ok((e.index, encode(e)?))).collect::<Result<_, String>>()?;
        if let Some(hard) = ready.hs() {
            write.hard = Some(encode(hard)?);
        }
        if !write.is_empty() {
            self.disk.write(&write)?;
        }
        let store = node.mut_store();
        if snapshot.get_metadata().index > 0 {
            store.take_over(snapshot.clone()).map_err(|e| e.to_string())?;
            let kept: Kept = postcard::from_bytes(&snapshot.data).map_err(|e| format!("snapshot: {e}"))?;
            (self.machine, self.seats) = (M::load(&kept.machine)?, kept.seats);
            self.applied = snapshot.get_metadata().index;
        }
        store.append(ready.entries()).map_err(|e| e.to_string())?;
        if let Some(hard) = ready.hs() {
            store.set_hard(hard.clone());
        }
        let after = ready.take_persisted_messages();
        let committed = ready.take_committed_entries();
        self.say(said);
        self.say(after);
        self.apply(committed)?;
        let Some(node) = &mut self.node else { return Ok(()) };
        let mut light = node.advance(ready);
        if let Some(commit) = light.commit_index() {
            node.mut_store().set_commit(commit);
        }
        let (said, committed) = (light.take_messages(), light.take_committed_entries());
        self.say(said);
        self.apply(committed)?;
        if let Some(node) = &mut self.node {
            node.advance_apply();
        }
        Ok(())
    }

    fn say(&mut self, messages: Vec<Message>) {
        for message in messages {
            let to = self.seats.get(&message.to).or_else(|| self.heard.get(&message.to));
            if let (Some(to), Ok(bytes)) = (to, encode(&message)) {
                self.out.push((to.clone(), bytes));
            } else if message.get_msg_type() == MessageType::MsgSnapshot
                && let Some(node) = &mut self.node
            {
                node.report_snapshot(message.to, SnapshotStatus::Failure);
            }
        }
    }

    fn apply(&mut self, entries: Vec<Entry>) -> Result<(), String> {
        for entry in entries {
            self.applied = entry.index;
            match entry.get_entry_type() {
                // A new leader's first entry is empty.
                EntryType::EntryNormal if entry.data.is_empty() => {}
                EntryType::EntryNormal => self.outputs.extend(self.machine.apply(&entry.data)),
                EntryType::EntryConfChange => return Err("a change of an old form is in the log".into()),
                EntryType::EntryConfChangeV2 => {
                    let change: ConfChangeV2 = decode(&entry.data)?;
                    self.reseat(&change, &entry.context)?;
                }
            }
        }
        Ok(())
    }

    /// A change of configuration is applied; a snapshot follows at once, as whoever joined needs one that knows it.
    fn reseat(&mut self, change: &ConfChangeV2, context: &[u8]) -> Result<(), String> {
        let Some(node) = &mut self.node else { return Ok(()) };
        let conf = node.apply_conf_change(change).map_err(|e| e.to_string())?;
        node.mut_store().set_conf(conf.clone());
        if let Ok((id, name)) = postcard::from_bytes::<(u64, Name)>(context) {
            self.seats.insert(id, name);
        }
        let sits = |id: &u64| {
            let parts = [&conf.voters, &conf.learners, &conf.voters_outgoing, &conf.learners_next];
            parts.iter().any(|part| part.contains(id))
        };
        self.seats.retain(|id, _| sits(id));
        self.told_voters();
        self.keep_snapshot();
        Ok(())
    }

    fn told_voters(&mut self) {
        let mut voters = self.voters();
        // The library keeps them in no order, and the machine is the same everywhere.
        voters.sort();
        if !voters.is_empty() {
            self.machine.voters(voters);
        }
    }

    fn snapshot(&self, index: u64, term: u64, conf: ConfState) -> Snapshot {
        let kept = Kept { seats: self.seats.clone(), machine: self.machine.save() };
        let data = postcard::to_stdvec(&kept).unwrap_or_default().into();
        let mut snapshot = Snapshot { data, ..Snapshot::default() };
        let meta = snapshot.mut_metadata();
        (meta.index, meta.term) = (index, term);
        meta.set_conf_state(conf);
        snapshot
    }

    fn keep_snapshot(&mut self) {
        let Some(node) = &self.node else { return };
        let Ok(term) = raft::Storage::term(node.store(), self.applied) else { return };
        let snapshot = self.snapshot(self.applied, term, node.store().conf());
        let Ok(bytes) = encode(&snapshot) else { return };
        let write = Write { snapshot: Some((self.applied, bytes)), ..Write::default() };
        if let Err(why) = self.disk.write(&write) {
            return self.failed(why);
        }
        if let Some(node) = &mut self.node {
            let _ = node.mut_store().keep(snapshot);
        }
    }

    /// What the library believes to be durable may not be: it begins again from what the folder holds.
    fn failed(&mut self, why: String) {
        self.node = None;
        self.fault = Some(why);
    }

    /// Messages to send since this was last asked, by the voter's name.
    pub fn take(&mut self) -> Vec<(Name, Vec<u8>)> {
        std::mem::take(&mut self.out)
    }

    /// Whether there is something to send or to hear of.
    pub fn has_news(&self) -> bool {
        !self.out.is_empty() || !self.outputs.is_empty()
    }

    /// What has come of entries since this was last asked.
    pub fn outputs(&mut self) -> Vec<M::Output> {
        std::mem::take(&mut self.outputs)
    }
}

fn encode(message: &impl protobuf::Message) -> Result<Vec<u8>, String> {
    message.write_to_bytes().map_err(|e| e.to_string())
}

fn decode<T: protobuf::Message>(bytes: &[u8]) -> Result<T, String> {
    T::parse_from_bytes(bytes).map_err(|e| e.to_string())
}
