//! Units of time. Durations and points in time are [`Millis`] throughout; ordered collections are keyed by
//! [`Micros`], which have a total order.

/// A duration, or a point in time since the start of the process, in milliseconds.
pub type Millis = f64;

/// Milliseconds in a second.
pub const MILLIS_PER_SECOND: Millis = 1000.0;

/// A point in time, in full microseconds.
pub type Micros = i64;

/// Converts milliseconds to full microseconds, rounded toward zero.
pub fn micros(time: Millis) -> Micros {
    (time * 1000.0) as Micros
}
