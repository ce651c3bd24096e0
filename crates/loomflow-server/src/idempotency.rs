//! The idempotency cache: finds the original of a duplicate, and retains results for the responses to duplicates.
//! The controller decides how long a request is retained; this module bounds the number of entries and the bytes of results.
//!
//! A gateway's request arrives once, and its arrival time determines its original. A broker may deliver a message again at any
//! time and to another server, so `loomflow_amqp::idempotency` uses its records of the key and the broker's redelivered flag
//! instead.

use std::collections::{BTreeMap, BTreeSet};

use loomflow::interface::RequestId;
use loomflow::time::{Micros, Millis, micros};
pub use loomflow_idempotency::IdempotencyKey;
use loomflow_idempotency::{BodyHasher, ResultBudget, ResultSequence};

/// Stored in place of a body digest for an idempotent request, whose duplicates may have any body.
const NO_DIGEST: u64 = 0;

/// A received request with an idempotency key.
pub struct KeyedRequest<'a> {
    /// The idempotency key with its class and tenant.
    pub key: IdempotencyKey,
    /// Whether the request is a read, which may run again. Duplicates of other requests must also have the same body.
    pub is_idempotent: bool,
    /// The body as received, which is digested unless the request is idempotent.
    pub body: &'a [u8],
    /// When the request reached the machine, which may be some time before it was read.
    pub arrived_at: Millis,
    /// How long after its arrival a request of this class may be read and still run.
    pub max_read_delay: Millis,
}

/// Result of registering a request with a key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Registration {
    /// The request has no original and was added to the cache. It is the original of later duplicates.
    New,
    /// The request is a duplicate of this one.
    Duplicate(RequestId),
    /// The key is retained for a request with another body.
    BodyMismatch,
    /// The cache is full. The request must not run, because its duplicates would not be recognized.
    CacheFull,
}

/// The result of a duplicate's original.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CachedResult {
    /// The original has not finished.
    InProgress,
    /// The original was served with this result.
    Served(Vec<u8>),
    /// The original failed, or its result is no longer retained.
    Unavailable,
}

/// How a request finished, for the response to its duplicates.
#[derive(Clone, Copy, Debug)]
pub enum Completion<'a> {
    /// The request was served with this result.
    Served(&'a [u8]),
    /// The request failed and may have had its effect.
    Failed,
    /// The request did not run. Its entry is removed, so that a duplicate may run.
    NotRun,
}

/// A registered request, from its registration until it expires or is evicted.
struct CacheEntry {
    key: IdempotencyKey,
    is_idempotent: bool,
    body_digest: u64,
    max_read_delay: Millis,
    /// Requests with the key that arrive up to this time are duplicates. `None` until the controller retains the key.
    window_end: Option<Micros>,
    result: CachedResult,
    /// Position of the result in [`IdempotencyCache::results`]; `None` if no result is retained.
    result_sequence: Option<ResultSequence>,
    /// Duplicates that wait for the request to finish.
    waiters: Vec<RequestId>,
    /// The previous request with the key. A duplicate of it may have arrived within its window and not be read yet.
    predecessor: Option<RequestId>,
}

impl CacheEntry {
    /// Whether a request with the same key that arrived at `arrived_at` is a duplicate of this one. A read that failed may run
    /// again; a request with an effect may not.
    fn is_original_of(&self, arrived_at: Millis) -> bool {
        let is_in_window = self.result == CachedResult::InProgress
            || self.window_end.is_some_and(|window_end| micros(arrived_at) <= window_end);
        let may_run_again = self.is_idempotent && self.result == CachedResult::Unavailable;
        is_in_window && !may_run_again
    }

    /// When the entry expires: a duplicate that arrived within the window is read by then, or too late to run.
    fn expires_at(&self) -> Option<Micros> {
        self.window_end.map(|window_end| window_end.saturating_add(micros(self.max_read_delay)))
    }
}

/// The registered requests with a key, and their results.
pub struct IdempotencyCache {
    entries: BTreeMap<RequestId, CacheEntry>,
    /// Newest request of each key; [`CacheEntry::predecessor`] links the older ones.
    newest_by_key: BTreeMap<IdempotencyKey, RequestId>,
    /// Finished requests, ordered by expiry.
    expiries: BTreeSet<(Micros, RequestId)>,
    /// Finished reads, ordered by expiry. Only these are evicted to make room for new entries.
    evictable: BTreeSet<(Micros, RequestId)>,
    /// Sizes of the retained results. A duplicate of a request whose result was evicted fails.
    results: ResultBudget<RequestId>,
    /// At this number of entries finished reads are evicted. If there are none, new requests are rejected: an entry of a
    /// request with an effect is never evicted.
    max_entries: usize,
    body_hasher: BodyHasher,
}

impl IdempotencyCache {
    /// Creates an empty cache with bounds on the bytes of results and on the number of entries.
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

    /// Whether the cache has an entry of this class. Such a class cannot be removed by a reload.
    pub fn has_class(&self, class: usize) -> bool {
        self.newest_by_key.keys().any(|key| key.class == class)
    }

    /// Finds the original of a received request, or adds the request to the cache if it has none.
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

    /// Finds the original of a request among the entries with its key: the newest with the same body within whose window the
    /// request arrived, however late it is read. Returns `BodyMismatch` if the entries within whose window it arrived all have
    /// another body, and `None` if there is no such entry.
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

    /// Retains a request: those with its key that arrive up to `window_end` are its duplicates.
    pub fn retain(&mut self, id: RequestId, window_end: Millis) {
        self.cancel_expiry(id);
        if let Some(entry) = self.entries.get_mut(&id) {
            entry.window_end = Some(micros(window_end));
        }
        self.schedule_expiry(id);
    }

    /// Schedules the expiry of a finished entry. A request in progress does not expire, so its waiters are kept.
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

    /// Removes a request, and returns the duplicates that waited for it.
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

    /// Removes a request from the chain of requests with its key, and links its successor to its predecessor.
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

    /// Returns the result of `original`. While that is in progress, `id` is added to its waiters, which are returned by
    /// [`IdempotencyCache::complete`] or [`IdempotencyCache::remove`].
    pub fn join(&mut self, id: RequestId, original: Option<RequestId>) -> CachedResult {
        let Some(entry) = original.and_then(|original| self.entries.get_mut(&original)) else {
            return CachedResult::Unavailable;
        };
        if entry.result == CachedResult::InProgress {
            entry.waiters.push(id);
        }
        entry.result.clone()
    }

    /// Stores how a request finished, or removes its entry if it did not run or is not retained. Returns the duplicates that
    /// waited for it.
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

    /// Evicts the oldest results until the rest is within the bound.
    fn evict_results(&mut self) {
        while let Some(oldest) = self.results.evict() {
            if let Some(entry) = self.entries.get_mut(&oldest) {
                entry.result = CachedResult::Unavailable;
                entry.result_sequence = None;
            }
        }
    }

    /// Removes `id` from the waiters of `original`.
    pub fn remove_waiter(&mut self, id: RequestId, original: RequestId) {
        if let Some(entry) = self.entries.get_mut(&original) {
            entry.waiters.retain(|waiter| *waiter != id);
        }
    }

    /// Removes the entries that expired before `now`.
    pub fn expire(&mut self, now: Millis) {
        let now = micros(now);
        while let Some(&(_, id)) = self.expiries.first().filter(|(expires_at, _)| *expires_at < now) {
            self.remove_entry(id);
        }
    }
}

#[cfg(test)]
mod tests;
