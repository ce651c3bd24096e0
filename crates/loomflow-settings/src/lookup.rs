//! Finding members of a list by name without walking the list for each.

use std::cell::{Cell, OnceCell};
use std::collections::HashMap;

use serde_json::Value;

/// Names that scans may look at before an index is built, as a multiple of the list's length.
const SCANS: usize = 8;

/// A list whose members bear names.
pub(crate) trait NamedList {
    fn len(&self) -> usize;

    /// The name of a member; none where it bears none.
    fn name(&self, at: usize) -> Option<&str>;

    /// Whether every member bears a name.
    fn all_named(&self) -> bool {
        (0..self.len()).all(|at| self.name(at).is_some())
    }
}

impl NamedList for [String] {
    fn len(&self) -> usize {
        <[String]>::len(self)
    }

    fn name(&self, at: usize) -> Option<&str> {
        Some(&self[at])
    }
}

impl NamedList for [Value] {
    fn len(&self) -> usize {
        <[Value]>::len(self)
    }

    fn name(&self, at: usize) -> Option<&str> {
        self[at]["Name"].as_str()
    }
}

/// Looks members up by name. Two versions of a list mostly have the same order, so a scan begins where the next member is
/// expected and soon finds it; a few that are missing cost a scan of the whole list each. Once scans have looked at
/// [`SCANS`] times the list's length, an index is built: the work stays linear whatever the order.
pub(crate) struct Lookup<'a, L: NamedList + ?Sized> {
    list: &'a L,
    expected: Cell<usize>,
    scans_left: Cell<usize>,
    index: OnceCell<HashMap<&'a str, usize>>,
}

impl<'a, L: NamedList + ?Sized> Lookup<'a, L> {
    pub(crate) fn new(list: &'a L) -> Lookup<'a, L> {
        let scans_left = Cell::new(SCANS * list.len());
        Lookup { list, expected: Cell::new(0), scans_left, index: OnceCell::new() }
    }

    /// The place of the member of that name. Where several bear it, any of them may be given.
    pub(crate) fn find(&self, name: &str) -> Option<usize> {
        let found = if self.scans_left.get() > 0 { self.scan(name) } else { self.index().get(name).copied() };
        if let Some(at) = found {
            self.expected.set(at + 1);
        }
        found
    }

    /// Walks the list from the expected place on, and around to it again.
    fn scan(&self, name: &str) -> Option<usize> {
        let length = self.list.len();
        let expected = self.expected.get().min(length);
        let mut looks = 0;
        let found = (expected..length).chain(0..expected).find(|at| {
            looks += 1;
            self.list.name(*at) == Some(name)
        });
        // One that stands where it is expected costs nothing: its list is in order.
        let wasted = looks - usize::from(found.is_some());
        self.scans_left.set(self.scans_left.get().saturating_sub(wasted));
        found
    }

    fn index(&self) -> &HashMap<&'a str, usize> {
        self.index.get_or_init(|| {
            let mut index = HashMap::with_capacity(self.list.len());
            for at in 0..self.list.len() {
                if let Some(name) = self.list.name(at) {
                    index.entry(name).or_insert(at);
                }
            }
            index
        })
    }
}
