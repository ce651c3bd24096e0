//! How many servers may be out, and what counts as back: set by the operators, the same on all servers through the log.

use serde::{Deserialize, Serialize};

use crate::time::FleetMillis;

/// A number of servers, or a share of those in the fleet or zone.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub enum Limit {
    /// This many.
    Count(u32),
    /// From 0 to 1; rounded down, but never to none.
    Share(f64),
}

impl Limit {
    /// The number of servers that this is of `total`.
    pub fn of(self, total: u32) -> u32 {
        match self {
            Limit::Count(count) => count,
            Limit::Share(share) => ((f64::from(total) * share) as u32).max(1),
        }
    }
}

/// The operators' rules for maintenance.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Rules {
    /// Servers out at once, in the fleet.
    #[serde(rename = "out")]
    pub max_out: Limit,
    /// Servers out at once in one zone; no limit of its own where absent.
    #[serde(rename = "zone_out")]
    pub max_out_per_zone: Option<Limit>,
    /// A grant that is not taken up for this long lapses, ms.
    #[serde(rename = "begin_within")]
    pub begin_within_millis: FleetMillis,
    /// How long a server carries its load before its place is available, ms.
    #[serde(rename = "warm_for")]
    pub ready_for_millis: FleetMillis,
    /// The send share from which on a server carries its load.
    #[serde(rename = "warm_share")]
    pub min_ready_share: f32,
}

impl Default for Rules {
    fn default() -> Rules {
        Rules {
            max_out: Limit::Count(1),
            max_out_per_zone: None,
            begin_within_millis: 30_000,
            ready_for_millis: 10_000,
            min_ready_share: 0.9,
        }
    }
}

/// Voters that must stay healthy when one of `total` leaves: a majority, and one more where there are that many, so that
/// the majority never depends on one machine. Of three only a majority can stay; then all three must be healthy before. Of one
/// or two voters none can be granted: fewer than a majority would stay.
pub fn voters_needed(total: u32) -> u32 {
    let majority = total / 2 + 1;
    majority + u32::from(total > majority + 1)
}

#[cfg(test)]
mod tests;
