//! A bound on the bytes of retained results. Beyond it the oldest results are evicted first.

use std::collections::BTreeMap;

/// Identifies a retained result. Orders results by when they were retained, oldest first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct ResultSequence(u64);

#[derive(Clone, Debug)]
struct RetainedResult<Owner> {
    owner: Owner,
    bytes: usize,
}

/// Tracks the sizes of retained results and which to evict. The results themselves are stored by their owners.
#[derive(Clone, Debug)]
pub struct ResultBudget<Owner> {
    /// Maximum bytes of retained results.
    max_bytes: usize,
    bytes: usize,
    last_sequence: u64,
    /// The oldest result comes first.
    results: BTreeMap<ResultSequence, RetainedResult<Owner>>,
}

impl<Owner> ResultBudget<Owner> {
    /// Creates an empty budget of `max_bytes`.
    pub fn new(max_bytes: usize) -> ResultBudget<Owner> {
        ResultBudget { max_bytes, bytes: 0, last_sequence: 0, results: BTreeMap::new() }
    }

    /// Total bytes of all retained results.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// Whether no result is retained.
    pub fn is_empty(&self) -> bool {
        self.results.is_empty()
    }

    /// Adds a result as the newest. Does not enforce the bound: call [`ResultBudget::evict`] until it returns `None`.
    pub fn retain(&mut self, owner: Owner, bytes: usize) -> ResultSequence {
        self.last_sequence += 1;
        let sequence = ResultSequence(self.last_sequence);
        self.bytes += bytes;
        self.results.insert(sequence, RetainedResult { owner, bytes });
        sequence
    }

    /// Removes a result that its owner no longer retains. Does nothing if it was removed before.
    pub fn release(&mut self, sequence: ResultSequence) {
        if let Some(result) = self.results.remove(&sequence) {
            self.bytes -= result.bytes;
        }
    }

    /// Removes the oldest result and returns its owner if the bound is exceeded, else returns `None`.
    pub fn evict(&mut self) -> Option<Owner> {
        if self.bytes <= self.max_bytes {
            return None;
        }
        let (_, oldest) = self.results.pop_first()?;
        self.bytes -= oldest.bytes;
        Some(oldest.owner)
    }
}

#[cfg(test)]
mod tests;
