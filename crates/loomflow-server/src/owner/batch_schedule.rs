//! When the owner handles the next batch of events.

use std::time::Duration;

use loomflow::time::Millis;

use crate::time::{ceil_duration, floor_duration};

/// The maximum time between two batches, and so between two checks of idle connections and deadlines.
const MAX_SLEEP_MS: Millis = 100.0;
/// A batch that begins this long after its deadline follows a pause of the machine.
const PAUSE_THRESHOLD_MS: Millis = 20.0;

/// When the next batch is due.
#[derive(Clone, Copy, Debug)]
pub(super) struct BatchSchedule {
    last_batch_at: Millis,
    /// Minimum time between two batches.
    interval: Millis,
    /// The batch is due by then without any event.
    deadline: Millis,
}

impl BatchSchedule {
    /// The schedule after a batch at `last_batch_at`; `next_deadline`: the first deadline or timer.
    pub(super) fn new(last_batch_at: Millis, interval: Millis, next_deadline: Millis) -> BatchSchedule {
        BatchSchedule { last_batch_at, interval, deadline: next_deadline.min(last_batch_at + MAX_SLEEP_MS) }
    }

    /// How long to wait for an event.
    pub(super) fn timeout(&self, now: Millis) -> Duration {
        let timeout = (self.deadline - now).max(0.0);
        ceil_duration(timeout)
    }

    /// Whether the machine has paused since the last batch: what arrived during the pause has to be read before deadlines are
    /// checked.
    pub(super) fn follows_pause(&self, now: Millis) -> bool {
        now - self.deadline > PAUSE_THRESHOLD_MS
    }

    /// How long the batch has to be delayed, so that the interval since the last one has passed; none if it has.
    pub(super) fn delay(&self, now: Millis) -> Option<Duration> {
        let delay = self.last_batch_at + self.interval - now;
        (delay > 0.0).then(|| floor_duration(delay))
    }
}

#[cfg(test)]
mod tests;
