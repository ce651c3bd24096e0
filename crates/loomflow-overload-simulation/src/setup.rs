//! Parameters of a simulation: fleet, callers, clients, load and faults.

use loomflow::time::{MILLIS_PER_SECOND, Millis};

use crate::caller::CallerPolicy;
use crate::client::ClientPolicy;
use crate::clock::{MILLISECOND, SECOND, SimulationMicros};
use crate::fault::Fault;
use crate::network::Network;

/// Policy for idle connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum IdlePolicy {
    /// The controller sets the idle timeout.
    Controller,
    /// Baseline: they stay open until the callers close them.
    NeverClose,
    /// Baseline: the longest idle ones are closed when the table fills up.
    CloseWhenFull,
    /// Baseline: they are closed immediately.
    CloseImmediately,
}

/// The servers' machines.
#[derive(Clone, Debug)]
pub struct ServerSetup {
    /// Cores of each.
    pub cores: f64,
    /// Milliseconds of one core to read a request.
    pub read_work: Millis,
    /// Milliseconds of one core for the handshake of a new connection.
    pub handshake_work: Millis,
    /// The smallest and the largest connection table; each server's is drawn between them.
    pub table_size: (usize, usize),
    /// Fill of the table from which on it costs speed.
    pub table_cost_from: f64,
    /// Speed lost with a full table, 0 to 1; proportionally less below.
    pub table_cost: f64,
    /// Speed right after a start, 0 to 1.
    pub slow_start_speed: f64,
    /// Time from a start to full speed.
    pub slow_start_duration: SimulationMicros,
    /// Policy for idle connections.
    pub idle_policy: IdlePolicy,
}

/// A simulation. The same setup gives the same events.
#[derive(Clone, Debug)]
pub struct Setup {
    /// Number of servers.
    pub servers: usize,
    /// Number of callers.
    pub callers: usize,
    /// Machine of each server.
    pub server: ServerSetup,
    /// Behaviour of callers.
    pub caller_policy: CallerPolicy,
    /// Behaviour of clients.
    pub client_policy: ClientPolicy,
    /// Delays between callers and servers.
    pub network: Network,
    /// Mean work of a request, ms on one core.
    pub mean_work: Millis,
    /// Spread of the work to either side, as a part of the mean.
    pub work_spread: f64,
    /// Offered load as a part of the capacity of all cores, with a new connection for every request.
    pub load: f64,
    /// Faults.
    pub faults: Vec<Fault>,
    /// How long clients send requests.
    pub duration: SimulationMicros,
    /// Seed of all random choices.
    pub seed: u64,
}

impl Setup {
    /// A fleet of two-core servers behind callers that retry without a budget, at a load close to what its cores do.
    pub fn fleet(servers: usize, callers: usize, seed: u64) -> Setup {
        Setup {
            servers,
            callers,
            server: ServerSetup {
                cores: 2.0,
                read_work: 10.0,
                handshake_work: 30.0,
                table_size: (60, 92),
                table_cost_from: 0.8,
                table_cost: 0.1,
                slow_start_speed: 0.4,
                slow_start_duration: 4 * SECOND,
                idle_policy: IdlePolicy::Controller,
            },
            caller_policy: CallerPolicy::default(),
            client_policy: ClientPolicy::default(),
            network: Network { min_delay: MILLISECOND / 2, max_delay: 2 * MILLISECOND },
            mean_work: 300.0,
            work_spread: 0.6,
            load: 0.87,
            faults: Vec::new(),
            duration: 30 * SECOND,
            seed,
        }
    }

    /// Request rate of all clients, requests per second.
    pub fn requests_per_second(&self) -> f64 {
        let cores = self.servers as f64 * self.server.cores;
        self.load * cores * MILLIS_PER_SECOND
            / (self.mean_work + self.server.read_work + self.server.handshake_work)
    }
}
