//! loomflow: an overload controller that lives inside each server of a fleet.
//!
//! [`choice`] holds every decision, [`interface`] the settings, events and actions that it speaks.
//! Neither does any I/O nor knows a protocol; a front feeds events in and carries actions out.

pub mod choice;
pub mod interface;
