//! A log replicated among several voters with Raft, by the library `raft`. The module performs no I/O: its
//! inputs are messages and times, and [`Storage`] is its only access to the disk.
//!
//! The library implements elections with pre-vote and quorum checks, leadership transfer, snapshots and
//! configuration changes. This module adds three guarantees:
//!
//! - A step is durable before any message or output that depends on it is sent.
//! - A voter whose storage fails leaves the consensus until the storage can be read and written again, and
//!   then restarts from its contents.
//! - A replica is identified by its data directory: a server that loses its directory is a new replica.
//!
//! Its parts:
//!
//! - this file: start, creation and recovery of a fleet, received messages, proposals;
//! - `ready`: processes the library's `Ready` states;
//! - `snapshot`: snapshots of the state machine;
//! - `voter_changes`: reconciles the Raft configuration with the voters in the settings;
//! - `log`: the log as the library reads it;
//! - [`storage`]: the persisted state and the interface of storages;
//! - `election`: election timeouts and leadership transfer;
//! - `error`: errors.

mod election;
mod error;
mod log;
mod ready;
mod snapshot;
pub mod storage;
mod voter_changes;

use std::collections::BTreeMap;

use raft::eraftpb::{ConfState, Entry, HardState, Message, Snapshot};
use raft::{Config, RawNode, SnapshotStatus};

use crate::member::{Incarnation, Replica, ServerName};
use crate::time::IntegerMillis;
use election::{ELECTION_TICKS, HEARTBEAT_TICKS, TICK_MILLIS};
pub use error::{ConsensusError, ProposeError, SnapshotError};
use log::Log;
use storage::{PersistedState, ReplicaMetadata, Storage, WriteBatch};

/// Interval between attempts to reopen a failed storage, ms.
const STORAGE_RETRY_MILLIS: IntegerMillis = 1_000;
/// Interval at which snapshots without an acknowledgement are sent again, ms.
const SNAPSHOT_RETRY_MILLIS: IntegerMillis = 3_000;
/// Maximum size of the uncommitted proposals, bytes.
const MAX_UNCOMMITTED_BYTES: u64 = 16 * 1024 * 1024;
/// Maximum size of the entries in one message, bytes.
const MAX_MESSAGE_BYTES: u64 = 256 * 1024;
/// Maximum number of unacknowledged append messages to one voter.
const MAX_INFLIGHT_MESSAGES: usize = 64;
/// Index of a new group's first snapshot. It is above 0 so that every voter that joins receives the initial
/// state.
const FIRST_INDEX: u64 = 16;
/// Added to the last log index when a fleet is recovered: above any index that the lost data directories may
/// have reached.
const RECOVERY_INDEX_GAP: u64 = 1 << 20;
/// Added to the ids that a state machine assigns when a fleet is recovered: above any that entries in lost
/// data directories may have assigned.
pub const RECOVERY_ID_GAP: u64 = 1 << 20;
/// Maximum number of entries in `Consensus::unconfirmed_replicas`.
const MAX_UNCONFIRMED_REPLICAS: usize = 16;

/// The state machine that the log is applied to. It is deterministic: the same entries in the same order give
/// the same state on every voter.
pub trait StateMachine: Default + Send {
    /// The result of one entry, returned to its proposer.
    type Output;

    /// Applies one entry. Returns `None` if it cannot be decoded.
    fn apply(&mut self, entry: &[u8]) -> Option<Self::Output>;

    /// Sets the names of the current voters.
    fn set_voters(&mut self, names: Vec<ServerName>);

    /// Called when the fleet is recovered from one data directory. Ids that lost entries may have assigned
    /// must not be assigned again.
    fn reset_after_recovery(&mut self);

    /// Encodes the state for a snapshot.
    fn save(&self) -> Vec<u8>;

    /// Decodes a state that [`StateMachine::save`] encoded.
    ///
    /// # Errors
    /// The bytes cannot be decoded.
    fn load(bytes: &[u8]) -> Result<Self, SnapshotError>;
}

