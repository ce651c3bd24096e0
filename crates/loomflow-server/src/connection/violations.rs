//! Throttles reading from a connection according to its recent protocol violations.

use std::time::{Duration, Instant};

/// Delay before the next read for each recent violation, so that a flood of invalid messages slows down its own sender.
const THROTTLE_STEP: Duration = Duration::from_millis(5);
/// Maximum count of recent violations; limits the delay to 100 ms.
const MAX_VIOLATIONS: u32 = 20;
/// The count decreases by one per interval, so that a connection that is open for days is throttled for recent violations
/// only.
const DECAY_INTERVAL: Duration = Duration::from_secs(1);

/// Counter of the violations of the protocol on one connection; decreases by one per [`DECAY_INTERVAL`].
#[derive(Clone, Copy, Debug)]
pub(super) struct Violations {
    count: u32,
    /// Time up to which decay has been applied to `count`.
    decayed_at: Instant,
}

impl Violations {
    /// Creates a counter without violations.
    pub(super) fn new(now: Instant) -> Violations {
        Violations { count: 0, decayed_at: now }
    }

    /// The number of violations that have not decayed.
    pub(super) fn current(&mut self, now: Instant) -> u32 {
        let elapsed = now.saturating_duration_since(self.decayed_at);
        let decayed = elapsed.as_secs() / DECAY_INTERVAL.as_secs();
        self.count = self.count.saturating_sub(u32::try_from(decayed).unwrap_or(u32::MAX));
        self.decayed_at =
            if self.count == 0 { now } else { self.decayed_at + DECAY_INTERVAL * decayed as u32 };
        self.count
    }

    /// Counts a violation, up to [`MAX_VIOLATIONS`].
    pub(super) fn record(&mut self, now: Instant) {
        self.count = (self.current(now) + 1).min(MAX_VIOLATIONS);
    }

    /// Delay before the next read: [`THROTTLE_STEP`] for each recent violation.
    pub(super) fn throttle_delay(&mut self, now: Instant) -> Duration {
        THROTTLE_STEP * self.current(now)
    }
}

#[cfg(test)]
mod tests;
