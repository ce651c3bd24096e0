//! The content of a configuration file, for comparisons key by key.
//!
//! The file is deserialized straight from its text. Tenants (`settings.Orgs`), the one list that grows with the size of
//! the platform, go into a compact [`Tenants`] list; everything else is small and stays a tree of JSON values, because the
//! comparison reports keys that no struct has, such as a note on a class, with their values as they stand in the file.

use serde::de::{Deserialize, Deserializer, MapAccess};
use serde_json::{Map, Value};

use crate::shaped::{Shaped, deserialize_shaped};
use crate::tenants::Tenants;

/// Key of the object that holds the tenants.
pub(crate) const SETTINGS: &str = "settings";
/// Key of the list of tenants in the settings.
pub(crate) const TENANTS: &str = "Orgs";
/// Key of the name of a list's member.
pub(crate) const NAME: &str = "Name";

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

#[cfg(test)]
mod tests;
