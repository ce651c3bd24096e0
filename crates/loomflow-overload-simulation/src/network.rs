//! The network between callers and servers, which delays messages at random and loses none.

use fastrand::Rng;

use crate::clock::SimulationMicros;

/// Range of the one-way delay of messages, drawn uniformly.
#[derive(Clone, Debug)]
pub struct Network {
    /// Minimum one-way delay, µs.
    pub min_delay: SimulationMicros,
    /// Maximum one-way delay, µs.
    pub max_delay: SimulationMicros,
}

impl Network {
    /// Draws the delay of one message.
    pub fn delay(&self, rng: &mut Rng) -> SimulationMicros {
        rng.u64(self.min_delay..=self.max_delay)
    }
}
