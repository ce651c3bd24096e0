//! The tenants of a configuration (`settings.Orgs`) in a compact form: all names in one string, and one quota per tenant.
//!
//! A tree of JSON values takes about 750 bytes per tenant, this list about 35.

use std::collections::BTreeMap;

use loomflow::interface::Tenant;
use serde::de::{Deserialize, Deserializer, SeqAccess};
use serde_json::{Map, Number, Value};

use crate::document::NAME;
use crate::error::FieldError;
use crate::json::JsonObject;
use crate::json::fields::{non_negative, or_default};
use crate::lookup::NamedList;
use crate::value_fallback::{DeserializeOrValue, deserialize_or_value};

/// Key of a tenant's quota.
const QUOTA: &str = "QuotaPerS";

/// The name of a tenant, deserialized separately from its quota because their errors are reported at different stages.
#[derive(serde::Deserialize)]
struct TenantName {
    /// Name of the tenant; empty by default.
    #[serde(rename = "Name", deserialize_with = "or_default")]
    name: String,
}

/// The quota of a tenant.
#[derive(serde::Deserialize)]
struct TenantQuota {
    /// Quota in requests per second, over the whole fleet; 0 by default, for no quota.
    #[serde(rename = "QuotaPerS", deserialize_with = "non_negative")]
    quota_per_s: f64,
}

/// The value of `settings.Orgs`.
#[derive(Clone, Debug, Default, PartialEq)]
pub enum Tenants {
    /// The key is absent or null.
    #[default]
    Absent,
    /// The value is an array.
    List(TenantList),
    /// The value has another type; [`quotas`](Self::quotas) and [`names`](Self::names) report it as an error.
    Invalid(Value),
}

/// Tenants in the order of the file.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct TenantList {
    /// All names, concatenated.
    names: String,
    records: Vec<CompactMember>,
    /// Complete values of the tenants that have other keys or types than a name and a quota, by index. For these, the
    /// compact form holds only the name.
    full_members: BTreeMap<usize, Value>,
}

/// The compact form of one tenant.
#[derive(Clone, Debug, PartialEq)]
struct CompactMember {
    /// End of the tenant's name in `names`, in bytes; the name starts at the end of the previous one.
    name_end: usize,
    /// Quota as written in the file; `None` counts as 0.
    quota: Option<Number>,
}

impl Tenants {
    /// Converts the value of `settings.Orgs` in a tree of JSON values.
    pub fn from_value(value: Option<&Value>) -> Tenants {
        match value {
            None | Some(Value::Null) => Tenants::Absent,
            Some(Value::Array(members)) => {
                let mut list = TenantList::default();
                for member in members {
                    list.push(member.clone());
                }
                Tenants::List(list)
            }
            Some(other) => Tenants::Invalid(other.clone()),
        }
    }

    /// Returns the controller's settings of the tenants, by index.
    ///
    /// # Errors
    ///
    /// The list or a quota is invalid; `path` is the path of the list, to which the error appends that of the quota.
    pub fn quotas(&self, path: &str) -> Result<Vec<Tenant>, FieldError> {
        let list = self.list(path)?;
        let tenant = |index| list.quota(index, path).map(|quota_per_s| Tenant { quota_per_s });
        (0..list.len()).map(tenant).collect()
    }

    /// Returns the names of the tenants, by index.
    ///
    /// # Errors
    ///
    /// The list or a name is invalid; `path` is the path of the list, to which the error appends that of the name.
    pub fn names(&self, path: &str) -> Result<Vec<String>, FieldError> {
        let list = self.list(path)?;
        (0..list.len()).map(|index| list.parse_name(index, path)).collect()
    }

    /// Returns the list; an empty one if the key is absent or null.
    fn list(&self, path: &str) -> Result<&TenantList, FieldError> {
        static EMPTY: TenantList =
            TenantList { names: String::new(), records: Vec::new(), full_members: BTreeMap::new() };
        match self {
            Tenants::Absent => Ok(&EMPTY),
            Tenants::List(list) => Ok(list),
            Tenants::Invalid(_) => Err(FieldError::new(path, "not an array")),
        }
    }

    /// Converts the tenants back to the value in the file.
    pub fn to_value(&self) -> Value {
        match self {
            Tenants::Absent => Value::Null,
            Tenants::List(list) => (0..list.len()).map(|index| list.value(index)).collect(),
            Tenants::Invalid(value) => value.clone(),
        }
    }
}

