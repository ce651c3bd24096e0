//! The JSON lines of the simulator: the messages that it sends, and the actions that it receives.
//!
//! Wire names are mapped to the controller's terms here and, for settings, in `loomflow_settings`.

pub mod actions;
pub mod messages;
