//! loomflow: an overload controller that lives inside each server of a fleet.
//!
//! [`controller`] makes every decision, [`interface`] has its settings, events and actions. [`estimate`] and
//! [`retained_keys`] are the state that it builds on, [`time`] the units. None of them does any I/O or knows
//! a protocol: a front passes events in and carries actions out.

#![forbid(unsafe_code)]

pub mod controller;
pub mod estimate;
pub mod interface;
pub mod retained_keys;
pub mod time;
