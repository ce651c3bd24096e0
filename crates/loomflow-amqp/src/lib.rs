//! AMQP 0-9-1, the consumer's and publisher's side, without I/O: state machines that are fed frames and times.
//!
//! Read from the bottom up: [`frames`] splits and encodes frames, [`content`] assembles messages, [`connection`] handles
//! channel 0 and opens channels, [`consumer_pool`] has the consumers of one queue, [`publisher`] knows what the broker has
//! confirmed. Beside them are the decisions, each in a file without protocol: [`window`] how much to consume,
//! [`idempotency`] what a duplicate is answered with, [`settlement`] how each message ends, [`backoff`] when to connect
//! again. [`consumer`] ties them together.
//!
//! Sections named in comments are those of the AMQP 0-9-1 specification; "extension" is what its brokers have agreed
//! upon beside it (publisher confirms, `basic.nack`, `connection.blocked`, consumer cancel notification).

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
pub mod retired_keys;
pub mod settings;
pub mod settlement;
pub mod window;

pub use amq_protocol::frame::AMQPFrame as Frame;
pub use consumer::{Consumer, ConsumerRequest, MessageResponse, SubmittedMessage};
pub use loomflow_backoff::Millis;
pub use settings::{Class, KeyFrom, NameFrom, Queue, SentFrom, Settings, Target};
