//! The monotonic clock, which the controller uses, and the wall clock, which timestamps on the wire refer to.

use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use loomflow::time::Millis;

use crate::time::duration_millis;

/// The time on both clocks, read together.
#[derive(Clone, Copy, Debug)]
pub struct ClockReading {
    /// Time since [`Clock::start`], on the monotonic clock.
    pub ms: Millis,
    /// Time since the Unix epoch, on the wall clock.
    pub unix: Millis,
}

impl ClockReading {
    /// Returns the time since a timestamp of the wall clock; 0 if it is in the future.
    pub fn age(self, timestamp: Millis) -> Millis {
        (self.unix - timestamp).max(0.0)
    }
}

/// Reads both clocks; the monotonic one starts at 0.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    start: Instant,
}

impl Clock {
    /// Starts the monotonic clock at 0.
    pub fn start() -> Clock {
        Clock { start: Instant::now() }
    }

    /// Reads both clocks.
    pub fn now(&self) -> ClockReading {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or(Duration::ZERO);
        ClockReading { ms: duration_millis(self.start.elapsed()), unix: duration_millis(unix) }
    }

    /// Advances the monotonic clock.
    #[cfg(test)]
    pub fn advance(&mut self, by: Duration) {
        self.start =
            self.start.checked_sub(by).expect("the machine was booted longer ago than the clock is advanced");
    }
}
