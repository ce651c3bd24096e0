//! Jitter: a random factor that spreads the Retry-After of rejections, so that callers that were rejected
//! together do not return together.
//!
//! Inputs: a seed per instance. Output: a dimensionless factor. The factors come from a linear congruential
//! generator and are the same for the same seed.

/// Multiplier and increment of the generator, those of Knuth's MMIX.
const MULTIPLIER: u64 = 6_364_136_223_846_793_005;
const INCREMENT: u64 = 1_442_695_040_888_963_407;
/// Mixed into the seed, so that small seeds give different states: 2^64 divided by the golden ratio.
const SEED_MASK: u64 = 0x9E37_79B9_7F4A_7C15;
/// Low bits that are not used, since they have short periods in a linear congruential generator.
const DISCARDED_BITS: u32 = 40;
/// The factors lie in `MIN_FACTOR..MIN_FACTOR + FACTOR_RANGE`, with a mean of 1.
const MIN_FACTOR: f64 = 0.75;
const FACTOR_RANGE: f64 = 0.5;

/// A generator of random factors.
pub(super) struct Jitter {
    state: u64,
}

impl Jitter {
    pub(super) fn new(seed: u64) -> Jitter {
        Jitter { state: seed ^ SEED_MASK }
    }

    pub(super) fn next_factor(&mut self) -> f64 {
        self.state = self.state.wrapping_mul(MULTIPLIER).wrapping_add(INCREMENT);
        let number = self.state >> DISCARDED_BITS;
        let end = 1u64 << (u64::BITS - DISCARDED_BITS);
        MIN_FACTOR + FACTOR_RANGE * (number as f64 / end as f64)
    }
}

#[cfg(test)]
mod tests;
