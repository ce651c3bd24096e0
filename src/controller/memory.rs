//! Memory account (rule 4, no overload): what requests and retained keys take, and how much more may be
//! admitted.
//!
//! Inputs: memory of a queued request, of a retained key and of the server (KB), factor of a running
//! request. The account is exact; a reserve for what the next batch reads is left free.

use crate::interface::Settings;

/// Reserved requests of the largest size for each core: one being read, one in the next batch.
const RESERVED_REQUESTS_PER_CORE: f64 = 2.0;

/// The memory of all requests and retained keys.
pub(super) struct MemoryAccount {
    total_kb: f64,
    key_kb: f64,
    run_memory_factor: f64,
    cores: f64,
    queued_kb: f64,
    /// What the running requests took while they were queued.
    running_kb: f64,
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

    /// Takes the size of an arrival into account for the reserve.
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

    /// What the run of a queued request takes beyond what it takes already.
    pub(super) fn needed_for_run(&self, request_kb: f64) -> f64 {
        request_kb * (self.run_memory_factor - 1.0)
    }

    /// Whether `needed_kb` more would exceed the capacity.
    pub(super) fn lacks(&self, needed_kb: f64, retained_keys: usize) -> bool {
        needed_kb > self.capacity() - self.used(retained_keys)
    }

    /// Whether one more retained key would exceed the capacity.
    pub(super) fn lacks_key(&self, retained_keys: usize) -> bool {
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
