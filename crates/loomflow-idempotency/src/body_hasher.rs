//! Digests that tell the bodies under one key apart.

use std::hash::{BuildHasher, RandomState};

/// Digests bodies. Randomly seeded at each start, so that nobody can craft two bodies with the same digest.
#[derive(Clone, Debug, Default)]
pub struct BodyHasher(RandomState);

impl BodyHasher {
    /// The digest of a body, to be compared with those of this hasher only.
    pub fn digest(&self, body: &[u8]) -> u64 {
        self.0.hash_one(body)
    }
}

#[cfg(test)]
mod tests;
