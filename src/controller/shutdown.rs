//! Graceful shutdown (rule 3, safe shutdown): every request that was read gets its response before the
//! process is killed.
//!
//! Inputs: time left until the kill, grace period, margin and slack of responses (all ms). During the grace
//! period new requests are run and the share is unchanged: callers notice the shutdown late, and the other
//! servers would lack this server's capacity. Later arrivals are rejected at once, while their callers have
//! time to try another server.

use crate::time::Millis;

/// The times that apply in a shutdown; both are infinite before one is requested.
#[derive(Clone, Copy)]
pub(super) struct Shutdown {
    /// End of the grace period: requests that arrive later are not run.
    intake_ends_at: Millis,
    /// Latest deadline that any request may have.
    respond_by: Millis,
}

impl Shutdown {
    pub(super) fn not_requested() -> Shutdown {
        Shutdown { intake_ends_at: Millis::INFINITY, respond_by: Millis::INFINITY }
    }

    /// A shutdown requested at `now`, of a process that is killed after `time_left`.
    pub(super) fn requested(
        now: Millis,
        time_left: Millis,
        margin: Millis,
        times: ShutdownTimes,
    ) -> Shutdown {
        Shutdown {
            intake_ends_at: now + times.drain_grace,
            respond_by: now + time_left - margin - times.response_slack,
        }
    }

    pub(super) fn respond_by(&self) -> Millis {
        self.respond_by
    }

    /// Whether the grace period has ended, so that new requests are not run.
    pub(super) fn has_stopped_intake(&self, now: Millis) -> bool {
        now >= self.intake_ends_at
    }

    /// Whether a request reached the machine after the grace period.
    pub(super) fn is_after_intake(&self, arrived_at: Millis) -> bool {
        arrived_at > self.intake_ends_at
    }
}

/// The settings that determine the times of a shutdown.
#[derive(Clone, Copy)]
pub(super) struct ShutdownTimes {
    pub(super) drain_grace: Millis,
    pub(super) response_slack: Millis,
}

#[cfg(test)]
mod tests;
