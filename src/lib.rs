//! loomflow: an overload controller that runs inside each server of a fleet.
//!
//! [`controller`] makes every decision; [`interface`] defines its settings, events and actions. [`estimate`]
//! and [`retained_keys`] are the state that it builds on, [`time`] has the units. The crate does no I/O and
//! knows no protocol: its host passes events in and carries the actions out.

#![forbid(unsafe_code)]

pub mod controller;
pub mod estimate;
pub mod interface;
pub mod retained_keys;
pub mod time;
