//! Errors of the replicated log.

use super::storage::StorageError;

/// A snapshot of the state machine cannot be decoded.
#[derive(Debug, thiserror::Error)]
#[error("the part {part:?} of a snapshot cannot be decoded: {source}")]
pub struct SnapshotError {
    /// The part of the state that cannot be decoded.
    pub part: &'static str,
    /// The decoding error.
    pub source: postcard::Error,
}

/// Why an entry was not proposed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ProposeError {
    /// Another voter leads, or there is no leader.
    #[error("this voter does not lead")]
    NotLeader,
    /// The leader is transferring its leadership, or too many bytes are uncommitted.
    #[error(
        "the leader dropped the proposal: it is transferring its leadership or has too many uncommitted bytes"
    )]
    Dropped,
}

/// Why a voter does not participate in the consensus, or cannot create or recover a fleet.
#[derive(Debug, thiserror::Error)]
pub enum ConsensusError {
    /// The data directory cannot be read or written.
    #[error(transparent)]
    Storage(#[from] StorageError),
    /// The data directory now holds another replica than the one this process started with.
    #[error("the data directory now belongs to another voter")]
    OtherReplica,
    /// A voter that belongs to a fleet cannot create another one.
    #[error("this voter already belongs to a fleet")]
    AlreadyInFleet,
    /// Recovery needs the data directory of a voter that belonged to a fleet.
    #[error("this voter never belonged to a fleet and cannot recover one: create a fleet instead")]
    NeverInFleet,
    /// An entry, a message or a snapshot is not valid protobuf of the Raft library.
    #[error(transparent)]
    Protobuf(#[from] protobuf::ProtobufError),
    /// The payload of a snapshot cannot be decoded.
    #[error("the payload of a snapshot cannot be decoded: {0}")]
    SnapshotData(postcard::Error),
    /// The state machine in a snapshot cannot be decoded.
    #[error(transparent)]
    SnapshotState(#[from] SnapshotError),
    /// The snapshot and entries of the data directory do not form a valid log.
    #[error("the snapshot and entries in the data directory do not form a valid log: {0}")]
    Log(raft::Error),
    /// The Raft library rejects an operation.
    #[error(transparent)]
    Raft(#[from] raft::Error),
    /// The log contains a configuration change of the old form `ConfChange`; only `ConfChangeV2` is
    /// supported.
    #[error("the log contains a configuration change of the unsupported form ConfChange")]
    UnsupportedConfigurationChange,
}
