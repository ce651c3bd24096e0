//! Idle timeout: how long connections may be idle.
//!
//! Inputs: arrivals with their caller, core utilization (0 to 1), overhead (part of the runnable requests
//! that is no run: reads, new connections, checks; 0 to 1), open connections. Three cases set the
//! timeout:
//! - Callers return soon: connections stay open for reuse; otherwise they are closed at once.
//! - The table may be full while cores are idle: idle connections are closed sooner, to admit newcomers.
//! - Rejections take most of busy cores: connections stay open longer. A full table keeps newcomers out
//!   without work, while each newcomer that is accepted costs a connection, a read and a rejection.

use std::collections::BTreeMap;

use super::{SMOOTHING_WEIGHT, TICK_MS};
use crate::estimate::SmoothedMean;
use crate::interface::{Gauges, Settings};
use crate::time::Millis;

/// Callers return soon if they do within this multiple of the shortest latency objective.
const REUSE_WINDOW_FACTOR: f64 = 4.0;
/// On busy cores connections stay open while this part of the requests is of callers that returned soon.
const MIN_REUSE_RATE: f64 = 0.5;
/// Fewer arrivals do not show whether callers return.
const MIN_ARRIVALS: u32 = 10;
/// The overhead counts as high above this.
const MAX_OVERHEAD_PART: f64 = 0.55;
/// With a high overhead connections stay open longer while the cores are busier than this.
const BUSY_UTILIZATION: f64 = 0.85;
/// Factors of the idle timeout at each sample.
const IDLE_TIMEOUT_INCREASE_FACTOR: f64 = 1.3;
const IDLE_TIMEOUT_DECREASE_FACTOR: f64 = 0.6;
/// A table that has more than this part of the most connections so far may be full.
const FULL_TABLE_PART: f64 = 0.9;
/// It is not full while this part of the callers has a connection: the others may never come.
const MAX_CONNECTED_CALLERS_PART: f64 = 0.25;

/// How long connections may be idle.
pub(super) struct IdleTimeout {
    timeout: Millis,
    max_timeout: Millis,
    caller_count: f64,
    reuse_window: Millis,
    started_at: Millis,
    /// When each caller last came, for those that came within the reuse window.
    last_arrival_at: BTreeMap<u64, Millis>,
    arrivals: f64,
    reuse_rate: SmoothedMean,
    reuse_evaluated_at: Millis,
    /// Callers return often.
    is_reused: bool,
    overhead: SmoothedMean,
    /// The overhead since the last sample.
    recent_overhead: SmoothedMean,
    /// The overhead was high, and the timeout has not fallen to its minimum since.
    is_overhead_high: bool,
    /// The most connections that were open at once.
    max_open: f64,
}

impl IdleTimeout {
    pub(super) fn new(shortest_objective: Millis, settings: &Settings, now: Millis) -> IdleTimeout {
        IdleTimeout {
            timeout: settings.idle_timeout,
            max_timeout: settings.idle_timeout,
            caller_count: settings.caller_count,
            reuse_window: shortest_objective * REUSE_WINDOW_FACTOR,
            started_at: now,
            last_arrival_at: BTreeMap::new(),
            arrivals: 0.0,
            reuse_rate: SmoothedMean::default(),
            reuse_evaluated_at: now,
            is_reused: true,
            overhead: SmoothedMean::default(),
            recent_overhead: SmoothedMean::default(),
            is_overhead_high: false,
            max_open: 0.0,
        }
    }

    pub(super) fn set_shortest_objective(&mut self, shortest_objective: Millis) {
        self.reuse_window = shortest_objective * REUSE_WINDOW_FACTOR;
    }

    /// Takes in how many of the runnable requests are runs.
    pub(super) fn record_overhead(&mut self, runnable: f64, running: f64, cores: f64) {
        let overhead = (runnable - running).max(0.0) / runnable.max(cores);
        // Without a minimum weight the mean is the arithmetic one.
        self.recent_overhead.add(overhead, 0.0);
    }

    pub(super) fn record_arrival(&mut self, caller: u64, now: Millis) {
        self.arrivals += 1.0;
        let reused = match self.last_arrival_at.insert(caller, now) {
            Some(last) if now - last < self.reuse_window => 1.0,
            None if self.is_new(now) => self.expected_reuse(now),
            _ => 0.0,
        };
        self.reuse_rate.add(reused, SMOOTHING_WEIGHT);
    }

    /// No reuse window has passed since the start.
    fn is_new(&self, now: Millis) -> bool {
        now - self.started_at < self.reuse_window
    }

    /// The probability that a new caller returns within the window: as often as all do at the present
    /// rate.
    fn expected_reuse(&self, now: Millis) -> f64 {
        let in_window = self.arrivals * self.reuse_window / (now - self.started_at).max(TICK_MS);
        (in_window / self.caller_count.max(1.0)).min(1.0)
    }

    /// The idle timeout from now on, where it changes.
    pub(super) fn sample(&mut self, now: Millis, gauges: &Gauges) -> Option<Millis> {
        let utilization = gauges.core_utilization.unwrap_or(1.0);
        let open = gauges.connections.unwrap_or(0.0);
        self.update_overhead();
        let may_be_full = self.may_be_full(open, now);
        self.evaluate_reuse(utilization, now);
        let timeout = self.wanted(utilization, may_be_full).clamp(TICK_MS, self.max_timeout.max(TICK_MS));
        self.is_overhead_high &= timeout > TICK_MS;
        let previous = std::mem::replace(&mut self.timeout, timeout);
        (previous != timeout).then_some(timeout)
    }

    fn update_overhead(&mut self) {
        if self.recent_overhead.samples > 0 {
            self.overhead.add(std::mem::take(&mut self.recent_overhead).value, SMOOTHING_WEIGHT);
        }
        self.is_overhead_high |= self.overhead.value > MAX_OVERHEAD_PART;
    }

    fn may_be_full(&mut self, open: f64, now: Millis) -> bool {
        self.max_open = self.max_open.max(open);
        let is_near_max = open >= self.max_open * FULL_TABLE_PART;
        let has_few_callers = open < self.caller_count * MAX_CONNECTED_CALLERS_PART;
        !self.is_new(now) && is_near_max && has_few_callers
    }

    /// Judges once in a reuse window, and first after a few arrivals, whether callers return often
    /// enough: what an open connection costs matters only on busy cores.
    fn evaluate_reuse(&mut self, utilization: f64, now: Millis) {
        let has_arrivals = self.reuse_rate.samples >= MIN_ARRIVALS;
        let is_first = self.is_new(now) && self.reuse_evaluated_at == self.started_at && has_arrivals;
        if is_first || now - self.reuse_evaluated_at >= self.reuse_window {
            self.reuse_evaluated_at = now;
            self.is_reused = self.reuse_rate.value >= MIN_REUSE_RATE * utilization;
            let reuse_window = self.reuse_window;
            self.last_arrival_at.retain(|_, last| now - *last < reuse_window);
        }
    }

    fn wanted(&self, utilization: f64, may_be_full: bool) -> Millis {
        let is_busy = utilization >= BUSY_UTILIZATION;
        if self.is_overhead_high && is_busy {
            self.timeout * IDLE_TIMEOUT_INCREASE_FACTOR + TICK_MS
        } else if self.is_overhead_high || (may_be_full && utilization < BUSY_UTILIZATION) {
            self.timeout * IDLE_TIMEOUT_DECREASE_FACTOR
        } else if self.is_reused {
            self.max_timeout
        } else {
            TICK_MS
        }
    }
}

#[cfg(test)]
mod tests;
