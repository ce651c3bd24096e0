//! When to connect again: pauses that grow while connections do not last, each drawn anew, so that many servers that
//! lost the same broker do not come back together.

/// The longest the first pause may be, ms, and any.
const INITIAL_BOUND_MS: f64 = 100.0;
const MAX_BOUND_MS: f64 = 20_000.0;
/// A connection that was up for so long has lasted, ms.
const STABLE_AFTER_MS: f64 = 10_000.0;

#[derive(Debug)]
pub struct Backoff {
    random: fastrand::Rng,
    /// The longest that the next pause may be.
    bound: f64,
    connected_at: Option<f64>,
    /// Brokers, and the one that is tried next.
    brokers: usize,
    broker: usize,
}

impl Backoff {
    pub fn new(brokers: usize, seed: u64) -> Backoff {
        let mut random = fastrand::Rng::with_seed(seed);
        let broker = random.usize(0..brokers.max(1));
        Backoff { random, bound: INITIAL_BOUND_MS, connected_at: None, brokers: brokers.max(1), broker }
    }

    /// The place of the broker to connect to.
    pub fn broker(&self) -> usize {
        self.broker
    }

    pub fn connected(&mut self, now: f64) {
        self.connected_at = Some(now);
    }

    /// A connection is over, or could not be opened: how long to wait before the next broker is tried, ms. Drawn from
    /// the whole span up to the bound ("full jitter"); the bound doubles with each that did not last.
    pub fn disconnected(&mut self, now: f64) -> f64 {
        if self.connected_at.take().is_some_and(|at| now - at >= STABLE_AFTER_MS) {
            self.bound = INITIAL_BOUND_MS;
        }
        self.broker = (self.broker + 1) % self.brokers;
        let pause = self.random.f64() * self.bound;
        self.bound = (self.bound * 2.0).min(MAX_BOUND_MS);
        pause
    }
}

#[cfg(test)]
mod tests;
