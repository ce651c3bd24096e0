//! Why a message failed or was dead-lettered.

use std::fmt;

/// Why a message failed or was dead-lettered, as its `x-loomflow-reason` header states it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FailureReason(&'static str);

impl FailureReason {
    /// The message names no class.
    pub const NO_CLASS: FailureReason = FailureReason("no-class");
    /// The settings have no class of this name.
    pub const UNKNOWN_CLASS: FailureReason = FailureReason("unknown-class");
    /// The message names no tenant.
    pub const NO_TENANT: FailureReason = FailureReason("no-tenant");
    /// The settings have no tenant of this name.
    pub const UNKNOWN_TENANT: FailureReason = FailureReason("unknown-tenant");
    /// Its idempotency key is too long.
    pub const KEY_TOO_LONG: FailureReason = FailureReason("key-too-long");
    /// Its idempotency key belongs to a message with another body.
    pub const KEY_MISMATCH: FailureReason = FailureReason("key-of-another");
    /// Its body is too large.
    pub const TOO_LARGE: FailureReason = FailureReason("too-large");
    /// Its run failed; in the reply to its caller.
    pub const FAILED: FailureReason = FailureReason("failed");
    /// Its run failed, perhaps after it took effect; in the dead letter.
    pub const MAY_HAVE_RUN: FailureReason = FailureReason("may-have-run");
    /// It was served, and its result is no longer retained.
    pub const RESULT_DISCARDED: FailureReason = FailureReason("result-gone");
    /// It may have run elsewhere, or there may be a copy that does.
    pub const RUN_UNKNOWN: FailureReason = FailureReason("run-unknown");
    /// It failed before it was started.
    pub const NOT_RUN: FailureReason = FailureReason("not-run");
    /// It cannot be delivered again before its deadline.
    pub const OUT_OF_TIME: FailureReason = FailureReason("out-of-time");
    /// It was rejected as often as it may be.
    pub const RETRIES_EXHAUSTED: FailureReason = FailureReason("refused-too-often");
    /// The broker did not accept its reply.
    pub const REPLY_REJECTED: FailureReason = FailureReason("reply-refused");

    /// A reason with this text.
    pub const fn new(text: &'static str) -> FailureReason {
        FailureReason(text)
    }

    /// The text of the header.
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
