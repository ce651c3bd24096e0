//! loomflow: an overload controller that lives inside each server of a fleet.
//!
//! [`choice`] holds the controller and every decision, [`interface`] the settings, events and actions that it speaks.
//! [`estimate`] and [`retained_keys`] are the bookkeeping that it rests on, [`time`] the units. None of them does any I/O
//! or knows a protocol: a front feeds events in and carries actions out.

#![forbid(unsafe_code)]

pub mod choice;
pub mod estimate;
pub mod interface;
pub mod retained_keys;
pub mod time;
