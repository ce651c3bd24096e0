//! Many plays side by side.

use std::ops::Range;
use std::sync::Mutex;
use std::sync::atomic::{AtomicU64, Ordering};

/// Plays something for each number, so many at once; what came of them is in the order of the numbers.
pub fn abreast<T: Send>(threads: usize, numbers: Range<u64>, play: impl Fn(u64) -> T + Sync) -> Vec<T> {
    let next = AtomicU64::new(numbers.start);
    let done = Mutex::new(Vec::new());
    std::thread::scope(|scope| {
        for _ in 0..threads {
            scope.spawn(|| {
                loop {
                    let number = next.fetch_add(1, Ordering::Relaxed);
                    if number >= numbers.end {
                        return;
                    }
                    let one = play(number);
                    done.lock().unwrap_or_else(|e| e.into_inner()).push((number, one));
                }
            });
        }
    });
    let mut done = done.into_inner().unwrap_or_else(|e| e.into_inner());
    done.sort_by_key(|(number, _)| *number);
    done.into_iter().map(|(_, one)| one).collect()
}

/// A thread for each core.
pub fn cores() -> usize {
    std::thread::available_parallelism().map_or(1, usize::from)
}
