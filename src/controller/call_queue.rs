//! Order of downstream calls: runs get permits in the order of their queue keys; a run whose call failed
//! rejoins that order after its backoff.
//!
//! Inputs: queue keys, times of retries (ms). All of these runs are off the cores, but count toward the
//! concurrency limit.

use std::collections::{BTreeMap, BTreeSet};

use super::queue::QueueKey;
use crate::interface::RequestId;
use crate::time::Millis;

/// The runs that wait for a permit or for a retry of their call.
#[derive(Default)]
pub(super) struct CallQueue {
    ready: BTreeSet<QueueKey>,
    retry_at: BTreeMap<QueueKey, Millis>,
}

impl CallQueue {
    pub(super) fn insert(&mut self, key: QueueKey) {
        self.ready.insert(key);
    }

    /// Queues a run for another attempt of its call at the time `at`.
    pub(super) fn retry(&mut self, key: QueueKey, at: Millis) {
        self.retry_at.insert(key, at);
    }

    pub(super) fn remove(&mut self, key: QueueKey) {
        self.ready.remove(&key);
        self.retry_at.remove(&key);
    }

    /// Lets runs whose retry is due wait for a permit.
    pub(super) fn advance(&mut self, now: Millis) {
        let ready = &mut self.ready;
        self.retry_at.retain(|key, at| *at > now || !ready.insert(*key));
    }

    /// Removes and returns the run that gets the next permit.
    pub(super) fn pop_first(&mut self) -> Option<RequestId> {
        self.ready.pop_first().map(|key| key.id)
    }

    /// The run that would get a permit last.
    pub(super) fn last(&self) -> Option<RequestId> {
        self.ready.last().map(|key| key.id)
    }

    /// The number of runs that wait for a permit.
    pub(super) fn ready_len(&self) -> usize {
        self.ready.len()
    }

    /// The number of runs that wait for a permit or a retry.
    pub(super) fn waiting(&self) -> f64 {
        (self.ready.len() + self.retry_at.len()) as f64
    }
}

#[cfg(test)]
mod tests;