/// One voter of the replicated log, with its copy of the state machine.
pub struct Consensus<M: StateMachine> {
    name: ServerName,
    seed: u64,
    storage: Box<dyn Storage>,
    metadata: ReplicaMetadata,
    /// `None` while the storage has an error.
    raft_node: Option<RawNode<Log>>,
    error: Option<ConsensusError>,
    machine: M,
    applied_index: u64,
    /// Names of the replicas in the Raft configuration.
    replicas: BTreeMap<u64, ServerName>,
    /// Names of senders that may not be in the Raft configuration yet, which are needed to address replies to
    /// them.
    unconfirmed_replicas: BTreeMap<u64, ServerName>,
    next_tick_at: IntegerMillis,
    next_snapshot_check_at: IntegerMillis,
    outgoing: Vec<(ServerName, Vec<u8>)>,
    outputs: Vec<M::Output>,
    /// Messages that were rejected: malformed, of another group, or for another replica.
    pub rejected: u64,
}

impl<M: StateMachine> Consensus<M> {
    /// Starts from the data directory; an empty one becomes a new replica with the id `seed`. If the
    /// directory cannot be read or written, this voter does not participate and retries; [`Consensus::error`]
    /// has the reason. `unix_millis` is the wall clock.
    pub fn start(
        name: ServerName,
        storage: Box<dyn Storage>,
        seed: u64,
        unix_millis: u64,
        now: IntegerMillis,
    ) -> Self {
        let mut consensus = Consensus {
            name,
            seed,
            storage,
            // The wall clock keeps incarnations rising when the directory is lost. Otherwise the stored
            // incarnation is a lower bound, so that setting the clock back has no effect.
            metadata: ReplicaMetadata { incarnation: unix_millis, ..ReplicaMetadata::default() },
            raft_node: None,
            error: None,
            machine: M::default(),
            applied_index: 0,
            replicas: BTreeMap::new(),
            unconfirmed_replicas: BTreeMap::new(),
            next_tick_at: now,
            next_snapshot_check_at: now,
            outgoing: Vec::new(),
            outputs: Vec::new(),
            rejected: 0,
        };
        if let Ok(persisted) = consensus.storage.read() {
            let next = persisted.metadata.incarnation + 1;
            consensus.metadata.incarnation = unix_millis.max(next);
        }
        consensus.error = consensus.open_storage().err();
        consensus
    }

    /// Reads the data directory, stores the incarnation of this process in it, and starts Raft from its
    /// contents.
    fn open_storage(&mut self) -> Result<(), ConsensusError> {
        let persisted = self.storage.read()?;
        let stored = persisted.metadata.replica;
        if self.metadata.replica.id != 0 && stored != self.metadata.replica {
            return Err(ConsensusError::OtherReplica);
        }
        let replica = if stored.id == 0 { Replica { id: self.seed.max(1), group: 0 } } else { stored };
        self.store_metadata(ReplicaMetadata { replica, ..self.metadata })?;
        self.start_raft(persisted)
    }

    fn store_metadata(&mut self, metadata: ReplicaMetadata) -> Result<(), ConsensusError> {
        self.storage.write(&WriteBatch { metadata: Some(metadata), ..WriteBatch::default() })?;
        self.metadata = metadata;
        Ok(())
    }

    /// The incarnation of this process, as stored in the data directory.
    pub fn incarnation(&self) -> Incarnation {
        self.metadata.incarnation
    }

    /// The id of this voter's data directory, and its Raft group.
    pub fn replica(&self) -> Replica {
        self.metadata.replica
    }

    /// The state machine, up to [`Consensus::applied_index`].
    pub fn machine(&self) -> &M {
        &self.machine
    }

    /// The index of the last log entry applied to the state machine.
    pub fn applied_index(&self) -> u64 {
        self.applied_index
    }

    /// Why this voter does not participate; `None` while it does.
    pub fn error(&self) -> Option<&ConsensusError> {
        self.error.as_ref()
    }

    /// The Raft term; 0 while the storage has an error.
    pub fn term(&self) -> u64 {
        self.raft_node.as_ref().map_or(0, |node| node.raft.term)
    }

    /// The names of the current voters, in the order of the Raft configuration.
    pub fn voters(&self) -> Vec<ServerName> {
        let Some(node) = &self.raft_node else { return Vec::new() };
        let configuration = node.store().configuration();
        configuration.voters.iter().filter_map(|id| self.replicas.get(id).cloned()).collect()
    }

