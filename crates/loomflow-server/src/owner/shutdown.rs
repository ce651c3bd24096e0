//! Graceful shutdown: requests are served during a grace period, then intake stops, and the process ends once all requests
//! have their response.

use loomflow::time::Millis;

/// How long before the kill the shutdown must be complete. Output that peers have not read by then is dropped.
const SHUTDOWN_MARGIN_MS: Millis = 300.0;
/// Upper bound on the margin, as a share of the time until the kill.
const MAX_MARGIN_SHARE: f64 = 0.25;
/// Upper bound on the grace period, as a share of the time until the kill.
const MAX_GRACE_SHARE: f64 = 0.5;

/// The deadlines of a requested shutdown.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct ShutdownDeadlines {
    /// When the shutdown must be complete: the kill deadline minus the margin.
    pub(super) complete_by: Millis,
    /// When the process is killed.
    pub(super) kill_deadline: Millis,
}

/// The stages of a graceful shutdown, in order.
#[derive(Clone, Copy, Debug)]
enum ShutdownStage {
    Serving,
    /// Requests are served as usual, because gateways are notified of the shutdown with a delay.
    GracePeriod {
        intake_stop_at: Millis,
        deadlines: ShutdownDeadlines,
    },
    /// No connection is accepted, and no new request runs.
    IntakeStopped,
}

/// The state machine of a graceful shutdown.
#[derive(Clone, Copy, Debug)]
pub(super) struct GracefulShutdown {
    /// Time from the shutdown request until the process is killed.
    stop_timeout: Millis,
    stage: ShutdownStage,
}

impl GracefulShutdown {
    /// Starts in [`ShutdownStage::Serving`].
    pub(super) fn new(stop_timeout: Millis) -> GracefulShutdown {
        GracefulShutdown { stop_timeout, stage: ShutdownStage::Serving }
    }

    /// Whether a shutdown was requested, in any stage of it.
    pub(super) fn is_requested(&self) -> bool {
        !matches!(self.stage, ShutdownStage::Serving)
    }

    /// Starts the grace period. Returns `None` if a shutdown was requested before.
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

    /// When the grace period ends; infinite outside of it.
    pub(super) fn next_deadline(&self) -> Millis {
        match self.stage {
            ShutdownStage::GracePeriod { intake_stop_at, .. } => intake_stop_at,
            ShutdownStage::Serving | ShutdownStage::IntakeStopped => f64::INFINITY,
        }
    }

    /// Ends the grace period if its time is over. Returns the deadlines if it ended now.
    pub(super) fn stop_intake(&mut self, now: Millis) -> Option<ShutdownDeadlines> {
        let ShutdownStage::GracePeriod { intake_stop_at, deadlines } = self.stage else { return None };
        if now < intake_stop_at {
            return None;
        }
        self.stage = ShutdownStage::IntakeStopped;
        Some(deadlines)
    }

    /// Whether the process may end: intake has stopped, all requests are answered, and the fronts have sent the responses.
    pub(super) fn is_complete(&self, unanswered_count: usize, is_drained: impl FnOnce() -> bool) -> bool {
        matches!(self.stage, ShutdownStage::IntakeStopped) && unanswered_count == 0 && is_drained()
    }
}

#[cfg(test)]
mod tests;
