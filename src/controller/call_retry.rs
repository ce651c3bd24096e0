//! Timeout, retries and omission of downstream calls.
//!
//! Inputs: usual call time, interval between batches, objective and last response time of the request
//! (all ms), attempts so far. An idempotent call is abandoned while there is time for a retry. A call is
//! retried after a backoff if it cannot take effect twice (rule 2, no effect twice). A response without
//! its call, where the class allows one, is given as soon as a permit in time is out of reach.

use crate::estimate::SmoothedMean;
use crate::interface::{AttemptOutcome, Class};
use crate::time::Millis;

/// An idempotent call times out after this multiple of the usual call time, or after half the time to its
/// objective if that is longer.
pub(super) const CALL_TIMEOUT_FACTOR: f64 = 4.0;
const OBJECTIVE_TIME_DIVISOR: f64 = 2.0;
const MAX_CALL_ATTEMPTS: u32 = 4;
/// The backoff after the n-th attempt is 2^n usual call times, divided by this.
const BACKOFF_DIVISOR: f64 = 2.0;
/// A call is skipped unless its wait for a permit, multiplied by this, fits before the objective: the
/// queue for permits grows while it waits.
const PERMIT_WAIT_FACTOR: f64 = 4.0;

/// What the rules for a call depend on.
#[derive(Clone, Copy)]
pub(super) struct CallTimes {
    /// Usual time of a call.
    pub(super) usual: SmoothedMean,
    pub(super) batch_interval: Millis,
}

impl CallTimes {
    /// When a call is abandoned. One that may not run twice has all the time until `respond_by`.
    pub(super) fn deadline(
        &self,
        now: Millis,
        is_idempotent: bool,
        objective_at: Millis,
        respond_by: Millis,
    ) -> Millis {
        if !is_idempotent || self.usual.samples == 0 {
            return respond_by;
        }
        let usual = CALL_TIMEOUT_FACTOR * self.usual.value;
        let timeout = usual.max((objective_at - now) / OBJECTIVE_TIME_DIVISOR);
        (now + timeout).min(respond_by).max(now + self.batch_interval)
    }

    /// When a call is made again after `attempts`; none if there is no attempt or no time left.
    pub(super) fn retry_at(&self, now: Millis, attempts: u32, respond_by: Millis) -> Option<Millis> {
        if attempts >= MAX_CALL_ATTEMPTS {
            return None;
        }
        let usual = self.usual.value.max(self.batch_interval);
        let backoff = usual * f64::from(1u32 << attempts) / BACKOFF_DIVISOR;
        let retry_at = now + backoff;
        let is_in_time = retry_at + self.usual.value < respond_by;
        is_in_time.then_some(retry_at)
    }

    /// How long the last of `waiting` runs waits for one of `permits`, and for its call.
    pub(super) fn permit_wait(&self, waiting: usize, permits: f64) -> Millis {
        let rounds = (waiting as f64 / permits.max(1.0)).ceil();
        (PERMIT_WAIT_FACTOR * rounds + 1.0) * self.usual.value
    }
}

/// Whether a call that failed may be made again: it never ran, or may run twice.
pub(super) fn may_run_again(outcome: AttemptOutcome, is_idempotent: bool) -> bool {
    let never_ran = matches!(
        outcome,
        AttemptOutcome::Rejected | AttemptOutcome::Unreachable | AttemptOutcome::NotStarted
    );
    is_idempotent || never_ran
}

/// Whether a call that ended so may still run in the dependency.
pub(super) fn may_linger(outcome: AttemptOutcome) -> bool {
    matches!(outcome, AttemptOutcome::TimedOut | AttemptOutcome::ConnectionLost)
}

/// Whether a run may go on without its call.
pub(super) fn may_be_omitted(class: &Class) -> bool {
    class.degraded_weight > 0.0
}

#[cfg(test)]
mod tests;
