//! Concurrency limit (rule 4, no overload): how many requests run at once, by additive increase and
//! multiplicative decrease.
//!
//! Inputs: finished runs that are late (past their objective on the cores), core utilization (0 to 1),
//! runnable requests, read delay, speed (0 to 1). The limit rises by one for each finished run while
//! cores are idle and requests are queued; it falls when runs end late on busy cores, or when reading is
//! late. The survivable concurrency is its upper bound.

use super::aimd::AimdValue;
use crate::interface::{Gauges, Settings};
use crate::time::Millis;

/// The limit rises by this for each finished run.
const LIMIT_INCREASE: f64 = 1.0;
/// Cores that are busier have no capacity left.
const HIGH_UTILIZATION: f64 = 0.75;
/// Part of the survivable concurrency that is used; the rest is for reading and for what was not
/// foreseen.
const CONCURRENCY_USED_PART: f64 = 0.7;
/// While reading is late the limit falls to the cores divided by this: what is unread cannot be rejected.
const LATE_READ_CORES_DIVISOR: f64 = 3.0;

/// The limit on concurrent runs.
pub(super) struct ConcurrencyLimit {
    limit: AimdValue,
    cores: f64,
    /// Runnable requests for each core that a warm server survives.
    core_concurrency: f64,
}

impl ConcurrencyLimit {
    /// A limit that starts at the number of cores.
    pub(super) fn new(settings: &Settings, period: Millis, now: Millis) -> ConcurrencyLimit {
        ConcurrencyLimit {
            limit: AimdValue::new(settings.cores, period, now),
            cores: settings.cores,
            core_concurrency: settings.core_concurrency,
        }
    }

    /// Adapts the limit to a finished run. Where `runnable` is not measured it never rises.
    pub(super) fn run_finished(&mut self, now: Millis, is_late: bool, has_queue: bool, gauges: &Gauges) {
        let is_busy = gauges.core_utilization.is_some_and(|utilization| utilization >= HIGH_UTILIZATION);
        let has_idle_cores = gauges.runnable.is_some_and(|runnable| runnable < self.cores);
        if is_busy && is_late {
            self.limit.decrease(now, self.cores);
        } else if has_queue && !is_busy && has_idle_cores {
            self.limit.increase(LIMIT_INCREASE);
        }
    }

    /// Decreases the limit since reading is late.
    pub(super) fn decrease_for_late_reading(&mut self, now: Millis) {
        self.limit.decrease(now, self.cores / LATE_READ_CORES_DIVISOR);
    }

    /// Lowers the limit to the survivable concurrency of a warm server.
    pub(super) fn cap(&mut self) {
        let max = self.cores * self.core_concurrency * CONCURRENCY_USED_PART;
        self.limit.cap(max);
    }

    /// The limit in effect: at least the cores, unless reading is late.
    pub(super) fn effective(&self, is_reading_late: bool) -> f64 {
        if is_reading_late { self.limit.value() } else { self.limit.value().max(self.cores) }
    }

    /// How long the queued work takes at the present limit.
    pub(super) fn wait_for(&self, queued_work: Millis) -> Millis {
        queued_work / self.limit.value()
    }

    /// The runnable requests that a server of this speed survives.
    pub(super) fn survivable(&self, speed: f64) -> f64 {
        let for_each_core = 1.0 + (self.core_concurrency - 1.0) * speed;
        self.cores * for_each_core * CONCURRENCY_USED_PART
    }

    /// Whether one more run fits into the survivable concurrency. All runs that are off the cores for a
    /// call may come back at once. The first run may use the part that is otherwise left free.
    pub(super) fn survives_one_more(&self, running: f64, off_cores: f64, speed: f64) -> bool {
        let max = self.survivable(speed);
        let max = if running < 1.0 { max / CONCURRENCY_USED_PART } else { max };
        running + off_cores + 1.0 <= max.max(1.0)
    }
}

#[cfg(test)]
mod tests;
