//! The idempotency cache: connects a duplicate to the request that ran, and keeps the results that answer duplicates.
//! How long a request is retained is decided by the controller; how much is retained is bounded here.
//!
//! A request of a gateway arrives once, and its time of arrival decides which original it repeats. A message of a broker may be
//! delivered again at any time and by another server, so `loomflow_amqp::idempotency` decides by its records of the key and by
//! the broker's redelivery mark instead.

use std::collections::{BTreeMap, BTreeSet};

use loomflow::interface::RequestId;
use loomflow::time::{Micros, Millis, micros};
pub use loomflow_idempotency::IdempotencyKey;
use loomflow_idempotency::{BodyHasher, ResultBudget, ResultSequence};

/// Digest of a body that is not compared.
const NO_DIGEST: u64 = 0;

/// A request with a key, as it is received.
pub struct KeyedRequest<'a> {
    /// The key it carries.
    pub key: IdempotencyKey,
    /// It may run again: a read. Duplicates of other requests must have the same body, too.
    pub is_idempotent: bool,
    /// Its body.
    pub body: &'a [u8],
    /// When it reached the machine; it may have been unread since.
    pub arrived_at: Millis,
    /// How long a request of its class may be unread and still be run.
    pub max_read_delay: Millis,
}

/// What a request is to those that are retained.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Registration {
    /// No retained request has its key: it is retained from now on.
    New,
    /// It repeats this request.
    Duplicate(RequestId),
    /// Its key belongs to another request, with another body.
    BodyMismatch,
    /// There is no capacity to retain it, so it must not run.
    CacheFull,
}

/// What is known of the request that a duplicate repeats.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CachedResult {
    /// It has not finished.
    InProgress,
    /// It was served with this result.
    Served(Vec<u8>),
    /// It failed, or its result is no longer retained.
    Unavailable,
}

/// How a request finished.
#[derive(Clone, Copy, Debug)]
pub enum Completion<'a> {
    /// Served with this result.
    Served(&'a [u8]),
    /// Failed; it may have had its effect.
    Failed,
    /// It leaves no trace: a duplicate of it may run.
    NotRun,
}

/// A request that is retained.
struct CacheEntry {
    key: IdempotencyKey,
    is_idempotent: bool,
    body_digest: u64,
    max_read_delay: Millis,
    /// Requests with the key that arrive by then are duplicates; not set until the controller retains the entry.
    window_end: Option<Micros>,
    result: CachedResult,
    /// Set while a result is retained.
    result_sequence: Option<ResultSequence>,
    /// Duplicates that wait for the result.
    waiters: Vec<RequestId>,
    /// The request that had the key before: a duplicate of that one may have arrived in time and be unread.
    predecessor: Option<RequestId>,
}

impl CacheEntry {
    /// Whether a request that arrived then is a duplicate of this one. A read that failed may run again; a request
    /// with an effect may not.
    fn is_original_of(&self, arrived_at: Millis) -> bool {
        let is_in_window = self.result == CachedResult::InProgress
            || self.window_end.is_some_and(|window_end| micros(arrived_at) <= window_end);
        let may_run_again = self.is_idempotent && self.result == CachedResult::Unavailable;
        is_in_window && !may_run_again
    }

    /// When the last duplicate that arrived in time must have been read.
    fn expires_at(&self) -> Option<Micros> {
        self.window_end.map(|window_end| window_end.saturating_add(micros(self.max_read_delay)))
    }
}

/// The requests that are retained, by id and by key.
pub struct IdempotencyCache {
    entries: BTreeMap<RequestId, CacheEntry>,
    newest_by_key: BTreeMap<IdempotencyKey, RequestId>,
    /// Finished requests by the time at which they expire.
    expiries: BTreeSet<(Micros, RequestId)>,
    /// The reads among them, which are evicted first.
    evictable: BTreeSet<(Micros, RequestId)>,
    /// A duplicate of a request whose result was evicted gets a failure.
    results: ResultBudget<RequestId>,
    /// At this number of entries reads are evicted. Requests with an effect never are: new ones are rejected.
    max_entries: usize,
    body_hasher: BodyHasher,
}

impl IdempotencyCache {
    /// An empty cache with these bounds.
    pub fn new(max_result_bytes: usize, max_entries: usize) -> IdempotencyCache {
        IdempotencyCache {
            entries: BTreeMap::new(),
            newest_by_key: BTreeMap::new(),
            expiries: BTreeSet::new(),
            evictable: BTreeSet::new(),
            results: ResultBudget::new(max_result_bytes),
            max_entries,
            body_hasher: BodyHasher::default(),
        }
    }

    /// Whether a request of this class is retained.
    pub fn has_class(&self, class: usize) -> bool {
        self.newest_by_key.keys().any(|key| key.class == class)
    }

    /// Registers a request that was received, unless it is a duplicate.
    pub fn register(&mut self, id: RequestId, request: KeyedRequest, now: Millis) -> Registration {
        self.expire(now);
        let KeyedRequest { key, is_idempotent, body, arrived_at, max_read_delay } = request;
        let body_digest = if is_idempotent { NO_DIGEST } else { self.body_hasher.digest(body) };
        if let Some(registration) = self.find_original(&key, body_digest, arrived_at) {
            return registration;
        }
        while self.entries.len() >= self.max_entries {
            let Some(&(_, evicted)) = self.evictable.first() else { return Registration::CacheFull };
            self.remove_entry(evicted);
        }
        let predecessor = self.newest_by_key.insert(key.clone(), id);
        let entry = CacheEntry {
            key,
            is_idempotent,
            body_digest,
            max_read_delay,
            window_end: None,
            result: CachedResult::InProgress,
            result_sequence: None,
            waiters: Vec::new(),
            predecessor,
        };
        self.entries.insert(id, entry);
        Registration::New
    }

