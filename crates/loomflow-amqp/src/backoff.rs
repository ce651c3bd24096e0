//! When to connect again, and to which broker. Each backoff is drawn at random, so that many servers that lost the same broker
//! do not come back together.

use loomflow_backoff::{ExponentialBackoff, ReconnectBackoff};

use crate::Millis;

/// Bounds on the upper limit of a backoff: on the first, and on all.
const MIN_LIMIT_MS: Millis = 100.0;
const MAX_LIMIT_MS: Millis = 20_000.0;
/// A connection that was up for so long was stable.
const STABLE_AFTER_MS: Millis = 10_000.0;

/// The backoff, and the broker that is tried next.
#[derive(Debug)]
pub struct Backoff {
    random: fastrand::Rng,
    /// The upper limit of the next backoff.
    limit: ReconnectBackoff,
    broker_count: usize,
    broker: usize,
}

impl Backoff {
    /// Begins with a random one of the brokers.
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

    /// A connection is up.
    pub fn connected(&mut self, now: Millis) {
        self.limit.connected(now);
    }

    /// A connection was lost, or could not be opened. Returns how long to wait before the next broker is tried: drawn from
    /// zero to the limit ("full jitter"), which doubles with each connection that was not stable.
    pub fn disconnected(&mut self, now: Millis) -> Millis {
        self.limit.disconnected(now);
        self.broker = (self.broker + 1) % self.broker_count;
        self.random.f64() * self.limit.advance()
    }
}

#[cfg(test)]
mod tests;
