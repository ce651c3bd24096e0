//! Idempotency keys whose records were evicted, as 64-bit hashes: they show that a key has run long after its record
//! exceeded the capacity. The hashes are grouped into generations, so that the oldest are dropped in constant time.
//!
//! Keys with the same hash are not distinguished. With a million keys the probability of a collision is about 5e-14 per
//! lookup. A collision prevents a message from running; it never causes a second run.

use std::collections::{HashMap, VecDeque};
use std::hash::{BuildHasher, Hash, RandomState};
use std::num::NonZeroU64;

use crate::Millis;

/// Number of generations per retention time. The keys of a generation are dropped together.
const GENERATIONS: f64 = 8.0;

/// What is retained of a key that has run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RetiredKey {
    /// Digest of the caller whose message only has to be acknowledged; `None` if there is none.
    pub completed_caller: Option<NonZeroU64>,
}

struct Generation {
    started_at: Millis,
    keys: HashMap<u64, RetiredKey>,
}

/// Bounded set of key hashes that expire.
pub struct RetiredKeys {
    hasher: RandomState,
    retention: Millis,
    max_keys: usize,
    /// Oldest first.
    generations: VecDeque<Generation>,
    count: usize,
}

impl RetiredKeys {
    /// Creates a set of at most `max_keys` keys, each retained for `retention` ms after it was inserted.
    pub fn new(retention: Millis, max_keys: usize) -> RetiredKeys {
        let (hasher, generations) = (RandomState::new(), VecDeque::new());
        RetiredKeys { hasher, retention, max_keys, generations, count: 0 }
    }

    /// Number of retained keys.
    pub fn len(&self) -> usize {
        self.count
    }

    /// Whether no key is retained.
    pub fn is_empty(&self) -> bool {
        self.count == 0
    }

    /// Inserts a key that has run.
    pub fn insert(&mut self, key: &impl Hash, retired: RetiredKey, now: Millis) {
        let hash = self.hasher.hash_one(key);
        let generation = self.current_generation(now);
        let is_new = generation.keys.insert(hash, retired).is_none();
        self.count += usize::from(is_new);
        // An insertion adds at most one key, so dropping one generation is enough.
        if self.count > self.max_keys {
            self.drop_oldest();
        }
    }

    fn current_generation(&mut self, now: Millis) -> &mut Generation {
        let duration = self.retention / GENERATIONS;
        if self.generations.back().is_none_or(|newest| now - newest.started_at >= duration) {
            self.generations.push_back(Generation { started_at: now, keys: HashMap::new() });
        }
        self.generations.back_mut().expect("a generation exists or was just added")
    }

    fn drop_oldest(&mut self) {
        if let Some(oldest) = self.generations.pop_front() {
            self.count -= oldest.keys.len();
        }
    }

    /// What is known of a key; `None` if it is not retained.
    pub fn get(&self, key: &impl Hash) -> Option<RetiredKey> {
        if self.is_empty() {
            return None;
        }
        let hash = self.hasher.hash_one(key);
        self.generations.iter().rev().find_map(|generation| generation.keys.get(&hash).copied())
    }

    /// Drops the generations that have expired.
    pub fn expire(&mut self, now: Millis) {
        let max_age = self.retention * (1.0 + 1.0 / GENERATIONS);
        while self.generations.front().is_some_and(|oldest| now - oldest.started_at >= max_age) {
            self.drop_oldest();
        }
    }
}

#[cfg(test)]
mod tests;
