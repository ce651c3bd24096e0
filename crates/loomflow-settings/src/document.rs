//! The content of a configuration file, kept for the key-by-key comparison of a reload.
//!
//! The file is deserialized directly from its text. Tenants (`settings.Orgs`), the only list that grows with the size of the
//! platform, are stored in a compact [`Tenants`] list. Everything else is small and stays a tree of JSON values, because
//! the comparison also reports keys that no struct has, such as a note on a class, with their values in the file.

use serde::de::{Deserialize, Deserializer, MapAccess};
use serde_json::{Map, Value};

use crate::tenants::Tenants;
use crate::value_fallback::{DeserializeOrValue, deserialize_or_value};

/// Key of the settings object in the configuration file.
pub(crate) const SETTINGS: &str = "settings";
/// Key of the tenants in the settings object.
pub(crate) const TENANTS: &str = "Orgs";
/// Key that holds the name of a class or a tenant. Comparisons match list members by it.
pub(crate) const NAME: &str = "Name";

/// A configuration file, with the tenants separated from the other keys.
#[derive(Clone, Debug, PartialEq)]
pub struct Document {
    /// All keys except `settings.Orgs`.
    pub tree: Value,
    /// The value of `settings.Orgs`.
    pub tenants: Tenants,
}

/// The `settings` object, with the tenants separated from the other keys.
struct SettingsObject {
    tree: Value,
    tenants: Tenants,
}

impl<'de> DeserializeOrValue<'de> for Document {
    fn from_unexpected(tree: Value) -> Document {
        Document { tree, tenants: Tenants::Absent }
    }

    fn from_object<A: MapAccess<'de>>(mut map: A) -> Result<Document, A::Error> {
        let (mut tree, mut tenants) = (Map::new(), Tenants::Absent);
        while let Some(key) = map.next_key::<String>()? {
            let value = if key == SETTINGS {
                let settings: SettingsObject = map.next_value()?;
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

impl<'de> DeserializeOrValue<'de> for SettingsObject {
    fn from_unexpected(tree: Value) -> SettingsObject {
        SettingsObject { tree, tenants: Tenants::Absent }
    }

    fn from_object<A: MapAccess<'de>>(mut map: A) -> Result<SettingsObject, A::Error> {
        let (mut tree, mut tenants) = (Map::new(), Tenants::Absent);
        while let Some(key) = map.next_key::<String>()? {
            if key == TENANTS {
                tenants = map.next_value()?;
            } else {
                tree.insert(key, map.next_value()?);
            }
        }
        Ok(SettingsObject { tree: Value::Object(tree), tenants })
    }
}

impl<'de> Deserialize<'de> for Document {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Document, D::Error> {
        deserialize_or_value(deserializer)
    }
}

impl<'de> Deserialize<'de> for SettingsObject {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<SettingsObject, D::Error> {
        deserialize_or_value(deserializer)
    }
}

#[cfg(test)]
mod tests;
