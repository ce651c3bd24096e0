//! Compares two documents key by key. The work is linear in their size, and only values that differ are copied.

use std::collections::BTreeSet;

use serde_json::{Map, Value};

use crate::document::{Document, NAME, SETTINGS, TENANTS};
use crate::lookup::{Lookup, NamedList};
use crate::tenants::{TenantList, Tenants};

static NULL: Value = Value::Null;

/// A key whose values differ.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct Difference {
    /// Its path; members of lists are named by their `Name`.
    pub(crate) key: String,
    pub(crate) current: Value,
    pub(crate) new: Value,
}

/// A comparison in progress.
#[derive(Debug, Default)]
struct Comparison {
    differences: Vec<Difference>,
}

/// All keys that differ, in the order of their paths; absent counts as null.
pub(crate) fn compare(current: &Document, new: &Document) -> Vec<Difference> {
    let mut comparison = Comparison::default();
    if let (Value::Object(before), Value::Object(after)) = (&current.tree, &new.tree) {
        comparison.objects("", before, after, Some((&current.tenants, &new.tenants)));
    }
    comparison.differences
}

/// The tenants of both sides, where an object may contain them.
type TenantSides<'a> = Option<(&'a Tenants, &'a Tenants)>;

impl Comparison {
    /// Compares objects. `tenants` are passed down to the key that holds them, because they are not part of the tree.
    fn objects(
        &mut self,
        path: &str,
        before: &Map<String, Value>,
        after: &Map<String, Value>,
        tenants: TenantSides,
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
                    self.tenants(&child_path, current, new);
                }
                (Some(_), Value::Object(current), Value::Object(new)) if child_path == SETTINGS => {
                    self.objects(&child_path, current, new, tenants);
                }
                _ => self.values(&child_path, current, new),
            }
        }
    }

    /// Compares any two values. Lists of named members are matched by name; other lists count as one value.
    fn values(&mut self, path: &str, current: &Value, new: &Value) {
        if current == new {
            return;
        }
        match (current, new) {
            (Value::Object(before), Value::Object(after)) => self.objects(path, before, after, None),
            (Value::Array(before), Value::Array(after)) if before.all_named() && after.all_named() => {
                self.members(path, before, after);
            }
            _ => self.differ(path, current.clone(), new.clone()),
        }
    }

    fn members(&mut self, path: &str, before: &[Value], after: &[Value]) {
        pair_members(before, after, |pair| {
            let current = pair.current.map_or(&NULL, |at| &before[at]);
            let new = pair.new.map_or(&NULL, |at| &after[at]);
            if current != new {
                self.values(&join_member(path, pair.name), current, new);
            }
        });
    }

    fn tenants(&mut self, path: &str, current: &Tenants, new: &Tenants) {
        match (current, new) {
            (Tenants::List(before), Tenants::List(after)) if before.all_named() && after.all_named() => {
                self.tenant_members(path, before, after);
            }
            _ if current == new => {}
            _ => self.values(path, &current.to_value(), &new.to_value()),
        }
    }

    fn tenant_members(&mut self, path: &str, before: &TenantList, after: &TenantList) {
        let value = |list: &TenantList, at: Option<usize>| at.map(|at| list.value(at)).unwrap_or_default();
        pair_members(before, after, |pair| {
            if let (Some(current), Some(new)) = (pair.current, pair.new)
                && before.is_same(current, after, new)
            {
                return;
            }
            let (current, new) = (value(before, pair.current), value(after, pair.new));
            self.values(&join_member(path, pair.name), &current, &new);
        });
    }

    fn differ(&mut self, path: &str, current: Value, new: Value) {
        self.differences.push(Difference { key: path.to_owned(), current, new });
    }
}

impl NamedList for [Value] {
    fn len(&self) -> usize {
        <[Value]>::len(self)
    }

    fn name(&self, at: usize) -> Option<&str> {
        self[at][NAME].as_str()
    }
}

/// Members of two lists with the same name, by index; one of them may be missing.
struct MemberPair<'a> {
    name: &'a str,
    current: Option<usize>,
    new: Option<usize>,
}

/// Visits the members of both lists by name: first those of the current list in its order, then those of the new list only.
fn pair_members<'a, L>(before: &'a L, after: &'a L, mut visit: impl FnMut(MemberPair<'a>))
where
    L: NamedList + ?Sized,
{
    let name = |list: &'a L, at: usize| list.name(at).unwrap_or_default();
    let new_names = Lookup::new(after);
    let mut paired = vec![false; after.len()];
    for at in 0..before.len() {
        let name = name(before, at);
        let new = new_names.find(name);
        if let Some(new) = new {
            paired[new] = true;
        }
        visit(MemberPair { name, current: Some(at), new });
    }
    for at in (0..after.len()).filter(|at| !paired[*at]) {
        visit(MemberPair { name: name(after, at), current: None, new: Some(at) });
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
