//! What a voter must not forget, as plain bytes: what a storage writes and reads back, and the interface of storages.

use std::error::Error;

use serde::{Deserialize, Serialize};

use crate::member::{Incarnation, Replica};

/// The contents of a data directory.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct PersistedState {
    /// What belongs to the data directory itself.
    pub metadata: ReplicaMetadata,
    /// The Raft library's hard state: term, vote, commit.
    pub hard_state: Option<Vec<u8>>,
    /// The last snapshot, with its configuration.
    pub snapshot: Option<Vec<u8>>,
    /// Log entries by their index.
    pub entries: Vec<(u64, Vec<u8>)>,
}

/// What belongs to the data directory itself.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReplicaMetadata {
    /// The server's last start with this data directory.
    pub incarnation: Incarnation,
    /// The replica that the directory is.
    pub replica: Replica,
}

impl ReplicaMetadata {
    /// The bytes of a storage.
    pub fn encode(&self) -> Vec<u8> {
        postcard::to_stdvec(self).unwrap_or_default()
    }

    /// Reads what [`ReplicaMetadata::encode`] wrote; none where it is something else.
    pub fn decode(bytes: &[u8]) -> Option<ReplicaMetadata> {
        postcard::from_bytes(bytes).ok()
    }
}

/// One step that must be durable, completely or not at all, before anything that follows from it is sent.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct WriteBatch {
    /// Replaces the metadata.
    pub metadata: Option<ReplicaMetadata>,
    /// Replaces the hard state.
    pub hard_state: Option<Vec<u8>>,
    /// Replaces the snapshot. Entries up to its index are of no further use.
    pub snapshot: Option<(u64, Vec<u8>)>,
    /// Replace what is there from the first of them on, to the end.
    pub entries: Vec<(u64, Vec<u8>)>,
    /// Drops every entry before anything else is written: the log begins anew behind a snapshot.
    pub clears_log: bool,
}

impl WriteBatch {
    /// Whether there is nothing to write.
    pub fn is_empty(&self) -> bool {
        *self == WriteBatch::default()
    }
}

impl PersistedState {
    /// Applies one step. This defines what a step means: storages are tested against it.
    pub fn apply(&mut self, batch: &WriteBatch) {
        if let Some(metadata) = batch.metadata {
            self.metadata = metadata;
        }
        if let Some(hard_state) = &batch.hard_state {
            self.hard_state = Some(hard_state.clone());
        }
        if batch.clears_log {
            self.entries.clear();
        }
        if let Some((snapshot_index, snapshot)) = &batch.snapshot {
            self.snapshot = Some(snapshot.clone());
            self.entries.retain(|(index, _)| index > snapshot_index);
        }
        if let Some((first, _)) = batch.entries.first() {
            self.entries.retain(|(index, _)| index < first);
            self.entries.extend(batch.entries.iter().cloned());
        }
    }
}

/// A storage cannot be read or written; the message names the file.
#[derive(Debug, thiserror::Error)]
#[error(transparent)]
pub struct StorageError(Box<dyn Error + Send + Sync>);

impl StorageError {
    /// From the storage's own error, or a message.
    pub fn new(source: impl Into<Box<dyn Error + Send + Sync>>) -> StorageError {
        StorageError(source.into())
    }
}

/// Stores a [`PersistedState`] across restarts of the process.
pub trait Storage: Send {
    /// Reads all.
    ///
    /// # Errors
    /// It cannot be read.
    fn read(&mut self) -> Result<PersistedState, StorageError>;

    /// Writes one step; returns when it is durable.
    ///
    /// # Errors
    /// It cannot be written; nothing of the step may be there then, or all of it.
    fn write(&mut self, batch: &WriteBatch) -> Result<(), StorageError>;
}

/// A storage in memory, for simulations, and for servers that are not voters and have no data directory.
#[derive(Clone, Debug, Default)]
pub struct MemoryStorage(pub PersistedState);

impl Storage for MemoryStorage {
    fn read(&mut self) -> Result<PersistedState, StorageError> {
        Ok(self.0.clone())
    }

    fn write(&mut self, batch: &WriteBatch) -> Result<(), StorageError> {
        self.0.apply(batch);
        Ok(())
    }
}
