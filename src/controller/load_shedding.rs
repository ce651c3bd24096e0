//! Load shedding: which queued request is hopeless, and the Retry-After of its rejection.
//!
//! Inputs: time (ms), expected wait and expected time of the request (ms), its objective (ms), jitter. A
//! request that cannot meet its objective is rejected as soon as that is known, so that the cores are free
//! for requests that can. That rejection is for all servers: in an overload of the fleet, retries at other
//! servers would add load and connections.

use crate::time::Millis;

/// Retry-After, as a part of a newcomer's wait: if all callers stayed away for all of it, the cores would
/// be idle before they return.
const RETRY_AFTER_PART: f64 = 0.5;

/// The servers that a rejection speaks for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum RejectionScope {
    /// This server cannot serve the request; its caller may try another one.
    ThisServer,
    /// No server is to be tried: the objective of the request is out of reach.
    AllServers,
}

impl RejectionScope {
    pub(super) fn is_final(self) -> bool {
        self == RejectionScope::AllServers
    }
}

/// What is expected of a request that is not running yet.
#[derive(Clone, Copy)]
pub(super) struct Forecast {
    /// How long it waits from now on.
    pub(super) wait: Millis,
    /// How long its run takes, with its calls.
    pub(super) expected_time: Millis,
    /// When its objective ends.
    pub(super) objective_at: Millis,
}

impl Forecast {
    /// Whether the request would miss its objective.
    pub(super) fn misses_objective(&self, now: Millis) -> bool {
        now + self.wait + self.expected_time >= self.objective_at
    }

    /// Whether the request is to be rejected. One that can start now on idle cores costs no other request
    /// anything, however long it is expected to take.
    pub(super) fn is_hopeless(&self, now: Millis, starts_on_idle_cores: bool) -> bool {
        if starts_on_idle_cores && self.wait == 0.0 {
            return now >= self.objective_at;
        }
        self.misses_objective(now)
    }
}

/// When a later attempt of a rejected request has a chance.
#[derive(Clone, Copy)]
pub(super) struct Availability {
    /// How long a newcomer would wait, unread or queued.
    pub(super) wait: Millis,
    /// The cores are stalled, or the intake has stopped.
    pub(super) is_unavailable: bool,
    /// The longest Retry-After that callers honour.
    pub(super) max_retry_after: Millis,
}

impl Availability {
    /// The Retry-After of a rejection; `jitter` is a factor around 1.
    pub(super) fn retry_after(&self, jitter: f64) -> Millis {
        let retry_after =
            if self.is_unavailable { Millis::INFINITY } else { self.wait * jitter * RETRY_AFTER_PART };
        retry_after.min(self.max_retry_after)
    }
}

#[cfg(test)]
mod tests;
