//! Key retention (rule 2, no effect twice): which requests have a key that identifies later duplicates, and
//! how long it is retained.
//!
//! Inputs: idempotency of the class, its window (ms), TTL of cached results (ms), age and time left of the
//! request (ms). A duplicate of a request that may have run is not run; it shares the result of that run.

use crate::interface::{Class, Idempotency, Settings};
use crate::time::Millis;

/// A key outlives its window by this many batches, since a duplicate may be read late.
const KEY_EXTRA_BATCHES: f64 = 2.0;

/// Decides which keys a server retains.
#[derive(Clone, Copy)]
pub(super) struct KeyRetention {
    result_cache_ttl: Millis,
    batch_interval: Millis,
}

impl KeyRetention {
    pub(super) fn new(settings: &Settings) -> KeyRetention {
        KeyRetention { result_cache_ttl: settings.result_cache_ttl, batch_interval: settings.batch_interval }
    }

    /// Whether a duplicate of a request with a retained key shares its result.
    pub(super) fn shares_result(&self, class: &Class) -> bool {
        class.idempotency == Idempotency::ByKey || self.result_cache_ttl > 0.0
    }

    /// How long the key of a request is retained, or `None` if it is not retained. The key outlives its
    /// request, since a request that is still queued must not run beside a later duplicate.
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
