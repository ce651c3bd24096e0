//! Errors of the adapter. A message names the batch, the message within it, and the key.

use loomflow_settings::FieldError;
use thiserror::Error;

/// A batch that cannot be played.
#[derive(Debug, Error)]
pub enum BatchError {
    /// The line is not JSON.
    #[error("batch: not JSON: {0}")]
    NotJson(#[from] serde_json::Error),
    /// The line is not an object.
    #[error("batch: {0}")]
    NotAnObject(FieldError),
    /// The batch has no number.
    #[error(transparent)]
    Number(FieldError),
    /// The content of the batch has an error.
    #[error("batch {number}: {source}")]
    Content {
        /// Number of the batch.
        number: u64,
        /// The error.
        source: ContentError,
    },
}

/// An error in the content of a batch.
#[derive(Debug, Error)]
pub enum ContentError {
    /// A key of the batch is missing or invalid.
    #[error(transparent)]
    Batch(#[from] FieldError),
    /// A message is invalid.
    #[error("{name}: {source}")]
    Message {
        /// Name of the message.
        name: String,
        /// The error.
        source: MessageError,
    },
}

/// An error within a message.
#[derive(Debug, Error)]
pub enum MessageError {
    /// A key is missing or invalid.
    #[error(transparent)]
    Field(#[from] FieldError),
    /// The message is for an instance that does not exist.
    #[error("ServerId: instance {0} is unknown")]
    UnknownInstance(u64),
    /// The settings have no such class.
    #[error("Service: class {0} is unknown")]
    UnknownClass(u64),
    /// The outcome is unknown.
    #[error("Disposition: {0} is not known")]
    UnknownOutcome(u64),
}