    /// What a request is to those that have had its key. The arrival time decides, however late the request is read:
    /// it is a duplicate of the newest of those in whose window it arrived.
    fn find_original(
        &self,
        key: &IdempotencyKey,
        body_digest: u64,
        arrived_at: Millis,
    ) -> Option<Registration> {
        let mut has_body_mismatch = false;
        let mut candidate = self.newest_by_key.get(key).copied();
        while let Some((original, entry)) = candidate.and_then(|id| Some((id, self.entries.get(&id)?))) {
            if entry.is_original_of(arrived_at) {
                if entry.body_digest == body_digest {
                    return Some(Registration::Duplicate(original));
                }
                has_body_mismatch = true;
            }
            candidate = entry.predecessor;
        }
        has_body_mismatch.then_some(Registration::BodyMismatch)
    }

    /// Retains a request: what arrives with its key by `window_end` is a duplicate.
    pub fn retain(&mut self, id: RequestId, window_end: Millis) {
        self.cancel_expiry(id);
        if let Some(entry) = self.entries.get_mut(&id) {
            entry.window_end = Some(micros(window_end));
        }
        self.schedule_expiry(id);
    }

    /// A request in progress does not expire, and neither do those that wait for it.
    fn schedule_expiry(&mut self, id: RequestId) {
        let finished = self.entries.get(&id).filter(|entry| entry.result != CachedResult::InProgress);
        let Some(entry) = finished else { return };
        let Some(expires_at) = entry.expires_at() else { return };
        self.expiries.insert((expires_at, id));
        if entry.is_idempotent {
            self.evictable.insert((expires_at, id));
        }
    }

    fn cancel_expiry(&mut self, id: RequestId) {
        if let Some(expires_at) = self.entries.get(&id).and_then(CacheEntry::expires_at) {
            self.expiries.remove(&(expires_at, id));
            self.evictable.remove(&(expires_at, id));
        }
    }

    /// Removes a request; returns the duplicates that waited for it.
    pub fn remove(&mut self, id: RequestId) -> Vec<RequestId> {
        self.remove_entry(id).map(|entry| entry.waiters).unwrap_or_default()
    }

    fn remove_entry(&mut self, id: RequestId) -> Option<CacheEntry> {
        self.cancel_expiry(id);
        let entry = self.entries.remove(&id)?;
        if let Some(sequence) = entry.result_sequence {
            self.results.release(sequence);
        }
        self.unlink(&entry.key, id, entry.predecessor);
        Some(entry)
    }

    /// Removes a request from the chain of those that have had a key: its predecessor takes its place.
    fn unlink(&mut self, key: &IdempotencyKey, id: RequestId, predecessor: Option<RequestId>) {
        let predecessor = predecessor.filter(|predecessor| self.entries.contains_key(predecessor));
        let mut successor = self.newest_by_key.get(key).copied();
        if successor == Some(id) {
            match predecessor {
                Some(predecessor) => drop(self.newest_by_key.insert(key.clone(), predecessor)),
                None => drop(self.newest_by_key.remove(key)),
            }
            return;
        }
        while let Some(entry) = successor.and_then(|successor| self.entries.get_mut(&successor)) {
            if entry.predecessor == Some(id) {
                entry.predecessor = predecessor;
                return;
            }
            successor = entry.predecessor;
        }
    }

    /// What is known of the request that `id` repeats; while that is in progress, `id` waits for it.
    pub fn join(&mut self, id: RequestId, original: Option<RequestId>) -> CachedResult {
        let Some(entry) = original.and_then(|original| self.entries.get_mut(&original)) else {
            return CachedResult::Unavailable;
        };
        if entry.result == CachedResult::InProgress {
            entry.waiters.push(id);
        }
        entry.result.clone()
    }

    /// A request has finished; returns the duplicates that waited for it.
    pub fn complete(&mut self, id: RequestId, completion: Completion) -> Vec<RequestId> {
        let Some(entry) = self.entries.get_mut(&id) else { return Vec::new() };
        if entry.window_end.is_none() || matches!(completion, Completion::NotRun) {
            return self.remove(id);
        }
        let waiters = std::mem::take(&mut entry.waiters);
        match completion {
            Completion::Failed | Completion::NotRun => entry.result = CachedResult::Unavailable,
            Completion::Served(bytes) => {
                entry.result = CachedResult::Served(bytes.to_vec());
                entry.result_sequence = Some(self.results.retain(id, bytes.len()));
            }
        }
        self.schedule_expiry(id);
        self.evict_results();
        waiters
    }

    fn evict_results(&mut self) {
        while let Some(oldest) = self.results.evict() {
            if let Some(entry) = self.entries.get_mut(&oldest) {
                entry.result = CachedResult::Unavailable;
                entry.result_sequence = None;
            }
        }
    }

    /// `id` no longer waits for `original`.
    pub fn leave(&mut self, id: RequestId, original: RequestId) {
        if let Some(entry) = self.entries.get_mut(&original) {
            entry.waiters.retain(|waiter| *waiter != id);
        }
    }

    /// Removes the entries that have expired.
    pub fn expire(&mut self, now: Millis) {
        let now = micros(now);
        while let Some(&(_, id)) = self.expiries.first().filter(|(expires_at, _)| *expires_at < now) {
            self.remove_entry(id);
        }
    }
}

#[cfg(test)]
mod tests;
