//! Units of time, and conversions between them.

use std::time::Duration;

const MILLIS_PER_SECOND: WholeMillis = 1_000;

/// Milliseconds on the boot-time clock of one machine, never compared between machines; and spans of time, which are.
///
/// Whole numbers, where the rest of the workspace has `loomflow::time::Millis` with fractions: these are stored, sent, and
/// compared for equality on all members, which have to come to the same state from the same log.
pub type WholeMillis = u64;

/// Milliseconds of the fleet's own time: it advances with the log, and stops while there is no leader.
pub type FleetMillis = WholeMillis;

/// A duration, rounded down.
pub fn whole_millis(duration: Duration) -> WholeMillis {
    duration.as_millis() as WholeMillis
}

/// A whole number of seconds, such as an operator's setting.
pub fn millis_of_seconds(seconds: u64) -> WholeMillis {
    seconds * MILLIS_PER_SECOND
}

/// Seconds, rounded down.
pub fn whole_seconds(millis: WholeMillis) -> u64 {
    millis / MILLIS_PER_SECOND
}

/// Seconds with a fraction, as people and measurements read them.
pub fn seconds(millis: WholeMillis) -> f64 {
    millis as f64 / MILLIS_PER_SECOND as f64
}

/// A part or a multiple, rounded down.
pub fn scaled(millis: WholeMillis, factor: f64) -> WholeMillis {
    (millis as f64 * factor) as WholeMillis
}

/// A part or a multiple, rounded up.
pub fn scaled_up(millis: WholeMillis, factor: f64) -> WholeMillis {
    (millis as f64 * factor).ceil() as WholeMillis
}

#[cfg(test)]
mod tests;
