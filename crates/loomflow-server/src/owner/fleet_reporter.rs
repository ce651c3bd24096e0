//! Reports this server's load and state to the fleet, if the options configure one.

use std::sync::Arc;

use loomflow::interface::Load;
use loomflow::time::Millis;
use loomflow_fleet::member::Phase;
use loomflow_settings::{Config, Options};

use crate::fleet::{self, Fleet, Meter, StartError};
use crate::mailbox::Mailbox;

/// The handle of the fleet's thread, and the meter for the load reports to it.
struct ConfiguredFleet {
    fleet: Fleet,
    /// Averages the number of runs over a report period, and determines when a report is due.
    meter: Meter,
}

/// Reports load, shutdown and drain to the fleet; does nothing if no fleet is configured.
pub(super) struct FleetReporter {
    fleet: Option<ConfiguredFleet>,
    /// Number of cores of this server, from the settings at its start.
    cores: f64,
    /// When the slow start of the controller ends; 0 before the controller is started.
    slow_start_ends_at: Millis,
}

/// The owner's state that determines the reported phase and health.
#[derive(Clone, Copy, Debug)]
pub(super) struct ServerState {
    pub(super) has_controller: bool,
    pub(super) is_healthy: bool,
    pub(super) is_shutting_down: bool,
}

impl FleetReporter {
    /// Starts the fleet's thread if the options configure a fleet.
    pub(super) fn start(
        config: &Config,
        options: &Options,
        mailbox: &Arc<Mailbox>,
        now: Millis,
    ) -> Result<FleetReporter, StartError> {
        let fleet = options.fleet.as_ref().map(|fleet| Fleet::start(config, fleet, mailbox.clone()));
        Ok(FleetReporter {
            fleet: fleet.transpose()?.map(|fleet| ConfiguredFleet { fleet, meter: Meter::new(now) }),
            cores: config.site.settings.cores,
            slow_start_ends_at: 0.0,
        })
    }

    /// Sets when the slow start of the controller ends. Until then the server is reported as cold.
    pub(super) fn set_slow_start_end(&mut self, ends_at: Millis) {
        self.slow_start_ends_at = ends_at;
    }

    /// Sends a load report if one is due. A server without a controller is reported as unhealthy.
    pub(super) fn report(&mut self, load: impl FnOnce() -> Load, state: ServerState, now: Millis) {
        let phase = self.phase(state, now);
        let Some(ConfiguredFleet { fleet, meter }) = &mut self.fleet else { return };
        let load = load();
        let Some(mean) = meter.record(now, load.running) else { return };
        let is_healthy = state.is_healthy && state.has_controller;
        fleet.set_load(fleet::load_report(&load, mean, self.cores, phase, is_healthy));
    }

    fn phase(&self, state: ServerState, now: Millis) -> Phase {
        if state.is_shutting_down {
            Phase::Draining
        } else if !state.has_controller || now < self.slow_start_ends_at {
            Phase::Cold
        } else {
            Phase::Serving
        }
    }

    /// Reports that a shutdown was requested.
    pub(super) fn begin_drain(&self) {
        if let Some(ConfiguredFleet { fleet, .. }) = &self.fleet {
            fleet.begin_drain();
        }
    }

    /// Reports that all requests are answered, and waits for a bounded time until the fleet has taken the report.
    pub(super) fn report_drained(&self) {
        if let Some(ConfiguredFleet { fleet, .. }) = &self.fleet {
            fleet.drained();
        }
    }
}

#[cfg(test)]
mod tests;
