//! Timeout, retries and omission of downstream calls.
//!
//! Inputs: usual call time, interval between batches, objective and last response time of the request (all
//! ms), attempts so far. An idempotent call is abandoned while there is time for a retry. A call is retried
//! after a backoff if it cannot take effect twice (rule 2). A response without its call, where the class
//! allows one, is given as soon as a permit in time is out of reach.

#[cfg(test)]
mod tests;

use crate::estimate::Mean;
use crate::interface::{Class, Outcome};
use crate::time::Millis;

/// An idempotent call times out after this multiple of the usual call time, or half the time left if that is
/// longer.
pub(super) const CALL_TIMEOUT_FACTOR: f64 = 4.0;
const TIME_LEFT_DIVISOR: f64 = 2.0;
const MAX_CALL_ATTEMPTS: u32 = 4;
/// The backoff is half the usual call time, doubled for each attempt, at most so many times.
const MAX_BACKOFF_DOUBLINGS: u32 = 5;
const BACKOFF_DIVISOR: f64 = 2.0;
/// A call is omitted where so many times its wait for a permit would not fit: the queue for permits goes on
/// growing.
const PERMIT_WAIT_FACTOR: f64 = 4.0;

/// What the rules for a call depend on.
#[derive(Clone, Copy)]
pub(super) struct CallTimes {
    /// Usual time of a call.
    pub(super) usual: Mean,
    pub(super) batch_interval: Millis,
}

impl CallTimes {
    /// When a call is abandoned. One that may not run twice has all the time until `last_response`.
    pub(super) fn deadline(
        &self,
        now: Millis,
        is_idempotent: bool,
        objective_at: Millis,
        last_response: Millis,
    ) -> Millis {
        if !is_idempotent || self.usual.samples == 0 {
            return last_response;
        }
        let usual = CALL_TIMEOUT_FACTOR * self.usual.value;
        let timeout = usual.max((objective_at - now) / TIME_LEFT_DIVISOR);
        (now + timeout).min(last_response).max(now + self.batch_interval)
    }

    /// When a call is made again after `attempts`; none if there is no attempt or no time left.
    pub(super) fn retry_at(&self, now: Millis, attempts: u32, last_response: Millis) -> Option<Millis> {
        let usual = self.usual.value.max(self.batch_interval);
        let doublings = attempts.min(MAX_BACKOFF_DOUBLINGS);
        let backoff = usual * f64::from(1u32 << doublings) / BACKOFF_DIVISOR;
        let retry_at = now + backoff;
        let is_in_time = retry_at + self.usual.value < last_response;
        (is_in_time && attempts < MAX_CALL_ATTEMPTS).then_some(retry_at)
    }

    /// How long the last of `waiting` runs waits for one of `permits`, and for its call.
    pub(super) fn permit_wait(&self, waiting: usize, permits: f64) -> Millis {
        let rounds = (waiting as f64 / permits.max(1.0)).ceil();
        (PERMIT_WAIT_FACTOR * rounds + 1.0) * self.usual.value
    }
}

/// Whether a call that failed may be made again: it never ran, or may run twice.
pub(super) fn may_run_again(outcome: Outcome, is_idempotent: bool) -> bool {
    let never_ran = matches!(outcome, Outcome::Rejected | Outcome::Unreachable | Outcome::NotStarted);
    is_idempotent || never_ran
}

/// Whether a call that ended so may still run in the dependency.
pub(super) fn may_linger(outcome: Outcome) -> bool {
    matches!(outcome, Outcome::TimedOut | Outcome::ConnectionLost)
}

/// Whether a run may go on without its call.
pub(super) fn may_be_omitted(class: &Class) -> bool {
    class.degraded_weight > 0.0
}
