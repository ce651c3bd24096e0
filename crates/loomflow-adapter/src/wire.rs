//! The simulator's JSON lines: its messages, and the actions that it is told.
//!
//! The names of the wire are mapped to the controller's terms here, by `rename`, and appear nowhere else.

pub mod actions;
pub mod messages;
