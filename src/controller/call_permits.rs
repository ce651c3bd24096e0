//! Call permits (rule 4, no overload): how many downstream calls may be in flight.
//!
//! Inputs: call quota (mean number of calls in flight) and its window (ms), linger of abandoned calls
//! (ms), call times (ms), survivable concurrency. Calls to a shared dependency hold one permit each, also
//! while an abandoned call lingers there. What the quota leaves beyond full permits accrues as credit, on
//! which one more permit is borrowed. Slow calls reduce the used part of the quota, since a dependency
//! slows down before its quota is used up. Calls to a tier are bounded by what may come back to the cores
//! at once.

use super::SMOOTHING_WEIGHT;
use super::aimd::AimdValue;
use super::call_retry::CALL_TIMEOUT_FACTOR;
use crate::estimate::SmoothedMean;
use crate::interface::{Downstream, Settings};
use crate::time::Millis;

/// Full permits, as a part of the call quota: at a mean of all of it the dependency is overloaded.
const FULL_PERMITS_PART: f64 = 0.85;
/// Of the quota beyond full permits, the part that accrues as credit over time; the rest is the size of
/// the credit.
const ACCRUING_PART: f64 = 0.5;
/// The credit covers at least this many lingering calls.
const MIN_CREDIT_LINGERS: f64 = 2.0;
/// Batches after which the end of a call is reported at the latest.
const REPORT_BATCHES: f64 = 2.0;
/// Successful calls before their mean counts for the best call time.
const MIN_CALL_SAMPLES: u32 = 20;
/// Calls that take more than this multiple of the best call time overload the dependency.
const SLOW_CALL_FACTOR: f64 = 3.0;
/// The part of the full permits in use while calls are slow is not reduced below this.
const MIN_PERMIT_PART: f64 = 0.4;
/// Each call that is not slow raises that part by this.
const PERMIT_PART_STEP: f64 = 0.2;
/// An abandoned call would have taken longer: it counts as this multiple of its duration.
const ABANDONED_CALL_FACTOR: f64 = 2.0;

/// The permits of downstream calls.
pub(super) struct CallPermits {
    downstream: Downstream,
    linger: Millis,
    batch_interval: Millis,
    in_flight: f64,
    /// When abandoned calls have left the dependency at the latest.
    lingering_until: Vec<Millis>,
    /// The part of the full permits in use: below 1 while calls are slow.
    permit_part: AimdValue,
    call_time: SmoothedMean,
    best_call_time: Millis,
    /// Permits that do not depend on the credit.
    full_permits: f64,
    credit: CallCredit,
}

/// Call time that one borrowed permit may use.
struct CallCredit {
    available: Millis,
    max: Millis,
    /// Credit that each millisecond adds.
    rate: f64,
    updated_at: Millis,
}

impl CallCredit {
    /// The credit that `extra` calls in flight, beyond the full permits, allow within the window of the
    /// quota.
    fn new(extra: f64, settings: &Settings, now: Millis) -> CallCredit {
        let window = settings.call_quota_window;
        let min_part = MIN_CREDIT_LINGERS * settings.call_linger / window.max(1.0);
        let max = (extra * (1.0 - ACCRUING_PART)).max(min_part).min(extra) * window;
        CallCredit { available: max, max, rate: extra - max / window.max(1.0), updated_at: now }
    }

    fn advance(&mut self, permit_part: f64, borrowed: f64, now: Millis) {
        let rate = self.rate * permit_part - borrowed;
        self.available = (self.available + rate * (now - self.updated_at)).min(self.max);
        self.updated_at = now;
    }
}

impl CallPermits {
    pub(super) fn new(settings: &Settings, period: Millis, now: Millis) -> CallPermits {
        let full_permits = (settings.call_quota * FULL_PERMITS_PART).floor();
        CallPermits {
            downstream: settings.downstream,
            linger: settings.call_linger,
            batch_interval: settings.batch_interval,
            in_flight: 0.0,
            lingering_until: Vec::new(),
            permit_part: AimdValue::new(1.0, period, now),
            call_time: SmoothedMean::default(),
            best_call_time: Millis::INFINITY,
            full_permits,
            credit: CallCredit::new(settings.call_quota - full_permits, settings, now),
        }
    }

