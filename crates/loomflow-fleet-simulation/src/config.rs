//! What a simulated fleet is made of, and how its parts are called.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use loomflow_fleet::duty::{DutyName, DutySpec, LeaseSettings};
use loomflow_fleet::maintenance::rules::Rules;
use loomflow_fleet::member::{ServerName, Zone};
use loomflow_fleet::node::NodeConfig;
use loomflow_fleet::node::duties::DutyConfig;
use loomflow_fleet::time::IntegerMillis;

/// The number of a machine, from 0 on.
pub type MachineId = usize;

const PORT: u16 = 7400;
/// Machines that share the third byte of their addresses.
const MACHINES_PER_SUBNET: usize = 250;
/// How often the fleet is summed up, ms.
const SUMMARY_PERIOD_MILLIS: IntegerMillis = 5_000;

/// What a simulated fleet is made of.
#[derive(Clone, Debug)]
pub struct SimulationConfig {
    /// Machines; the first of them vote.
    pub machines: usize,
    /// Voters.
    pub voters: usize,
    /// Zones; machines are spread over them in turn.
    pub zones: usize,
    /// The operators' rules for maintenance.
    pub rules: Rules,
    /// How long a machine that is taken out stays out, ms.
    pub maintenance_millis: IntegerMillis,
    /// Clocks run faster or slower by at most this fraction.
    pub max_clock_drift: f64,
    /// Duties of the operators; none where the fleet has no duties at all.
    pub duties: usize,
    /// The settings of all duties.
    pub lease_settings: LeaseSettings,
}

impl Default for SimulationConfig {
    fn default() -> SimulationConfig {
        SimulationConfig {
            machines: 5,
            voters: 3,
            zones: 1,
            rules: Rules::default(),
            maintenance_millis: 4_000,
            max_clock_drift: 0.0,
            duties: 0,
            lease_settings: LeaseSettings { lease_millis: 4_000, ..LeaseSettings::default() },
        }
    }
}

/// The name of a machine's server.
pub fn server_name(machine: MachineId) -> ServerName {
    format!("n{machine}")
}

/// The machine of a server.
pub(crate) fn machine_of(server: &str) -> Option<MachineId> {
    server.strip_prefix('n')?.parse().ok()
}

/// The name of an operators' duty.
pub fn duty_name(number: usize) -> DutyName {
    format!("d{number}")
}

fn address(machine: MachineId) -> SocketAddr {
    let (subnet, host) = (machine / MACHINES_PER_SUBNET, machine % MACHINES_PER_SUBNET);
    ([127, 0, subnet as u8, host as u8], PORT).into()
}

impl SimulationConfig {
    /// The zone of a machine.
    pub(crate) fn zone(&self, machine: MachineId) -> Zone {
        format!("z{}", machine % self.zones)
    }

    /// The configuration of a machine's member.
    pub(crate) fn node_config(&self, machine: MachineId, seed: u64, unix_millis: u64) -> NodeConfig {
        let duties = DutyConfig {
            lease_settings: self.lease_settings,
            specs: (0..self.duties).map(|number| DutySpec::plain(&duty_name(number))).collect(),
            summary_period_millis: SUMMARY_PERIOD_MILLIS,
        };
        NodeConfig {
            fleet: "sim".into(),
            name: server_name(machine),
            zone: self.zone(machine),
            address: address(machine),
            voters: (0..self.voters).map(|voter| (server_name(voter), address(voter))).collect(),
            address_overrides: BTreeMap::new(),
            rules: self.rules.clone(),
            duties: (self.duties > 0).then_some(duties),
            seed,
            unix_millis,
        }
    }
}
