//! Units of time, and conversions between them.

use std::time::Duration;

const MILLIS_PER_SECOND: IntegerMillis = 1_000;

/// Milliseconds on the boot-time clock of one machine, never compared between machines; and spans of time, which are.
///
/// Whole numbers, where the rest of the workspace has `loomflow::time::Millis` with fractions: these are stored, sent, and
/// compared for equality on all members, which have to come to the same state from the same log.
pub type IntegerMillis = u64;

/// Milliseconds of the fleet's own time: it advances with the log, and stops while there is no leader.
pub type FleetMillis = IntegerMillis;

/// A duration, rounded down.
pub fn whole_millis(duration: Duration) -> IntegerMillis {
    duration.as_millis() as IntegerMillis
}

/// A whole number of seconds, such as an operator's setting.
pub fn millis_of_seconds(seconds: u64) -> IntegerMillis {
    seconds * MILLIS_PER_SECOND
}

/// Seconds, rounded down.
pub fn whole_seconds(millis: IntegerMillis) -> u64 {
    millis / MILLIS_PER_SECOND
}

/// Seconds with a fraction, as people and measurements read them.
pub fn seconds(millis: IntegerMillis) -> f64 {
    millis as f64 / MILLIS_PER_SECOND as f64
}

/// A part or a multiple, rounded down.
pub fn scaled(millis: IntegerMillis, factor: f64) -> IntegerMillis {
    (millis as f64 * factor) as IntegerMillis
}

/// A part or a multiple, rounded up.
pub fn scaled_up(millis: IntegerMillis, factor: f64) -> IntegerMillis {
    (millis as f64 * factor).ceil() as IntegerMillis
}

#[cfg(test)]
mod tests;
