//! The network between callers and servers: messages arrive after a random delay, and none is lost.

use fastrand::Rng;

use crate::clock::Micros;

/// One-way delays of messages.
#[derive(Clone, Debug)]
pub struct Network {
    /// The least one-way delay.
    pub shortest: Micros,
    /// The longest one-way delay.
    pub longest: Micros,
}

impl Network {
    /// Draws the delay of one message.
    pub fn delay(&self, rng: &mut Rng) -> Micros {
        rng.u64(self.shortest..=self.longest)
    }
}
