//! Deserializes types that expect an object or an array, and keep a value of any other JSON type as a [`Value`] instead of
//! failing.

use std::marker::PhantomData;

use serde::de::value::{MapAccessDeserializer, SeqAccessDeserializer};
use serde::de::{Deserialize, Deserializer, Error, MapAccess, SeqAccess, Visitor};
use serde_json::Value;

/// A type that is built from a JSON object or array, with a [`Value`] as the fallback for other JSON types. An
/// implementation overrides the method for the JSON type that it expects.
pub(crate) trait DeserializeOrValue<'de>: Sized {
    /// Wraps a value that is neither an object nor an array, or the one of these that was not expected.
    fn from_unexpected(value: Value) -> Self;

    /// Deserializes an object; the default implementation treats it as an unexpected type.
    fn from_object<A: MapAccess<'de>>(map: A) -> Result<Self, A::Error> {
        Value::deserialize(MapAccessDeserializer::new(map)).map(Self::from_unexpected)
    }

    /// Deserializes an array; the default implementation treats it as an unexpected type.
    fn from_array<A: SeqAccess<'de>>(sequence: A) -> Result<Self, A::Error> {
        Value::deserialize(SeqAccessDeserializer::new(sequence)).map(Self::from_unexpected)
    }
}

/// Deserializes a [`DeserializeOrValue`] type from a JSON value of any type.
pub(crate) fn deserialize_or_value<'de, T, D>(deserializer: D) -> Result<T, D::Error>
where
    T: DeserializeOrValue<'de>,
    D: Deserializer<'de>,
{
    deserializer.deserialize_any(OrValueVisitor(PhantomData))
}

struct OrValueVisitor<T>(PhantomData<T>);

impl<'de, T: DeserializeOrValue<'de>> Visitor<'de> for OrValueVisitor<T> {
    type Value = T;

    fn expecting(&self, formatter: &mut std::fmt::Formatter) -> std::fmt::Result {
        formatter.write_str("a JSON value")
    }

    fn visit_unit<E: Error>(self) -> Result<T, E> {
        Ok(T::from_unexpected(Value::Null))
    }

    fn visit_bool<E: Error>(self, value: bool) -> Result<T, E> {
        Ok(T::from_unexpected(value.into()))
    }

    fn visit_i64<E: Error>(self, value: i64) -> Result<T, E> {
        Ok(T::from_unexpected(value.into()))
    }

    fn visit_u64<E: Error>(self, value: u64) -> Result<T, E> {
        Ok(T::from_unexpected(value.into()))
    }

    fn visit_f64<E: Error>(self, value: f64) -> Result<T, E> {
        Ok(T::from_unexpected(value.into()))
    }

    fn visit_str<E: Error>(self, value: &str) -> Result<T, E> {
        Ok(T::from_unexpected(value.into()))
    }

    fn visit_map<A: MapAccess<'de>>(self, map: A) -> Result<T, A::Error> {
        T::from_object(map)
    }

    fn visit_seq<A: SeqAccess<'de>>(self, sequence: A) -> Result<T, A::Error> {
        T::from_array(sequence)
    }
}
