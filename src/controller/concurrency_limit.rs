//! Concurrency limit (rule 4, no overload): how many requests run at once, by additive increase and
//! multiplicative decrease.
//!
//! Inputs: finished runs and whether they are late (longer on the cores than their latency objective), core
//! utilization (0 to 1), runnable requests, read delay, speed (0 to 1). The limit rises by one for each run
//! that finishes while cores are idle and requests are queued; it falls when runs finish late on busy cores,
//! or when reading is late. Its upper bound is the survivable concurrency: the runnable requests with which
//! the server does not fail yet.

use super::aimd::AimdValue;
use crate::interface::{Gauges, Settings};
use crate::time::Millis;

/// Increase of the limit for a finished run.
const LIMIT_INCREASE: f64 = 1.0;
/// From this utilization on, the cores count as having no spare capacity.
const HIGH_UTILIZATION: f64 = 0.75;
/// Fraction of the survivable concurrency (the number of runnable requests at which the server does not fail
/// yet) that runs use; the rest is reserved for reading and for unforeseen load.
const CONCURRENCY_USED_FRACTION: f64 = 0.7;
/// While reading is late the limit may fall to the number of cores divided by this: requests that have not
/// been read cannot be rejected, so reading comes first.
const LATE_READ_CORES_DIVISOR: f64 = 3.0;

/// The limit on concurrent runs.
pub(super) struct ConcurrencyLimit {
    limit: AimdValue,
    cores: f64,
    /// Number of runnable requests per core at which a server at full speed does not fail yet.
    core_concurrency: f64,
}

impl ConcurrencyLimit {
    /// Creates a limit that starts at the number of cores.
    pub(super) fn new(settings: &Settings, period: Millis, now: Millis) -> ConcurrencyLimit {
        ConcurrencyLimit {
            limit: AimdValue::new(settings.cores, period, now),
            cores: settings.cores,
            core_concurrency: settings.core_concurrency,
        }
    }

    /// Adapts the limit to a finished run. It never rises where `runnable` is not measured.
    pub(super) fn run_finished(&mut self, now: Millis, is_late: bool, has_queue: bool, gauges: &Gauges) {
        let is_busy = gauges.core_utilization.is_some_and(|utilization| utilization >= HIGH_UTILIZATION);
        let has_idle_cores = gauges.runnable.is_some_and(|runnable| runnable < self.cores);
        if is_busy && is_late {
            self.limit.decrease(now, self.cores);
        } else if has_queue && !is_busy && has_idle_cores {
            self.limit.increase(LIMIT_INCREASE);
        }
    }

    /// Decreases the limit because reading is late; it may fall below the number of cores.
    pub(super) fn decrease_for_late_reading(&mut self, now: Millis) {
        self.limit.decrease(now, self.cores / LATE_READ_CORES_DIVISOR);
    }

    /// Caps the limit at the part of the survivable concurrency that runs may use, for a server at full
    /// speed.
    pub(super) fn cap(&mut self) {
        let max = self.cores * self.core_concurrency * CONCURRENCY_USED_FRACTION;
        self.limit.cap(max);
    }

    /// The limit in effect: at least the number of cores, unless reading is late.
    pub(super) fn effective(&self, is_reading_late: bool) -> f64 {
        if is_reading_late { self.limit.value() } else { self.limit.value().max(self.cores) }
    }

    /// How long the queued work takes if as many runs as the limit allows share it.
    pub(super) fn queue_wait(&self, queued_work: Millis) -> Millis {
        queued_work / self.limit.value()
    }

    /// The number of runnable requests that a server at `speed` (0 to 1) survives, less the reserve.
    pub(super) fn survivable(&self, speed: f64) -> f64 {
        let per_core = 1.0 + (self.core_concurrency - 1.0) * speed;
        self.cores * per_core * CONCURRENCY_USED_FRACTION
    }

    /// Whether one more run fits into the survivable concurrency. Runs that are off the cores for a call
    /// count, since all of them may return at once. The first run may use the reserve.
    pub(super) fn allows_one_more(&self, running: f64, off_cores: f64, speed: f64) -> bool {
        let max = self.survivable(speed);
        let max = if running < 1.0 { max / CONCURRENCY_USED_FRACTION } else { max };
        running + off_cores + 1.0 <= max.max(1.0)
    }
}

#[cfg(test)]
mod tests;
