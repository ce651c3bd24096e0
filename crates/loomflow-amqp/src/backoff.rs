//! When to connect again: backoffs that grow while connections are not stable, each drawn at random, so that many servers
//! that lost the same broker do not come back together.

use crate::Millis;

#[cfg(test)]
mod tests;

/// The longest the first backoff may be, and any.
const INITIAL_BOUND_MS: Millis = 100.0;
const MAX_BOUND_MS: Millis = 20_000.0;
/// A connection that was up for so long was stable.
const STABLE_AFTER_MS: Millis = 10_000.0;

/// The backoff, and the broker that is tried next.
#[derive(Debug)]
pub struct Backoff {
    random: fastrand::Rng,
    /// The longest that the next backoff may be.
    bound: Millis,
    connected_at: Option<Millis>,
    broker_count: usize,
    broker: usize,
}

impl Backoff {
    /// Begins with a random one of the brokers.
    pub fn new(broker_count: usize, seed: u64) -> Backoff {
        let mut random = fastrand::Rng::with_seed(seed);
        let broker = random.usize(0..broker_count.max(1));
        let broker_count = broker_count.max(1);
        Backoff { random, bound: INITIAL_BOUND_MS, connected_at: None, broker_count, broker }
    }

    /// Index of the broker to connect to.
    pub fn broker(&self) -> usize {
        self.broker
    }

    /// A connection is up.
    pub fn connected(&mut self, now: Millis) {
        self.connected_at = Some(now);
    }

    /// A connection was lost, or could not be opened. Returns how long to wait before the next broker is tried: drawn from
    /// the whole span up to the bound ("full jitter"), which doubles with each connection that was not stable.
    pub fn disconnected(&mut self, now: Millis) -> Millis {
        if self.connected_at.take().is_some_and(|connected_at| now - connected_at >= STABLE_AFTER_MS) {
            self.bound = INITIAL_BOUND_MS;
        }
        self.broker = (self.broker + 1) % self.broker_count;
        let backoff = self.random.f64() * self.bound;
        self.bound = (self.bound * 2.0).min(MAX_BOUND_MS);
        backoff
    }
}
