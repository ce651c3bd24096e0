//! The simulator's JSON lines: its messages, and the actions that it is told.
//!
//! The names of the wire are mapped to the controller's terms here and, for settings, in `loomflow_settings`.

pub mod actions;
pub mod messages;
