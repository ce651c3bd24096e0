//! Order of calls: runs that wait for a permit get one in the order of the queue; those that back off
//! from a failed attempt come back to that order when their time has come.
//!
//! Inputs: queue keys, time of the retry (ms). All of them are off the cores, but count in the
//! concurrency limit.

use std::collections::{BTreeMap, BTreeSet};

use super::queue::QueueKey;
use crate::interface::RequestId;
use crate::time::Millis;

/// The runs that wait for their call.
#[derive(Default)]
pub(super) struct CallQueue {
    ready: BTreeSet<QueueKey>,
    retry_at: BTreeMap<QueueKey, Millis>,
}

impl CallQueue {
    pub(super) fn insert(&mut self, key: QueueKey) {
        self.ready.insert(key);
    }

    /// Queues a call again at a later time.
    pub(super) fn retry(&mut self, key: QueueKey, at: Millis) {
        self.retry_at.insert(key, at);
    }

    pub(super) fn remove(&mut self, key: QueueKey) {
        self.ready.remove(&key);
        self.retry_at.remove(&key);
    }

    /// Moves the retries that are due to those that wait for a permit.
    pub(super) fn advance(&mut self, now: Millis) {
        let ready = &mut self.ready;
        self.retry_at.retain(|key, at| *at > now || !ready.insert(*key));
    }

    /// Takes out the run that gets the next permit.
    pub(super) fn pop_first(&mut self) -> Option<RequestId> {
        self.ready.pop_first().map(|key| key.id)
    }

    /// The run that gets a permit last.
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
