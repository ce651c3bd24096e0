//! Keys that finished a while ago, as a hash of 64 bits each: that they have run is remembered long after there is no
//! capacity for more than that. In generations, so that forgetting the oldest costs nothing.
//!
//! Two keys with the same hash would be taken for one. With a million keys the chance is about 5e-14 per look-up; it costs a
//! message its run, and never causes a second run.

use std::collections::{HashMap, VecDeque};
use std::hash::{BuildHasher, Hash, RandomState};

use crate::Millis;

/// Parts of the retention in which keys are forgotten together.
const GENERATIONS: f64 = 8.0;

struct Generation {
    started_at: Millis,
    /// Whether the caller of each key was answered.
    answered: HashMap<u64, bool>,
}

/// The hashes, in generations.
pub struct RetiredKeys {
    hasher: RandomState,
    retention: Millis,
    max_keys: usize,
    generations: VecDeque<Generation>,
    count: usize,
}

impl RetiredKeys {
    /// At most `max_keys`, for `retention` after each was inserted.
    pub fn new(retention: Millis, max_keys: usize) -> RetiredKeys {
        let (hasher, generations) = (RandomState::new(), VecDeque::new());
        RetiredKeys { hasher, retention, max_keys, generations, count: 0 }
    }

    /// The number of keys.
    pub fn len(&self) -> usize {
        self.count
    }

    /// Whether there is none.
    pub fn is_empty(&self) -> bool {
        self.count == 0
    }

    /// Inserts a key that has run, with whether its caller was answered.
    pub fn insert(&mut self, key: &impl Hash, is_answered: bool, now: Millis) {
        let hash = self.hasher.hash_one(key);
        let generation = self.current_generation(now);
        let is_new = generation.answered.insert(hash, is_answered).is_none();
        self.count += usize::from(is_new);
        // Each insertion adds one key at most, so that dropping one generation makes room.
        if self.count > self.max_keys {
            self.drop_oldest();
        }
    }

    fn current_generation(&mut self, now: Millis) -> &mut Generation {
        let span = self.retention / GENERATIONS;
        if self.generations.back().is_none_or(|newest| now - newest.started_at >= span) {
            self.generations.push_back(Generation { started_at: now, answered: HashMap::new() });
        }
        self.generations.back_mut().expect("there is one")
    }

    fn drop_oldest(&mut self) {
        if let Some(oldest) = self.generations.pop_front() {
            self.count -= oldest.answered.len();
        }
    }

    /// Whether a key has run, and then whether its caller was answered.
    pub fn get(&self, key: &impl Hash) -> Option<bool> {
        if self.is_empty() {
            return None;
        }
        let hash = self.hasher.hash_one(key);
        self.generations.iter().rev().find_map(|generation| generation.answered.get(&hash).copied())
    }

    /// Forgets the generations that have expired.
    pub fn expire(&mut self, now: Millis) {
        let max_age = self.retention * (1.0 + 1.0 / GENERATIONS);
        while self.generations.front().is_some_and(|oldest| now - oldest.started_at >= max_age) {
            self.drop_oldest();
        }
    }
}

#[cfg(test)]
mod tests;
