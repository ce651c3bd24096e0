//! The state that a voter persists, as plain bytes, and the interface of the storages that write it.

use std::error::Error;

use serde::{Deserialize, Serialize};

use crate::member::{Incarnation, Replica};

/// The contents of a data directory.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct PersistedState {
    /// Identity of the data directory.
    pub metadata: ReplicaMetadata,
    /// The Raft library's hard state (term, vote, commit), encoded.
    pub hard_state: Option<Vec<u8>>,
    /// The last snapshot, encoded; it contains the Raft configuration.
    pub snapshot: Option<Vec<u8>>,
    /// Log entries, each with its index, in ascending order.
    pub entries: Vec<(u64, Vec<u8>)>,
}

/// Identity of a data directory, kept apart from the log.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReplicaMetadata {
    /// The incarnation of the last process that used this data directory.
    pub incarnation: Incarnation,
    /// The replica that this directory holds.
    pub replica: Replica,
}

impl ReplicaMetadata {
    /// Encodes the metadata for a storage.
    pub fn encode(&self) -> Vec<u8> {
        postcard::to_stdvec(self).unwrap_or_default()
    }

    /// Decodes bytes of [`ReplicaMetadata::encode`]. Returns `None` if they are invalid.
    pub fn decode(bytes: &[u8]) -> Option<ReplicaMetadata> {
        postcard::from_bytes(bytes).ok()
    }
}

/// One atomic write. It must be durable before any message or output that depends on it is sent.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct WriteBatch {
    /// Replaces the metadata.
    pub metadata: Option<ReplicaMetadata>,
    /// Replaces the hard state.
    pub hard_state: Option<Vec<u8>>,
    /// Replaces the snapshot, given with its index, and removes the entries up to that index.
    pub snapshot: Option<(u64, Vec<u8>)>,
    /// Log entries to write, each with its index. They replace all entries from the first of these indices to
    /// the end of the log.
    pub entries: Vec<(u64, Vec<u8>)>,
    /// Removes all entries before the rest of the batch is applied: the log restarts after a snapshot.
    pub clears_log: bool,
}

impl WriteBatch {
    /// Whether the batch writes nothing.
    pub fn is_empty(&self) -> bool {
        *self == WriteBatch::default()
    }
}

impl PersistedState {
    /// Applies a batch. This is the reference implementation that storages are tested against.
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
    /// Wraps the storage's own error, or a message.
    pub fn new(source: impl Into<Box<dyn Error + Send + Sync>>) -> StorageError {
        StorageError(source.into())
    }
}

/// Stores a [`PersistedState`] across restarts of the process.
pub trait Storage: Send {
    /// Reads the persisted state.
    ///
    /// # Errors
    /// The storage cannot be read.
    fn read(&mut self) -> Result<PersistedState, StorageError>;

    /// Writes a batch, and returns when it is durable.
    ///
    /// # Errors
    /// The storage cannot be written. The batch is then stored completely or not at all.
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
