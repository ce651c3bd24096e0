//! Deterministic simulation of a fleet in virtual time. It runs the same state machines as the servers on a
//! network that loses, delays and duplicates messages and can be partitioned, and on machines whose processes
//! are killed or paused and whose disks are lost or full. The seed determines the whole run.
//!
//! - [`config`]: size and settings of the fleet;
//! - [`scenario`]: scripted or random sequences of faults;
//! - [`simulation`]: the event loop that connects the machines and the network;
//! - [`machine`]: one machine with its process, disk and clock;
//! - `network`: loss, delay, duplication and cut links;
//! - `event_queue`: scheduled events in the order of their time;
//! - [`invariants`]: checks after every event, based on what the processes did and not on what the fleet
//!   reports;
//! - [`parallel`]: running many simulations on several threads.

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
