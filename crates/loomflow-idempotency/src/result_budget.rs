//! The bound on retained results: beyond it the oldest are evicted first.

use std::collections::BTreeMap;

/// Position of a result in the order in which results were retained.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct ResultSequence(u64);

#[derive(Clone, Debug)]
struct RetainedResult<Owner> {
    owner: Owner,
    bytes: usize,
}

/// The sizes of retained results; the results themselves are their owners'.
#[derive(Clone, Debug)]
pub struct ResultBudget<Owner> {
    /// Bytes of results that may be retained.
    max_bytes: usize,
    bytes: usize,
    last_sequence: u64,
    /// Oldest first.
    results: BTreeMap<ResultSequence, RetainedResult<Owner>>,
}

impl<Owner> ResultBudget<Owner> {
    /// Nothing retained yet, of at most so many bytes.
    pub fn new(max_bytes: usize) -> ResultBudget<Owner> {
        ResultBudget { max_bytes, bytes: 0, last_sequence: 0, results: BTreeMap::new() }
    }

    /// Bytes of retained results.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// Whether no result is retained.
    pub fn is_empty(&self) -> bool {
        self.results.is_empty()
    }

    /// Adds a result, as the newest. The bound is enforced by [`ResultBudget::evict`].
    pub fn retain(&mut self, owner: Owner, bytes: usize) -> ResultSequence {
        self.last_sequence += 1;
        let sequence = ResultSequence(self.last_sequence);
        self.bytes += bytes;
        self.results.insert(sequence, RetainedResult { owner, bytes });
        sequence
    }

    /// A result is no longer retained.
    pub fn release(&mut self, sequence: ResultSequence) {
        if let Some(result) = self.results.remove(&sequence) {
            self.bytes -= result.bytes;
        }
    }

    /// Releases the oldest result while the bound is exceeded; returns its owner.
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
