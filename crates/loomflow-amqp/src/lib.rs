//! Sans-I/O client side of AMQP 0-9-1: state machines that consume and publish. They take frames and the current time
//! as input.
//!
//! Protocol layers, lowest first: [`frames`] splits and encodes frames, [`content`] assembles messages, [`connection`]
//! handles channel 0 and opens channels, [`consumer_pool`] manages the consumers of one queue, and [`publisher`] tracks
//! publisher confirms. Decisions are kept in modules without protocol code: [`window`] decides how much to consume,
//! [`idempotency`] how to treat a duplicate, [`settlement`] how each message is settled, [`remaining_steps`]
//! what is left of that for a redelivery, and [`backoff`] when to
//! reconnect. [`consumer`] combines them.
//!
//! Section numbers in comments refer to the AMQP 0-9-1 specification. "Extension" marks features that brokers implement
//! in addition to it: publisher confirms, `basic.nack`, `connection.blocked` and consumer cancel notification.

#![forbid(unsafe_code)]

pub mod backoff;
pub mod connection;
pub mod consumer;
pub mod consumer_pool;
pub mod content;
pub mod failure_reason;
pub mod frames;
pub mod idempotency;
pub mod message;
pub mod publisher;
pub mod remaining_steps;
pub mod retired_keys;
pub mod settings;
pub mod settlement;
pub mod window;

pub use amq_protocol::frame::AMQPFrame as Frame;
pub use consumer::{Consumer, ConsumerRequest, MessageResponse, SubmittedMessage};
pub use loomflow_backoff::Millis;
pub use settings::{Class, KeyFrom, NameFrom, Queue, SentFrom, Settings, Target};
