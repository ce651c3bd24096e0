//! Configuration, settings and options: reading, validation and defaults, for the server and the adapter.

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
mod shaped;
pub mod site;
pub mod tenants;

pub use config::Config;
pub use error::{ConfigError, FieldError};
pub use json::JsonObject;
pub use options::Options;
pub use site::Site;