impl TenantList {
    fn push(&mut self, member: Value) {
        let name_and_quota = name_and_quota(&member);
        let is_compact = name_and_quota.is_some();
        let name = name_and_quota.map_or_else(|| member[NAME].as_str().unwrap_or_default(), |(name, _)| name);
        self.names.push_str(name);
        let quota = name_and_quota.and_then(|(_, quota)| quota.cloned());
        if !is_compact {
            self.full_members.insert(self.records.len(), member);
        }
        self.records.push(CompactMember { name_end: self.names.len(), quota });
    }

    /// Returns the tenant at `index` as a JSON value with all keys that it has in the file.
    pub fn value(&self, index: usize) -> Value {
        if let Some(value) = self.full_members.get(&index) {
            return value.clone();
        }
        let mut member = Map::new();
        member.insert(NAME.into(), self.stored_name(index).into());
        if let Some(quota) = &self.records[index].quota {
            member.insert(QUOTA.into(), Value::Number(quota.clone()));
        }
        Value::Object(member)
    }

    /// Whether a tenant of this list equals one of `other` in all keys.
    pub fn is_same(&self, index: usize, other: &TenantList, other_index: usize) -> bool {
        self.stored_name(index) == other.stored_name(other_index)
            && self.records[index].quota == other.records[other_index].quota
            && self.full_members.get(&index) == other.full_members.get(&other_index)
    }

    fn quota(&self, index: usize, path: &str) -> Result<f64, FieldError> {
        if let Some(value) = self.full_members.get(&index) {
            let member = JsonObject::new(member_path(path, index), value)?;
            return member.deserialize().map(|TenantQuota { quota_per_s }| quota_per_s);
        }
        let quota = self.records[index].quota.as_ref().and_then(Number::as_f64).unwrap_or(0.0);
        if quota >= 0.0 {
            Ok(quota)
        } else {
            Err(FieldError::new(format!("{}.{QUOTA}", member_path(path, index)), "below 0"))
        }
    }

    fn parse_name(&self, index: usize, path: &str) -> Result<String, FieldError> {
        match self.full_members.get(&index) {
            Some(value) => {
                let member = JsonObject::new(member_path(path, index), value)?;
                member.deserialize().map(|TenantName { name }| name)
            }
            None => Ok(self.stored_name(index).to_owned()),
        }
    }

    /// Returns the name of the tenant at `index`; an empty one if it has none.
    fn stored_name(&self, index: usize) -> &str {
        let start = if index == 0 { 0 } else { self.records[index - 1].name_end };
        &self.names[start..self.records[index].name_end]
    }
}

impl NamedList for TenantList {
    fn len(&self) -> usize {
        self.records.len()
    }

    fn name(&self, index: usize) -> Option<&str> {
        match self.full_members.get(&index) {
            Some(value) => value[NAME].as_str(),
            None => Some(self.stored_name(index)),
        }
    }

    fn all_named(&self) -> bool {
        self.full_members.values().all(|value| value[NAME].is_string())
    }
}

fn member_path(path: &str, index: usize) -> String {
    format!("{path}[{index}]")
}

/// Returns the name and the quota of a tenant; `None` if it has other keys, or if one of these two has another type.
fn name_and_quota(member: &Value) -> Option<(&str, Option<&Number>)> {
    let keys = member.as_object()?;
    let name = keys.get(NAME)?.as_str()?;
    match (keys.len(), keys.get(QUOTA)) {
        (1, None) => Some((name, None)),
        (2, Some(Value::Number(quota))) => Some((name, Some(quota))),
        _ => None,
    }
}

impl<'de> DeserializeOrValue<'de> for Tenants {
    fn from_unexpected(value: Value) -> Tenants {
        if value.is_null() { Tenants::Absent } else { Tenants::Invalid(value) }
    }

    fn from_array<A: SeqAccess<'de>>(mut sequence: A) -> Result<Tenants, A::Error> {
        let mut list = TenantList::default();
        while let Some(member) = sequence.next_element::<Value>()? {
            list.push(member);
        }
        list.names.shrink_to_fit();
        list.records.shrink_to_fit();
        Ok(Tenants::List(list))
    }
}

impl<'de> Deserialize<'de> for Tenants {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Tenants, D::Error> {
        deserialize_or_value(deserializer)
    }
}
