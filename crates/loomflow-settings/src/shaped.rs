//! Deserialization of values that are expected to have one kind, and become a tree of JSON values if they have another.

use std::marker::PhantomData;

use serde::de::value::{MapAccessDeserializer, SeqAccessDeserializer};
use serde::de::{Deserialize, Deserializer, Error, MapAccess, SeqAccess, Visitor};
use serde_json::Value;

/// A type that is deserialized from one kind of JSON value, and from other kinds as a tree.
pub(crate) trait Shaped<'de>: Sized {
    /// Wraps a value of another kind.
    fn unexpected(value: Value) -> Self;

    /// Deserializes an object.
    fn from_object<A: MapAccess<'de>>(map: A) -> Result<Self, A::Error> {
        Value::deserialize(MapAccessDeserializer::new(map)).map(Self::unexpected)
    }

    /// Deserializes an array.
    fn from_array<A: SeqAccess<'de>>(sequence: A) -> Result<Self, A::Error> {
        Value::deserialize(SeqAccessDeserializer::new(sequence)).map(Self::unexpected)
    }
}

/// Deserializes a [`Shaped`] type from a value of any kind.
pub(crate) fn deserialize_shaped<'de, T, D>(deserializer: D) -> Result<T, D::Error>
where
    T: Shaped<'de>,
    D: Deserializer<'de>,
{
    deserializer.deserialize_any(ShapedVisitor(PhantomData))
}

struct ShapedVisitor<T>(PhantomData<T>);

impl<'de, T: Shaped<'de>> Visitor<'de> for ShapedVisitor<T> {
    type Value = T;

    fn expecting(&self, formatter: &mut std::fmt::Formatter) -> std::fmt::Result {
        formatter.write_str("a JSON value")
    }

    fn visit_unit<E: Error>(self) -> Result<T, E> {
        Ok(T::unexpected(Value::Null))
    }

    fn visit_bool<E: Error>(self, value: bool) -> Result<T, E> {
        Ok(T::unexpected(value.into()))
    }

    fn visit_i64<E: Error>(self, value: i64) -> Result<T, E> {
        Ok(T::unexpected(value.into()))
    }

    fn visit_u64<E: Error>(self, value: u64) -> Result<T, E> {
        Ok(T::unexpected(value.into()))
    }

    fn visit_f64<E: Error>(self, value: f64) -> Result<T, E> {
        Ok(T::unexpected(value.into()))
    }

    fn visit_str<E: Error>(self, value: &str) -> Result<T, E> {
        Ok(T::unexpected(value.into()))
    }

    fn visit_map<A: MapAccess<'de>>(self, map: A) -> Result<T, A::Error> {
        T::from_object(map)
    }

    fn visit_seq<A: SeqAccess<'de>>(self, sequence: A) -> Result<T, A::Error> {
        T::from_array(sequence)
    }
}
