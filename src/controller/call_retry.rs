//! Timeout and retries of downstream calls, and when a call is skipped.
//!
//! Inputs: mean call time, batch interval, objective and latest response time of the request (all ms),
//! attempts so far. An idempotent call is abandoned while there is time for a retry. A failed call is
//! retried after a backoff if it cannot take effect twice (rule 2, no effect twice). Where the class allows
//! a response without the call, the call is skipped once it cannot get a permit in time.

use crate::estimate::SmoothedMean;
use crate::interface::{AttemptOutcome, Class};
use crate::time::Millis;

/// An idempotent call times out after this multiple of the mean call time, or after the time left to the
/// objective of its request divided by [`OBJECTIVE_TIME_DIVISOR`] if that is longer.
pub(super) const CALL_TIMEOUT_FACTOR: f64 = 4.0;
const OBJECTIVE_TIME_DIVISOR: f64 = 2.0;
const MAX_CALL_ATTEMPTS: u32 = 4;
/// The backoff after attempt n is 2^n mean call times, divided by this.
const BACKOFF_DIVISOR: f64 = 2.0;
/// The expected wait for a permit is multiplied by this, since the queue for permits grows in the meantime.
const PERMIT_WAIT_FACTOR: f64 = 4.0;

/// Times that determine the timeout, backoff and permit wait of a call.
#[derive(Clone, Copy)]
pub(super) struct CallTimes {
    /// Mean time of a call; without samples before the first call.
    pub(super) mean: SmoothedMean,
    pub(super) batch_interval: Millis,
}

impl CallTimes {
    /// When a call is abandoned. A call that must not run twice may take until `respond_by`, as may any call
    /// while no call time has been measured.
    pub(super) fn deadline(
        &self,
        now: Millis,
        is_idempotent: bool,
        objective_at: Millis,
        respond_by: Millis,
    ) -> Millis {
        if !is_idempotent || self.mean.samples == 0 {
            return respond_by;
        }
        let min_timeout = CALL_TIMEOUT_FACTOR * self.mean.value;
        let timeout = min_timeout.max((objective_at - now) / OBJECTIVE_TIME_DIVISOR);
        (now + timeout).min(respond_by).max(now + self.batch_interval)
    }

    /// When a call is retried after `attempts` attempts; `None` if no attempts are left or the time left is
    /// too short.
    pub(super) fn retry_at(&self, now: Millis, attempts: u32, respond_by: Millis) -> Option<Millis> {
        if attempts >= MAX_CALL_ATTEMPTS {
            return None;
        }
        let unit = self.mean.value.max(self.batch_interval);
        let backoff = unit * f64::from(1u32 << attempts) / BACKOFF_DIVISOR;
        let retry_at = now + backoff;
        let is_in_time = retry_at + self.mean.value < respond_by;
        is_in_time.then_some(retry_at)
    }

    /// How long the last of `waiting` runs needs to get one of `permits` permits and to make its call.
    pub(super) fn permit_wait(&self, waiting: usize, permits: f64) -> Millis {
        let rounds = (waiting as f64 / permits.max(1.0)).ceil();
        (PERMIT_WAIT_FACTOR * rounds + 1.0) * self.mean.value
    }
}

/// Whether a failed call may be retried: it never ran, or it is idempotent.
pub(super) fn may_run_again(outcome: AttemptOutcome, is_idempotent: bool) -> bool {
    let never_ran = matches!(
        outcome,
        AttemptOutcome::Rejected | AttemptOutcome::Unreachable | AttemptOutcome::NotStarted
    );
    is_idempotent || never_ran
}

/// Whether a call that ended with this outcome may still be running in the dependency.
pub(super) fn may_linger(outcome: AttemptOutcome) -> bool {
    matches!(outcome, AttemptOutcome::TimedOut | AttemptOutcome::ConnectionLost)
}

/// Whether runs of the class may continue without their call.
pub(super) fn may_skip_call(class: &Class) -> bool {
    class.degraded_weight > 0.0
}

#[cfg(test)]
mod tests;
