//! Units of time. Durations and points in time are [`Millis`] throughout; ordered collections are keyed by [`Micros`],
//! which have a total order.

/// A duration, or a point in time since the start of the process, in milliseconds.
pub type Millis = f64;

/// A point in time in whole microseconds.
pub type Micros = i64;

/// Converts milliseconds to whole microseconds, cutting off the rest.
pub fn micros(time: Millis) -> Micros {
    (time * 1000.0) as Micros
}
