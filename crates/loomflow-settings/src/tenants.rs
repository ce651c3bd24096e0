//! The tenants of a configuration (`settings.Orgs`) in a compact form: names end to end in one text, and a number each.
//!
//! A tree of JSON values takes about 750 bytes for a tenant, this list about 35.

use std::collections::BTreeMap;

use loomflow::interface::Tenant;
use serde::de::{Deserialize, Deserializer, SeqAccess};
use serde_json::{Map, Number, Value};

use crate::document::{Shaped, deserialize_shaped};
use crate::lookup::NamedList;
use crate::read::{Node, Read};

const NAME: &str = "Name";
const QUOTA: &str = "QuotaPerS";

/// The value of `settings.Orgs`.
#[derive(Clone, Debug, Default, PartialEq)]
pub enum Tenants {
    /// No such key, or null.
    #[default]
    Absent,
    List(TenantList),
    /// Not an array.
    Invalid(Value),
}

/// Tenants in the order of the file.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct TenantList {
    /// All names, one after the other.
    names: String,
    records: Vec<Record>,
    /// Members that are more than a name and a quota, or not that, by their place.
    unusual: BTreeMap<usize, Value>,
}

/// One member of the list.
#[derive(Clone, Debug, PartialEq)]
struct Record {
    /// Where its name ends in `names`; it begins where the one before ends.
    name_end: usize,
    /// Absent reads as 0.
    quota: Option<Number>,
}

impl Tenants {
    /// Takes the tenants from a tree of values.
    pub fn from_value(value: Option<&Value>) -> Tenants {
        match value {
            None | Some(Value::Null) => Tenants::Absent,
            Some(Value::Array(members)) => {
                let mut list = TenantList::default();
                members.iter().for_each(|member| list.push(member.clone()));
                Tenants::List(list)
            }
            Some(other) => Tenants::Invalid(other.clone()),
        }
    }

    /// The tenants as the module takes them. Errors name the key, below `path`.
    pub fn quotas(&self, path: &str) -> Read<Vec<Tenant>> {
        let list = self.list(path)?;
        let quota = |at| list.quota(at, path).map(|quota_per_s| Tenant { quota_per_s });
        (0..list.len()).map(quota).collect()
    }

    /// The names of the tenants. Errors name the key, below `path`.
    pub fn names(&self, path: &str) -> Read<Vec<String>> {
        let list = self.list(path)?;
        (0..list.len()).map(|at| list.read_name(at, path)).collect()
    }

    /// The list; absent reads as empty.
    fn list(&self, path: &str) -> Read<&TenantList> {
        static EMPTY: TenantList =
            TenantList { names: String::new(), records: Vec::new(), unusual: BTreeMap::new() };
        match self {
            Tenants::Absent => Ok(&EMPTY),
            Tenants::List(list) => Ok(list),
            Tenants::Invalid(_) => Err(format!("{path}: not an array")),
        }
    }

    /// The tenants as a tree of values.
    pub fn to_value(&self) -> Value {
        match self {
            Tenants::Absent => Value::Null,
            Tenants::List(list) => (0..list.len()).map(|at| list.value(at)).collect(),
            Tenants::Invalid(value) => value.clone(),
        }
    }
}

impl TenantList {
    fn push(&mut self, member: Value) {
        let plain = plain(&member);
        let is_unusual = plain.is_none();
        let name = plain.map_or_else(|| member[NAME].as_str().unwrap_or_default(), |(name, _)| name);
        self.names.push_str(name);
        let quota = plain.and_then(|(_, quota)| quota.cloned());
        if is_unusual {
            self.unusual.insert(self.records.len(), member);
        }
        self.records.push(Record { name_end: self.names.len(), quota });
    }

    /// One member as a tree of values.
    pub fn value(&self, at: usize) -> Value {
        if let Some(value) = self.unusual.get(&at) {
            return value.clone();
        }
        let mut member = Map::new();
        member.insert(NAME.into(), self.text(at).into());
        if let Some(quota) = &self.records[at].quota {
            member.insert(QUOTA.into(), Value::Number(quota.clone()));
        }
        Value::Object(member)
    }

    /// Whether two members are the same in all their keys.
    pub fn same(&self, at: usize, other: &TenantList, other_at: usize) -> bool {
        self.text(at) == other.text(other_at)
            && self.records[at].quota == other.records[other_at].quota
            && self.unusual.get(&at) == other.unusual.get(&other_at)
    }

    fn quota(&self, at: usize, path: &str) -> Read<f64> {
        if let Some(value) = self.unusual.get(&at) {
            return Node::new(&member_path(path, at), value)?.non_negative(QUOTA);
        }
        let quota = self.records[at].quota.as_ref().and_then(Number::as_f64).unwrap_or(0.0);
        if quota >= 0.0 { Ok(quota) } else { Err(format!("{}.{QUOTA}: below 0", member_path(path, at))) }
    }

    fn read_name(&self, at: usize, path: &str) -> Read<String> {
        match self.unusual.get(&at) {
            Some(value) => Node::new(&member_path(path, at), value)?.text(NAME).map(str::to_owned),
            None => Ok(self.text(at).to_owned()),
        }
    }

    /// The name, empty where there is none.
    fn text(&self, at: usize) -> &str {
        let begin = if at == 0 { 0 } else { self.records[at - 1].name_end };
        &self.names[begin..self.records[at].name_end]
    }
}

impl NamedList for TenantList {
    fn len(&self) -> usize {
        self.records.len()
    }

    fn name(&self, at: usize) -> Option<&str> {
        match self.unusual.get(&at) {
            Some(value) => value[NAME].as_str(),
            None => Some(self.text(at)),
        }
    }

    fn all_named(&self) -> bool {
        self.unusual.values().all(|value| value[NAME].is_string())
    }
}

fn member_path(path: &str, at: usize) -> String {
    format!("{path}[{at}]")
}

/// Name and quota of a member that has these keys only.
fn plain(member: &Value) -> Option<(&str, Option<&Number>)> {
    let keys = member.as_object()?;
    let name = keys.get(NAME)?.as_str()?;
    match (keys.len(), keys.get(QUOTA)) {
        (1, None) => Some((name, None)),
        (2, Some(Value::Number(quota))) => Some((name, Some(quota))),
        _ => None,
    }
}

impl<'de> Shaped<'de> for Tenants {
    fn unexpected(value: Value) -> Tenants {
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
        deserialize_shaped(deserializer)
    }
}
