//! Units of time, and conversions between them.

use std::time::Duration;

const MILLIS_PER_SECOND: IntegerMillis = 1_000;

/// A time on the boot-time clock of one machine, or a duration, in milliseconds. Times are never compared
/// between machines; durations may be.
///
/// Whole numbers, unlike the fractional `loomflow::time::Millis` of the rest of the workspace: these values
/// are stored, sent and compared for equality, and all voters must derive the same state from the same log.
pub type IntegerMillis = u64;

/// A time on the fleet's own clock, in milliseconds. The clock advances with log entries, and stops while
/// there is no leader.
pub type FleetMillis = IntegerMillis;

/// Converts a duration to milliseconds, rounded down.
pub fn whole_millis(duration: Duration) -> IntegerMillis {
    duration.as_millis() as IntegerMillis
}

/// Converts whole seconds, such as an operator's setting, to milliseconds.
pub fn millis_of_seconds(seconds: u64) -> IntegerMillis {
    seconds * MILLIS_PER_SECOND
}

/// Converts milliseconds to seconds, rounded down.
pub fn whole_seconds(millis: IntegerMillis) -> u64 {
    millis / MILLIS_PER_SECOND
}

/// Converts milliseconds to seconds with a fraction, for output.
pub fn seconds(millis: IntegerMillis) -> f64 {
    millis as f64 / MILLIS_PER_SECOND as f64
}

/// Multiplies a duration by `factor`, rounded down.
pub fn scaled(millis: IntegerMillis, factor: f64) -> IntegerMillis {
    (millis as f64 * factor) as IntegerMillis
}

/// Multiplies a duration by `factor`, rounded up.
pub fn scaled_up(millis: IntegerMillis, factor: f64) -> IntegerMillis {
    (millis as f64 * factor).ceil() as IntegerMillis
}

#[cfg(test)]
mod tests;
