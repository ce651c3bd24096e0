//! Call permits (rule 4, no overload): how many downstream calls may be in flight.
//!
//! Inputs: call quota (mean number of calls in flight) and its window (ms), how long abandoned calls linger
//! (ms), call times (ms), survivable concurrency. Each call to a shared dependency holds one permit, and
//! keeps it while it lingers there after it was abandoned. The quota beyond the full permits accrues as
//! credit, which allows one more permit to be borrowed. Slow calls reduce the usable fraction of the full
//! permits, since a dependency slows down before its quota is used up. Calls to a tier are bounded by the
//! survivable concurrency, since all of their runs may return to the cores at once.

use super::SMOOTHING_WEIGHT;
use super::aimd::AimdValue;
use super::call_retry::CALL_TIMEOUT_FACTOR;
use crate::estimate::SmoothedMean;
use crate::interface::{Downstream, Settings};
use crate::time::Millis;

/// Full permits as a fraction of the call quota: calls that use the whole quota on average overload the
/// dependency.
const FULL_PERMITS_FRACTION: f64 = 0.85;
/// Fraction of the quota beyond the full permits that accrues as credit over time; the rest determines the
/// maximum of the credit.
const ACCRUING_FRACTION: f64 = 0.5;
/// The maximum of the credit covers at least this many times the linger of an abandoned call.
const MIN_CREDIT_LINGERS: f64 = 2.0;
/// Number of batches within which the end of a call is reported to the controller.
const REPORT_BATCHES: f64 = 2.0;
/// The mean call time counts toward the best call time after more than this many samples.
const MIN_CALL_SAMPLES: u32 = 20;
/// Calls are slow, and the dependency overloaded, if their mean time exceeds this multiple of the best.
const SLOW_CALL_FACTOR: f64 = 3.0;
/// Lower bound of the usable fraction of the full permits while calls are slow.
const MIN_PERMIT_FRACTION: f64 = 0.4;
/// Increase of the usable fraction for each call that ends while calls are not slow.
const PERMIT_FRACTION_STEP: f64 = 0.2;
/// An abandoned call would have taken longer, so it counts as this multiple of its duration.
const ABANDONED_CALL_FACTOR: f64 = 2.0;

/// The permits of all downstream calls of this server.
pub(super) struct CallPermits {
    downstream: Downstream,
    linger: Millis,
    batch_interval: Millis,
    in_flight: f64,
    /// For each abandoned call, the time by which it has left the dependency at the latest.
    lingering_until: Vec<Millis>,
    /// Usable fraction of the full permits; below 1 while calls are slow.
    permit_fraction: AimdValue,
    call_time: SmoothedMean,
    best_call_time: Millis,
    /// Permits that are available without credit.
    full_permits: f64,
    credit: CallCredit,
}

/// Call time for which one permit beyond the full ones may be borrowed.
struct CallCredit {
    available: Millis,
    max: Millis,
    /// Credit that accrues per millisecond, in ms of call time.
    rate: f64,
    updated_at: Millis,
}

impl CallCredit {
    /// The credit for a mean of `extra` calls in flight beyond the full permits, within the window of the
    /// quota.
    fn new(extra: f64, settings: &Settings, now: Millis) -> CallCredit {
        let window = settings.call_quota_window;
        let min_extra = MIN_CREDIT_LINGERS * settings.call_linger / window.max(1.0);
        let max = (extra * (1.0 - ACCRUING_FRACTION)).max(min_extra).min(extra) * window;
        CallCredit { available: max, max, rate: extra - max / window.max(1.0), updated_at: now }
    }

    fn advance(&mut self, permit_fraction: f64, borrowed: f64, now: Millis) {
        let rate = self.rate * permit_fraction - borrowed;
        self.available = (self.available + rate * (now - self.updated_at)).min(self.max);
        self.updated_at = now;
    }
}

impl CallPermits {
    pub(super) fn new(settings: &Settings, period: Millis, now: Millis) -> CallPermits {
        let full_permits = (settings.call_quota * FULL_PERMITS_FRACTION).floor();
        CallPermits {
            downstream: settings.downstream,
            linger: settings.call_linger,
            batch_interval: settings.batch_interval,
            in_flight: 0.0,
            lingering_until: Vec::new(),
            permit_fraction: AimdValue::new(1.0, period, now),
            call_time: SmoothedMean::default(),
            best_call_time: Millis::INFINITY,
            full_permits,
            credit: CallCredit::new(settings.call_quota - full_permits, settings, now),
        }
    }

