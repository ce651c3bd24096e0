//! [`Deserializer`] over a [`Value`] that may be absent; see the [parent module](super) for its rules.

use serde::de::value::StrDeserializer;
use serde::de::{DeserializeSeed, Deserializer, Error, IntoDeserializer, MapAccess, SeqAccess, Visitor};
use serde::forward_to_deserialize_any;
use serde_json::{Map, Value};

use crate::error::FieldError;

pub(super) const MISSING: &str = "missing";
pub(super) const NOT_AN_ARRAY: &str = "not an array";
pub(super) const NOT_AN_OBJECT: &str = "not an object";
/// Separates the section from the key in the name of a field, as in `Rules.Cold`.
const SECTION_SEPARATOR: char = '.';

impl Error for FieldError {
    /// Creates an error with an empty path; the enclosing objects and arrays prepend their keys.
    fn custom<T: std::fmt::Display>(problem: T) -> FieldError {
        FieldError::new("", problem.to_string())
    }
}

/// Deserializes one value of a document.
pub(crate) struct ValueDeserializer<'a> {
    /// `None` if the key is absent.
    value: Option<&'a Value>,
}

impl<'a> ValueDeserializer<'a> {
    pub(super) fn new(value: &'a Value) -> ValueDeserializer<'a> {
        ValueDeserializer { value: Some(value) }
    }

    /// Converts the value, or fails with `problem` if it has another type, and with [`MISSING`] if it is absent.
    fn typed<T>(self, problem: &str, convert: impl FnOnce(&'a Value) -> Option<T>) -> Result<T, FieldError> {
        let value = self.value.ok_or_else(|| FieldError::custom(MISSING))?;
        convert(value).ok_or_else(|| FieldError::custom(problem))
    }
}

impl<'de> Deserializer<'de> for ValueDeserializer<'de> {
    type Error = FieldError;

    fn deserialize_any<V: Visitor<'de>>(self, visitor: V) -> Result<V::Value, FieldError> {
        let value = self.typed(MISSING, Some)?;
        value.deserialize_any(visitor).map_err(FieldError::custom)
    }

    fn deserialize_bool<V: Visitor<'de>>(self, visitor: V) -> Result<V::Value, FieldError> {
        visitor.visit_bool(self.typed("not true or false", Value::as_bool)?)
    }

    fn deserialize_u64<V: Visitor<'de>>(self, visitor: V) -> Result<V::Value, FieldError> {
        visitor.visit_u64(self.typed("not a whole number", Value::as_u64)?)
    }

    fn deserialize_f64<V: Visitor<'de>>(self, visitor: V) -> Result<V::Value, FieldError> {
        visitor.visit_f64(self.typed("not a number", Value::as_f64)?)
    }

    fn deserialize_str<V: Visitor<'de>>(self, visitor: V) -> Result<V::Value, FieldError> {
        visitor.visit_borrowed_str(self.typed("not a text", Value::as_str)?)
    }

    fn deserialize_string<V: Visitor<'de>>(self, visitor: V) -> Result<V::Value, FieldError> {
        self.deserialize_str(visitor)
    }

    fn deserialize_option<V: Visitor<'de>>(self, visitor: V) -> Result<V::Value, FieldError> {
        match self.value {
            Some(_) => visitor.visit_some(self),
            None => visitor.visit_none(),
        }
    }

    fn deserialize_seq<V: Visitor<'de>>(self, visitor: V) -> Result<V::Value, FieldError> {
        let elements = self.typed(NOT_AN_ARRAY, Value::as_array)?;
        visitor.visit_seq(Elements { elements, next: 0 })
    }

    fn deserialize_struct<V: Visitor<'de>>(
        self,
        _name: &'static str,
        keys: &'static [&'static str],
        visitor: V,
    ) -> Result<V::Value, FieldError> {
        let map = self.typed(NOT_AN_OBJECT, Value::as_object)?;
        visitor.visit_map(Fields { map, keys, next: 0 })
    }

    forward_to_deserialize_any! {
        i8 i16 i32 i64 i128 u8 u16 u32 u128 f32 char bytes byte_buf unit unit_struct newtype_struct tuple
        tuple_struct map enum identifier ignored_any
    }
}

/// Iterates over the elements of an array.
struct Elements<'a> {
    elements: &'a [Value],
    next: usize,
}

impl<'de> SeqAccess<'de> for Elements<'de> {
    type Error = FieldError;

    fn next_element_seed<T: DeserializeSeed<'de>>(
        &mut self,
        seed: T,
    ) -> Result<Option<T::Value>, FieldError> {
        let Some(value) = self.elements.get(self.next) else { return Ok(None) };
        let index = self.next;
        self.next += 1;
        let element = seed.deserialize(ValueDeserializer::new(value));
        element.map(Some).map_err(|error| error.within(&format!("[{index}]")))
    }
}

/// Iterates over all keys of a struct in the order of its fields, including those that the object lacks.
struct Fields<'a> {
    map: &'a Map<String, Value>,
    keys: &'static [&'static str],
    next: usize,
}

impl<'de> MapAccess<'de> for Fields<'de> {
    type Error = FieldError;

    fn next_key_seed<K: DeserializeSeed<'de>>(&mut self, seed: K) -> Result<Option<K::Value>, FieldError> {
        let Some(key) = self.keys.get(self.next) else { return Ok(None) };
        let key: StrDeserializer<FieldError> = key.into_deserializer();
        seed.deserialize(key).map(Some)
    }

    fn next_value_seed<V: DeserializeSeed<'de>>(&mut self, seed: V) -> Result<V::Value, FieldError> {
        let key = self.keys[self.next];
        self.next += 1;
        let value = find(self.map, key)?;
        seed.deserialize(ValueDeserializer { value }).map_err(|error| error.within(key))
    }
}

/// Looks up `Key` or `Section.Key`; null counts as absent.
fn find<'a>(map: &'a Map<String, Value>, key: &str) -> Result<Option<&'a Value>, FieldError> {
    let Some((section, key)) = key.split_once(SECTION_SEPARATOR) else { return Ok(get(map, key)) };
    match get(map, section) {
        None => Ok(None),
        Some(Value::Object(map)) => Ok(get(map, key)),
        Some(_) => Err(FieldError::new(section, NOT_AN_OBJECT)),
    }
}

fn get<'a>(map: &'a Map<String, Value>, key: &str) -> Option<&'a Value> {
    map.get(key).filter(|value| !value.is_null())
}
