//! State of a delivered message until it is settled.

use amq_protocol::protocol::basic::AMQPProperties;

use crate::Millis;
use crate::idempotency::{CopyId, IdempotencyKey, MessageIdentity};
use crate::message::{self, Classification};
use crate::remaining_steps::RemainingSteps;
use crate::settlement::PendingSettlement;

/// A message that the broker delivered and that is not settled.
pub(super) struct Delivery {
    /// Index into [`Settings::queues`](crate::Settings::queues).
    pub(super) queue: usize,
    /// Index of its consumer in the pool of the queue.
    pub(super) consumer: usize,
    /// Delivery tag on the channel of its consumer.
    pub(super) tag: u64,
    pub(super) properties: AMQPProperties,
    pub(super) body: Vec<u8>,
    /// Whether the broker marked the message as redelivered.
    pub(super) redelivered: bool,
    pub(super) classification: Option<Classification>,
    pub(super) key: Option<IdempotencyKey>,
    /// When the message was sent, at most the time of its delivery; `None` if unknown.
    pub(super) sent_at: Option<Millis>,
    pub(super) received_at: Millis,
    /// When its run may have started; `None` if it has not.
    pub(super) run_started_at: Option<Millis>,
    /// What earlier deliveries of the message did not complete.
    pub(super) remaining: RemainingSteps,
    pub(super) phase: Phase,
}

/// Processing state of a delivery.
pub(super) enum Phase {
    /// The message was submitted and may be running.
    Submitted,
    /// The message waits for the first delivery of its key to end.
    AwaitingOriginal,
    /// The outcome of the message is known, and its settlement is in progress.
    Settling(Box<PendingSettlement>),
}

impl Delivery {
    /// Whether the message was submitted and has no response yet.
    pub(super) fn is_submitted(&self) -> bool {
        matches!(self.phase, Phase::Submitted)
    }

    /// Copy id of a republished message; `None` for an original.
    pub(super) fn copy(&self) -> Option<CopyId> {
        message::publish_id(&self.properties)
    }

    /// Which of the messages of its key the delivery has.
    pub(super) fn identity(&self) -> MessageIdentity {
        MessageIdentity { copy: self.copy(), caller_digest: message::caller_digest(&self.properties) }
    }
}
