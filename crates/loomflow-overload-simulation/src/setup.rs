//! Parameters of a simulation: fleet, callers, clients, load and faults.

use loomflow::time::{MILLIS_PER_SECOND, Millis};

use crate::caller::CallerPolicy;
use crate::client::ClientPolicy;
use crate::clock::{MILLISECOND, SECOND, SimulationMicros};
use crate::fault::Fault;
use crate::network::Network;

/// Policy of the servers for idle connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum IdlePolicy {
    /// The controller sets the idle timeout.
    Controller,
    /// Baseline: idle connections stay open until the idle timeout of the callers.
    NeverClose,
    /// Baseline: the connections idle for longest are closed while the table is more than 75 % full.
    CloseWhenFull,
    /// Baseline: idle connections are closed after 50 ms.
    CloseImmediately,
}

/// Parameters of the servers and their machines.
#[derive(Clone, Debug)]
pub struct ServerSetup {
    /// Number of cores per server.
    pub cores: f64,
    /// Work to read a request, ms on one core.
    pub read_work: Millis,
    /// Work for the handshake of a new connection, ms on one core.
    pub handshake_work: Millis,
    /// Minimum and maximum capacity of a connection table; each server's capacity is drawn from this range.
    pub table_size: (usize, usize),
    /// Fill of the connection table above which the table reduces the speed of the cores, 0 to 1.
    pub table_cost_from: f64,
    /// Fraction of the speed that is lost with a full table, 0 to 1; the loss falls linearly to 0 at
    /// `table_cost_from`.
    pub table_cost: f64,
    /// Speed at the beginning of a slow start, 0 to 1.
    pub slow_start_speed: f64,
    /// Duration of a slow start, until full speed.
    pub slow_start_duration: SimulationMicros,
    /// Policy for idle connections.
    pub idle_policy: IdlePolicy,
}

/// Parameters of a simulation. The same setup produces the same events.
#[derive(Clone, Debug)]
pub struct Setup {
    /// Number of servers.
    pub servers: usize,
    /// Number of callers.
    pub callers: usize,
    /// Parameters of each server.
    pub server: ServerSetup,
    /// Policies of the callers for load balancing, retries and connection pools.
    pub caller_policy: CallerPolicy,
    /// Deadlines and retries of the clients.
    pub client_policy: ClientPolicy,
    /// One-way delays between callers and servers.
    pub network: Network,
    /// Mean work of a request, ms on one core.
    pub mean_work: Millis,
    /// Maximum deviation of the work from the mean, as a fraction of the mean.
    pub work_spread: f64,
    /// Offered load as a fraction of the capacity of all cores; the load includes a handshake for every
    /// request.
    pub load: f64,
    /// Faults to inject, each with its start and end.
    pub faults: Vec<Fault>,
    /// Time for which clients send new requests.
    pub duration: SimulationMicros,
    /// Seed of the random number generator.
    pub seed: u64,
}

impl Setup {
    /// Returns the setup of a fleet of two-core servers behind callers without a retry budget, under a
    /// load of 0.87 of the capacity of its cores.
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

    /// Returns the rate of new requests from all clients, per second.
    pub fn requests_per_second(&self) -> f64 {
        let cores = self.servers as f64 * self.server.cores;
        self.load * cores * MILLIS_PER_SECOND
            / (self.mean_work + self.server.read_work + self.server.handshake_work)
    }
}
