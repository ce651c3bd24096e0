//! Schedules the batches of the owner.

use std::time::Duration;

use loomflow::time::Millis;

use crate::time::{ceil_duration, floor_duration};

/// Upper bound on the time between two batches, and so on the time between two checks of idle connections and deadlines.
const MAX_SLEEP_MS: Millis = 100.0;
/// A batch that starts later than this after its deadline is taken to follow a pause of the machine.
const PAUSE_THRESHOLD_MS: Millis = 20.0;

/// Schedule of the next batch: not before the minimum interval, and at the latest at the deadline.
#[derive(Clone, Copy, Debug)]
pub(super) struct BatchSchedule {
    last_batch_at: Millis,
    /// Minimum time between the starts of two batches.
    interval: Millis,
    /// When the batch is due even if no event has arrived.
    deadline: Millis,
}

impl BatchSchedule {
    /// Schedules the batch after the one at `last_batch_at`. `next_deadline` is the earliest deadline or timer, or infinite.
    pub(super) fn new(last_batch_at: Millis, interval: Millis, next_deadline: Millis) -> BatchSchedule {
        BatchSchedule { last_batch_at, interval, deadline: next_deadline.min(last_batch_at + MAX_SLEEP_MS) }
    }

    /// How long to wait for an event from `now` on; zero after the deadline.
    pub(super) fn timeout(&self, now: Millis) -> Duration {
        let timeout = (self.deadline - now).max(0.0);
        ceil_duration(timeout)
    }

    /// Whether the machine has paused since the last batch. Data that arrived during the pause must be read before deadlines
    /// are checked.
    pub(super) fn follows_pause(&self, now: Millis) -> bool {
        now - self.deadline > PAUSE_THRESHOLD_MS
    }

    /// How long to delay the batch to keep the minimum interval; `None` if the interval has passed.
    pub(super) fn delay(&self, now: Millis) -> Option<Duration> {
        let delay = self.last_batch_at + self.interval - now;
        (delay > 0.0).then(|| floor_duration(delay))
    }
}

#[cfg(test)]
mod tests;
