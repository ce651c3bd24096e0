//! Exponential backoff for retries and reconnects. Delays are deterministic; a caller that needs jitter adds it to the
//! delay that it gets.

#![forbid(unsafe_code)]

mod exponential;
mod reconnect;

pub use exponential::ExponentialBackoff;
pub use reconnect::ReconnectBackoff;

/// A duration, or a time on the caller's monotonic clock, in milliseconds. Fractional, because callers multiply
/// delays by their jitter. Same type as `loomflow::time::Millis`, defined again so that this package does not depend
/// on `loomflow`.
pub type Millis = f64;
