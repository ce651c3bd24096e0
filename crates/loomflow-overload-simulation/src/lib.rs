//! Simulation of a fleet: servers that run the real controller, callers and clients. The same setup gives the same
//! events.
//!
//! - [`setup`]: parameters of a simulation; [`fault`]: its faults.
//! - [`clock`], [`network`], [`cores`], [`connections`], [`server`], [`caller`], [`client`]: the parts, as state
//!   machines.
//! - [`fleet`]: the simulation of all parts.
//! - [`counts`]: results by second; [`checker`]: the rules for responses, checked on the wire.
//! - [`recovery`]: experiment on the recovery of a fleet after the loss of a part of it.
//! - [`quota`]: experiment on the quota of a tenant whose requests are spread over the servers at random.

#![forbid(unsafe_code)]

pub mod caller;
pub mod checker;
pub mod client;
pub mod clock;
pub mod connections;
pub mod cores;
pub mod counts;
pub mod fault;
pub mod fleet;
pub mod network;
pub mod quota;
pub mod recovery;
pub mod server;
pub mod settings;
pub mod setup;
