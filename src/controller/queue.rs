//! Order of the queue: highest weight per unit of work first; within a weight level the earliest objective,
//! or under overload the latest.
//!
//! Inputs: weight per unit of work, objective (ms), expected run (ms). Under overload the oldest requests are
//! the closest to missing their objective; if they ran first, all of them would be late.

use std::collections::BTreeSet;

use crate::interface::{RequestId, Settings};
use crate::time::{Micros, Millis, micros};

/// Weight levels per doubling: weights within a factor of 2^(1/2) count as equal.
const LEVELS_PER_DOUBLING: f64 = 2.0;

/// Position of a request in the queue: the smallest key runs first and is shed last.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct QueueKey {
    /// The level of the weight per work, negated so that the highest level comes first.
    negated_level: i64,
    objective_at: Micros,
    pub(super) id: RequestId,
}

impl QueueKey {
    pub(super) fn new(weight_per_work: f64, objective_at: Millis, id: RequestId) -> QueueKey {
        let level = if weight_per_work > 0.0 {
            (weight_per_work.log2() * LEVELS_PER_DOUBLING).round() as i64
        } else {
            i64::MIN + 1
        };
        QueueKey { negated_level: -level, objective_at: micros(objective_at), id }
    }

    /// A placeholder key for a request that is not queued.
    pub(super) fn unqueued(id: RequestId) -> QueueKey {
        QueueKey { id, ..QueueKey::default() }
    }

    /// Exclusive upper bound of the keys of this weight level.
    fn end_of_level(self) -> QueueKey {
        QueueKey { negated_level: self.negated_level + 1, objective_at: Micros::MIN, id: 0 }
    }
}

/// The queued requests and their expected work.
#[derive(Default)]
pub(super) struct RequestQueue {
    keys: BTreeSet<QueueKey>,
    /// Sum of the expected run times.
    work: Millis,
}

impl RequestQueue {
    pub(super) fn insert(&mut self, key: QueueKey, expected_run: Millis) {
        self.keys.insert(key);
        self.work += expected_run;
    }

    pub(super) fn remove(&mut self, key: QueueKey, expected_run: Millis) {
        self.keys.remove(&key);
        self.work -= expected_run;
    }

    pub(super) fn len(&self) -> usize {
        self.keys.len()
    }

    pub(super) fn is_empty(&self) -> bool {
        self.keys.is_empty()
    }

    /// Expected time of all queued runs on one core.
    pub(super) fn work(&self) -> Millis {
        self.work
    }

    pub(super) fn ids(&self) -> impl Iterator<Item = RequestId> {
        self.keys.iter().map(|key| key.id)
    }

    /// The request to shed first.
    pub(super) fn last(&self) -> Option<RequestId> {
        self.keys.last().map(|key| key.id)
    }

    /// The request to run next.
    pub(super) fn next(&self, is_overloaded: bool) -> Option<RequestId> {
        let first = self.keys.first()?;
        if !is_overloaded {
            return Some(first.id);
        }
        self.keys.range(..first.end_of_level()).next_back().map(|key| key.id)
    }

    /// Whether the cores need longer than the setpoint of the queueing time for the queued work. This is a
    /// separate sign of overload: while the newest requests run first, the queueing times of finished runs
    /// do not show a backlog.
    pub(super) fn has_backlog(&self, cores: f64, setpoint: Millis) -> bool {
        self.work / cores > setpoint
    }
}

/// The weight of a request per unit of expected work. Requests over the quota of their tenant have a lower
/// weight; where the settings give weights per unit of work, the expected run does not matter.
pub(super) fn weight_per_work(
    settings: &Settings,
    priority_weight: f64,
    is_over_quota: bool,
    expected_run: Millis,
) -> f64 {
    let quota_factor = if is_over_quota { settings.over_quota_weight } else { 1.0 };
    let has_work = !settings.is_weight_per_work && expected_run > 0.0;
    let work = if has_work { expected_run } else { 1.0 };
    priority_weight * quota_factor / work
}

#[cfg(test)]
mod tests;
