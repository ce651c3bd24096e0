//! Errors of a batch. A message contains the number of the batch, the name of the message in it and the key.

use loomflow_settings::FieldError;
use thiserror::Error;

/// A batch that cannot be handled.
#[derive(Debug, Error)]
pub enum BatchError {
    /// The line is not JSON.
    #[error("batch: not JSON: {0}")]
    NotJson(#[from] serde_json::Error),
    /// The line is JSON but not an object.
    #[error("batch: {0}")]
    NotAnObject(FieldError),
    /// The number of the batch is missing or invalid.
    #[error(transparent)]
    Number(FieldError),
    /// The batch has a number, but its content is invalid.
    #[error("batch {number}: {source}")]
    Content {
        /// Number of the batch.
        number: u64,
        /// What is wrong with the content.
        source: ContentError,
    },
}

/// An error in the content of a batch, apart from its number.
#[derive(Debug, Error)]
pub enum ContentError {
    /// A key of the batch is missing or invalid.
    #[error(transparent)]
    Batch(#[from] FieldError),
    /// A message is invalid.
    #[error("{name}: {source}")]
    Message {
        /// Name of the message on the wire.
        name: String,
        /// What is wrong with the message.
        source: MessageError,
    },
}

/// An error within a message.
#[derive(Debug, Error)]
pub enum MessageError {
    /// A key of the message is missing or invalid.
    #[error(transparent)]
    Field(#[from] FieldError),
    /// No instance with this number is running.
    #[error("ServerId: instance {0} is unknown")]
    UnknownInstance(u64),
    /// The settings of the instance have no class with this index.
    #[error("Service: class {0} is unknown")]
    UnknownClass(u64),
    /// No outcome of a call or a run has this code.
    #[error("Disposition: {0} is not known")]
    UnknownOutcome(u64),
}
