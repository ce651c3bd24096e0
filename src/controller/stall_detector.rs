//! Stall detection: whether the cores have work but make no progress.
//!
//! Inputs: time since a run last ended or reached a call (ms), usual run times (ms), number of runs and of
//! runnable tasks. While the cores are stalled, queued and arriving requests are rejected, and callers are
//! asked for the minimum share. The stall ends when a run ends or reaches a call. Late reading is overload,
//! not a stall.

use crate::time::Millis;

/// The cores count as stalled when, by usual run times, this many completions are overdue. If completions are
/// random at their usual rate, a gap this long is expected once in e^6, about 400, gaps.
const STALL_THRESHOLD_COMPLETIONS: f64 = 6.0;

/// Detects whether the cores are stalled.
pub(super) struct StallDetector {
    /// When a run last ended or reached a call.
    progress_at: Millis,
    is_stalled: bool,
    /// Total duration of all past stalls.
    stall_time: Millis,
}

impl StallDetector {
    pub(super) fn new(now: Millis) -> StallDetector {
        StallDetector { progress_at: now, is_stalled: false, stall_time: 0.0 }
    }

    pub(super) fn is_stalled(&self) -> bool {
        self.is_stalled
    }

    /// Total duration of all past stalls, which is not counted as run time.
    pub(super) fn stall_time(&self) -> Millis {
        self.stall_time
    }

    /// Whether a run ended or reached a call within the last `duration`.
    pub(super) fn has_progress_within(&self, duration: Millis, now: Millis) -> bool {
        now - self.progress_at < duration
    }

    /// How many runs of the usual duration `usual_run` would have completed one after the other on a core of
    /// their own since the last progress.
    pub(super) fn overdue_completions(&self, usual_run: Millis, on_cores_since: Millis, now: Millis) -> f64 {
        let elapsed = now - self.progress_at.max(on_cores_since);
        elapsed / usual_run
    }

    /// Updates the state from the number of overdue completions of all runs; returns whether the cores are
    /// stalled.
    pub(super) fn update(&mut self, overdue_completions: f64) -> bool {
        if !self.is_stalled && overdue_completions < STALL_THRESHOLD_COMPLETIONS {
            return false;
        }
        self.is_stalled = true;
        true
    }

    /// Records that a run has ended or reached a call, which ends a stall.
    pub(super) fn record_progress(&mut self, now: Millis) {
        if std::mem::take(&mut self.is_stalled) {
            self.stall_time += now - self.progress_at;
        }
        self.progress_at = now;
    }
}

#[cfg(test)]
mod tests;
