//! The operators' rules: how many servers may be out of service for maintenance, and when a returned server
//! counts as ready. Replicated through the log, so that all servers apply the same rules.

use serde::{Deserialize, Serialize};

use crate::time::FleetMillis;

/// A maximum number of servers, absolute or relative to the size of the fleet or zone.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub enum Limit {
    /// An absolute number of servers.
    Count(u32),
    /// A fraction from 0 to 1, rounded down to whole servers but to at least one.
    Share(f64),
}

impl Limit {
    /// The number of servers that the limit allows in a fleet or zone of `total` servers.
    pub fn resolve(self, total: u32) -> u32 {
        match self {
            Limit::Count(count) => count,
            Limit::Share(share) => ((f64::from(total) * share) as u32).max(1),
        }
    }
}

/// The operators' rules for maintenance.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Rules {
    /// Maximum number of servers out of service at once in the whole fleet.
    #[serde(rename = "out")]
    pub max_out: Limit,
    /// Maximum number of servers out of service at once in one zone; `None` sets no limit per zone.
    #[serde(rename = "zone_out")]
    pub max_out_per_zone: Option<Limit>,
    /// Time within which a server has to accept a grant before it lapses, ms.
    #[serde(rename = "begin_within")]
    pub accept_timeout_millis: FleetMillis,
    /// How long a returned server has to stay ready before its slot is released, ms.
    #[serde(rename = "warm_for")]
    pub ready_for_millis: FleetMillis,
    /// Minimum send share at which a returned server counts as ready, from 0 to 1.
    #[serde(rename = "warm_share")]
    pub min_ready_share: f32,
}

impl Default for Rules {
    fn default() -> Rules {
        Rules {
            max_out: Limit::Count(1),
            max_out_per_zone: None,
            accept_timeout_millis: 30_000,
            ready_for_millis: 10_000,
            min_ready_share: 0.9,
        }
    }
}

/// The number of voters that must remain healthy while one of `total` voters is out: a majority plus one, so that the quorum
/// never depends on a single machine. Of three voters only a majority can remain, so all three have to be healthy before one
/// leaves. With one or two voters no voter is ever granted, because fewer than a majority would remain.
pub fn voters_needed(total: u32) -> u32 {
    let majority = total / 2 + 1;
    majority + u32::from(total > majority + 1)
}

#[cfg(test)]
mod tests;
