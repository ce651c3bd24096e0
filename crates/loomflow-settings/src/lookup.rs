//! Lookup of list members by name without a scan of the list for each.

use std::cell::{Cell, OnceCell};
use std::collections::HashMap;

/// Names that scans may compare before an index is built, as a multiple of the list's length.
const MAX_SCANS: usize = 8;

/// A list of named members.
pub(crate) trait NamedList {
    fn len(&self) -> usize;

    /// The name of a member, if it has one.
    fn name(&self, at: usize) -> Option<&str>;

    /// Whether every member has a name.
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

/// Finds members by name. Two versions of a list mostly have the same order, so a scan starts after the member that was
/// found last; each missing member costs a scan of the whole list. Once the scans have compared [`MAX_SCANS`] times the
/// list's length, an index is built, so the work is linear whatever the order.
pub(crate) struct Lookup<'a, L: NamedList + ?Sized> {
    list: &'a L,
    /// Where the next member is expected.
    expected: Cell<usize>,
    /// Comparisons that scans may still spend.
    comparisons_left: Cell<usize>,
    index: OnceCell<HashMap<&'a str, usize>>,
}

impl<'a, L: NamedList + ?Sized> Lookup<'a, L> {
    pub(crate) fn new(list: &'a L) -> Lookup<'a, L> {
        let comparisons_left = Cell::new(MAX_SCANS * list.len());
        Lookup { list, expected: Cell::new(0), comparisons_left, index: OnceCell::new() }
    }

    /// The index of the member of this name. If several have it, any of them may be returned.
    pub(crate) fn find(&self, name: &str) -> Option<usize> {
        let found =
            if self.comparisons_left.get() > 0 { self.scan(name) } else { self.index().get(name).copied() };
        if let Some(at) = found {
            self.expected.set(at + 1);
        }
        found
    }

    /// Searches from the expected index to the end and then from the start.
    fn scan(&self, name: &str) -> Option<usize> {
        let length = self.list.len();
        let expected = self.expected.get().min(length);
        let mut comparisons = 0;
        let found = (expected..length).chain(0..expected).find(|at| {
            comparisons += 1;
            self.list.name(*at) == Some(name)
        });
        // A member at its expected index costs nothing: the lists have the same order.
        let wasted = comparisons - usize::from(found.is_some());
        self.comparisons_left.set(self.comparisons_left.get().saturating_sub(wasted));
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
