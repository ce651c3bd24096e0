//! The deserializer; see the [parent module](super).

use serde::de::value::StrDeserializer;
use serde::de::{DeserializeSeed, Deserializer, Error, IntoDeserializer, MapAccess, SeqAccess, Visitor};
use serde::forward_to_deserialize_any;
use serde_json::{Map, Value};

use crate::error::FieldError;

pub(super) const MISSING: &str = "missing";
pub(super) const NOT_AN_ARRAY: &str = "not an array";
pub(super) const NOT_AN_OBJECT: &str = "not an object";
/// Between the key of a section and that of a value in it.
const SECTION_SEPARATOR: char = '.';

impl Error for FieldError {
    /// An error of the value that is being deserialized; the objects and arrays around it add its path.
    fn custom<T: std::fmt::Display>(problem: T) -> FieldError {
        FieldError::new("", problem.to_string())
    }
}

/// Deserializes a value of a document.
pub(crate) struct ValueDeserializer<'a> {
    /// `None` if the key is absent.
    value: Option<&'a Value>,
}

impl<'a> ValueDeserializer<'a> {
    pub(super) fn new(value: &'a Value) -> ValueDeserializer<'a> {
        ValueDeserializer { value: Some(value) }
    }

    /// The value, converted; the error if it has another type.
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
        let members = self.typed(NOT_AN_ARRAY, Value::as_array)?;
        visitor.visit_seq(Members { members, next: 0 })
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

/// The members of an array.
struct Members<'a> {
    members: &'a [Value],
    next: usize,
}

impl<'de> SeqAccess<'de> for Members<'de> {
    type Error = FieldError;

    fn next_element_seed<T: DeserializeSeed<'de>>(
        &mut self,
        seed: T,
    ) -> Result<Option<T::Value>, FieldError> {
        let Some(member) = self.members.get(self.next) else { return Ok(None) };
        let index = self.next;
        self.next += 1;
        let element = seed.deserialize(ValueDeserializer::new(member));
        element.map(Some).map_err(|error| error.within(&format!("[{index}]")))
    }
}

/// The keys of a struct, whether they are in the object or not, in the order of its fields.
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

/// The value of a key, or of `Section.Key`; null counts as absent.
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
