//! The two clocks: the monotonic one that the controller uses, and the wall clock of the protocol's timestamps.

use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use loomflow::time::Millis;

use crate::time::duration_millis;

/// One reading of both clocks.
#[derive(Clone, Copy, Debug)]
pub struct Now {
    /// Time since the start, on the monotonic clock.
    pub ms: Millis,
    /// Time since 1970, on the wall clock.
    pub unix: Millis,
}

impl Now {
    /// The time since a timestamp on the wire; 0 where that is in the future.
    pub fn age(self, timestamp: Millis) -> Millis {
        (self.unix - timestamp).max(0.0)
    }
}

/// Both clocks.
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
    pub fn now(&self) -> Now {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or(Duration::ZERO);
        Now { ms: duration_millis(self.start.elapsed()), unix: duration_millis(unix) }
    }

    /// Advances the monotonic clock.
    #[cfg(test)]
    pub fn advance(&mut self, by: Duration) {
        self.start = self.start.checked_sub(by).expect("the machine has been up for longer");
    }
}
