//! Access to a JSON object by key, with errors that give the full path of the key.

use serde::Deserialize;
use serde_json::Value;

use super::deserializer::{MISSING, NOT_AN_ARRAY, NOT_AN_OBJECT, ValueDeserializer};
use crate::error::FieldError;

/// A JSON object together with its path within the document.
#[derive(Clone, Debug)]
pub struct JsonObject<'a> {
    path: String,
    value: &'a Value,
}

impl<'a> JsonObject<'a> {
    /// Wraps the object at `path`; the path of the document's root is empty.
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

    /// Deserializes a type from the keys of this object. Keys without a field are ignored.
    ///
    /// # Errors
    ///
    /// A key is missing or invalid.
    pub fn deserialize<T: Deserialize<'a>>(&self) -> Result<T, FieldError> {
        self.deserialize_with(T::deserialize)
    }

    /// Like [`deserialize`](Self::deserialize), with a function such as the one that serde derives for a `remote` type.
    pub(crate) fn deserialize_with<T>(
        &self,
        deserialize: impl FnOnce(ValueDeserializer<'a>) -> Result<T, FieldError>,
    ) -> Result<T, FieldError> {
        deserialize(ValueDeserializer::new(self.value)).map_err(|error| error.within(&self.path))
    }

    /// Returns the full path of a key of this object.
    pub fn path_of(&self, key: &str) -> String {
        if self.path.is_empty() { key.to_owned() } else { format!("{}.{key}", self.path) }
    }

    /// Creates an error about a key of this object.
    pub(crate) fn error(&self, key: &str, problem: &str) -> FieldError {
        FieldError::new(self.path_of(key), problem)
    }

    /// Returns the value of a key; null counts as absent.
    pub(crate) fn get(&self, key: &str) -> Option<&'a Value> {
        self.value.get(key).filter(|value| !value.is_null())
    }

    /// Returns the nested object at `key`.
    ///
    /// # Errors
    ///
    /// The value is missing or not an object.
    pub fn child(&self, key: &str) -> Result<JsonObject<'a>, FieldError> {
        let value = self.get(key).ok_or_else(|| self.error(key, MISSING))?;
        JsonObject::new(self.path_of(key), value)
    }

    /// Returns the objects of the array at `key`, whose paths end in their index; empty if the key is absent.
    ///
    /// # Errors
    ///
    /// The value is not an array, or one of its elements is not an object.
    pub fn children(&self, key: &str) -> Result<Vec<JsonObject<'a>>, FieldError> {
        let Some(value) = self.get(key) else { return Ok(Vec::new()) };
        let elements = value.as_array().ok_or_else(|| self.error(key, NOT_AN_ARRAY))?;
        let path = self.path_of(key);
        let indexed = elements.iter().enumerate();
        indexed.map(|(index, element)| JsonObject::new(format!("{path}[{index}]"), element)).collect()
    }
}
