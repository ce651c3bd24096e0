//! Open-loop requests at a constant rate by a fixed number of callers, and their latencies.

use std::sync::Mutex;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};

/// Latencies of served requests, and the number of requests that were not served.
#[derive(Default)]
pub struct Latencies {
    sorted: Vec<Duration>,
    pub unserved: usize,
}

impl Latencies {
    /// Latency at a quantile, ms; NaN if no request was served.
    pub fn quantile_ms(&self, fraction: f64) -> f64 {
        let index = ((self.sorted.len() as f64 * fraction) as usize).min(self.sorted.len().saturating_sub(1));
        self.sorted.get(index).map_or(f64::NAN, |time| time.as_secs_f64() * 1000.0)
    }

    pub fn served(&self) -> usize {
        self.sorted.len()
    }

    pub fn merge(&mut self, other: Latencies) {
        self.sorted.extend(other.sorted);
        self.sorted.sort();
        self.unserved += other.unserved;
    }
}

/// Makes requests at a rate for `duration`. Each of the `callers` takes the next request that is due; `call` makes the
/// request with the given number and returns its latency, or `None` if it was not served.
pub fn run<C, F>(callers: Vec<C>, requests_per_s: f64, duration: Duration, call: F) -> Latencies
where
    C: Send,
    F: Fn(&mut C, usize) -> Option<Duration> + Sync,
{
    let (next, results) = (AtomicUsize::new(0), Mutex::new(Latencies::default()));
    let start = Instant::now();
    std::thread::scope(|scope| {
        for mut caller in callers {
            scope.spawn(|| {
                let latencies = make_due_requests(&next, start, requests_per_s, duration, |number| {
                    call(&mut caller, number)
                });
                results.lock().expect("not poisoned").merge(latencies);
                // Dropped at the end of the thread, so that connections that the caller owns are closed with it.
                drop(caller);
            });
        }
    });
    results.into_inner().expect("not poisoned")
}

fn make_due_requests(
    next: &AtomicUsize,
    start: Instant,
    requests_per_s: f64,
    duration: Duration,
    mut call: impl FnMut(usize) -> Option<Duration>,
) -> Latencies {
    let mut latencies = Latencies::default();
    loop {
        let number = next.fetch_add(1, Ordering::Relaxed);
        let due = Duration::from_secs_f64(number as f64 / requests_per_s);
        if due >= duration {
            return latencies;
        }
        std::thread::sleep(due.saturating_sub(start.elapsed()));
        match call(number) {
            Some(time) => latencies.sorted.push(time),
            None => latencies.unserved += 1,
        }
    }
}
