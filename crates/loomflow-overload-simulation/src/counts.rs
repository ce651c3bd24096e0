//! What a simulation counts, by second.

use crate::clock::{SECOND, SimulationMicros};

/// Counts of one second; outcomes of requests are counted in the second in which they were first sent.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct SecondCounts {
    /// Requests sent by clients.
    pub sent: u64,
    /// Requests answered within the objective.
    pub in_time: u64,
    /// Attempts of clients.
    pub client_attempts: u64,
    /// Attempts of callers, including those without a connection.
    pub attempts: u64,
    /// Attempts whose connection was rejected.
    pub connections_rejected: u64,
    /// Connections opened.
    pub handshakes: u64,
    /// Attempts rejected by a server.
    pub rejected: u64,
    /// Sums over the servers that are up, sampled once per second.
    pub sample: ServerSums,
}

/// Sums over the servers that are up.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ServerSums {
    /// Servers up.
    pub servers: u64,
    /// Sum of their send shares.
    pub share: f64,
    /// Sum of their limits on concurrent runs.
    pub limit: f64,
    /// Sum of their unread requests.
    pub unread: u64,
    /// Sum of the fill of their tables, 0 to 1 each.
    pub fill: f64,
    /// Sum of the utilization of their cores.
    pub busy: f64,
    /// Servers whose table is full.
    pub full: u64,
    /// Servers that close idle connections immediately.
    pub closing: u64,
}

/// All seconds of a simulation.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct CountsBySecond {
    /// In order, from the start.
    pub seconds: Vec<SecondCounts>,
}

impl CountsBySecond {
    /// The second of a time.
    pub fn at(&mut self, moment: SimulationMicros) -> &mut SecondCounts {
        let second = (moment / SECOND) as usize;
        if self.seconds.len() <= second {
            self.seconds.resize(second + 1, SecondCounts::default());
        }
        &mut self.seconds[second]
    }

    /// Part of the requests that were answered within the objective, over the seconds `from..to`.
    pub fn service(&self, from: usize, to: usize) -> f64 {
        let sent = self.sum(from, to, |second| second.sent);
        self.sum(from, to, |second| second.in_time) / sent
    }

    /// A sum over the seconds `from..to`.
    pub fn sum(&self, from: usize, to: usize, of: impl Fn(&SecondCounts) -> u64) -> f64 {
        let to = to.min(self.seconds.len());
        self.seconds[from.min(to)..to].iter().map(of).sum::<u64>() as f64
    }
}
