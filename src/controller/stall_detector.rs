//! Stall detection: cores that have work and finish none of it.
//!
//! Inputs: time since a run last ended or reached a call (ms), usual run times (ms), runs and runnable
//! requests. While the cores are stalled, what is queued and what arrives is rejected, and callers are
//! asked to stay away; the first run to end ends the stall. Late reading is overload rather than a stall.

use crate::time::Millis;

/// The cores count as stalled when this many ends are overdue by usual run times. If ends are random at
/// their usual rate, a gap this long is expected once in e^6, about 400, gaps.
const STALL_THRESHOLD_ENDS: f64 = 6.0;

/// Whether the cores make progress.
pub(super) struct StallDetector {
    /// When a run last ended or reached a call.
    progress_at: Millis,
    is_stalled: bool,
    stall_time: Millis,
}

impl StallDetector {
    pub(super) fn new(now: Millis) -> StallDetector {
        StallDetector { progress_at: now, is_stalled: false, stall_time: 0.0 }
    }

    pub(super) fn is_stalled(&self) -> bool {
        self.is_stalled
    }

    /// How long the cores have been stalled in all. That time shows nothing about runs.
    pub(super) fn stall_time(&self) -> Millis {
        self.stall_time
    }

    /// Whether a run ended or reached a call within `span`.
    pub(super) fn has_progress_within(&self, span: Millis, now: Millis) -> bool {
        now - self.progress_at < span
    }

    /// How often a run that usually takes `usual_run` would have ended since the last progress, on a core
    /// of its own.
    pub(super) fn overdue_ends(&self, usual_run: Millis, on_cores_since: Millis, now: Millis) -> f64 {
        let elapsed = now - self.progress_at.max(on_cores_since);
        elapsed / usual_run
    }

    /// Judges the cores by the ends that are overdue in all; returns whether they are stalled.
    pub(super) fn update(&mut self, overdue_ends: f64) -> bool {
        if !self.is_stalled && overdue_ends < STALL_THRESHOLD_ENDS {
            return false;
        }
        self.is_stalled = true;
        true
    }

    /// A run has ended or reached a call, so the cores are not stalled.
    pub(super) fn record_progress(&mut self, now: Millis) {
        if std::mem::take(&mut self.is_stalled) {
            self.stall_time += now - self.progress_at;
        }
        self.progress_at = now;
    }
}

#[cfg(test)]
mod tests;
