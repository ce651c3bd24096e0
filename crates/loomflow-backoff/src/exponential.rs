//! Exponential backoff: a delay that doubles with each attempt.

use crate::Millis;

/// Ratio of a delay to the one before.
const GROWTH: f64 = 2.0;
/// Maximum number of doublings in [`ExponentialBackoff::delay_after`]; 2^30 is far from an overflow of `f64`.
const MAX_DOUBLINGS: u32 = 30;

/// A delay that doubles with each attempt, from `min` up to `max`.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ExponentialBackoff {
    initial: Millis,
    min: Millis,
    max: Millis,
    delay: Millis,
}

impl ExponentialBackoff {
    /// Creates a backoff whose first delay is `min`.
    pub const fn new(min: Millis, max: Millis) -> ExponentialBackoff {
        ExponentialBackoff { initial: min, min, max, delay: min }
    }

    /// Creates a backoff whose first delay is 0 and whose second is `min`.
    pub const fn immediate_first(min: Millis, max: Millis) -> ExponentialBackoff {
        ExponentialBackoff { initial: 0.0, min, max, delay: 0.0 }
    }

    /// Returns the delay before the next attempt without advancing.
    pub fn delay(&self) -> Millis {
        self.delay
    }

    /// Returns the delay after this number of failed attempts, for callers that keep a count instead of a backoff.
    pub fn delay_after(min: Millis, max: Millis, attempts: u32) -> Millis {
        (min * GROWTH.powi(attempts.min(MAX_DOUBLINGS) as i32)).min(max)
    }

    /// Returns the delay before the next attempt, and doubles the delay for the attempt after it.
    pub fn advance(&mut self) -> Millis {
        let delay = self.delay;
        self.delay = (delay * GROWTH).clamp(self.min, self.max);
        delay
    }

    /// Restores the first delay, after an attempt that succeeded.
    pub fn reset(&mut self) {
        self.delay = self.initial;
    }
}

#[cfg(test)]
mod tests;
