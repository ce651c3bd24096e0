//! Reads and validates the configuration file, the settings of a site, the options file and campaign files, and supplies
//! their defaults. Used by the server, the fleet commands and the adapter.

#![forbid(unsafe_code)]

pub mod amqp;
pub mod campaign;
mod compare;
pub mod config;
pub mod document;
pub mod duties;
pub mod error;
pub mod fleet;
pub mod guard;
pub mod json;
mod lookup;
pub mod options;
pub mod site;
pub mod tenants;
mod value_fallback;

pub use config::Config;
pub use error::{ConfigError, FieldError};
pub use json::JsonObject;
pub use options::Options;
pub use site::Site;
