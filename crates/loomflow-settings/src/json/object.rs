//! Objects of a JSON document.

use std::sync::LazyLock;

use serde::Deserialize;
use serde_json::{Map, Value};

use super::deserializer::{NOT_AN_OBJECT, ValueDeserializer};
use crate::error::FieldError;

/// An absent object.
static EMPTY: LazyLock<Value> = LazyLock::new(|| Value::Object(Map::new()));

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
    pub fn new(path: &str, value: &'a Value) -> Result<JsonObject<'a>, FieldError> {
        if value.is_object() {
            Ok(JsonObject { path: path.to_owned(), value })
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
        T::deserialize(ValueDeserializer::new(self.value)).map_err(|error| error.within(&self.path))
    }

    /// The full path of a key of this object.
    pub fn path_of(&self, key: &str) -> String {
        if self.path.is_empty() { key.to_owned() } else { format!("{}.{key}", self.path) }
    }

    /// An error about a key of this object.
    ///
    /// # Errors
    ///
    /// Always.
    pub fn error<T>(&self, key: &str, problem: &str) -> Result<T, FieldError> {
        Err(FieldError::new(self.path_of(key), problem))
    }

    /// The value of a key; null counts as absent.
    pub fn get(&self, key: &str) -> Option<&'a Value> {
        self.value.get(key).filter(|value| !value.is_null())
    }

    fn typed<T>(
        &self,
        key: &str,
        problem: &str,
        convert: impl Fn(&'a Value) -> Option<T>,
    ) -> Result<Option<T>, FieldError> {
        match self.get(key) {
            None => Ok(None),
            Some(value) => convert(value).map_or_else(|| self.error(key, problem), |value| Ok(Some(value))),
        }
    }

    fn required<T>(&self, key: &str, value: Option<T>) -> Result<T, FieldError> {
        value.map_or_else(|| self.error(key, "missing"), Ok)
    }

    /// A number; 0 if absent.
    ///
    /// # Errors
    ///
    /// The value is invalid.
    pub fn number(&self, key: &str) -> Result<f64, FieldError> {
        Ok(self.typed(key, "not a number", Value::as_f64)?.unwrap_or(0.0))
    }

    /// A number that must be present.
    ///
    /// # Errors
    ///
    /// The value is missing or invalid.
    pub fn required_number(&self, key: &str) -> Result<f64, FieldError> {
        self.required(key, self.typed(key, "not a number", Value::as_f64)?)
    }

    /// A number that must be present and above 0.
    ///
    /// # Errors
    ///
    /// The value is missing or invalid.
    pub fn positive(&self, key: &str) -> Result<f64, FieldError> {
        let value = self.required_number(key)?;
        if value > 0.0 { Ok(value) } else { self.error(key, "not above 0") }
    }

    /// A number that must not be below 0; 0 if absent.
    ///
    /// # Errors
    ///
    /// The value is missing or invalid.
    pub fn non_negative(&self, key: &str) -> Result<f64, FieldError> {
        let value = self.number(key)?;
        if value >= 0.0 { Ok(value) } else { self.error(key, "below 0") }
    }

    /// An unsigned integer that must be present.
    ///
    /// # Errors
    ///
    /// The value is missing or invalid.
    pub fn integer(&self, key: &str) -> Result<u64, FieldError> {
        self.required(key, self.typed(key, "not a whole number", Value::as_u64)?)
    }

    /// An unsigned integer with a default.
    ///
    /// # Errors
    ///
    /// The value is invalid.
    pub fn integer_or(&self, key: &str, default: u64) -> Result<u64, FieldError> {
        Ok(self.typed(key, "not a whole number", Value::as_u64)?.unwrap_or(default))
    }

    /// A boolean; false if absent.
    ///
    /// # Errors
    ///
    /// The value is invalid.
    pub fn boolean(&self, key: &str) -> Result<bool, FieldError> {
        Ok(self.typed(key, "not true or false", Value::as_bool)?.unwrap_or(false))
    }

    /// A string; empty if absent.
    ///
    /// # Errors
    ///
    /// The value is invalid.
    pub fn text(&self, key: &str) -> Result<&'a str, FieldError> {
        Ok(self.typed(key, "not a text", Value::as_str)?.unwrap_or(""))
    }

    /// A string that must be present and not empty.
    ///
    /// # Errors
    ///
    /// The value is missing or invalid.
    pub fn required_text(&self, key: &str) -> Result<&'a str, FieldError> {
        self.required(key, self.typed(key, "not a text", Value::as_str)?.filter(|text| !text.is_empty()))
    }

    /// An object that must be present.
    ///
    /// # Errors
    ///
    /// The value is missing or invalid.
    pub fn child(&self, key: &str) -> Result<JsonObject<'a>, FieldError> {
        let value = self.required(key, self.get(key))?;
        JsonObject::new(&self.path_of(key), value)
    }

    /// An object; one without keys if absent.
    ///
    /// # Errors
    ///
    /// The value is invalid.
    pub fn child_or_empty(&self, key: &str) -> Result<JsonObject<'a>, FieldError> {
        match self.get(key) {
            Some(value) => JsonObject::new(&self.path_of(key), value),
            None => Ok(JsonObject { path: self.path_of(key), value: &EMPTY }),
        }
    }

    /// An array; empty if absent.
    ///
    /// # Errors
    ///
    /// The value is invalid.
    pub fn list(&self, key: &str) -> Result<&'a [Value], FieldError> {
        let as_slice = |value: &'a Value| value.as_array().map(Vec::as_slice);
        Ok(self.typed(key, "not an array", as_slice)?.unwrap_or(&[]))
    }

    /// An array of objects; errors name them by index.
    ///
    /// # Errors
    ///
    /// The value is invalid.
    pub fn children(&self, key: &str) -> Result<Vec<JsonObject<'a>>, FieldError> {
        let path = self.path_of(key);
        let members = self.list(key)?.iter().enumerate();
        members.map(|(index, value)| JsonObject::new(&format!("{path}[{index}]"), value)).collect()
    }

    /// An array of strings; empty if absent.
    ///
    /// # Errors
    ///
    /// The value is invalid.
    pub fn texts(&self, key: &str) -> Result<Vec<String>, FieldError> {
        let to_string = |value: &Value| value.as_str().map(str::to_owned);
        let strings = self.list(key)?.iter().map(to_string).collect::<Option<Vec<_>>>();
        strings.map_or_else(|| self.error(key, "not all texts"), Ok)
    }
}
