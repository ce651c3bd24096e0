//! Load shedding: which queued requests are rejected, and the Retry-After of a rejection.
//!
//! Inputs: time (ms), expected wait and expected time of the request (ms), its objective (ms), jitter. A
//! request that cannot meet its objective is rejected as soon as that is known, so that the cores are free
//! for requests that can. That rejection applies to all servers: when the whole fleet is overloaded, retries
//! at other servers would only add load and connections.

use crate::time::Millis;

/// Retry-After as a fraction of the wait of a request that arrives now: if all callers stayed away for the
/// whole wait, the cores would be idle before they returned.
const RETRY_AFTER_FRACTION: f64 = 0.5;

/// The servers that a rejection applies to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum RejectionScope {
    /// This server cannot serve the request; the caller may try another one.
    ThisServer,
    /// The request cannot meet its objective; the caller should not try any server.
    AllServers,
}

impl RejectionScope {
    pub(super) fn is_final(self) -> bool {
        self == RejectionScope::AllServers
    }
}

/// Expected wait and run time of a request that has not started.
#[derive(Clone, Copy)]
pub(super) struct Forecast {
    /// Expected time until the run starts.
    pub(super) wait: Millis,
    /// Expected time of the run, including its calls.
    pub(super) expected_time: Millis,
    /// Latest response time that meets the latency objective.
    pub(super) objective_at: Millis,
}

impl Forecast {
    /// Whether the request would miss its objective.
    pub(super) fn misses_objective(&self, now: Millis) -> bool {
        now + self.wait + self.expected_time >= self.objective_at
    }

    /// Whether the request should be rejected. One that can start now on idle cores is kept until its
    /// objective has passed: it delays no other request, however long it is expected to take.
    pub(super) fn should_reject(&self, now: Millis, starts_on_idle_cores: bool) -> bool {
        if starts_on_idle_cores && self.wait == 0.0 {
            return now >= self.objective_at;
        }
        self.misses_objective(now)
    }
}

/// The conditions that determine the Retry-After of a rejection.
#[derive(Clone, Copy)]
pub(super) struct Availability {
    /// How long a request that arrives now would wait, to be read or in the queue.
    pub(super) wait: Millis,
    /// Whether the cores are stalled or the intake has stopped.
    pub(super) is_unavailable: bool,
    /// Longest Retry-After that callers honor.
    pub(super) max_retry_after: Millis,
}

impl Availability {
    /// The Retry-After of a rejection; `jitter` is a factor with a mean of 1.
    pub(super) fn retry_after(&self, jitter: f64) -> Millis {
        let retry_after =
            if self.is_unavailable { Millis::INFINITY } else { self.wait * jitter * RETRY_AFTER_FRACTION };
        retry_after.min(self.max_retry_after)
    }
}

#[cfg(test)]
mod tests;
