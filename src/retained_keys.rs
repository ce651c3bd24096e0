//! The keys of requests, retained so that a later duplicate is recognized. The controller decides which
//! keys are retained, and for how long.

use std::collections::{BTreeMap, BTreeSet};

use crate::interface::RequestId;
use crate::time::Micros;

/// Requests whose keys are retained, each with its expiry time.
#[derive(Debug, Default)]
pub struct RetainedKeys {
    expiry_by_id: BTreeMap<RequestId, Micros>,
    by_expiry: BTreeSet<(Micros, RequestId)>,
}

impl RetainedKeys {
    /// The number of retained keys.
    pub fn len(&self) -> usize {
        self.expiry_by_id.len()
    }

    /// Whether no key is retained.
    pub fn is_empty(&self) -> bool {
        self.expiry_by_id.is_empty()
    }

    /// Retains the key of a request until `expires_at`.
    pub fn add(&mut self, id: RequestId, expires_at: Micros) {
        self.expiry_by_id.insert(id, expires_at);
        self.by_expiry.insert((expires_at, id));
    }

    /// Releases the key of a request and returns whether one was retained.
    pub fn remove(&mut self, id: RequestId) -> bool {
        let Some(expires_at) = self.expiry_by_id.remove(&id) else { return false };
        self.by_expiry.remove(&(expires_at, id))
    }

    /// Releases the keys whose expiry time is before `now`.
    pub fn expire(&mut self, now: Micros) {
        while let Some(&(expires_at, id)) = self.by_expiry.first().filter(|(at, _)| *at < now) {
            self.by_expiry.remove(&(expires_at, id));
            self.expiry_by_id.remove(&id);
        }
    }
}
