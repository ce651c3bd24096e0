//! A message that the broker has delivered and that is not settled.

use amq_protocol::protocol::basic::AMQPProperties;

use crate::Millis;
use crate::idempotency::{CopyId, IdempotencyKey};
use crate::message::{self, Classification};
use crate::settlement::Settling;

/// A delivery.
pub(super) struct Delivery {
    /// Index of its queue in the settings.
    pub(super) queue: usize,
    /// Index of its consumer in the queue's pool.
    pub(super) consumer: usize,
    /// The broker's delivery tag.
    pub(super) tag: u64,
    pub(super) properties: AMQPProperties,
    pub(super) body: Vec<u8>,
    /// The broker delivered it before.
    pub(super) redelivered: bool,
    pub(super) classification: Option<Classification>,
    pub(super) key: Option<IdempotencyKey>,
    /// When it was sent, if that is known.
    pub(super) sent_at: Option<Millis>,
    pub(super) received_at: Millis,
    /// When its run may have started.
    pub(super) run_started_at: Option<Millis>,
    pub(super) phase: Phase,
}

/// How far a delivery has come.
pub(super) enum Phase {
    /// Submitted, and perhaps running.
    Submitted,
    /// Waits for its original.
    AwaitingOriginal,
    /// It has ended.
    Settling(Settling),
}

impl Delivery {
    /// Whether it was submitted and has no response.
    pub(super) fn is_submitted(&self) -> bool {
        matches!(self.phase, Phase::Submitted)
    }

    /// Which copy it is, where it was republished from here.
    pub(super) fn copy(&self) -> Option<CopyId> {
        message::publish_id(&self.properties)
    }
}
