//! Conversions between [`Millis`], [`Micros`] and [`Duration`].

use std::time::Duration;

use loomflow::time::{MILLIS_PER_SECOND, Micros, Millis};

/// Microseconds in a millisecond.
const MICROS_PER_MILLI: f64 = 1000.0;

/// Milliseconds from full microseconds.
pub fn millis(time: Micros) -> Millis {
    time as f64 / MICROS_PER_MILLI
}

/// The milliseconds of a duration.
pub fn duration_millis(duration: Duration) -> Millis {
    duration.as_secs_f64() * MILLIS_PER_SECOND
}

/// The duration of a time, to the nanosecond. The time must be finite and not negative.
pub fn exact_duration(time: Millis) -> Duration {
    Duration::from_secs_f64(time / MILLIS_PER_SECOND)
}

/// The full microseconds of a time, rounded down; zero where it is negative.
pub fn floor_duration(time: Millis) -> Duration {
    Duration::from_micros((time * MICROS_PER_MILLI) as u64)
}

/// The full microseconds of a time, rounded up, so that a wait does not end before it; zero where it is negative.
pub fn ceil_duration(time: Millis) -> Duration {
    Duration::from_micros((time * MICROS_PER_MILLI).ceil() as u64)
}

#[cfg(test)]
mod tests;
