//! The network between the machines: loss, delay, duplication and cut links.

use std::collections::BTreeSet;

use loomflow_fleet::time::IntegerMillis;
use rand::RngExt;
use rand::rngs::SmallRng;

use crate::config::MachineId;

/// What the network does to messages.
pub struct Network {
    /// Links that are cut, each in one direction.
    pub cut_links: BTreeSet<(MachineId, MachineId)>,
    /// The fraction of messages that is lost.
    pub loss: f64,
    /// The fraction of messages that is sent twice.
    pub duplication: f64,
    /// Maximum delay of a message, ms.
    pub max_delay_millis: IntegerMillis,
}

impl Network {
    /// A network without faults.
    pub fn new() -> Network {
        Network { cut_links: BTreeSet::new(), loss: 0.0, duplication: 0.0, max_delay_millis: 5 }
    }

    /// Whether the first machine can send to the second.
    pub fn is_connected(&self, from: MachineId, to: MachineId) -> bool {
        !self.cut_links.contains(&(from, to))
    }

    /// The delays of the copies of one message that arrive, ms.
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
