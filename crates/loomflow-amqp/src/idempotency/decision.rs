//! What the decision about a duplicate is based on, and its results.

use std::sync::Arc;

use super::CopyId;
use crate::remaining_steps::RemainingSteps;
use crate::settlement::FailureBeforeRun;

/// How the run of a key ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RunResult {
    /// The message was served with this reply.
    Served(Arc<[u8]>),
    /// The message was served, and its reply is no longer retained.
    ReplyDiscarded,
    /// The run failed, possibly after it took effect.
    Failed,
    /// The message may have run in another process.
    Unknown,
}

/// Distinguishes the messages of one key.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct MessageIdentity {
    /// Copy id of a republished message; `None` for an original.
    pub copy: Option<CopyId>,
    /// Distinguishes callers that use the same key.
    pub caller_digest: u64,
}

/// Properties of a message that [`IdempotencyRecords::decide`](super::IdempotencyRecords::decide) uses beside its key.
#[derive(Clone, Copy, Debug, Default)]
pub struct MessageInfo {
    /// Whether the message has an external effect and therefore must not run twice.
    pub has_effect: bool,
    /// Whether the broker marked the message as redelivered.
    pub redelivered: bool,
    /// Which of the messages of its key it is.
    pub identity: MessageIdentity,
    /// Digest of the body ([`IdempotencyRecords::digest`](super::IdempotencyRecords::digest)).
    pub body_digest: u64,
}

/// How a message is handled with regard to duplicates.
#[derive(Clone, Debug, PartialEq)]
pub enum DuplicateDecision {
    /// Run the message.
    Run,
    /// Wait until the first delivery of the key ends, and reply with the same result.
    AwaitOriginal,
    /// The key has run: reply from its record.
    ReplyFromRecord {
        /// Result of the run.
        result: RunResult,
        /// What earlier deliveries of the message did not complete.
        remaining: RemainingSteps,
    },
    /// An earlier delivery of the message failed before its run: fail in the same way.
    RepeatFailure {
        /// Failure of the earlier delivery.
        failure: FailureBeforeRun,
        /// What earlier deliveries of the message did not complete.
        remaining: RemainingSteps,
    },
    /// A copy of the message was published and confirmed: only settle the message.
    Superseded,
    /// The message may have run in another process: do not run it.
    MayHaveRun {
        /// What earlier deliveries of the message did not complete.
        remaining: RemainingSteps,
    },
    /// The key is in use by a message with a different body: neither run the message nor reply with the result of the
    /// other.
    BodyMismatch,
}

impl MessageInfo {
    /// Whether the message may have been delivered to this server before, so that its caller may already have the
    /// reply. A new message with the same key is a new request, which gets a reply again.
    pub(super) fn may_be_known(&self) -> bool {
        self.redelivered || self.identity.copy.is_some()
    }
}