    /// Creates a fleet with this voter as its only member.
    ///
    /// # Errors
    /// This voter already belongs to a group, or its storage fails.
    pub fn bootstrap(&mut self, group: u64) -> Result<(), ConsensusError> {
        if self.metadata.replica.group != 0 {
            return Err(ConsensusError::AlreadyInFleet);
        }
        self.create_group(group, FIRST_INDEX, 1)
    }

    /// Recreates the fleet from this data directory, with this voter as the only one, after a majority of the
    /// directories was lost. Entries that were committed only in the lost directories are lost.
    ///
    /// # Errors
    /// This voter never belonged to a group, or its storage fails.
    pub fn recover(&mut self, group: u64) -> Result<(), ConsensusError> {
        if self.metadata.replica.group == 0 {
            return Err(ConsensusError::NeverInFleet);
        }
        let (index, term) = match &self.raft_node {
            Some(node) => (node.raft.raft_log.last_index(), node.raft.term),
            None => (self.applied_index, 1),
        };
        self.machine.reset_after_recovery();
        self.create_group(group, index + RECOVERY_INDEX_GAP, term + 1)
    }

    fn create_group(&mut self, group: u64, index: u64, term: u64) -> Result<(), ConsensusError> {
        let id = self.metadata.replica.id;
        let configuration = ConfState { voters: vec![id], ..ConfState::default() };
        self.replicas = BTreeMap::from([(id, self.name.clone())]);
        self.machine.set_voters(vec![self.name.clone()]);
        let snapshot = self.snapshot(index, term, configuration);
        let hard_state = HardState { term, commit: index, ..HardState::default() };
        let metadata = ReplicaMetadata { replica: Replica { id, group: group.max(1) }, ..self.metadata };
        self.storage.write(&WriteBatch {
            metadata: Some(metadata),
            hard_state: Some(encode(&hard_state)?),
            snapshot: Some((index, encode(&snapshot)?)),
            entries: Vec::new(),
            clears_log: true,
        })?;
        self.metadata = metadata;
        let persisted = self.storage.read()?;
        self.start_raft(persisted)?;
        // The only voter wins the election at once: there is no reason to wait for the election timeout.
        if let Some(node) = &mut self.raft_node {
            let _ = node.campaign();
        }
        self.process_ready();
        Ok(())
    }

    /// Starts Raft from the contents of the data directory. On an error this voter does not participate.
    fn start_raft(&mut self, persisted: PersistedState) -> Result<(), ConsensusError> {
        self.raft_node = None;
        let PersistedState { hard_state, snapshot, entries, .. } = persisted;
        let snapshot: Snapshot = snapshot.as_deref().map(decode).transpose()?.unwrap_or_default();
        let hard_state: Option<HardState> = hard_state.as_deref().map(decode).transpose()?;
        let entries: Vec<Entry> = entries.iter().map(|(_, bytes)| decode(bytes)).collect::<Result<_, _>>()?;
        self.applied_index = snapshot.get_metadata().index;
        if self.applied_index > 0 {
            self.load_snapshot(&snapshot)?;
        } else {
            self.machine = M::default();
            self.replicas.clear();
        }
        let log = Log::new(snapshot, hard_state, &entries).map_err(ConsensusError::Log)?;
        let config = Config {
            id: self.metadata.replica.id,
            election_tick: ELECTION_TICKS,
            heartbeat_tick: HEARTBEAT_TICKS,
            applied: self.applied_index,
            max_size_per_msg: MAX_MESSAGE_BYTES,
            max_inflight_msgs: MAX_INFLIGHT_MESSAGES,
            check_quorum: true,
            pre_vote: true,
            max_uncommitted_size: MAX_UNCOMMITTED_BYTES,
            ..Config::default()
        };
        let logger = slog::Logger::root(slog::Discard, slog::o!());
        self.raft_node = Some(RawNode::new(&config, log, &logger)?);
        self.update_machine_voters();
        self.process_ready();
        Ok(())
    }

