//! The network between callers and servers: messages arrive after a random delay, and none is lost.

use fastrand::Rng;

use crate::clock::SimulationMicros;

/// One-way delays of messages.
#[derive(Clone, Debug)]
pub struct Network {
    /// Minimum one-way delay.
    pub min_delay: SimulationMicros,
    /// Maximum one-way delay.
    pub max_delay: SimulationMicros,
}

impl Network {
    /// Draws the delay of one message.
    pub fn delay(&self, rng: &mut Rng) -> SimulationMicros {
        rng.u64(self.min_delay..=self.max_delay)
    }
}
