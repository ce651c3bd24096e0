//! Tenant quotas: a request over the quota of its tenant has a reduced weight in the queue.
//!
//! Inputs: the tenant's quota (requests per second, over the fleet), the number of servers, the time (ms).
//! Each server grants an equal fraction of the quota with a token bucket. Quotas apply only in the tier that
//! clients reach.

use crate::interface::Settings;
use crate::time::{MILLIS_PER_SECOND, Millis};

/// Capacity of the token bucket, as seconds of refill at the rate of the quota.
const QUOTA_BURST_S: f64 = 10.0;
/// Minimum size of the token bucket, in requests: random arrivals at 0.9 of a small quota rarely empty it.
const MIN_QUOTA_BURST_REQUESTS: f64 = 6.0;

/// A token bucket of one tenant; each request takes one token.
#[derive(Clone, Copy)]
struct TokenBucket {
    tokens: f64,
    refilled_at: Millis,
}

impl TokenBucket {
    /// A bucket that is full at any rate: it holds more tokens than any burst, and the first refill caps it
    /// at the burst.
    fn full(now: Millis) -> TokenBucket {
        TokenBucket { tokens: f64::MAX, refilled_at: now }
    }

    /// Refills the bucket at `rate_per_s`, then takes a token if there is one.
    fn try_take(&mut self, rate_per_s: f64, now: Millis) -> bool {
        let burst = (rate_per_s * QUOTA_BURST_S).max(MIN_QUOTA_BURST_REQUESTS);
        let refill = rate_per_s * (now - self.refilled_at) / MILLIS_PER_SECOND;
        self.tokens = (self.tokens + refill).min(burst);
        self.refilled_at = now;
        let has_token = self.tokens >= 1.0;
        if has_token {
            self.tokens -= 1.0;
        }
        has_token
    }
}

/// The token buckets of all tenants, by tenant index.
pub(super) struct TenantQuotas {
    buckets: Vec<TokenBucket>,
}

impl TenantQuotas {
    pub(super) fn new(tenants: usize, now: Millis) -> TenantQuotas {
        TenantQuotas { buckets: vec![TokenBucket::full(now); tenants] }
    }

    /// Adds full buckets for new tenants.
    pub(super) fn resize(&mut self, tenants: usize, now: Millis) {
        self.buckets.resize(tenants, TokenBucket::full(now));
    }

    /// Whether a request of `tenant` exceeds this server's fraction of the quota; if not, it takes a token.
    pub(super) fn is_exceeded(&mut self, tenant: usize, settings: &Settings, now: Millis) -> bool {
        let Some(tenant_settings) = settings.tenants.get(tenant) else { return false };
        let Some(bucket) = self.buckets.get_mut(tenant) else { return false };
        let rate_per_s = tenant_settings.quota_per_s / settings.server_count.max(1.0);
        if rate_per_s <= 0.0 || settings.tier > 0 {
            return false;
        }
        !bucket.try_take(rate_per_s, now)
    }
}

#[cfg(test)]
mod tests;
