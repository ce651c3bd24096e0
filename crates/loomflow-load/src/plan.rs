//! Plan of a load: which requests are sent, and when.

use std::time::Duration;

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

    /// The body of a request; unique within the plan.
    pub fn body(&self, number: usize) -> Vec<u8> {
        format!("{}{number}", self.prefix).into_bytes()
    }
}
