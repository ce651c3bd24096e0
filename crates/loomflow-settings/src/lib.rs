//! The one place where configuration and settings are read, checked and given defaults, for both fronts.

pub mod campaign;
mod compare;
pub mod config;
pub mod document;
pub mod duties;
pub mod error;
pub mod fleet;
pub mod guard;
mod lookup;
pub mod options;
pub mod read;
pub mod site;
pub mod tenants;

pub use config::Config;
pub use error::ConfigError;
pub use options::Options;
pub use read::{Node, Read};
pub use site::Site;
