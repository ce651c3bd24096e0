//! Many runs side by side.

use std::ops::Range;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Mutex, PoisonError};

/// Runs something for each number, on this many threads; the results are in the order of the numbers.
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

/// The cores of this machine.
pub fn core_count() -> usize {
    std::thread::available_parallelism().map_or(1, usize::from)
}
