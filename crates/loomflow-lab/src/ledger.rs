//! What came of a play, second by second.

use crate::clock::{Micros, SECOND};

/// One second of a play. What became of requests stands in the second in which they were first asked.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Second {
    /// Requests asked by clients.
    pub asked: u64,
    /// Of those, answered within the aim.
    pub in_time: u64,
    /// Tries of clients.
    pub tries: u64,
    /// Attempts of callers, those that got no connection included.
    pub attempts: u64,
    /// Attempts refused a connection.
    pub connections_refused: u64,
    /// Connections opened.
    pub handshakes: u64,
    /// Attempts turned away by a server.
    pub turned_away: u64,
    /// Sums over the servers that are up, taken once in the second.
    pub sample: Sample,
}

/// Sums over the servers that are up.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Sample {
    /// Servers up.
    pub servers: u64,
    /// Of the shares that their modules tell.
    pub share: f64,
    /// Of their running limits.
    pub limit: f64,
    /// Of the requests that wait unread.
    pub unread: u64,
    /// Of their tables' fill, 0 to 1 each.
    pub fill: f64,
    /// Of the busy shares of their cores.
    pub busy: f64,
    /// Servers whose table is full.
    pub full: u64,
    /// Servers that close idle connections at once.
    pub closing: u64,
}

/// All seconds of a play.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Ledger {
    /// In order, from the start.
    pub seconds: Vec<Second>,
}

impl Ledger {
    /// The second in which that moment lies.
    pub fn at(&mut self, moment: Micros) -> &mut Second {
        let second = (moment / SECOND) as usize;
        if self.seconds.len() <= second {
            self.seconds.resize(second + 1, Second::default());
        }
        &mut self.seconds[second]
    }

    /// Worth answered within the aim over worth asked, in the seconds from `from` to before `to`.
    pub fn service(&self, from: usize, to: usize) -> f64 {
        let asked = self.sum(from, to, |second| second.asked);
        self.sum(from, to, |second| second.in_time) / asked
    }

    /// A sum over the seconds from `from` to before `to`.
    pub fn sum(&self, from: usize, to: usize, of: impl Fn(&Second) -> u64) -> f64 {
        let to = to.min(self.seconds.len());
        self.seconds[from.min(to)..to].iter().map(of).sum::<u64>() as f64
    }
}
