//! Retained keys (rule 2, no effect twice): which requests have a key by which a later duplicate finds
//! their result, and for how long.
//!
//! Inputs: idempotency of the class, its window (ms), lifetime of cached results (ms), age and time left
//! of the request (ms). A duplicate of a request that may have run is not run: it shares the result of
//! that run.

use crate::interface::{Class, Idempotency, Settings};
use crate::time::Millis;

/// Batches by which a key outlives its window: a duplicate may be read late.
const KEY_EXTRA_BATCHES: f64 = 2.0;

/// The rule for the keys of a server.
#[derive(Clone, Copy)]
pub(super) struct KeyRetention {
    result_cache_ttl: Millis,
    batch_interval: Millis,
}

impl KeyRetention {
    pub(super) fn new(settings: &Settings) -> KeyRetention {
        KeyRetention { result_cache_ttl: settings.result_cache_ttl, batch_interval: settings.batch_interval }
    }

    /// Whether a duplicate of a retained request shares its result.
    pub(super) fn shares_result(&self, class: &Class) -> bool {
        class.idempotency == Idempotency::ByKey || self.result_cache_ttl > 0.0
    }

    /// For how long the key of a request is retained; none for a request without a key. The key outlives
    /// its request, which must not run beside a later duplicate while it is queued.
    pub(super) fn ttl(&self, class: &Class, age: Millis, time_left: Millis) -> Option<Millis> {
        let ttl = match class.idempotency {
            Idempotency::ByKey => (class.idempotency_window - age).max(time_left),
            Idempotency::Always if self.result_cache_ttl > 0.0 => self.result_cache_ttl,
            _ => return None,
        };
        Some(ttl.max(0.0) + KEY_EXTRA_BATCHES * self.batch_interval)
    }
}

#[cfg(test)]
mod tests;
