//! The controller's timers, and when the gauges for them are polled.

use std::collections::BTreeSet;

use loomflow::time::{Micros, Millis, micros};

use crate::time::millis;

/// How long before a timer the gauges are polled that it passes on.
const GAUGE_POLL_LEAD_MS: Millis = 8.0;

/// The timers that have not fired.
pub(super) struct Timers {
    due: BTreeSet<Micros>,
    gauge_poll_at: Millis,
}

impl Timers {
    /// No timer.
    pub(super) fn new() -> Timers {
        Timers { due: BTreeSet::new(), gauge_poll_at: f64::INFINITY }
    }

    /// Sets a timer, and the poll of the gauges before it.
    pub(super) fn set(&mut self, at: Millis, now: Millis) {
        self.due.insert(micros(at));
        self.gauge_poll_at = self.gauge_poll_at.min((at - GAUGE_POLL_LEAD_MS).max(now));
    }

    /// When the next timer or poll is due.
    pub(super) fn next_deadline(&self) -> Millis {
        let timer = self.due.first().map_or(f64::INFINITY, |at| millis(*at));
        timer.min(self.gauge_poll_at)
    }

    /// Whether the gauges are to be polled now, once for all timers that are set.
    pub(super) fn take_gauge_poll(&mut self, now: Millis) -> bool {
        let is_due = now >= self.gauge_poll_at;
        if is_due {
            self.gauge_poll_at = f64::INFINITY;
        }
        is_due
    }

    /// Removes a timer that is due. Returns false where there is none.
    pub(super) fn take_due(&mut self, now: Millis) -> bool {
        let is_due = self.due.first().is_some_and(|at| *at <= micros(now));
        if is_due {
            self.due.pop_first();
        }
        is_due
    }
}

#[cfg(test)]
mod tests;
