//! Reports of this server's load to the fleet, where the options configure one.

use std::sync::Arc;

use loomflow::interface::Load;
use loomflow::time::Millis;
use loomflow_fleet::member::Phase;
use loomflow_settings::{Config, Options};

use crate::fleet::{self, Fleet, Meter, StartError};
use crate::mailbox::Mailbox;

/// The fleet that the options configure.
struct ConfiguredFleet {
    fleet: Fleet,
    /// Says when a report is due.
    meter: Meter,
}

/// Reports the load to the fleet.
pub(super) struct FleetReporter {
    fleet: Option<ConfiguredFleet>,
    /// Cores of this server.
    cores: f64,
    slow_start_ends_at: Millis,
}

/// What is reported about this server, besides its load.
#[derive(Clone, Copy, Debug)]
pub(super) struct ServerState {
    pub(super) has_controller: bool,
    pub(super) is_healthy: bool,
    pub(super) is_shutting_down: bool,
}

impl FleetReporter {
    /// Starts the fleet's thread where the options configure a fleet.
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

    /// A controller was created whose slow start ends then.
    pub(super) fn set_slow_start_end(&mut self, ends_at: Millis) {
        self.slow_start_ends_at = ends_at;
    }

    /// Reports the load where a report is due.
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

    /// A shutdown was requested.
    pub(super) fn begin_drain(&self) {
        if let Some(ConfiguredFleet { fleet, .. }) = &self.fleet {
            fleet.begin_drain();
        }
    }

    /// Reports that every request is answered.
    pub(super) fn report_drained(&self) {
        if let Some(ConfiguredFleet { fleet, .. }) = &self.fleet {
            fleet.drained();
        }
    }
}

#[cfg(test)]
mod tests;
