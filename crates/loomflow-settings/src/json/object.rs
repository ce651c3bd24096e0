//! Objects of a JSON document.

use serde::Deserialize;
use serde_json::Value;

use super::deserializer::{MISSING, NOT_AN_ARRAY, NOT_AN_OBJECT, ValueDeserializer};
use crate::error::FieldError;

/// A JSON object and its path within the document.
#[derive(Clone, Debug)]
pub struct JsonObject<'a> {
    path: String,
    value: &'a Value,
}

impl<'a> JsonObject<'a> {
    /// Wraps an object; an empty `path` is the root of the document.
    ///
    /// # Errors
    ///
    /// `value` is not an object.
    pub fn new(path: impl Into<String>, value: &'a Value) -> Result<JsonObject<'a>, FieldError> {
        let path = path.into();
        if value.is_object() {
            Ok(JsonObject { path, value })
        } else {
            Err(FieldError::new(path, NOT_AN_OBJECT))
        }
    }

    /// Deserializes a type from the keys of this object; keys that it has no field for are ignored.
    ///
    /// # Errors
    ///
    /// A key is missing or invalid.
    pub fn deserialize<T: Deserialize<'a>>(&self) -> Result<T, FieldError> {
        self.deserialize_with(T::deserialize)
    }

    /// Deserializes as [`deserialize`](Self::deserialize) does, by a function such as that of a `remote` type.
    pub(crate) fn deserialize_with<T>(
        &self,
        deserialize: impl FnOnce(ValueDeserializer<'a>) -> Result<T, FieldError>,
    ) -> Result<T, FieldError> {
        deserialize(ValueDeserializer::new(self.value)).map_err(|error| error.within(&self.path))
    }

    /// The full path of a key of this object.
    pub fn path_of(&self, key: &str) -> String {
        if self.path.is_empty() { key.to_owned() } else { format!("{}.{key}", self.path) }
    }

    /// An error about a key of this object.
    pub(crate) fn error(&self, key: &str, problem: &str) -> FieldError {
        FieldError::new(self.path_of(key), problem)
    }

    /// The value of a key; null counts as absent.
    pub(crate) fn get(&self, key: &str) -> Option<&'a Value> {
        self.value.get(key).filter(|value| !value.is_null())
    }

    /// An object within this one.
    ///
    /// # Errors
    ///
    /// The value is missing or no object.
    pub fn child(&self, key: &str) -> Result<JsonObject<'a>, FieldError> {
        let value = self.get(key).ok_or_else(|| self.error(key, MISSING))?;
        JsonObject::new(self.path_of(key), value)
    }

    /// An array of objects, which are named by their index; empty if absent.
    ///
    /// # Errors
    ///
    /// The value is no array, or one of its members no object.
    pub fn children(&self, key: &str) -> Result<Vec<JsonObject<'a>>, FieldError> {
        let Some(value) = self.get(key) else { return Ok(Vec::new()) };
        let members = value.as_array().ok_or_else(|| self.error(key, NOT_AN_ARRAY))?;
        let path = self.path_of(key);
        let objects = members.iter().enumerate();
        objects.map(|(index, member)| JsonObject::new(format!("{path}[{index}]"), member)).collect()
    }
}
