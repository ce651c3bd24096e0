//! Memory account (rule 4, no overload): how much memory requests and retained keys occupy, and whether more
//! fits.
//!
//! Inputs: memory of a queued request, of a retained key and of the server (KB), memory factor of a running
//! request. The account is exact; a reserve is left free for the requests that the next batch reads.

use crate::interface::Settings;

/// Memory reserved per core, in requests of the largest size so far: one being read, one in the next batch.
const RESERVED_REQUESTS_PER_CORE: f64 = 2.0;

/// The memory occupied by all requests and retained keys.
pub(super) struct MemoryAccount {
    total_kb: f64,
    key_kb: f64,
    run_memory_factor: f64,
    cores: f64,
    queued_kb: f64,
    /// Memory that the running requests occupied while they were queued.
    running_kb: f64,
    /// Memory of the largest request so far.
    largest_kb: f64,
}

impl MemoryAccount {
    pub(super) fn new(settings: &Settings) -> MemoryAccount {
        MemoryAccount {
            total_kb: settings.memory_kb,
            key_kb: settings.key_kb,
            run_memory_factor: settings.run_memory_factor,
            cores: settings.cores,
            queued_kb: 0.0,
            running_kb: 0.0,
            largest_kb: 0.0,
        }
    }

    /// Records the size of an arrival, which determines the reserve.
    pub(super) fn record_size(&mut self, request_kb: f64) {
        self.largest_kb = self.largest_kb.max(request_kb);
    }

    pub(super) fn add_queued(&mut self, request_kb: f64) {
        self.queued_kb += request_kb;
    }

    pub(super) fn remove_queued(&mut self, request_kb: f64) {
        self.queued_kb -= request_kb;
    }

    pub(super) fn start_run(&mut self, request_kb: f64) {
        self.queued_kb -= request_kb;
        self.running_kb += request_kb;
    }

    pub(super) fn remove_running(&mut self, request_kb: f64) {
        self.running_kb -= request_kb;
    }

    /// Memory that the run of a queued request needs in addition to what the request occupies already.
    pub(super) fn needed_for_run(&self, request_kb: f64) -> f64 {
        request_kb * (self.run_memory_factor - 1.0)
    }

    /// Whether `needed_kb` more would exceed the capacity.
    pub(super) fn would_exceed(&self, needed_kb: f64, retained_keys: usize) -> bool {
        needed_kb > self.capacity() - self.used(retained_keys)
    }

    /// Whether one more retained key would exceed the capacity.
    pub(super) fn would_exceed_with_key(&self, retained_keys: usize) -> bool {
        self.used(retained_keys) + self.key_kb > self.capacity()
    }

    fn used(&self, retained_keys: usize) -> f64 {
        let keys_kb = retained_keys as f64 * self.key_kb;
        self.queued_kb + self.running_kb * self.run_memory_factor + keys_kb
    }

    fn capacity(&self) -> f64 {
        self.total_kb - RESERVED_REQUESTS_PER_CORE * self.cores * self.largest_kb
    }
}

#[cfg(test)]
mod tests;