    /// Accounts for the time since the last event.
    pub(super) fn advance(&mut self, now: Millis) {
        let borrowed = (self.occupied() - self.full_permits).max(0.0);
        self.credit.advance(self.permit_part.value(), borrowed, now);
        self.lingering_until.retain(|until| *until > now);
    }

    pub(super) fn in_flight(&self) -> f64 {
        self.in_flight
    }

    /// The usual time of a call.
    pub(super) fn call_time(&self) -> SmoothedMean {
        self.call_time
    }

    /// The permits of calls in flight and of abandoned calls that linger.
    pub(super) fn occupied(&self) -> f64 {
        self.in_flight + self.lingering_until.len() as f64
    }

    /// How many calls may be in flight at once.
    pub(super) fn permits(&self, survivable_concurrency: f64) -> f64 {
        match self.downstream {
            Downstream::None => 0.0,
            Downstream::Tier => survivable_concurrency,
            Downstream::Shared => self.quota_permits(),
        }
    }

    fn quota_permits(&self) -> f64 {
        let permits = (self.full_permits * self.permit_part.value()).ceil();
        if self.may_borrow() && permits >= self.full_permits { permits + 1.0 } else { permits }
    }

    /// Whether the credit covers a long call: one that is abandoned lingers, and costs more than one that
    /// finishes.
    fn may_borrow(&self) -> bool {
        let long_call = CALL_TIMEOUT_FACTOR * self.call_time.value + self.linger;
        let has_credit = self.credit.available >= long_call.min(self.credit.max);
        has_credit && self.max_borrow_time() >= self.batch_interval
    }

    /// How long a call on a borrowed permit may last: it may linger after that, and its end is reported
    /// late.
    fn max_borrow_time(&self) -> Millis {
        self.credit.available - self.linger - REPORT_BATCHES * self.batch_interval
    }

    /// The deadline of the next call: earlier if its permit is borrowed.
    pub(super) fn bounded_deadline(&self, deadline: Millis, now: Millis) -> Millis {
        let is_borrowed = self.downstream == Downstream::Shared && self.occupied() >= self.full_permits;
        if is_borrowed { deadline.min(now + self.max_borrow_time()) } else { deadline }
    }

    pub(super) fn start_call(&mut self) {
        self.in_flight += 1.0;
    }

    /// Gives up the permit of a call whose run was removed.
    pub(super) fn release(&mut self) {
        self.in_flight -= 1.0;
    }

    /// Ends a call, and adapts the part of the full permits in use to the call times so far.
    pub(super) fn end_call(&mut self, now: Millis) {
        self.in_flight -= 1.0;
        if self.call_time.value > SLOW_CALL_FACTOR * self.best_call_time {
            self.permit_part.decrease(now, MIN_PERMIT_PART);
        } else {
            self.permit_part.increase(PERMIT_PART_STEP);
            self.permit_part.cap(1.0);
        }
    }

    pub(super) fn record_success(&mut self, duration: Millis) {
        self.call_time.add(duration, SMOOTHING_WEIGHT);
        if self.call_time.samples > MIN_CALL_SAMPLES {
            self.best_call_time = self.best_call_time.min(self.call_time.value);
        }
    }

    /// Takes in a call that was abandoned. Where only short calls succeed, the mean would know of those
    /// alone.
    pub(super) fn record_abandoned(&mut self, duration: Millis, now: Millis) {
        self.occupy_until_lingered(now);
        if self.downstream == Downstream::Shared {
            self.call_time.add(ABANDONED_CALL_FACTOR * duration, SMOOTHING_WEIGHT);
        }
    }

    /// Lets an abandoned call occupy a permit for as long as it may stay in the dependency.
    pub(super) fn occupy_until_lingered(&mut self, now: Millis) {
        self.lingering_until.push(now + self.linger);
    }
}

#[cfg(test)]
mod tests;
