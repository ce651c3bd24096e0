//! How long to wait before the next attempt. Nothing is drawn at random here: a caller that adds jitter draws from the delay
//! it gets.

#![forbid(unsafe_code)]

mod exponential;
mod reconnect;

pub use exponential::ExponentialBackoff;
pub use reconnect::ReconnectBackoff;

/// A duration, or a point in time since the start of the process, in milliseconds. A fraction, since
/// callers multiply it by their jitter. It is the type of `loomflow::time::Millis`, on which this package does not depend.
pub type Millis = f64;
