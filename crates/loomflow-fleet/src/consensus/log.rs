//! The log as the Raft library reads it: the last snapshot and the entries around and after it, in memory.

use raft::eraftpb::{ConfState, Entry, HardState, Snapshot};
use raft::storage::MemStorage;
use raft::{GetEntriesContext, RaftState, Result, Storage, StorageError};

/// Entries before a snapshot that stay in memory, so that a voter that lags slightly does not need the
/// snapshot.
const RETAINED_ENTRIES: u64 = 256;

/// Wraps the library's [`MemStorage`], and stores snapshots itself: those of `MemStorage` contain no state
/// machine.
pub(super) struct Log {
    entries: MemStorage,
    snapshot: Snapshot,
}

impl Log {
    /// Creates a log of a snapshot and the entries after it. The default snapshot stands for an empty log.
    pub fn new(snapshot: Snapshot, hard_state: Option<HardState>, entries: &[Entry]) -> Result<Log> {
        let log = Log { entries: MemStorage::new(), snapshot: snapshot.clone() };
        {
            let mut core = log.entries.wl();
            if snapshot.get_metadata().index > 0 {
                core.apply_snapshot(snapshot)?;
            }
            core.append(entries)?;
            if let Some(hard_state) = hard_state {
                core.set_hardstate(hard_state);
            }
        }
        Ok(log)
    }

    pub fn append(&mut self, entries: &[Entry]) -> Result<()> {
        self.entries.wl().append(entries)
    }

    pub fn set_hard_state(&mut self, hard_state: HardState) {
        self.entries.wl().set_hardstate(hard_state);
    }

    pub fn set_commit(&mut self, commit: u64) {
        self.entries.wl().mut_hard_state().commit = commit;
    }

    pub fn set_configuration(&mut self, configuration: ConfState) {
        self.entries.wl().set_conf_state(configuration);
    }

    pub fn configuration(&self) -> ConfState {
        self.entries.initial_state().map(|state| state.conf_state).unwrap_or_default()
    }

    /// Replaces the whole log by a snapshot received from a leader.
    pub fn restore_snapshot(&mut self, snapshot: Snapshot) -> Result<()> {
        self.entries.wl().apply_snapshot(snapshot.clone())?;
        self.snapshot = snapshot;
        Ok(())
    }

    /// Sets a snapshot of the applied state, and drops entries more than [`RETAINED_ENTRIES`] before it from
    /// memory.
    pub fn set_snapshot(&mut self, snapshot: Snapshot) -> Result<()> {
        let index = snapshot.get_metadata().index;
        self.snapshot = snapshot;
        self.entries.wl().compact(index.saturating_sub(RETAINED_ENTRIES))
    }

    pub fn snapshot_index(&self) -> u64 {
        self.snapshot.get_metadata().index
    }
}

impl Storage for Log {
    fn initial_state(&self) -> Result<RaftState> {
        self.entries.initial_state()
    }

    fn entries(
        &self,
        low: u64,
        high: u64,
        max_size: impl Into<Option<u64>>,
        context: GetEntriesContext,
    ) -> Result<Vec<Entry>> {
        self.entries.entries(low, high, max_size, context)
    }

    fn term(&self, index: u64) -> Result<u64> {
        let metadata = self.snapshot.get_metadata();
        if index == metadata.index && index > 0 { Ok(metadata.term) } else { self.entries.term(index) }
    }

    fn first_index(&self) -> Result<u64> {
        self.entries.first_index()
    }

    fn last_index(&self) -> Result<u64> {
        self.entries.last_index()
    }

    /// Returns the last snapshot. It is unavailable if it is older than requested, or if its configuration
    /// does not contain the receiving replica, which would reject it.
    fn snapshot(&self, request_index: u64, to: u64) -> Result<Snapshot> {
        let metadata = self.snapshot.get_metadata();
        let configuration = metadata.get_conf_state();
        let mut replicas = configuration.get_voters().iter().chain(configuration.get_learners());
        if metadata.index < request_index || !replicas.any(|id| *id == to) {
            return Err(raft::Error::Store(StorageError::SnapshotTemporarilyUnavailable));
        }
        Ok(self.snapshot.clone())
    }
}
