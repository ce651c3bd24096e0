//! Protocol violations of a connection, and how much they throttle it.

use std::time::{Duration, Instant};

/// Delay before more is read, for each recent violation: a flood throttles its own sender.
const THROTTLE_STEP: Duration = Duration::from_millis(5);
/// The maximum number of violations that count.
const MAX_VIOLATIONS: u32 = 20;
/// One violation decays after each interval: a connection that is open for days is throttled for recent violations only.
const DECAY_INTERVAL: Duration = Duration::from_secs(1);

/// The number of recent violations.
#[derive(Clone, Copy, Debug)]
pub(super) struct Violations {
    count: u32,
    /// Decay is accounted for up to here.
    decayed_at: Instant,
}

impl Violations {
    /// None so far.
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

    /// Records one more.
    pub(super) fn record(&mut self, now: Instant) {
        self.count = (self.current(now) + 1).min(MAX_VIOLATIONS);
    }

    /// How long to wait before more is read.
    pub(super) fn throttle_delay(&mut self, now: Instant) -> Duration {
        THROTTLE_STEP * self.current(now)
    }
}

#[cfg(test)]
mod tests;
