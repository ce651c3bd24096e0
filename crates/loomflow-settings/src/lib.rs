//! The one place where configuration and settings are read, checked and given defaults, for both fronts.

pub mod campaign;
pub mod config;
pub mod duties;
pub mod fleet;
pub mod guard;
pub mod options;
pub mod read;
pub mod site;

pub use config::Config;
pub use options::Options;
pub use read::{Node, Read};
pub use site::Site;
