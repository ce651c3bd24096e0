//! Results of a simulation, by second.

use crate::clock::{SECOND, SimulationMicros};

/// Counts of one second. Requests served in time are counted in the second in which they were first sent.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct SecondCounts {
    /// Number of new requests sent by clients.
    pub sent: u64,
    /// Number of requests served within the latency objective.
    pub in_time: u64,
    /// Number of attempts of clients, including retries.
    pub client_attempts: u64,
    /// Number of attempts of callers at servers, including those whose connection was rejected.
    pub attempts: u64,
    /// Number of attempts whose new connection was rejected.
    pub connections_rejected: u64,
    /// Number of connections opened, each with a handshake.
    pub handshakes: u64,
    /// Number of rejections received by callers.
    pub rejected: u64,
    /// Sums over the servers that are up, sampled once per second.
    pub sample: ServerSums,
}

/// Sums over the servers that are up.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ServerSums {
    /// Number of servers that are up.
    pub servers: u64,
    /// Sum of the servers' send shares, 0 to 1 each.
    pub share: f64,
    /// Sum of the servers' concurrency limits, in runs.
    pub limit: f64,
    /// Number of requests that wait to be read at any of the servers.
    pub unread: u64,
    /// Sum of the fill of the servers' connection tables, 0 to 1 each.
    pub fill: f64,
    /// Sum of the servers' core utilization, 0 to 1 each.
    pub busy: f64,
    /// Number of servers whose connection table is full.
    pub full: u64,
    /// Number of servers whose idle timeout is below one second (or below that of the callers, if shorter).
    pub closing: u64,
}

/// Counts of all seconds of a simulation.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct CountsBySecond {
    /// Counts by second since the start.
    pub seconds: Vec<SecondCounts>,
}

impl CountsBySecond {
    /// Returns the counts of the second that contains `time`.
    pub fn at(&mut self, time: SimulationMicros) -> &mut SecondCounts {
        let second = (time / SECOND) as usize;
        if self.seconds.len() <= second {
            self.seconds.resize(second + 1, SecondCounts::default());
        }
        &mut self.seconds[second]
    }

    /// Returns the fraction of the requests sent in the seconds `from..to` that were served within the
    /// latency objective.
    pub fn service(&self, from: usize, to: usize) -> f64 {
        let sent = self.sum(from, to, |second| second.sent);
        self.sum(from, to, |second| second.in_time) / sent
    }

    /// Sums a count over the seconds `from..to`.
    pub fn sum(&self, from: usize, to: usize, count: impl Fn(&SecondCounts) -> u64) -> f64 {
        let to = to.min(self.seconds.len());
        self.seconds[from.min(to)..to].iter().map(count).sum::<u64>() as f64
    }
}
