//! Additive increase, multiplicative decrease (AIMD): how limits converge on the load that a server
//! sustains.
//!
//! Inputs: time (ms) and the minimum period between two decreases (ms). A value decreases at most once per
//! period, so that the effect of a decrease shows before the next one.

#[cfg(test)]
mod tests;

use crate::time::Millis;

/// Factor of a multiplicative decrease.
const DECREASE_FACTOR: f64 = 0.8;

/// A value that increases by steps and decreases by a factor.
pub(super) struct AimdValue {
    value: f64,
    period: Millis,
    decreased_at: Millis,
}

impl AimdValue {
    pub(super) fn new(value: f64, period: Millis, now: Millis) -> AimdValue {
        AimdValue { value, period, decreased_at: now }
    }

    pub(super) fn value(&self) -> f64 {
        self.value
    }

    pub(super) fn increase(&mut self, step: f64) {
        self.value += step;
    }

    /// Decreases the value, but not below `min`. Does nothing within a period of the last decrease.
    pub(super) fn decrease(&mut self, now: Millis, min: f64) {
        if now - self.decreased_at >= self.period {
            self.decreased_at = now;
            self.value = (self.value * DECREASE_FACTOR).max(min);
        }
    }

    /// Lowers the value to `max` if it is higher.
    pub(super) fn cap(&mut self, max: f64) {
        self.value = self.value.min(max);
    }
}
