//! A model of a fleet in simulated time: servers that each run the decision module itself, the callers before them with
//! their habits, and clients. The same setup gives the same play.
//!
//! - [`setup`]: a play as data; [`fault`] what goes wrong in it.
//! - [`clock`], [`network`], [`cores`], [`connections`], [`server`], [`caller`], [`client`]: the parts, each with its state
//!   and its step.
//! - [`fleet`]: the parts wired to each other.
//! - [`ledger`]: what came of it; [`checker`]: the rules, judged by what passed on the wire.
//! - [`recovery`]: the experiment of a fleet that has lost a part of itself for a time.
//! - [`quota`]: the experiment of a tenant whose requests fall at random over the servers.

pub mod caller;
pub mod checker;
pub mod client;
pub mod clock;
pub mod connections;
pub mod cores;
pub mod fault;
pub mod fleet;
pub mod ledger;
pub mod network;
pub mod quota;
pub mod recovery;
pub mod server;
pub mod settings;
pub mod setup;
