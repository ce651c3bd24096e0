//! Graceful shutdown (rule 3, safe shutdown): everything that was read gets its response before the
//! process is killed.
//!
//! Inputs: time left until the kill, grace period, margin and slack of responses (all ms). Until the
//! grace period ends, new requests are run and the share stays: callers learn of the shutdown late, and
//! the other servers would miss this server's part. After it, what arrives is rejected at once, while its
//! caller has time for another server.

use crate::time::Millis;

/// The times of a shutdown; both infinite before one is requested.
#[derive(Clone, Copy)]
pub(super) struct Shutdown {
    /// What arrives later is not run.
    intake_ends_at: Millis,
    /// Every response is due by then.
    respond_by: Millis,
}

impl Shutdown {
    pub(super) fn not_requested() -> Shutdown {
        Shutdown { intake_ends_at: Millis::INFINITY, respond_by: Millis::INFINITY }
    }

    /// A shutdown that is requested now, of a process that is killed after `time_left`.
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

    /// Whether the grace period is over, so that no new request is run.
    pub(super) fn has_stopped_intake(&self, now: Millis) -> bool {
        now >= self.intake_ends_at
    }

    /// Whether a request reached the machine after the grace period.
    pub(super) fn is_too_late(&self, arrived_at: Millis) -> bool {
        arrived_at > self.intake_ends_at
    }
}

/// The settings of a shutdown.
#[derive(Clone, Copy)]
pub(super) struct ShutdownTimes {
    pub(super) drain_grace: Millis,
    pub(super) response_slack: Millis,
}

#[cfg(test)]
mod tests;
