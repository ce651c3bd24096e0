//! A replicated log among several voters: Raft, by the library `raft`. Fed messages and times; it knows no socket, and of its
//! disk only [`Storage`].
//!
//! Election with pre-vote and a check of the quorum, transfer of leadership, snapshots and changes of configuration are the
//! library's. Ours is the order of things around it: a step is durable before anything that follows from it is sent; a
//! storage that fails takes this voter out of the consensus until it can be read and written again, with its contents then;
//! and a voter is its data directory, so that one whose directory is lost is another voter.
//!
//! - this file: starting, creating and recovering a fleet, what comes in;
//! - `ready`: carrying out what the library wants done;
//! - `snapshot`: snapshots of the state machine;
//! - `voter_changes`: bringing the configuration to the voters that the settings name;
//! - `log`: the log as the library reads it;
//! - [`storage`]: what a voter must not forget;
//! - `election`: who leads, and when a voter starts an election;
//! - `error`: what can go wrong.

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

/// A storage that failed is tried again after this, ms.
const STORAGE_RETRY_MILLIS: IntegerMillis = 1_000;
/// A snapshot that did not arrive is sent again after this, ms.
const SNAPSHOT_RETRY_MILLIS: IntegerMillis = 3_000;
/// Proposals that may be uncommitted, bytes.
const MAX_UNCOMMITTED_BYTES: u64 = 16 * 1024 * 1024;
/// Entries in one message, bytes, and messages on their way to one voter.
const MAX_MESSAGE_BYTES: u64 = 256 * 1024;
const MAX_INFLIGHT_MESSAGES: usize = 64;
/// A new group's log begins here and not at the first entry, so that whoever joins it gets its first state.
const FIRST_INDEX: u64 = 16;
/// How far the log of a recovered fleet is ahead of the data directory that it was recovered from.
const RECOVERY_INDEX_GAP: u64 = 1 << 20;
/// How far the numbers that a state machine assigns jump when a fleet is recovered: above any that the lost data directories
/// may have assigned.
pub const RECOVERY_ID_GAP: u64 = 1 << 20;
/// Replicas that are remembered before the log knows them.
const MAX_UNCONFIRMED_REPLICAS: usize = 16;

/// What the log is applied to: the same bytes in the same order give the same state everywhere.
pub trait StateMachine: Default + Send {
    /// The result of one entry, for whoever proposed it.
    type Output;

    /// Applies one entry; none where it cannot be read.
    fn apply(&mut self, entry: &[u8]) -> Option<Self::Output>;

    /// Sets who has a vote from now on.
    fn set_voters(&mut self, names: Vec<ServerName>);

    /// Called when the fleet was recovered from one data directory: numbers that others may know must not be assigned again.
    fn reset_after_recovery(&mut self);

    /// A snapshot of the state.
    fn save(&self) -> Vec<u8>;

    /// Restores a snapshot.
    ///
    /// # Errors
    /// The bytes are not what [`StateMachine::save`] writes.
    fn load(bytes: &[u8]) -> Result<Self, SnapshotError>;
}

/// One voter's part in the replicated log.
pub struct Consensus<M: StateMachine> {
    name: ServerName,
    seed: u64,
    storage: Box<dyn Storage>,
    metadata: ReplicaMetadata,
    /// None while the storage has an error.
    raft_node: Option<RawNode<Log>>,
    error: Option<ConsensusError>,
    machine: M,
    applied_index: u64,
    /// The replicas of the log's configuration.
    replicas: BTreeMap<u64, ServerName>,
    /// Replicas that sent messages, whether the configuration knows them or not.
    unconfirmed_replicas: BTreeMap<u64, ServerName>,
    next_tick_at: IntegerMillis,
    next_snapshot_check_at: IntegerMillis,
    outgoing: Vec<(ServerName, Vec<u8>)>,
    outputs: Vec<M::Output>,
    /// Messages of another group, or that could not be taken.
    pub rejected: u64,
}

impl<M: StateMachine> Consensus<M> {
    /// Continues from the data directory. An empty one is a new replica, with an id drawn from `seed`. Where it cannot be
    /// read or written this voter takes no part and retries; [`Consensus::error`] has the reason. `unix_millis`: the
    /// wall clock.
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
            // The wall clock only helps where the directory was lost; setting it back cannot make the number fall.
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

    /// Reads the data directory, counts this start in it, and starts from its contents.
    fn open_storage(&mut self) -> Result<(), ConsensusError> {
        let persisted = self.storage.read()?;
        let known = persisted.metadata.replica;
        if self.metadata.replica.id != 0 && known != self.metadata.replica {
            return Err(ConsensusError::OtherReplica);
        }
        let replica = if known.id == 0 { Replica { id: self.seed.max(1), group: 0 } } else { known };
        self.store_metadata(ReplicaMetadata { replica, ..self.metadata })?;
        self.start_raft(persisted)
    }