    /// Updates the credit for the time since the last update, and drops calls that no longer linger.
    pub(super) fn advance(&mut self, now: Millis) {
        let borrowed = (self.occupied() - self.full_permits).max(0.0);
        self.credit.advance(self.permit_fraction.value(), borrowed, now);
        self.lingering_until.retain(|until| *until > now);
    }

    pub(super) fn in_flight(&self) -> f64 {
        self.in_flight
    }

    /// Smoothed mean time of a call.
    pub(super) fn call_time(&self) -> SmoothedMean {
        self.call_time
    }

    /// Number of permits held by calls in flight and by abandoned calls that linger.
    pub(super) fn occupied(&self) -> f64 {
        self.in_flight + self.lingering_until.len() as f64
    }

    /// How many permits may be occupied at once. Calls to a shared dependency are bounded by the call quota,
    /// calls to a tier by `survivable_concurrency`, since they may all return to the cores at once.
    pub(super) fn permits(&self, survivable_concurrency: f64) -> f64 {
        match self.downstream {
            Downstream::None => 0.0,
            Downstream::Tier => survivable_concurrency,
            Downstream::Shared => self.quota_permits(),
        }
    }

    fn quota_permits(&self) -> f64 {
        let permits = (self.full_permits * self.permit_fraction.value()).ceil();
        if self.may_borrow() && permits >= self.full_permits { permits + 1.0 } else { permits }
    }

    /// Whether the credit covers a borrowed permit. It must cover a call that times out and then lingers,
    /// which costs more than one that finishes, and must leave the call at least one batch.
    fn may_borrow(&self) -> bool {
        let long_call = CALL_TIMEOUT_FACTOR * self.call_time.value + self.linger;
        let has_credit = self.credit.available >= long_call.min(self.credit.max);
        has_credit && self.max_borrow_time() >= self.batch_interval
    }

    /// How long a call on a borrowed permit may take. The credit must also cover its linger and the delay
    /// until its end is reported.
    fn max_borrow_time(&self) -> Millis {
        self.credit.available - self.linger - REPORT_BATCHES * self.batch_interval
    }

    /// The deadline of the next call: `deadline`, or an earlier time if its permit is borrowed.
    pub(super) fn bounded_deadline(&self, deadline: Millis, now: Millis) -> Millis {
        let is_borrowed = self.downstream == Downstream::Shared && self.occupied() >= self.full_permits;
        if is_borrowed { deadline.min(now + self.max_borrow_time()) } else { deadline }
    }

    pub(super) fn start_call(&mut self) {
        self.in_flight += 1.0;
    }

    /// Releases the permit of a call whose run was removed.
    pub(super) fn release(&mut self) {
        self.in_flight -= 1.0;
    }

    /// Releases the permit of a call that ended, and adapts the usable fraction of the full permits to the
    /// call times so far.
    pub(super) fn end_call(&mut self, now: Millis) {
        self.in_flight -= 1.0;
        if self.call_time.value > SLOW_CALL_FACTOR * self.best_call_time {
            self.permit_fraction.decrease(now, MIN_PERMIT_FRACTION);
        } else {
            self.permit_fraction.increase(PERMIT_FRACTION_STEP);
            self.permit_fraction.cap(1.0);
        }
    }

    pub(super) fn record_success(&mut self, duration: Millis) {
        self.call_time.add(duration, SMOOTHING_WEIGHT);
        if self.call_time.samples > MIN_CALL_SAMPLES {
            self.best_call_time = self.best_call_time.min(self.call_time.value);
        }
    }

    /// Records a call that was abandoned. For a shared dependency it counts toward the mean call time, which
    /// would otherwise be biased toward short calls while long ones are abandoned.
    pub(super) fn record_abandoned(&mut self, duration: Millis, now: Millis) {
        self.hold_permit_while_lingering(now);
        if self.downstream == Downstream::Shared {
            self.call_time.add(ABANDONED_CALL_FACTOR * duration, SMOOTHING_WEIGHT);
        }
    }

    /// Occupies a permit for as long as an abandoned call may stay in the dependency.
    pub(super) fn hold_permit_while_lingering(&mut self, now: Millis) {
        self.lingering_until.push(now + self.linger);
    }
}

#[cfg(test)]
mod tests;
