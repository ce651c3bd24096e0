//! Slow start: a server with cold caches takes traffic in proportion to its speed.
//!
//! Inputs: time since the start (ms), duration of the slow start (ms) and initial speed (fraction of the full
//! speed, 0 to 1). The speed rises linearly to 1. It bounds the share that callers are asked for and the
//! survivable concurrency; without that bound a new server would get its full share of the traffic at a
//! fraction of its speed.

use crate::interface::Settings;
use crate::time::Millis;

/// The speed of a server since its start.
pub(super) struct SlowStart {
    is_enabled: bool,
    started_at: Millis,
    duration: Millis,
    initial_speed: f64,
}

impl SlowStart {
    pub(super) fn new(settings: &Settings, now: Millis) -> SlowStart {
        SlowStart {
            is_enabled: settings.is_slow_start,
            started_at: now,
            duration: settings.slow_start_duration,
            initial_speed: settings.slow_start_share,
        }
    }

    /// The speed that the server is assumed to have reached, as a fraction of its full speed, 0 to 1.
    pub(super) fn speed(&self, now: Millis) -> f64 {
        let progress = if self.duration > 0.0 { (now - self.started_at) / self.duration } else { 1.0 };
        if self.is_enabled && progress < 1.0 {
            self.initial_speed + (1.0 - self.initial_speed) * progress
        } else {
            1.0
        }
    }
}

#[cfg(test)]
mod tests;
