//! A fleet in virtual time: the same state machines as in the servers, a network that loses, delays, duplicates and cuts, and
//! machines that die, stop, lose or fill their disks. A run follows from its seed alone.
//!
//! - [`config`]: what a fleet is made of;
//! - [`scenario`]: what happens when, as data, by hand or drawn from a seed;
//! - [`simulation`]: the machines and the network between them, moved on event by event;
//! - [`machine`]: one machine, its disk and its clock;
//! - `network`: loss, delay, duplication and cut links;
//! - `event_queue`: what happens next;
//! - [`invariants`]: what must hold after every event, judged by what the processes did and not by what the fleet reports;
//! - [`parallel`]: many runs side by side.

#![forbid(unsafe_code)]

pub mod config;
mod event_queue;
pub mod invariants;
pub mod machine;
mod network;
pub mod parallel;
pub mod scenario;
pub mod simulation;

pub use config::SimulationConfig;
pub use invariants::InvariantViolation;
pub use parallel::{core_count, run_parallel};
pub use scenario::{Fault, Scenario};
pub use simulation::Simulation;
