//! Experiment: some callers or servers fail for a while; does the fleet recover soon after their return?
//!
//! Service is the fraction of requests that are served within the latency objective.

use crate::checker::Violation;
use crate::clock::{SECOND, SimulationMicros};
use crate::counts::CountsBySecond;
use crate::fault::{Fault, FaultKind};
use crate::fleet::Fleet;
use crate::setup::Setup;

/// Fraction of the service before the failure at which a fleet counts as recovered.
pub const RECOVERED_FRACTION: f64 = 0.9;
/// Maximum time to recover after the return of the failed callers or servers, s.
pub const RECOVERY_SECONDS: usize = 10;
/// Window over which service is averaged to find the time of recovery, s.
const WINDOW_SECONDS: usize = 3;

/// Times of the experiment, in whole seconds.
#[derive(Clone, Copy, Debug)]
pub struct Timeline {
    /// Start of the measurement before the failure. The measurement ends one latency objective before
    /// the failure.
    pub settled_s: usize,
    /// Time at which the callers or servers fail.
    pub lost_s: usize,
    /// Time at which the failed callers or servers return.
    pub returned_s: usize,
    /// Time at which clients stop sending new requests.
    pub end_s: usize,
}

impl Default for Timeline {
    fn default() -> Self {
        Timeline { settled_s: 4, lost_s: 10, returned_s: 12, end_s: 28 }
    }
}

/// Service and traffic of a fleet before, during and after the failure of callers or servers.
#[derive(Clone, Debug)]
pub struct Recovery {
    /// Service before the failure, 0 to 1.
    pub before: f64,
    /// Service during the failure, 0 to 1.
    pub during: f64,
    /// Service from [`RECOVERY_SECONDS`] after the return on, 0 to 1.
    pub after: f64,
    /// Time from the return until the service over the next three seconds has recovered, s; `None` if it
    /// never does.
    pub recovered_after_s: Option<usize>,
    /// Handshakes per second of the whole fleet before the failure.
    pub handshakes_before: f64,
    /// Handshakes per second of the whole fleet from [`RECOVERY_SECONDS`] after the return on.
    pub handshakes_after: f64,
    /// Attempts of callers per request from [`RECOVERY_SECONDS`] after the return on.
    pub attempts_after: f64,
    /// Counts of the simulation by second.
    pub counts: CountsBySecond,
    /// Violations of the rules for responses.
    pub violations: Vec<Violation>,
}

impl Recovery {
    /// Returns whether the fleet has recovered within [`RECOVERY_SECONDS`].
    pub fn has_recovered(&self) -> bool {
        self.after >= RECOVERED_FRACTION * self.before
    }

    /// Returns the fraction of the servers that closed idle connections almost immediately in the last
    /// sampled second.
    pub fn closing_at_end(&self) -> f64 {
        let last = self.counts.seconds.iter().rfind(|second| second.sample.servers > 0);
        last.map_or(0.0, |second| second.sample.closing as f64 / second.sample.servers as f64)
    }
}

/// Runs a setup with a fault at the times of `timeline`; the setup's own faults and duration are replaced.
pub fn recovery(mut setup: Setup, kind: FaultKind, timeline: Timeline) -> Recovery {
    setup.duration = seconds(timeline.end_s);
    // Requests sent less than one latency objective before the failure may be affected by it.
    let unaffected_until = timeline.lost_s - setup.client_policy.objective.div_ceil(SECOND) as usize;
    setup.faults =
        vec![Fault { kind, starts_at: seconds(timeline.lost_s), ends_at: seconds(timeline.returned_s) }];
    let results = Fleet::new(setup).run();
    let counts = results.counts;
    let recovered_by = timeline.returned_s + RECOVERY_SECONDS;
    let before = counts.service(timeline.settled_s, unaffected_until);
    Recovery {
        before,
        during: counts.service(timeline.lost_s, timeline.returned_s),
        after: counts.service(recovered_by, timeline.end_s),
        recovered_after_s: recovered_after_s(&counts, before, timeline),
        handshakes_before: handshakes_per_second(&counts, timeline.settled_s, unaffected_until),
        handshakes_after: handshakes_per_second(&counts, recovered_by, timeline.end_s),
        attempts_after: attempts_per_request(&counts, recovered_by, timeline.end_s),
        violations: results.violations,
        counts,
    }
}

fn seconds(count: usize) -> SimulationMicros {
    count as SimulationMicros * SECOND
}

fn handshakes_per_second(counts: &CountsBySecond, from: usize, to: usize) -> f64 {
    counts.sum(from, to, |second| second.handshakes) / (to - from) as f64
}

fn attempts_per_request(counts: &CountsBySecond, from: usize, to: usize) -> f64 {
    counts.sum(from, to, |second| second.attempts) / counts.sum(from, to, |second| second.sent)
}

fn recovered_after_s(counts: &CountsBySecond, before: f64, timeline: Timeline) -> Option<usize> {
    let last = timeline.end_s - WINDOW_SECONDS;
    let recovered_at = (timeline.returned_s..=last)
        .find(|at| counts.service(*at, at + WINDOW_SECONDS) >= RECOVERED_FRACTION * before)?;
    Some(recovered_at - timeline.returned_s)
}
