//! Averages the server's load and builds the reports for the fleet.

use loomflow::interface::Load;
use loomflow::time::Millis;
use loomflow_fleet::member::{LoadReport, Phase};

/// How often the owner reports the load to the fleet's thread, ms.
const LOAD_SAMPLE_PERIOD_MS: Millis = 500.0;

/// Averages the number of concurrent runs over time, and determines when a report is due.
pub struct Meter {
    period_start: Millis,
    last_change: Millis,
    /// Integral of the number of runs over time since the start of the period, runs × ms.
    run_millis: f64,
    running: f64,
}

impl Meter {
    /// Starts a period at `now` with no runs.
    pub fn new(now: Millis) -> Meter {
        Meter { period_start: now, last_change: now, run_millis: 0.0, running: 0.0 }
    }

    /// Records the number of runs from `now` on. Returns the mean of the period, and starts the next, if a report is due.
    pub fn record(&mut self, now: Millis, running: f64) -> Option<f64> {
        self.run_millis += self.running * (now - self.last_change);
        self.last_change = now;
        self.running = running;
        let period = now - self.period_start;
        if period < LOAD_SAMPLE_PERIOD_MS {
            return None;
        }
        let mean = self.run_millis / period;
        self.period_start = now;
        self.run_millis = 0.0;
        Some(mean)
    }
}

/// Builds a report from the controller's load and the mean number of concurrent runs.
pub fn load_report(load: &Load, mean_running: f64, cores: f64, phase: Phase, healthy: bool) -> LoadReport {
    LoadReport {
        phase,
        share: load.share as f32,
        hold_time_ratio: load.queue_time_ratio as f32,
        limit: load.limit as f32,
        running: mean_running as f32,
        cores: cores as f32,
        healthy,
    }
}
