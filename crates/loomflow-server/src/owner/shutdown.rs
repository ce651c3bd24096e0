//! The graceful shutdown: requests are served for a grace period, then intake stops, and the process ends once everything
//! is answered.

use loomflow::time::Millis;

/// How long before the kill a shutdown has to be complete: what peers have not read by then is abandoned.
const SHUTDOWN_MARGIN_MS: Millis = 300.0;
/// The margin is at most this share of the time until the kill.
const MAX_MARGIN_SHARE: f64 = 0.25;
/// The grace period is at most this share of the time until the kill.
const MAX_GRACE_SHARE: f64 = 0.5;

/// The deadlines of a shutdown.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct ShutdownDeadlines {
    /// When the shutdown has to be complete.
    pub(super) complete_by: Millis,
    /// When the process will be killed.
    pub(super) kill_deadline: Millis,
}

/// The stages of a graceful shutdown, in order.
#[derive(Clone, Copy, Debug)]
enum ShutdownStage {
    Serving,
    /// Requests are served as usual, because gateways learn of the shutdown late.
    GracePeriod {
        intake_stop_at: Millis,
        deadlines: ShutdownDeadlines,
    },
    /// No connection is accepted, and no new request is run.
    IntakeStopped,
}

/// How far the shutdown has come.
#[derive(Clone, Copy, Debug)]
pub(super) struct GracefulShutdown {
    /// Time from the request of a shutdown until the process is killed.
    stop_timeout: Millis,
    stage: ShutdownStage,
}

impl GracefulShutdown {
    /// No shutdown was requested.
    pub(super) fn new(stop_timeout: Millis) -> GracefulShutdown {
        GracefulShutdown { stop_timeout, stage: ShutdownStage::Serving }
    }

    /// Whether a shutdown was requested.
    pub(super) fn is_requested(&self) -> bool {
        !matches!(self.stage, ShutdownStage::Serving)
    }

    /// Starts the grace period. Returns none where a shutdown was requested before.
    pub(super) fn request(&mut self, grace_period: Millis, now: Millis) -> Option<ShutdownDeadlines> {
        if self.is_requested() {
            return None;
        }
        let kill_deadline = now + self.stop_timeout;
        let margin = SHUTDOWN_MARGIN_MS.min(self.stop_timeout * MAX_MARGIN_SHARE);
        let deadlines = ShutdownDeadlines { complete_by: kill_deadline - margin, kill_deadline };
        let intake_stop_at = now + grace_period.min(self.stop_timeout * MAX_GRACE_SHARE);
        self.stage = ShutdownStage::GracePeriod { intake_stop_at, deadlines };
        Some(deadlines)
    }

    /// When the grace period ends.
    pub(super) fn next_deadline(&self) -> Millis {
        match self.stage {
            ShutdownStage::GracePeriod { intake_stop_at, .. } => intake_stop_at,
            ShutdownStage::Serving | ShutdownStage::IntakeStopped => f64::INFINITY,
        }
    }

    /// Ends the grace period where its time is over. Returns the deadlines where it does.
    pub(super) fn stop_intake(&mut self, now: Millis) -> Option<ShutdownDeadlines> {
        let ShutdownStage::GracePeriod { intake_stop_at, deadlines } = self.stage else { return None };
        if now < intake_stop_at {
            return None;
        }
        self.stage = ShutdownStage::IntakeStopped;
        Some(deadlines)
    }

    /// Whether the process may end: no new request is run, all are answered, and the fronts have sent the responses.
    pub(super) fn is_complete(&self, unanswered_count: usize, is_drained: impl FnOnce() -> bool) -> bool {
        matches!(self.stage, ShutdownStage::IntakeStopped) && unanswered_count == 0 && is_drained()
    }
}

#[cfg(test)]
mod tests;
