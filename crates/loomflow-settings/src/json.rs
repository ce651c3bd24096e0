//! Deserialization of types from a tree of JSON values, with errors that name the full path of a key.
//!
//! Differences from the deserializer of [`serde_json::Value`], which configurations and callers rely on:
//!
//! - Keys are read in the order in which a struct declares its fields, and the first error ends it. Which of several errors
//!   is reported therefore does not depend on the order in the document.
//! - Null counts as absent, and a key that is absent is passed on as such. A field is required unless it is an `Option` or
//!   has one of the functions in [`fields`].
//! - A field that is renamed to `Section.Key` is the key of an object within the object.

mod deserializer;
pub mod fields;
mod object;

pub use self::object::JsonObject;

#[cfg(test)]
mod tests;
