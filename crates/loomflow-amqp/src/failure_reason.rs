//! Reasons for failing or dead-lettering a message, as written to the `x-loomflow-reason` header.

use std::fmt;

/// Value of the `x-loomflow-reason` header of a failure reply or a dead letter.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FailureReason(&'static str);

impl FailureReason {
    /// The message does not state a class.
    pub const NO_CLASS: FailureReason = FailureReason("no-class");
    /// The settings do not define the class that the message states.
    pub const UNKNOWN_CLASS: FailureReason = FailureReason("unknown-class");
    /// The message does not state a tenant.
    pub const NO_TENANT: FailureReason = FailureReason("no-tenant");
    /// The settings do not define the tenant that the message states.
    pub const UNKNOWN_TENANT: FailureReason = FailureReason("unknown-tenant");
    /// The idempotency key exceeds the maximum length (512 bytes).
    pub const KEY_TOO_LONG: FailureReason = FailureReason("key-too-long");
    /// The idempotency key is already in use by a message with a different body.
    pub const KEY_MISMATCH: FailureReason = FailureReason("key-of-another");
    /// The body exceeds [`Settings::max_body_bytes`](crate::Settings::max_body_bytes).
    pub const TOO_LARGE: FailureReason = FailureReason("too-large");
    /// The run failed. Used in the reply to the caller.
    pub const FAILED: FailureReason = FailureReason("failed");
    /// The run failed, possibly after it took effect. Used in the dead letter.
    pub const MAY_HAVE_RUN: FailureReason = FailureReason("may-have-run");
    /// The message was served before, and its result is no longer retained.
    pub const RESULT_DISCARDED: FailureReason = FailureReason("result-gone");
    /// The message may have run in another process, or a copy of it may still run.
    pub const RUN_UNKNOWN: FailureReason = FailureReason("run-unknown");
    /// The message failed before its run was started.
    pub const NOT_RUN: FailureReason = FailureReason("not-run");
    /// A retry would be delivered after the deadline of the message.
    pub const OUT_OF_TIME: FailureReason = FailureReason("out-of-time");
    /// The message was rejected more than [`Settings::max_retries`](crate::Settings::max_retries) times.
    pub const RETRIES_EXHAUSTED: FailureReason = FailureReason("refused-too-often");
    /// The broker did not accept the reply to the message.
    pub const REPLY_REJECTED: FailureReason = FailureReason("reply-refused");
    /// The reply to the message matches no queue.
    pub const REPLY_UNROUTABLE: FailureReason = FailureReason("reply-unroutable");

    /// Creates a reason with this header value.
    pub const fn new(text: &'static str) -> FailureReason {
        FailureReason(text)
    }

    /// The header value.
    pub fn as_str(self) -> &'static str {
        self.0
    }
}

impl fmt::Display for FailureReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.0)
    }
}

#[cfg(test)]
mod tests;
