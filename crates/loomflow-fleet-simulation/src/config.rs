//! Configuration of a simulated fleet, and the names and addresses of its members.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use loomflow_fleet::duty::{DutyName, DutySpec, LeaseSettings};
use loomflow_fleet::maintenance::rules::Rules;
use loomflow_fleet::member::{ServerName, Zone};
use loomflow_fleet::node::NodeConfig;
use loomflow_fleet::node::duties::DutyConfig;
use loomflow_fleet::time::IntegerMillis;

/// Index of a machine, from 0.
pub type MachineId = usize;

const PORT: u16 = 7400;
/// Number of machines per /24 subnet; the addresses of these machines share the third byte.
const MACHINES_PER_SUBNET: usize = 250;
/// Interval between two summary reports of the fleet, ms.
const SUMMARY_PERIOD_MILLIS: IntegerMillis = 5_000;

/// Size and settings of a simulated fleet.
#[derive(Clone, Debug)]
pub struct SimulationConfig {
    /// Number of machines; the first [`voters`](Self::voters) of them vote.
    pub machines: usize,
    /// Number of voters of the consensus group.
    pub voters: usize,
    /// Number of zones; machines are assigned to them round robin.
    pub zones: usize,
    /// The operators' rules for maintenance.
    pub rules: Rules,
    /// Time from the exit of a server with a ticket to its restart, ms.
    pub maintenance_millis: IntegerMillis,
    /// Maximum drift of a machine's clock rate, as a fraction of the exact rate.
    pub max_clock_drift: f64,
    /// Number of configured duties; 0 disables duties in the fleet.
    pub duties: usize,
    /// Lease settings of all duties.
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

/// Returns the name of the server on a machine, `n0`, `n1` and so on.
pub fn server_name(machine: MachineId) -> ServerName {
    format!("n{machine}")
}

/// Returns the machine on which a server runs, or `None` if the name is not one that [`server_name`]
/// returns.
pub(crate) fn machine_of(server: &str) -> Option<MachineId> {
    server.strip_prefix('n')?.parse().ok()
}

/// Returns the name of a configured duty, `d0`, `d1` and so on.
pub fn duty_name(number: usize) -> DutyName {
    format!("d{number}")
}

fn address(machine: MachineId) -> SocketAddr {
    let (subnet, host) = (machine / MACHINES_PER_SUBNET, machine % MACHINES_PER_SUBNET);
    ([127, 0, subnet as u8, host as u8], PORT).into()
}

impl SimulationConfig {
    /// Returns the zone of a machine.
    pub(crate) fn zone(&self, machine: MachineId) -> Zone {
        format!("z{}", machine % self.zones)
    }

    /// Returns the node configuration of the fleet member on a machine.
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
