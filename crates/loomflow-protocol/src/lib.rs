//! The protocols a server speaks, as state machines that are fed bytes and yield typed messages. No socket and
//! no clock is known here.

pub mod buffer;
pub mod control;
pub mod engine;
pub mod gateway;
pub mod ledger;

pub use buffer::{AttemptId, Buffer, Decoder, Malformed};
