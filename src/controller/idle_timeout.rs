//! Idle timeout: how long connections may be idle before they are closed.
//!
//! Inputs: arrivals with their caller, core utilization (0 to 1), overhead (fraction of the runnable tasks
//! that are not runs but reads, new connections and health checks; 0 to 1), open connections. Three cases
//! set the timeout:
//! - Callers return soon: connections stay open for reuse; otherwise they are closed at once.
//! - The connection table may be full while cores are idle: idle connections are closed sooner, to admit new
//!   callers.
//! - Busy cores spend most of their time on rejections: connections stay open longer. A full table turns new
//!   callers away without work, while each one that is accepted costs a connection, a read and a rejection.

use std::collections::BTreeMap;

use super::{SMOOTHING_WEIGHT, TICK_MS};
use crate::estimate::SmoothedMean;
use crate::interface::{Gauges, Settings};
use crate::time::Millis;

/// The reuse window as a multiple of the shortest latency objective. A caller that returns within it returns
/// soon.
const REUSE_WINDOW_FACTOR: f64 = 4.0;
/// Connections stay open for reuse if the fraction of requests from callers that returned soon is at least
/// this, multiplied by the core utilization.
const MIN_REUSE_RATE: f64 = 0.5;
/// Fewer arrivals than this do not show whether callers return.
const MIN_ARRIVALS: u32 = 10;
/// The overhead counts as high above this.
const MAX_OVERHEAD_FRACTION: f64 = 0.55;
/// From this utilization on the cores are busy: a high overhead then lengthens the timeout.
const BUSY_UTILIZATION: f64 = 0.85;
/// Factors by which a sample lengthens or shortens the idle timeout.
const IDLE_TIMEOUT_INCREASE_FACTOR: f64 = 1.3;
const IDLE_TIMEOUT_DECREASE_FACTOR: f64 = 0.6;
/// The connection table may be full if at least this fraction of the most connections so far is open.
const FULL_TABLE_FRACTION: f64 = 0.9;
/// The table counts as not full if at least this fraction of the callers is connected: the others may never
/// connect, so a full table need not be what keeps them away.
const MAX_CONNECTED_CALLERS_FRACTION: f64 = 0.25;

/// Sets how long connections may be idle.
pub(super) struct IdleTimeout {
    timeout: Millis,
    max_timeout: Millis,
    caller_count: f64,
    reuse_window: Millis,
    started_at: Millis,
    /// Last arrival of each caller. Callers whose last arrival is older than the reuse window are dropped
    /// once per window.
    last_arrival_at: BTreeMap<u64, Millis>,
    arrivals: f64,
    /// Smoothed fraction of arrivals whose caller returned soon.
    reuse_rate: SmoothedMean,
    reuse_evaluated_at: Millis,
    /// Whether callers returned often enough at the last evaluation.
    is_reuse_frequent: bool,
    overhead: SmoothedMean,
    /// Mean overhead since the last sample.
    recent_overhead: SmoothedMean,
    /// Whether the overhead was high; cleared when the timeout falls to its minimum.
    is_overhead_high: bool,
    /// Most connections that were open at once so far.
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
            is_reuse_frequent: true,
            overhead: SmoothedMean::default(),
            recent_overhead: SmoothedMean::default(),
            is_overhead_high: false,
            max_open: 0.0,
        }
    }

    pub(super) fn set_shortest_objective(&mut self, shortest_objective: Millis) {
        self.reuse_window = shortest_objective * REUSE_WINDOW_FACTOR;
    }

    /// Records the overhead: the runnable tasks that are not runs.
    pub(super) fn record_overhead(&mut self, runnable: f64, running: f64, cores: f64) {
        let overhead = (runnable - running).max(0.0) / runnable.max(cores);
        // A weight of 0 makes the mean arithmetic.
        self.recent_overhead.add(overhead, 0.0);
    }

    pub(super) fn record_arrival(&mut self, caller: u64, now: Millis) {
        self.arrivals += 1.0;
        let reused = match self.last_arrival_at.insert(caller, now) {
            Some(last) if now - last < self.reuse_window => 1.0,
            None if self.is_first_window(now) => self.expected_reuse(now),
            _ => 0.0,
        };
        self.reuse_rate.add(reused, SMOOTHING_WEIGHT);
    }

    /// Whether less than one reuse window has passed since the server started.
    fn is_first_window(&self, now: Millis) -> bool {
        now - self.started_at < self.reuse_window
    }

    /// The probability that a new caller returns within the reuse window, if all callers send at the current
    /// mean rate.
    fn expected_reuse(&self, now: Millis) -> f64 {
        let in_window = self.arrivals * self.reuse_window / (now - self.started_at).max(TICK_MS);
        (in_window / self.caller_count.max(1.0)).min(1.0)
    }

    /// Updates the idle timeout; returns the new one if it changes.
    pub(super) fn sample(&mut self, now: Millis, gauges: &Gauges) -> Option<Millis> {
        let utilization = gauges.core_utilization.unwrap_or(1.0);
        let open = gauges.connections.unwrap_or(0.0);
        self.update_overhead();
        let may_be_full = self.may_be_full(open, now);
        self.evaluate_reuse(utilization, now);
        let timeout =
            self.target_timeout(utilization, may_be_full).clamp(TICK_MS, self.max_timeout.max(TICK_MS));
        self.is_overhead_high &= timeout > TICK_MS;
        let previous = std::mem::replace(&mut self.timeout, timeout);
        (previous != timeout).then_some(timeout)
    }

    fn update_overhead(&mut self) {
        if self.recent_overhead.samples > 0 {
            self.overhead.add(std::mem::take(&mut self.recent_overhead).value, SMOOTHING_WEIGHT);
        }
        self.is_overhead_high |= self.overhead.value > MAX_OVERHEAD_FRACTION;
    }

    fn may_be_full(&mut self, open: f64, now: Millis) -> bool {
        self.max_open = self.max_open.max(open);
        let is_near_max = open >= self.max_open * FULL_TABLE_FRACTION;
        let has_few_callers = open < self.caller_count * MAX_CONNECTED_CALLERS_FRACTION;
        !self.is_first_window(now) && is_near_max && has_few_callers
    }

    /// Evaluates once per reuse window, and for the first time after [`MIN_ARRIVALS`], whether callers return
    /// often enough. On idle cores fewer returns suffice, since the cost of open connections matters less.
    fn evaluate_reuse(&mut self, utilization: f64, now: Millis) {
        let has_arrivals = self.reuse_rate.samples >= MIN_ARRIVALS;
        let is_first =
            self.is_first_window(now) && self.reuse_evaluated_at == self.started_at && has_arrivals;
        if is_first || now - self.reuse_evaluated_at >= self.reuse_window {
            self.reuse_evaluated_at = now;
            self.is_reuse_frequent = self.reuse_rate.value >= MIN_REUSE_RATE * utilization;
            let reuse_window = self.reuse_window;
            self.last_arrival_at.retain(|_, last| now - *last < reuse_window);
        }
    }

    fn target_timeout(&self, utilization: f64, may_be_full: bool) -> Millis {
        let is_busy = utilization >= BUSY_UTILIZATION;
        if self.is_overhead_high && is_busy {
            self.timeout * IDLE_TIMEOUT_INCREASE_FACTOR + TICK_MS
        } else if self.is_overhead_high || (may_be_full && utilization < BUSY_UTILIZATION) {
            self.timeout * IDLE_TIMEOUT_DECREASE_FACTOR
        } else if self.is_reuse_frequent {
            self.max_timeout
        } else {
            TICK_MS
        }
    }
}

#[cfg(test)]
mod tests;
