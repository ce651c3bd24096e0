//! How many may be out, and what counts as back: what the operators set, the same on all servers through the log.

use serde::{Deserialize, Serialize};

use super::ticket::FleetMs;

/// So many, or such a share of those who are there.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub enum Amount {
    Count(u32),
    /// From 0 to 1; rounded down, but never to none.
    Share(f64),
}

impl Amount {
    pub fn of(self, all: u32) -> u32 {
        match self {
            Amount::Count(count) => count,
            Amount::Share(share) => ((f64::from(all) * share) as u32).max(1),
        }
    }
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Rules {
    /// Out at once, in all.
    pub out: Amount,
    /// Out at once in one zone; no bound of its own where absent.
    pub zone_out: Option<Amount>,
    /// A grant that is not taken up for so long lapses, ms.
    pub begin_within: FleetMs,
    /// How long a server bears its load before its place is free, ms.
    pub warm_for: FleetMs,
    /// The send share from which on it does.
    pub warm_share: f32,
}

impl Default for Rules {
    fn default() -> Rules {
        Rules {
            out: Amount::Count(1),
            zone_out: None,
            begin_within: 30_000,
            warm_for: 10_000,
            warm_share: 0.9,
        }
    }
}

/// Voters that must stay well when one of `all` goes: a majority, and one more where there are enough of them, so that
/// the majority never hangs on one machine. Of three only a majority can stay; then all three must be well before.
pub fn voters_needed(all: u32) -> u32 {
    let majority = all / 2 + 1;
    majority + u32::from(all > majority + 1)
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_share_is_never_none() {
        assert_eq!([0, 5, 9, 10, 300].map(|all| Amount::Share(0.1).of(all)), [1, 1, 1, 1, 30]);
        assert_eq!(Amount::Count(0).of(9), 0);
    }

    #[test]
    fn one_voter_never_goes_and_a_majority_of_five_hangs_on_nobody() {
        assert_eq!([1, 2, 3, 5].map(voters_needed), [1, 2, 2, 4]);
    }
}
