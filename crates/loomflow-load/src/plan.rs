//! What is asked, and when.

use std::time::Duration;

/// Requests of one class at a rate that changes with time.
#[derive(Clone, Debug)]
pub struct Plan {
    /// Class of the requests.
    pub class: &'static str,
    /// Requests a second, from each of these seconds on.
    pub rates: Vec<(f64, f64)>,
    /// Duration of the load.
    pub span: Duration,
    /// Connections of gateways that the requests are spread over; a queue needs none.
    pub connections: usize,
    /// An answer after this is late.
    pub aim: Duration,
    /// Begins every body, so that bodies of several plans differ.
    pub prefix: &'static str,
}

impl Plan {
    /// Requests a second at a time since the start, s.
    pub fn rate(&self, at: f64) -> f64 {
        self.rates.iter().rev().find(|(from, _)| at >= *from).map_or(0.0, |(_, rate)| *rate)
    }

    /// The body of a request, which no other has.
    pub fn body(&self, number: usize) -> Vec<u8> {
        format!("{}{number}", self.prefix).into_bytes()
    }
}