    /// Handles a Raft message from another voter of this fleet.
    pub fn step(&mut self, from: &ServerName, group: u64, bytes: &[u8]) {
        let Ok(message) = decode::<Message>(bytes) else {
            self.rejected += 1;
            return;
        };
        let replica = self.metadata.replica;
        // A replica without a group accepts messages that carry its id: only a leader that admitted it sends
        // them.
        let joins_group = replica.group == 0 && message.to == replica.id && group != 0;
        let is_for_replica = message.to == replica.id && (group == replica.group || joins_group);
        if self.raft_node.is_none() || !is_for_replica {
            self.rejected += 1;
            return;
        }
        if joins_group {
            let metadata = ReplicaMetadata { replica: Replica { group, ..replica }, ..self.metadata };
            if let Err(error) = self.store_metadata(metadata) {
                return self.stop_on_error(error);
            }
        }
        self.unconfirmed_replicas.insert(message.from, from.clone());
        while self.unconfirmed_replicas.len() > MAX_UNCONFIRMED_REPLICAS {
            self.unconfirmed_replicas.pop_first();
        }
        let Some(node) = &mut self.raft_node else { return };
        // The library's local messages must not be accepted from the network.
        if raft::raw_node::is_local_msg(message.get_msg_type()) || node.step(message).is_err() {
            self.rejected += 1;
        }
        self.process_ready();
    }

    /// Advances the Raft clock, or reopens a failed storage. After a pause of any length it ticks once:
    /// catching up on the missed ticks would start an election at once.
    pub fn tick(&mut self, now: IntegerMillis) {
        if now < self.next_tick_at {
            return;
        }
        if self.raft_node.is_none() {
            self.next_tick_at = now + STORAGE_RETRY_MILLIS;
            self.error = self.open_storage().err();
            return;
        }
        self.next_tick_at = now + TICK_MILLIS;
        let Some(node) = &mut self.raft_node else { return };
        node.tick();
        if now >= self.next_snapshot_check_at {
            self.next_snapshot_check_at = now + SNAPSHOT_RETRY_MILLIS;
            report_pending_snapshots(node);
        }
        self.process_ready();
    }

    /// The time of the next call of [`Consensus::tick`].
    pub fn next_wake(&self) -> IntegerMillis {
        self.next_tick_at
    }

    /// Proposes an entry for the log.
    ///
    /// # Errors
    /// This voter does not lead, or currently accepts no proposals.
    pub fn propose(&mut self, entry: Vec<u8>) -> Result<(), ProposeError> {
        if !self.is_leader() {
            return Err(ProposeError::NotLeader);
        }
        let Some(node) = &mut self.raft_node else { return Err(ProposeError::NotLeader) };
        node.propose(Vec::new(), entry).map_err(|_| ProposeError::Dropped)?;
        self.process_ready();
        Ok(())
    }

    /// Stops Raft after an error. The library may treat a step as durable that is not, so [`Consensus::tick`]
    /// restarts it from the data directory.
    fn stop_on_error(&mut self, error: ConsensusError) {
        self.raft_node = None;
        self.error = Some(error);
    }

    /// Takes the messages to send, each with the name of its receiver.
    pub fn take_messages(&mut self) -> Vec<(ServerName, Vec<u8>)> {
        std::mem::take(&mut self.outgoing)
    }

    /// Whether there are messages to send or outputs to handle.
    pub fn has_output(&self) -> bool {
        !self.outgoing.is_empty() || !self.outputs.is_empty()
    }

    /// Takes the results of the entries that were applied since the last call.
    pub fn take_outputs(&mut self) -> Vec<M::Output> {
        std::mem::take(&mut self.outputs)
    }
}

/// Reports snapshots without an acknowledgement as failed, so that the library sends them again.
fn report_pending_snapshots(node: &mut RawNode<Log>) {
    let is_pending = |state| state == raft::ProgressState::Snapshot;
    let pending = node.raft.prs().iter().filter(|(_, progress)| is_pending(progress.state));
    let pending: Vec<u64> = pending.map(|(id, _)| *id).collect();
    for id in pending {
        node.report_snapshot(id, SnapshotStatus::Failure);
    }
}

fn encode(message: &impl protobuf::Message) -> Result<Vec<u8>, ConsensusError> {
    Ok(message.write_to_bytes()?)
}

fn decode<T: protobuf::Message>(bytes: &[u8]) -> Result<T, ConsensusError> {
    Ok(T::parse_from_bytes(bytes)?)
}

#[cfg(test)]
mod tests;
