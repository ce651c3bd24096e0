//! Keys that ended a while ago, by a hash of 64 bits each: that they have run is remembered long after there is no room
//! for more than that. In generations, so that forgetting the oldest costs nothing.
//!
//! Two keys of the same hash would be taken for one; among a million that is one chance in ten million million a look-up,
//! and it costs a message its run, never a second run.

use std::collections::{HashMap, VecDeque};
use std::hash::{BuildHasher, Hash, RandomState};

/// Parts of the time in which keys are forgotten together.
const GENERATIONS: f64 = 8.0;

struct Generation {
    started_at: f64,
    /// Whether their callers have heard.
    answered: HashMap<u64, bool>,
}

pub struct RetiredKeys {
    hasher: RandomState,
    retention: f64,
    max_keys: usize,
    generations: VecDeque<Generation>,
    count: usize,
}

impl RetiredKeys {
    /// At most so many keys, for `remember` ms after each was put here.
    pub fn new(retention: f64, max_keys: usize) -> RetiredKeys {
        let (hasher, generations) = (RandomState::new(), VecDeque::new());
        RetiredKeys { hasher, retention, max_keys, generations, count: 0 }
    }

    pub fn len(&self) -> usize {
        self.count
    }

    pub fn is_empty(&self) -> bool {
        self.count == 0
    }

    pub fn insert(&mut self, key: &impl Hash, told: bool, now: f64) {
        let span = self.retention / GENERATIONS;
        if self.generations.back().is_none_or(|last| now - last.started_at >= span) {
            self.generations.push_back(Generation { started_at: now, answered: HashMap::new() });
        }
        let hash = self.hasher.hash_one(key);
        let last = self.generations.back_mut().expect("there is one");
        self.count += usize::from(last.answered.insert(hash, told).is_none());
        while self.count > self.max_keys && self.generations.len() > 1 {
            self.drop_oldest();
        }
        // One generation alone that is too large: it is parted in time.
        if self.count > self.max_keys {
            self.drop_oldest();
        }
    }

    fn drop_oldest(&mut self) {
        if let Some(first) = self.generations.pop_front() {
            self.count -= first.answered.len();
        }
    }

    /// Whether a key has run, and then whether its caller has heard.
    pub fn get(&self, key: &impl Hash) -> Option<bool> {
        if self.is_empty() {
            return None;
        }
        let hash = self.hasher.hash_one(key);
        self.generations.iter().rev().find_map(|one| one.answered.get(&hash).copied())
    }

    pub fn expire(&mut self, now: f64) {
        let longest = self.retention * (1.0 + 1.0 / GENERATIONS);
        while self.generations.front().is_some_and(|one| now - one.started_at >= longest) {
            self.drop_oldest();
        }
    }
}

#[cfg(test)]
mod tests;
