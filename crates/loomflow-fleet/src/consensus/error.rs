//! What can go wrong with the log.

use super::storage::StorageError;

/// A snapshot of the state machine cannot be read.
#[derive(Debug, thiserror::Error)]
#[error("the {part} cannot be read: {source}")]
pub struct SnapshotError {
    /// Which part of the state.
    pub part: &'static str,
    /// Why.
    pub source: postcard::Error,
}

/// Why nothing was proposed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ProposeError {
    /// Another voter leads, or none.
    #[error("this voter does not lead")]
    NotLeader,
    /// The leader hands over, or too much is not committed yet.
    #[error("the proposal was dropped")]
    Dropped,
}

/// Why a voter takes no part in the consensus, or cannot begin a fleet.
#[derive(Debug, thiserror::Error)]
pub enum ConsensusError {
    /// The data directory cannot be read or written.
    #[error(transparent)]
    Storage(#[from] StorageError),
    /// The data directory was replaced by another voter's.
    #[error("the folder is another voter's now")]
    OtherReplica,
    /// A fleet cannot be created by a voter that has one.
    #[error("this voter already belongs to a fleet")]
    AlreadyInFleet,
    /// A fleet cannot be recovered from a voter that never had one.
    #[error("this voter never belonged to a fleet: found one instead")]
    NeverInFleet,
    /// An entry, a message or a snapshot is not what the Raft library writes.
    #[error(transparent)]
    Protobuf(#[from] protobuf::ProtobufError),
    /// A snapshot's data cannot be read.
    #[error("snapshot: {0}")]
    SnapshotData(postcard::Error),
    /// A snapshot's state cannot be read.
    #[error(transparent)]
    SnapshotState(#[from] SnapshotError),
    /// The data directory does not contain a log.
    #[error("the log: {0}")]
    Log(raft::Error),
    /// The Raft library rejects it.
    #[error(transparent)]
    Raft(#[from] raft::Error),
    /// The log contains a change of configuration in a form that is no longer written.
    #[error("a change of an old form is in the log")]
    UnsupportedConfigurationChange,
}
