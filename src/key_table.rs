//! The entries that connect later tries of a request to the one that ran here. What gets an entry, and for how long,
//! the decision module says.

use std::collections::{BTreeMap, BTreeSet};

use crate::interface::RequestId;

/// Entries by request, each with the time at which it runs out, in microseconds.
#[derive(Debug, Default)]
pub struct KeyTable {
    until: BTreeMap<RequestId, i64>,
    expiry: BTreeSet<(i64, RequestId)>,
}

impl KeyTable {
    /// The number of entries.
    pub fn len(&self) -> usize {
        self.until.len()
    }

    /// Whether there is no entry.
    pub fn is_empty(&self) -> bool {
        self.until.is_empty()
    }

    /// Adds the entry of a request; it runs out at `until`.
    pub fn add(&mut self, id: RequestId, until: i64) {
        self.until.insert(id, until);
        self.expiry.insert((until, id));
    }

    /// Removes the entry of a request; tells whether there was one.
    pub fn remove(&mut self, id: RequestId) -> bool {
        let Some(until) = self.until.remove(&id) else { return false };
        self.expiry.remove(&(until, id))
    }

    /// Removes the entries that ran out before `now`.
    pub fn expire(&mut self, now: i64) {
        while let Some(&(until, id)) = self.expiry.first().filter(|(until, _)| *until < now) {
            self.expiry.remove(&(until, id));
            self.until.remove(&id);
        }
    }
}