    fn store_metadata(&mut self, metadata: ReplicaMetadata) -> Result<(), ConsensusError> {
        self.storage.write(&WriteBatch { metadata: Some(metadata), ..WriteBatch::default() })?;
        self.metadata = metadata;
        Ok(())
    }

    /// The server's start, as the data directory counts it.
    pub fn incarnation(&self) -> Incarnation {
        self.metadata.incarnation
    }

    /// This voter's replica.
    pub fn replica(&self) -> Replica {
        self.metadata.replica
    }

    /// The state machine, as far as the log is applied.
    pub fn machine(&self) -> &M {
        &self.machine
    }

    /// The index up to which the log is applied.
    pub fn applied_index(&self) -> u64 {
        self.applied_index
    }

    /// Why this voter takes no part; none where it does.
    pub fn error(&self) -> Option<&ConsensusError> {
        self.error.as_ref()
    }

    /// The Raft term; 0 while the storage has an error.
    pub fn term(&self) -> u64 {
        self.raft_node.as_ref().map_or(0, |node| node.raft.term)
    }

    /// Who has a vote, in the order of the replicas.
    pub fn voters(&self) -> Vec<ServerName> {
        let Some(node) = &self.raft_node else { return Vec::new() };
        let configuration = node.store().configuration();
        configuration.voters.iter().filter_map(|id| self.replicas.get(id).cloned()).collect()
    }

    /// Creates a fleet with this voter alone.
    ///
    /// # Errors
    /// This voter already belongs to a group, or its storage fails.
    pub fn bootstrap(&mut self, group: u64) -> Result<(), ConsensusError> {
        if self.metadata.replica.group != 0 {
            return Err(ConsensusError::AlreadyInFleet);
        }
        self.begin_group(group, FIRST_INDEX, 1)
    }

    /// Recreates the fleet from this data directory, with this voter alone: for when a majority of the directories
    /// is lost. What only the lost ones had committed is lost.
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
        self.begin_group(group, index + RECOVERY_INDEX_GAP, term + 1)
    }

    fn begin_group(&mut self, group: u64, index: u64, term: u64) -> Result<(), ConsensusError> {
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
        // Nobody else can lead, so there is no election to wait for.
        if let Some(node) = &mut self.raft_node {
            let _ = node.campaign();
        }
        self.process_ready();
        Ok(())
    }

    /// Starts from the data directory. On an error this voter takes no part.
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

    /// Takes a message of another voter of this fleet.
    pub fn step(&mut self, from: &ServerName, group: u64, bytes: &[u8]) {
        let Ok(message) = decode::<Message>(bytes) else {
            self.rejected += 1;
            return;
        };
        let replica = self.metadata.replica;
        // One that belongs to no group takes what is for its own replica: only a leader that admitted it knows that id.
        let joins_group = replica.group == 0 && message.to == replica.id && group != 0;
        let is_ours = message.to == replica.id && (group == replica.group || joins_group);
        if self.raft_node.is_none() || !is_ours {
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
        // The library's local messages must not come from the network.
        if raft::raw_node::is_local_msg(message.get_msg_type()) || node.step(message).is_err() {
            self.rejected += 1;
        }
        self.process_ready();
    }

    /// Does what is due. After a sleep only one tick is made up for: the others had theirs.
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

    /// When something is due next.
    pub fn next_wake(&self) -> IntegerMillis {
        self.next_tick_at
    }

    /// Puts an entry into the log, if this voter leads.
    ///
    /// # Errors
    /// It does not lead, or takes no proposals now.
    pub fn propose(&mut self, entry: Vec<u8>) -> Result<(), ProposeError> {
        if !self.is_leader() {
            return Err(ProposeError::NotLeader);
        }
        let Some(node) = &mut self.raft_node else { return Err(ProposeError::NotLeader) };
        node.propose(Vec::new(), entry).map_err(|_| ProposeError::Dropped)?;
        self.process_ready();
        Ok(())
    }

    /// What the library believes to be durable may not be: this voter starts again from the data directory.
    fn stop_on_error(&mut self, error: ConsensusError) {
        self.raft_node = None;
        self.error = Some(error);
    }

    /// Messages to send since this was last called, by the voter's name.
    pub fn take_messages(&mut self) -> Vec<(ServerName, Vec<u8>)> {
        std::mem::take(&mut self.outgoing)
    }

    /// Whether there are messages to send or outputs to handle.
    pub fn has_output(&self) -> bool {
        !self.outgoing.is_empty() || !self.outputs.is_empty()
    }

    /// Results of entries that were applied since this was last called.
    pub fn take_outputs(&mut self) -> Vec<M::Output> {
        std::mem::take(&mut self.outputs)
    }
}

/// Reports snapshots that are still in transit as lost: the library sends them again.
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
