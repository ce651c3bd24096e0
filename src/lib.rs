//! loomflow: an overload controller that lives inside each server of a fleet.
//!
//! [`choice`] holds every decision, [`interface`] the settings, events and actions that it speaks, [`estimate`] and
//! [`key_table`] what it keeps its measurements and entries in.
//! Neither does any I/O nor knows a protocol; a front feeds events in and carries actions out.

pub mod choice;
pub mod estimate;
pub mod interface;
pub mod key_table;
pub mod time;
