//! Deserializes types from a tree of JSON values, with errors that give the full path of a key.
//!
//! Configurations and callers rely on these differences from the deserializer of [`serde_json::Value`]:
//!
//! - Keys are read in the order in which a struct declares its fields, up to the first error. Which of several errors is
//!   reported therefore does not depend on the order of keys in the document.
//! - Null counts as absent. A field is required unless it is an `Option` or has a function from [`fields`] that supplies a
//!   default.
//! - A field that is renamed to `Section.Key` is read from the key `Key` of the nested object `Section`.

mod deserializer;
pub mod fields;
mod object;

pub use self::object::JsonObject;

#[cfg(test)]
mod tests;
