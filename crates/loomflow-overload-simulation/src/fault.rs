//! Faults that a simulation injects.

use crate::clock::SimulationMicros;

/// Kind of a fault, with the fraction of the fleet that it affects.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum FaultKind {
    /// Some callers are down; they restart with empty connection pools.
    CallersDown {
        /// Affected fraction of the callers, 0 to 1.
        fraction: f64,
    },
    /// Some servers are down; they restart in slow start.
    ServersDown {
        /// Affected fraction of the servers, 0 to 1.
        fraction: f64,
    },
    /// The cores of some servers are slow.
    ServersSlow {
        /// Affected fraction of the servers, 0 to 1.
        fraction: f64,
        /// Remaining speed of the cores of these servers, 0 to 1.
        speed: f64,
    },
}

/// A fault with its start and end.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Fault {
    /// Kind of the fault, with the affected fraction.
    pub kind: FaultKind,
    /// Time at which the fault starts.
    pub starts_at: SimulationMicros,
    /// Time at which the fault ends.
    pub ends_at: SimulationMicros,
}

impl FaultKind {
    /// Returns how many of `total` callers or servers are affected.
    pub fn affected_count(&self, total: usize) -> usize {
        let (FaultKind::CallersDown { fraction }
        | FaultKind::ServersDown { fraction }
        | FaultKind::ServersSlow { fraction, .. }) = self;
        (fraction * total as f64).round() as usize
    }
}
