//! The two clocks: the module's, which only moves forward, and the machine's, which the wire's stamps use.

use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// One reading of both.
#[derive(Clone, Copy, Debug)]
pub struct Now {
    /// Ms since the start, on the module's clock.
    pub ms: f64,
    /// Unix ms.
    pub unix: f64,
}

impl Now {
    /// Time since a stamp on the wire; a stamp of the future is from now.
    pub fn age(self, stamp: f64) -> f64 {
        (self.unix - stamp).max(0.0)
    }
}

#[derive(Clone, Copy, Debug)]
pub struct Clock {
    start: Instant,
}

impl Clock {
    pub fn start() -> Clock {
        Clock { start: Instant::now() }
    }

    pub fn now(&self) -> Now {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or(Duration::ZERO);
        Now { ms: self.start.elapsed().as_secs_f64() * 1000.0, unix: unix.as_secs_f64() * 1000.0 }
    }

    /// Lets time pass at once.
    #[cfg(test)]
    pub fn advance(&mut self, by: Duration) {
        self.start = self.start.checked_sub(by).expect("the machine has been up for longer");
    }
}
