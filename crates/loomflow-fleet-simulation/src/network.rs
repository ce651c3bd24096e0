//! The network between the machines: loss, delay, duplication and cut links.

use std::collections::BTreeSet;

use loomflow_fleet::time::IntegerMillis;
use rand::RngExt;
use rand::rngs::SmallRng;

use crate::config::MachineId;

/// Current faults of the network.
pub struct Network {
    /// Links that are cut, each in one direction.
    pub cut_links: BTreeSet<(MachineId, MachineId)>,
    /// Fraction of messages that is lost, 0 to 1.
    pub loss: f64,
    /// Fraction of messages that is duplicated, 0 to 1.
    pub duplication: f64,
    /// Maximum delay of a message, ms.
    pub max_delay_millis: IntegerMillis,
}

impl Network {
    /// Creates a network without faults, with delays of up to 5 ms.
    pub fn new() -> Network {
        Network { cut_links: BTreeSet::new(), loss: 0.0, duplication: 0.0, max_delay_millis: 5 }
    }

    /// Returns whether the link from the first machine to the second is not cut.
    pub fn is_connected(&self, from: MachineId, to: MachineId) -> bool {
        !self.cut_links.contains(&(from, to))
    }

    /// Draws the delays of the copies of a message that arrive, ms: none if it is lost, two if it is
    /// duplicated. A cut link does not change how many random numbers are drawn.
    pub fn draw_delays(&self, from: MachineId, to: MachineId, rng: &mut SmallRng) -> Vec<IntegerMillis> {
        let is_duplicated = self.duplication > 0.0 && rng.random_bool(self.duplication);
        let mut delays = Vec::new();
        for _ in 0..=usize::from(is_duplicated) {
            let is_lost = self.loss > 0.0 && rng.random_bool(self.loss);
            let delay = rng.random_range(1..=self.max_delay_millis.max(1));
            if !is_lost && self.is_connected(from, to) {
                delays.push(delay);
            }
        }
        delays
    }

    /// Cuts all links between these machines and all others, in both directions.
    pub fn isolate(&mut self, side: &[MachineId], machine_count: usize) {
        for from in 0..machine_count {
            for to in 0..machine_count {
                if side.contains(&from) != side.contains(&to) {
                    self.cut_links.insert((from, to));
                }
            }
        }
    }
}
