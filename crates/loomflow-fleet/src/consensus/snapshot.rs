//! Creation, restoration and storage of snapshots: the state machine and the names of the replicas.

use std::collections::BTreeMap;

use raft::eraftpb::{ConfState, Snapshot};
use serde::{Deserialize, Serialize};

use super::storage::WriteBatch;
use super::{Consensus, ConsensusError, StateMachine, encode};
use crate::member::ServerName;

/// The payload of a Raft snapshot.
#[derive(Serialize, Deserialize)]
pub(super) struct SnapshotPayload {
    pub replicas: BTreeMap<u64, ServerName>,
    pub machine: Vec<u8>,
}

impl<M: StateMachine> Consensus<M> {
    /// Creates a snapshot of the current state machine.
    pub(super) fn snapshot(&self, index: u64, term: u64, configuration: ConfState) -> Snapshot {
        let payload = SnapshotPayload { replicas: self.replicas.clone(), machine: self.machine.save() };
        let data = postcard::to_stdvec(&payload).unwrap_or_default().into();
        let mut snapshot = Snapshot { data, ..Snapshot::default() };
        let metadata = snapshot.mut_metadata();
        metadata.index = index;
        metadata.term = term;
        metadata.set_conf_state(configuration);
        snapshot
    }

    /// Replaces the state machine and the names of the replicas by those of a snapshot.
    pub(super) fn load_snapshot(&mut self, snapshot: &Snapshot) -> Result<(), ConsensusError> {
        let payload: SnapshotPayload =
            postcard::from_bytes(&snapshot.data).map_err(ConsensusError::SnapshotData)?;
        self.machine = M::load(&payload.machine)?;
        self.replicas = payload.replicas;
        Ok(())
    }

    /// Writes a snapshot of the applied state, and drops old entries from memory.
    pub(super) fn store_snapshot(&mut self) {
        let Some(node) = &self.raft_node else { return };
        let index = self.applied_index;
        let Ok(term) = raft::Storage::term(node.store(), index) else { return };
        let snapshot = self.snapshot(index, term, node.store().configuration());
        let Ok(bytes) = encode(&snapshot) else { return };
        let batch = WriteBatch { snapshot: Some((index, bytes)), ..WriteBatch::default() };
        if let Err(error) = self.storage.write(&batch) {
            return self.stop_on_error(error.into());
        }
        if let Some(node) = &mut self.raft_node {
            let _ = node.mut_store().set_snapshot(snapshot);
        }
    }
}
