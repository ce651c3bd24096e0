//! The ids of attempts whose runs were started and have ended. A gateway gives every attempt a new id, so a request with such
//! an id is the same attempt again: running it could repeat its effect.
//!
//! The history is bounded: the oldest ids are forgotten beyond a maximum and after [`RETENTION_MS`].

use std::collections::{HashSet, VecDeque};

use loomflow::time::Millis;
use loomflow_protocol::AttemptId;

/// How long an id is kept after the end of its run.
const RETENTION_MS: Millis = 600_000.0;

/// A run that has ended.
struct EndedRun {
    attempt_id: AttemptId,
    ended_at: Millis,
}

/// Bounded history of the attempts that have run.
pub(super) struct StartedAttempts {
    max_ids: usize,
    /// Oldest first.
    ended_runs: VecDeque<EndedRun>,
    ids: HashSet<AttemptId>,
}

impl StartedAttempts {
    /// Creates an empty history of at most `max_ids` ids.
    pub(super) fn new(max_ids: usize) -> StartedAttempts {
        StartedAttempts { max_ids, ended_runs: VecDeque::new(), ids: HashSet::new() }
    }

    /// Records that the run of an attempt has ended.
    pub(super) fn record(&mut self, attempt_id: AttemptId, now: Millis) {
        if !self.ids.insert(attempt_id) {
            return;
        }
        self.ended_runs.push_back(EndedRun { attempt_id, ended_at: now });
        while self.ended_runs.len() > self.max_ids {
            self.forget_oldest();
        }
    }

    /// Whether an attempt has run, as far as its id is still kept.
    pub(super) fn contains(&self, attempt_id: AttemptId) -> bool {
        self.ids.contains(&attempt_id)
    }

    /// Forgets the ids that have been kept for [`RETENTION_MS`].
    pub(super) fn expire(&mut self, now: Millis) {
        while self.ended_runs.front().is_some_and(|oldest| now - oldest.ended_at >= RETENTION_MS) {
            self.forget_oldest();
        }
    }

    fn forget_oldest(&mut self) {
        if let Some(oldest) = self.ended_runs.pop_front() {
            self.ids.remove(&oldest.attempt_id);
        }
    }
}

#[cfg(test)]
mod tests;
