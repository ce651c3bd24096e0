//! The graceful shutdown: gateways still send for a grace period, what was read is answered, then the process ends.

use std::sync::atomic::Ordering;

use loomflow::interface::Event;
use loomflow::time::Millis;

use super::Owner;
use crate::log;

/// What is owed to peers that do not respond is given up so long before the process is killed.
const SHUTDOWN_MARGIN_MS: Millis = 300.0;

impl Owner {
    /// Whether the process may end.
    pub(super) fn is_finished(&self) -> bool {
        self.is_intake_stopped && self.requests.unanswered_count() == 0 && self.fronts.is_drained(self.now.ms)
    }

    /// SIGTERM was received. Requests are served as usual until the grace period ends, for gateways notice late.
    pub(super) fn begin_shutdown(&mut self) {
        if self.kill_deadline.is_some() {
            return;
        }
        let kill_deadline = self.now.ms + self.config.stop_ms;
        self.kill_deadline = Some(kill_deadline);
        log!("shutdown requested");
        if let Some((fleet, _)) = &self.fleet {
            fleet.begin_drain();
        }
        let grace_period = self.site.settings.drain_grace.min(self.config.stop_ms / 2.0);
        self.intake_stop_at = self.now.ms + grace_period;
        // No controller is created during a shutdown: without one every request is rejected.
        if self.controller.is_none() {
            self.is_healthy = false;
            self.ready.store(false, Ordering::Release);
        }
        self.controller_events.push_back(Event::ShutdownRequested { time_left: self.config.stop_ms });
        let (now, deadline) = (self.now.ms, self.shutdown_deadline(kill_deadline));
        self.update_fronts(|fronts, requests| fronts.begin_drain(deadline, now, requests));
        self.deliver_controller_events();
    }

    /// When the shutdown has to be complete, with a margin before the process is killed.
    fn shutdown_deadline(&self, kill_deadline: Millis) -> Millis {
        kill_deadline - SHUTDOWN_MARGIN_MS.min(self.config.stop_ms / 4.0)
    }

    /// The grace period is over: no connection is accepted, and no new request is run.
    pub(super) fn stop_intake(&mut self) {
        self.intake_stop_at = f64::INFINITY;
        self.is_intake_stopped = true;
        let now = self.now.ms;
        let kill_deadline = self.kill_deadline.unwrap_or(now);
        let deadline = self.shutdown_deadline(kill_deadline);
        self.update_fronts(|fronts, requests| fronts.stop_intake(deadline, kill_deadline, now, requests));
    }
}
