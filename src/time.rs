//! Units of time. Durations and points in time are [`Millis`]; ordered collections use [`Micros`] as keys,
//! because integers have a total order.

/// A duration, or a point in time since the start of the process, in milliseconds. Fractional, because runs
/// can take less than a millisecond and means of durations are smoothed; infinity means never.
pub type Millis = f64;

/// Milliseconds per second.
pub const MILLIS_PER_SECOND: Millis = 1000.0;

/// Microseconds per millisecond.
const MICROS_PER_MILLI: f64 = 1000.0;

/// A point in time since the start of the process, in whole microseconds. Signed, because a request may
/// have reached the machine before the process started.
pub type Micros = i64;

/// Converts milliseconds to whole microseconds, rounded toward zero.
pub fn micros(time: Millis) -> Micros {
    (time * MICROS_PER_MILLI) as Micros
}
