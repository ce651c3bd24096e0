//! Looks up list members by name, in linear total time for the whole list.

use std::cell::{Cell, OnceCell};
use std::collections::HashMap;

/// Number of name comparisons that scans may make before a hash index is built, as a multiple of the list's length.
const MAX_SCANS: usize = 8;

/// A list whose members may have names.
pub(crate) trait NamedList {
    fn len(&self) -> usize;

    /// The name of the member at `index`, if it has one.
    fn name(&self, index: usize) -> Option<&str>;

    /// Whether every member has a name.
    fn all_named(&self) -> bool {
        (0..self.len()).all(|index| self.name(index).is_some())
    }
}

impl NamedList for [String] {
    fn len(&self) -> usize {
        <[String]>::len(self)
    }

    fn name(&self, index: usize) -> Option<&str> {
        Some(&self[index])
    }
}

/// Finds members by name. Two versions of a list usually have the same order, so a scan starts after the member that was
/// found last; each missing member costs a scan of the whole list. Once the scans have made [`MAX_SCANS`] comparisons per
/// member of the list, a hash index is built, so the total work is linear in any order.
pub(crate) struct Lookup<'a, L: NamedList + ?Sized> {
    list: &'a L,
    /// Index at which the next scan starts.
    expected: Cell<usize>,
    /// Number of comparisons that scans may still make; at 0, the hash `index` is used instead.
    comparisons_left: Cell<usize>,
    index: OnceCell<HashMap<&'a str, usize>>,
}

impl<'a, L: NamedList + ?Sized> Lookup<'a, L> {
    pub(crate) fn new(list: &'a L) -> Lookup<'a, L> {
        let comparisons_left = Cell::new(MAX_SCANS * list.len());
        Lookup { list, expected: Cell::new(0), comparisons_left, index: OnceCell::new() }
    }

    /// Returns the index of a member with this name. If several have it, which one is returned is unspecified.
    pub(crate) fn find(&self, name: &str) -> Option<usize> {
        let found =
            if self.comparisons_left.get() > 0 { self.scan(name) } else { self.index().get(name).copied() };
        if let Some(index) = found {
            self.expected.set(index + 1);
        }
        found
    }

    /// Searches from the expected index to the end, then wraps around to the start.
    fn scan(&self, name: &str) -> Option<usize> {
        let length = self.list.len();
        let expected = self.expected.get().min(length);
        let mut comparisons = 0;
        let found = (expected..length).chain(0..expected).find(|index| {
            comparisons += 1;
            self.list.name(*index) == Some(name)
        });
        // The comparison that finds the member at the expected index is not counted, so lists in the same order never
        // build the hash index.
        let wasted = comparisons - usize::from(found.is_some());
        self.comparisons_left.set(self.comparisons_left.get().saturating_sub(wasted));
        found
    }

    fn index(&self) -> &HashMap<&'a str, usize> {
        self.index.get_or_init(|| {
            let mut index = HashMap::with_capacity(self.list.len());
            for position in 0..self.list.len() {
                if let Some(name) = self.list.name(position) {
                    index.entry(name).or_insert(position);
                }
            }
            index
        })
    }
}
