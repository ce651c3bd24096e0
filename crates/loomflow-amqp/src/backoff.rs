//! Reconnect backoff and choice of the next broker. Delays are randomized so that servers that lost the same broker do
//! not reconnect at the same time.

use loomflow_backoff::{ExponentialBackoff, ReconnectBackoff};

use crate::Millis;

/// Upper limit of the first backoff, ms. The limit doubles up to [`MAX_LIMIT_MS`].
const MIN_LIMIT_MS: Millis = 100.0;
/// Upper limit of every backoff, ms.
const MAX_LIMIT_MS: Millis = 20_000.0;
/// A connection that was up for at least this long counts as stable and resets the limit, ms.
const STABLE_AFTER_MS: Millis = 10_000.0;

/// Reconnect backoff over a list of brokers that are tried in turn.
#[derive(Debug)]
pub struct Backoff {
    random: fastrand::Rng,
    /// Upper limit of the next delay.
    limit: ReconnectBackoff,
    broker_count: usize,
    /// Index of the broker to try next.
    broker: usize,
}

impl Backoff {
    /// Starts with a random broker. `broker_count` is raised to at least 1.
    pub fn new(broker_count: usize, seed: u64) -> Backoff {
        let broker_count = broker_count.max(1);
        let mut random = fastrand::Rng::with_seed(seed);
        let broker = random.usize(0..broker_count);
        let limit =
            ReconnectBackoff::new(ExponentialBackoff::new(MIN_LIMIT_MS, MAX_LIMIT_MS), STABLE_AFTER_MS);
        Backoff { random, limit, broker_count, broker }
    }

    /// Index of the broker to connect to.
    pub fn broker(&self) -> usize {
        self.broker
    }

    /// Records that a connection was established.
    pub fn connected(&mut self, now: Millis) {
        self.limit.connected(now);
    }

    /// Records that a connection was lost or could not be opened, and selects the next broker. Returns the delay before
    /// it is tried: uniformly distributed between zero and the limit ("full jitter"), which doubles with each unstable
    /// connection.
    pub fn disconnected(&mut self, now: Millis) -> Millis {
        self.limit.disconnected(now);
        self.broker = (self.broker + 1) % self.broker_count;
        self.random.f64() * self.limit.advance()
    }
}

#[cfg(test)]
mod tests;
