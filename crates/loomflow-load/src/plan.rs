//! Plan of a load: which requests are sent, and when.

use std::time::Duration;

/// A rate is not taken for less than this, requests per second: the next request would never be due.
const MIN_RATE: f64 = 0.1;

/// Requests of one class at a rate that changes with time.
#[derive(Clone, Debug)]
pub struct Plan {
    /// Class of the requests.
    pub class: &'static str,
    /// Rates, requests per second, each from a time on, s.
    pub rates: Vec<(f64, f64)>,
    /// Duration of the load.
    pub duration: Duration,
    /// Gateway connections that the requests are spread over; unused for a queue.
    pub connections: usize,
    /// A response after this is late.
    pub objective: Duration,
    /// Prefix of every body, so that the bodies of several plans differ.
    pub prefix: &'static str,
}

impl Plan {
    /// Rate at a time since the start, s; requests per second.
    pub fn rate(&self, at: f64) -> f64 {
        self.rates.iter().rev().find(|(from, _)| at >= *from).map_or(0.0, |(_, rate)| *rate)
    }

    /// The schedule of the plan's requests, from the start on.
    pub(crate) fn schedule(&self) -> Schedule<'_> {
        Schedule { plan: self, due_s: 0.0, taken: 0 }
    }

    /// The body of a request; unique within the plan.
    pub fn body(&self, number: usize) -> Vec<u8> {
        format!("{}{number}", self.prefix).into_bytes()
    }
}

/// When the requests of a plan are due, one after the other.
pub(crate) struct Schedule<'a> {
    plan: &'a Plan,
    due_s: f64,
    taken: usize,
}

impl Schedule<'_> {
    /// When the next request is due, s since the start.
    pub(crate) fn due_s(&self) -> f64 {
        self.due_s
    }

    /// Number of requests that were taken so far.
    pub(crate) fn taken(&self) -> usize {
        self.taken
    }

    /// Takes the next request: the one after it is due by the rate of this one.
    pub(crate) fn advance(&mut self) {
        self.due_s += 1.0 / self.plan.rate(self.due_s).max(MIN_RATE);
        self.taken += 1;
    }
}
