//! Plan of a load: class, rates and duration of the requests, and the schedule that follows from them.

use std::time::Duration;

/// Minimum rate, requests per second. Lower rates are raised to it, because with a rate of 0 the next request would never
/// be due.
const MIN_RATE: f64 = 0.1;

/// Requests of one class at a rate that changes with time.
#[derive(Clone, Debug)]
pub struct Plan {
    /// Class of all requests.
    pub class: &'static str,
    /// Pairs of a time, s since the start, and the rate from then on, requests per second; ascending by time.
    pub rates: Vec<(f64, f64)>,
    /// Duration of the load, without the wait for open requests at its end.
    pub duration: Duration,
    /// Number of gateway connections over which the requests are spread; ignored if the requests are published to a
    /// queue or sent to a fleet.
    pub connections: usize,
    /// A response that takes longer than this is late.
    pub objective: Duration,
    /// Prefix of every body, so that the bodies of several plans differ.
    pub prefix: &'static str,
}

impl Plan {
    /// Rate at a time, s since the start, in requests per second. 0 before the first rate applies.
    pub fn rate(&self, at: f64) -> f64 {
        self.rates.iter().rev().find(|(from, _)| at >= *from).map_or(0.0, |(_, rate)| *rate)
    }

    /// Schedule of the plan's requests. The first one is due at the start.
    pub(crate) fn schedule(&self) -> Schedule<'_> {
        Schedule { plan: self, due_s: 0.0, taken: 0 }
    }

    /// Body of the request with this number; unique within the plan.
    pub fn body(&self, number: usize) -> Vec<u8> {
        format!("{}{number}", self.prefix).into_bytes()
    }
}

/// Iterates over the times at which the requests of a plan are due.
pub(crate) struct Schedule<'a> {
    plan: &'a Plan,
    due_s: f64,
    taken: usize,
}

impl Schedule<'_> {
    /// Time at which the next request is due, s since the start.
    pub(crate) fn due_s(&self) -> f64 {
        self.due_s
    }

    /// Number of requests taken so far.
    pub(crate) fn taken(&self) -> usize {
        self.taken
    }

    /// Takes the next request. The one after it is due one interval later, by the rate at which this one was due.
    pub(crate) fn advance(&mut self) {
        self.due_s += 1.0 / self.plan.rate(self.due_s).max(MIN_RATE);
        self.taken += 1;
    }
}
