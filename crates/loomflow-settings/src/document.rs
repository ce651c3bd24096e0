//! The content of a configuration file, kept for comparisons key by key.
//!
//! The file is deserialized straight from its text. Tenants (`settings.Orgs`), the one list that grows with the size of
//! the platform, go into a compact [`Tenants`] list; everything else is small and stays a tree of JSON values.

use std::marker::PhantomData;

use serde::de::value::{MapAccessDeserializer, SeqAccessDeserializer};
use serde::de::{Deserialize, Deserializer, Error, MapAccess, SeqAccess, Visitor};
use serde_json::{Map, Value};

use crate::tenants::Tenants;

#[cfg(test)]
mod tests;

/// Key of the object that holds the tenants.
pub(crate) const SETTINGS: &str = "settings";
/// Key of the list of tenants in the settings.
pub(crate) const TENANTS: &str = "Orgs";

/// The content of a configuration file.
#[derive(Clone, Debug, PartialEq)]
pub struct Document {
    /// All keys except `settings.Orgs`.
    pub tree: Value,
    /// The value of `settings.Orgs`.
    pub tenants: Tenants,
}

/// The value of `settings`, with the tenants separated.
struct SettingsPart {
    tree: Value,
    tenants: Tenants,
}

/// A type that is deserialized from one kind of JSON value and keeps values of other kinds as a tree.
pub(crate) trait Shaped<'de>: Sized {
    /// Keeps a value of another kind.
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

impl<'de> Shaped<'de> for Document {
    fn unexpected(tree: Value) -> Document {
        Document { tree, tenants: Tenants::Absent }
    }

    fn from_object<A: MapAccess<'de>>(mut map: A) -> Result<Document, A::Error> {
        let (mut tree, mut tenants) = (Map::new(), Tenants::Absent);
        while let Some(key) = map.next_key::<String>()? {
            let value = if key == SETTINGS {
                let settings: SettingsPart = map.next_value()?;
                tenants = settings.tenants;
                settings.tree
            } else {
                map.next_value()?
            };
            tree.insert(key, value);
        }
        Ok(Document { tree: Value::Object(tree), tenants })
    }
}

impl<'de> Shaped<'de> for SettingsPart {
    fn unexpected(tree: Value) -> SettingsPart {
        SettingsPart { tree, tenants: Tenants::Absent }
    }

    fn from_object<A: MapAccess<'de>>(mut map: A) -> Result<SettingsPart, A::Error> {
        let (mut tree, mut tenants) = (Map::new(), Tenants::Absent);
        while let Some(key) = map.next_key::<String>()? {
            if key == TENANTS {
                tenants = map.next_value()?;
            } else {
                tree.insert(key, map.next_value()?);
            }
        }
        Ok(SettingsPart { tree: Value::Object(tree), tenants })
    }
}

impl<'de> Deserialize<'de> for Document {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Document, D::Error> {
        deserialize_shaped(deserializer)
    }
}

impl<'de> Deserialize<'de> for SettingsPart {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<SettingsPart, D::Error> {
        deserialize_shaped(deserializer)
    }
}
