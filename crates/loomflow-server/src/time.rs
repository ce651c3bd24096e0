//! Conversions between [`Millis`], [`Micros`] and [`Duration`].

use std::time::Duration;

use loomflow::time::{MILLIS_PER_SECOND, Micros, Millis};

/// Microseconds per millisecond.
const MICROS_PER_MILLI: f64 = 1000.0;

/// Converts whole microseconds, which may be negative, to milliseconds.
pub fn millis(time: Micros) -> Millis {
    time as f64 / MICROS_PER_MILLI
}

/// Converts a duration to milliseconds with their fraction.
pub fn duration_millis(duration: Duration) -> Millis {
    duration.as_secs_f64() * MILLIS_PER_SECOND
}

/// Converts milliseconds to a duration, rounded to the nanosecond.
///
/// # Panics
/// If `time` is negative, not finite, or too large for a [`Duration`].
pub fn exact_duration(time: Millis) -> Duration {
    Duration::from_secs_f64(time / MILLIS_PER_SECOND)
}

/// Converts milliseconds to a duration of whole microseconds, rounded down. Negative times give zero.
pub fn floor_duration(time: Millis) -> Duration {
    Duration::from_micros((time * MICROS_PER_MILLI) as u64)
}

/// Converts milliseconds to a duration of whole microseconds, rounded up so that a wait does not end early. Negative times give
/// zero.
pub fn ceil_duration(time: Millis) -> Duration {
    Duration::from_micros((time * MICROS_PER_MILLI).ceil() as u64)
}

#[cfg(test)]
mod tests;
