//! Wire protocols of a server, without I/O: incremental decoders turn received bytes into typed messages, and functions
//! encode outgoing messages. Nothing here opens a socket or reads a clock.

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

/// A duration, or a time since the Unix epoch, in milliseconds. Fractional, because peers send decimal numbers. Same
/// type as `loomflow::time::Millis`, defined again so that this package does not depend on `loomflow`.
pub type Millis = f64;
