//! Faults of a simulation.

use crate::clock::SimulationMicros;

/// Kinds of faults.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum FaultKind {
    /// Some callers are down, and come back with empty pools.
    CallersDown {
        /// Fraction that is affected, 0 to 1.
        fraction: f64,
    },
    /// Some servers are down, and come back in slow start.
    ServersDown {
        /// Fraction that is affected, 0 to 1.
        fraction: f64,
    },
    /// Some servers are slow.
    ServersSlow {
        /// Fraction that is affected, 0 to 1.
        fraction: f64,
        /// Remaining speed, 0 to 1.
        speed: f64,
    },
}

/// A fault with its time span.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Fault {
    /// Kind of the fault.
    pub kind: FaultKind,
    /// Start.
    pub starts_at: SimulationMicros,
    /// End.
    pub ends_at: SimulationMicros,
}

impl FaultKind {
    /// How many of `total` callers or servers are affected.
    pub fn affected_count(&self, total: usize) -> usize {
        let (FaultKind::CallersDown { fraction }
        | FaultKind::ServersDown { fraction }
        | FaultKind::ServersSlow { fraction, .. }) = self;
        (fraction * total as f64).round() as usize
    }
}
