//! The controller's timers, and the poll of the gauges ahead of each.

use std::collections::BTreeSet;

use loomflow::time::{Micros, Millis, micros};

use crate::time::millis;

/// The gauges that a timer passes to the controller are polled this long before the timer fires.
const GAUGE_POLL_LEAD_MS: Millis = 8.0;

/// The timers that have not fired, and the next poll of the gauges.
pub(super) struct Timers {
    deadlines: BTreeSet<Micros>,
    /// When the gauges are polled next; infinite if no poll is scheduled.
    gauge_poll_at: Millis,
}

impl Timers {
    /// Starts without any timer or poll.
    pub(super) fn new() -> Timers {
        Timers { deadlines: BTreeSet::new(), gauge_poll_at: f64::INFINITY }
    }

    /// Sets a timer, and schedules a poll of the gauges [`GAUGE_POLL_LEAD_MS`] before it or immediately.
    pub(super) fn set(&mut self, at: Millis, now: Millis) {
        self.deadlines.insert(micros(at));
        self.gauge_poll_at = self.gauge_poll_at.min((at - GAUGE_POLL_LEAD_MS).max(now));
    }

    /// When the next timer or poll is due; infinite if there is none.
    pub(super) fn next_deadline(&self) -> Millis {
        let timer = self.deadlines.first().map_or(f64::INFINITY, |at| millis(*at));
        timer.min(self.gauge_poll_at)
    }

    /// Removes the poll of the gauges if it is due. Returns whether it was: one poll serves all timers set so far.
    pub(super) fn take_due_gauge_poll(&mut self, now: Millis) -> bool {
        let is_due = now >= self.gauge_poll_at;
        if is_due {
            self.gauge_poll_at = f64::INFINITY;
        }
        is_due
    }

    /// Removes the earliest timer if it is due. Returns whether it was.
    pub(super) fn take_due_timer(&mut self, now: Millis) -> bool {
        let is_due = self.deadlines.first().is_some_and(|at| *at <= micros(now));
        if is_due {
            self.deadlines.pop_first();
        }
        is_due
    }
}

#[cfg(test)]
mod tests;
