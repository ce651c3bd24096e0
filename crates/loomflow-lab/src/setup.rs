//! What a play consists of, as data: the fleet, its callers and clients, the load and the faults.

use crate::caller::Habits;
use crate::client::ClientHabits;
use crate::clock::{MILLISECOND, Micros, SECOND};
use crate::fault::Fault;
use crate::network::Network;
use crate::server::IdlePolicy;

/// The servers' machines.
#[derive(Clone, Debug)]
pub struct ServerSetup {
    /// Cores of each.
    pub cores: f64,
    /// Milliseconds of one core to read a request.
    pub read_work: f64,
    /// Milliseconds of one core for the handshake of a new connection.
    pub handshake_work: f64,
    /// The smallest and the largest connection table; each server's is drawn between them.
    pub table: (usize, usize),
    /// The part of a table from which on it costs speed.
    pub taxed_from: f64,
    /// The speed lost with a full table, 0 to 1; less in proportion below.
    pub table_tax: f64,
    /// The speed right after a start, 0 to 1.
    pub cold_speed: f64,
    /// How long after a start the full speed is reached.
    pub warm_up: Micros,
    /// Who decides when idle connections are closed.
    pub idle_policy: IdlePolicy,
}

/// A whole play. The same setup gives the same events.
#[derive(Clone, Debug)]
pub struct Setup {
    /// Number of servers.
    pub servers: usize,
    /// Number of callers.
    pub callers: usize,
    /// What each server is.
    pub server: ServerSetup,
    /// How callers behave.
    pub habits: Habits,
    /// How clients behave.
    pub clients: ClientHabits,
    /// Delays between callers and servers.
    pub network: Network,
    /// Milliseconds of one core that a request needs in the mean.
    pub mean_work: f64,
    /// Requests' work lies within this part of the mean to either side.
    pub work_spread: f64,
    /// The work asked for, as a part of what all cores do, with a new connection for every request.
    pub load: f64,
    /// What goes wrong, and when.
    pub faults: Vec<Fault>,
    /// How long clients ask.
    pub length: Micros,
    /// Seed of everything random.
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
                table: (60, 92),
                taxed_from: 0.8,
                table_tax: 0.1,
                cold_speed: 0.4,
                warm_up: 4 * SECOND,
                idle_policy: IdlePolicy::Module,
            },
            habits: Habits::default(),
            clients: ClientHabits::default(),
            network: Network { shortest: MILLISECOND / 2, longest: 2 * MILLISECOND },
            mean_work: 300.0,
            work_spread: 0.6,
            load: 0.87,
            faults: Vec::new(),
            length: 30 * SECOND,
            seed,
        }
    }

    /// Requests that clients ask for each second, over the whole fleet.
    pub fn requests_per_second(&self) -> f64 {
        let cores = self.servers as f64 * self.server.cores;
        self.load * cores * 1_000.0 / (self.mean_work + self.server.read_work + self.server.handshake_work)
    }
}
