//! The wire protocols of a server, as state machines that are fed bytes and yield typed messages. They own no socket and
//! read no clock.

#![forbid(unsafe_code)]

mod attempt_id;
pub mod buffer;
pub mod control;
pub mod decoder;
pub mod engine;
pub mod gateway;
pub mod ledger;
mod text;

pub use attempt_id::AttemptId;
pub use buffer::Buffer;
pub use decoder::{Decoder, Malformed};

/// A duration, or a point in time since the Unix epoch, in milliseconds. A fraction, since peers state times as decimals. It
/// is the type of `loomflow::time::Millis`, on which this package does not depend.
pub type Millis = f64;
