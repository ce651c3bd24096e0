//! Runs independent simulations on several threads.

use std::ops::Range;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Mutex, PoisonError};

/// Calls `run` for each number on `threads` threads, and returns the results in the order of the numbers.
pub fn run_parallel<T: Send>(threads: usize, numbers: Range<u64>, run: impl Fn(u64) -> T + Sync) -> Vec<T> {
    let next = AtomicU64::new(numbers.start);
    let results = Mutex::new(Vec::new());
    std::thread::scope(|scope| {
        for _ in 0..threads {
            scope.spawn(|| {
                loop {
                    let number = next.fetch_add(1, Ordering::Relaxed);
                    if number >= numbers.end {
                        return;
                    }
                    let result = run(number);
                    results.lock().unwrap_or_else(PoisonError::into_inner).push((number, result));
                }
            });
        }
    });
    let mut results = results.into_inner().unwrap_or_else(PoisonError::into_inner);
    results.sort_by_key(|(number, _)| *number);
    results.into_iter().map(|(_, result)| result).collect()
}

/// Returns the number of cores available to this process, at least 1.
pub fn core_count() -> usize {
    std::thread::available_parallelism().map_or(1, usize::from)
}
