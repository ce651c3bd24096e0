//! The owner's work at each stage of a graceful shutdown.

use loomflow::interface::Event;

use super::Owner;
use crate::log;

impl Owner {
    /// Whether a requested shutdown is complete, so that the process may end.
    pub(super) fn is_finished(&self) -> bool {
        let unanswered = self.requests.unanswered_count();
        self.shutdown.is_complete(unanswered, || self.fronts.is_drained(self.now.ms))
    }

    /// Logs how many messages could not be settled until the shutdown had to be complete. The broker delivers them again.
    pub(super) fn log_unsettled_messages(&self) {
        let unsettled = self.fronts.unsettled_messages();
        if unsettled > 0 {
            log!(part = "amqp", unsettled, "messages were not settled before the shutdown");
        }
    }

    /// Starts the grace period after a SIGTERM. Requests are served as usual until it ends, because gateways are notified of
    /// the shutdown with a delay.
    pub(super) fn begin_shutdown(&mut self) {
        let now = self.now.ms;
        let Some(deadlines) = self.shutdown.request(self.site.settings.drain_grace, now) else { return };
        log!("shutdown requested");
        self.fleet.begin_drain();
        // No controller is started during a shutdown, so all requests will be rejected.
        if !self.controller.is_started() {
            self.health.set_healthy(false);
        }
        self.controller.queue(Event::ShutdownRequested { time_left: self.config.stop_ms });
        self.update_fronts(|fronts, requests| fronts.begin_drain(deadlines.complete_by, now, requests));
        self.deliver_controller_events();
    }

    /// Stops intake if the grace period is over: no connection is accepted, and no new request runs.
    pub(super) fn check_grace_period(&mut self) {
        let now = self.now.ms;
        let Some(deadlines) = self.shutdown.stop_intake(now) else { return };
        self.update_fronts(|fronts, requests| {
            fronts.stop_intake(deadlines.complete_by, deadlines.kill_deadline, now, requests);
        });
    }
}
