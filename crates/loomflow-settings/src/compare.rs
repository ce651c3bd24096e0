//! Compares two configuration files key by key, in time linear in their size. Only values that differ are copied.

use std::collections::BTreeSet;

use serde_json::{Map, Value};

use crate::document::{Document, NAME, SETTINGS, TENANTS};
use crate::lookup::{Lookup, NamedList};
use crate::tenants::{TenantList, Tenants};

/// Stands for the value of a key or a list member that one of the files lacks.
static NULL: Value = Value::Null;

/// A key whose values differ.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct Difference {
    /// Path of the key; members of lists are identified by their `Name`.
    pub(crate) key: String,
    pub(crate) current: Value,
    pub(crate) new: Value,
}

/// Collects the differences of a comparison.
#[derive(Debug, Default)]
struct Comparison {
    differences: Vec<Difference>,
}

/// Returns all keys that differ, with the keys of each object in alphabetical order; an absent key counts as null.
pub(crate) fn compare(current: &Document, new: &Document) -> Vec<Difference> {
    let mut comparison = Comparison::default();
    if let (Value::Object(before), Value::Object(after)) = (&current.tree, &new.tree) {
        comparison.compare_objects("", before, after, Some((&current.tenants, &new.tenants)));
    }
    comparison.differences
}

/// The current and the new tenants, for objects that may contain them: the root and the settings.
type TenantPair<'a> = Option<(&'a Tenants, &'a Tenants)>;

impl Comparison {
    /// Compares objects. `tenants` are passed down to `settings.Orgs`, because they are not part of the tree.
    fn compare_objects(
        &mut self,
        path: &str,
        before: &Map<String, Value>,
        after: &Map<String, Value>,
        tenants: TenantPair,
    ) {
        let mut keys: BTreeSet<&str> = before.keys().chain(after.keys()).map(String::as_str).collect();
        if path == SETTINGS {
            keys.insert(TENANTS);
        }
        for key in keys {
            let child_path = join(path, key);
            let (current, new) = (before.get(key).unwrap_or(&NULL), after.get(key).unwrap_or(&NULL));
            match (tenants, current, new) {
                (Some((current, new)), ..) if path == SETTINGS && key == TENANTS => {
                    self.compare_tenants(&child_path, current, new);
                }
                (Some(_), Value::Object(current), Value::Object(new)) if child_path == SETTINGS => {
                    self.compare_objects(&child_path, current, new, tenants);
                }
                _ => self.compare_values(&child_path, current, new),
            }
        }
    }

    /// Compares any two values. Members of lists are matched by name; a list with a nameless member counts as one value.
    fn compare_values(&mut self, path: &str, current: &Value, new: &Value) {
        if current == new {
            return;
        }
        match (current, new) {
            (Value::Object(before), Value::Object(after)) => self.compare_objects(path, before, after, None),
            (Value::Array(before), Value::Array(after)) if before.all_named() && after.all_named() => {
                self.compare_members(path, before, after);
            }
            _ => self.add_difference(path, current.clone(), new.clone()),
        }
    }

    fn compare_members(&mut self, path: &str, before: &[Value], after: &[Value]) {
        pair_members(before, after, |pair| {
            let current = pair.current.map_or(&NULL, |index| &before[index]);
            let new = pair.new.map_or(&NULL, |index| &after[index]);
            if current != new {
                self.compare_values(&join_member(path, pair.name), current, new);
            }
        });
    }

    fn compare_tenants(&mut self, path: &str, current: &Tenants, new: &Tenants) {
        match (current, new) {
            (Tenants::List(before), Tenants::List(after)) if before.all_named() && after.all_named() => {
                self.compare_tenant_lists(path, before, after);
            }
            _ if current == new => {}
            _ => self.compare_values(path, &current.to_value(), &new.to_value()),
        }
    }

    fn compare_tenant_lists(&mut self, path: &str, before: &TenantList, after: &TenantList) {
        let value = |list: &TenantList, index: Option<usize>| {
            index.map(|index| list.value(index)).unwrap_or_default()
        };
        pair_members(before, after, |pair| {
            if let (Some(current), Some(new)) = (pair.current, pair.new)
                && before.is_same(current, after, new)
            {
                return;
            }
            let (current, new) = (value(before, pair.current), value(after, pair.new));
            self.compare_values(&join_member(path, pair.name), &current, &new);
        });
    }

    fn add_difference(&mut self, path: &str, current: Value, new: Value) {
        self.differences.push(Difference { key: path.to_owned(), current, new });
    }
}

impl NamedList for [Value] {
    fn len(&self) -> usize {
        <[Value]>::len(self)
    }

    fn name(&self, index: usize) -> Option<&str> {
        self[index][NAME].as_str()
    }
}

/// Indices of the list members with this name in the current and the new list; one of the lists may have none.
struct MemberPair<'a> {
    name: &'a str,
    current: Option<usize>,
    new: Option<usize>,
}

/// Visits the members of both lists by name: first those of the current list in its order, then those that only the new
/// list has.
fn pair_members<'a, L>(before: &'a L, after: &'a L, mut visit: impl FnMut(MemberPair<'a>))
where
    L: NamedList + ?Sized,
{
    let name = |list: &'a L, index: usize| list.name(index).unwrap_or_default();
    let new_names = Lookup::new(after);
    let mut paired = vec![false; after.len()];
    for index in 0..before.len() {
        let name = name(before, index);
        let new = new_names.find(name);
        if let Some(new) = new {
            paired[new] = true;
        }
        visit(MemberPair { name, current: Some(index), new });
    }
    for index in (0..after.len()).filter(|index| !paired[*index]) {
        visit(MemberPair { name: name(after, index), current: None, new: Some(index) });
    }
}

fn join(path: &str, key: &str) -> String {
    if path.is_empty() { key.to_owned() } else { format!("{path}.{key}") }
}

fn join_member(path: &str, name: &str) -> String {
    format!("{path}[{name}]")
}

#[cfg(test)]
mod tests;
