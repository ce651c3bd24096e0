//! Scripted stand-ins of everything a server speaks with, on loopback, and the server as a process among them.
//! They parse by themselves, so that what they check is not the server's own word.

pub mod base;
pub mod broker;
pub mod control;
pub mod engine;
pub mod fleet;
pub mod gateway;
pub mod ledger;
pub mod lines;
pub mod relay;
pub mod worker;

pub mod world;

pub use base::{PATIENCE, QUIET, class, free_address, free_listener, site};
pub use broker::Broker;
pub use control::Control;
pub use engine::Engine;
pub use gateway::{Answered, Gateway, Silence, array, call, fields, fresh_id, health};
pub use ledger::{Ledger, OpenLedger};
pub use lines::{Line, Link};
pub use worker::Worker;
pub use world::{World, program};
