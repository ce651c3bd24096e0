//! A delay that doubles with each attempt.

use crate::Millis;

/// Factor from one delay to the next.
const GROWTH: f64 = 2.0;
/// Delays do not grow after so many attempts; the power of the factor stays far from overflow.
const MAX_DOUBLINGS: u32 = 30;

/// A delay that doubles from `min` up to `max`.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ExponentialBackoff {
    initial: Millis,
    min: Millis,
    max: Millis,
    delay: Millis,
}

impl ExponentialBackoff {
    /// The first delay is `min`.
    pub const fn new(min: Millis, max: Millis) -> ExponentialBackoff {
        ExponentialBackoff { initial: min, min, max, delay: min }
    }

    /// The first attempt is made at once, and the first delay after that is `min`.
    pub const fn immediate_first(min: Millis, max: Millis) -> ExponentialBackoff {
        ExponentialBackoff { initial: 0.0, min, max, delay: 0.0 }
    }

    /// The delay before the next attempt.
    pub fn delay(&self) -> Millis {
        self.delay
    }

    /// The delay after so many failed attempts, where the count is known and not the state.
    pub fn delay_after(min: Millis, max: Millis, attempts: u32) -> Millis {
        (min * GROWTH.powi(attempts.min(MAX_DOUBLINGS) as i32)).min(max)
    }

    /// Returns the delay before the next attempt, and doubles the one after it.
    pub fn advance(&mut self) -> Millis {
        let delay = self.delay;
        self.delay = (delay * GROWTH).clamp(self.min, self.max);
        delay
    }

    /// An attempt succeeded: delays begin anew.
    pub fn reset(&mut self) {
        self.delay = self.initial;
    }
}

#[cfg(test)]
mod tests;
