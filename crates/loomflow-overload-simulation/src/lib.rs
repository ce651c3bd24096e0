//! Deterministic simulation of a fleet under overload: servers that run the real controller, callers
//! (gateways) and clients, in virtual time. The same [`setup::Setup`] produces the same events.
//!
//! - [`setup`]: parameters of a simulation; [`fault`]: faults that it injects.
//! - [`clock`], [`network`], [`cores`], [`connections`], [`server`], [`caller`], [`client`]: the parts of
//!   the model, as state machines.
//! - [`fleet`]: the event loop that connects the parts.
//! - [`counts`]: results by second; [`checker`]: checks that each attempt gets exactly one response in time.
//! - [`recovery`]: experiment on the recovery of a fleet after the failure of some callers or servers.
//! - [`quota`]: experiment on how the servers enforce the quota of a tenant whose requests are spread at
//!   random.

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
