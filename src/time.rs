//! Units of time. Durations and points in time are [`Millis`] throughout; ordered collections are keyed by
//! [`Micros`], which have a total order.

/// A duration, or a point in time since the start of the process, in milliseconds. A fraction, since
/// requests take parts of a millisecond and means of them are smoothed; infinity stands for never.
pub type Millis = f64;

/// Milliseconds in a second.
pub const MILLIS_PER_SECOND: Millis = 1000.0;

/// Microseconds in a millisecond.
const MICROS_PER_MILLI: f64 = 1000.0;

/// A point in time since the start of the process, in full microseconds. Signed, since a request may be
/// older than the process.
pub type Micros = i64;

/// Converts milliseconds to full microseconds, rounded toward zero.
pub fn micros(time: Millis) -> Micros {
    (time * MICROS_PER_MILLI) as Micros
}
