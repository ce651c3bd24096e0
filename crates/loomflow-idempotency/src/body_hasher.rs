//! Digests to compare the bodies of requests with the same idempotency key.

use std::hash::{BuildHasher, RandomState};

/// Computes body digests with a random seed, so that two bodies with the same digest cannot be crafted.
#[derive(Clone, Debug, Default)]
pub struct BodyHasher(RandomState);

impl BodyHasher {
    /// Returns the digest of a body. It is comparable only with digests of the same hasher or its clones.
    pub fn digest(&self, body: &[u8]) -> u64 {
        self.0.hash_one(body)
    }
}

#[cfg(test)]
mod tests;
