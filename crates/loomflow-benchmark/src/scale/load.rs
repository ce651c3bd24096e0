//! Requests at a steady rate by a fixed number of callers, whatever answers them, and how long each took.

use std::sync::Mutex;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};

/// How long each answered request took, and how many were not served.
#[derive(Default)]
pub struct Latencies {
    sorted: Vec<Duration>,
    pub unserved: usize,
}

impl Latencies {
    /// The time within which this part of the requests was answered, ms.
    pub fn quantile_ms(&self, part: f64) -> f64 {
        let at = ((self.sorted.len() as f64 * part) as usize).min(self.sorted.len().saturating_sub(1));
        self.sorted.get(at).map_or(f64::NAN, |time| time.as_secs_f64() * 1000.0)
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

/// Makes requests at a rate for a span. Each of the `callers` takes the next request that is due; `call` carries out
/// request number N for it, and gives how long that took, or nothing where it was not served.
pub fn play<C, F>(callers: Vec<C>, requests_per_s: f64, span: Duration, call: F) -> Latencies
where
    C: Send,
    F: Fn(&mut C, usize) -> Option<Duration> + Sync,
{
    let (next, results) = (AtomicUsize::new(0), Mutex::new(Latencies::default()));
    let start = Instant::now();
    std::thread::scope(|scope| {
        for mut caller in callers {
            scope.spawn(|| {
                let own = take_turns(&next, start, requests_per_s, span, |number| call(&mut caller, number));
                results.lock().expect("latencies").merge(own);
                // Dropped here, so that its connections are closed with it.
                drop(caller);
            });
        }
    });
    results.into_inner().expect("latencies")
}

fn take_turns(
    next: &AtomicUsize,
    start: Instant,
    requests_per_s: f64,
    span: Duration,
    mut call: impl FnMut(usize) -> Option<Duration>,
) -> Latencies {
    let mut own = Latencies::default();
    loop {
        let number = next.fetch_add(1, Ordering::Relaxed);
        let due = Duration::from_secs_f64(number as f64 / requests_per_s);
        if due >= span {
            return own;
        }
        std::thread::sleep(due.saturating_sub(start.elapsed()));
        match call(number) {
            Some(time) => own.sorted.push(time),
            None => own.unserved += 1,
        }
    }
}
