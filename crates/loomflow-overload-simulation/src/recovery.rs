//! Experiment: a fleet loses a part of itself for two seconds. Is it back at its former service soon after?

use crate::checker::Violation;
use crate::clock::{SECOND, SimulationMicros};
use crate::counts::CountsBySecond;
use crate::fault::{Fault, FaultKind};
use crate::fleet::Fleet;
use crate::setup::Setup;

/// Part of its former service from which on a fleet counts as recovered.
pub const RECOVERED_PART: f64 = 0.9;
/// How long recovery may take after the return of the lost part, s.
pub const RECOVERY_SECONDS: usize = 10;
/// Span over which service is averaged to find the moment of recovery, s.
const WINDOW_SECONDS: usize = 3;

/// When the parts of the experiment begin and end, in whole seconds.
#[derive(Clone, Copy, Debug)]
pub struct Timeline {
    /// The former service is measured from here to one latency objective before the loss.
    pub settled_s: usize,
    /// The part is lost.
    pub lost_s: usize,
    /// The part is back.
    pub returned_s: usize,
    /// Clients stop sending.
    pub end_s: usize,
}

impl Default for Timeline {
    fn default() -> Self {
        Timeline { settled_s: 4, lost_s: 10, returned_s: 12, end_s: 28 }
    }
}

/// What the experiment showed.
#[derive(Clone, Debug)]
pub struct Recovery {
    /// Service before the loss.
    pub before: f64,
    /// Service during it.
    pub during: f64,
    /// Service from [`RECOVERY_SECONDS`] after the return on.
    pub after: f64,
    /// Seconds from the return until the mean service over `WINDOW_SECONDS` is back; none where it never is.
    pub recovered_after_s: Option<usize>,
    /// Handshakes a second, over the whole fleet, before the loss.
    pub handshakes_before: f64,
    /// Handshakes a second from [`RECOVERY_SECONDS`] after the return on.
    pub handshakes_after: f64,
    /// Callers' attempts a request from [`RECOVERY_SECONDS`] after the return on.
    pub attempts_after: f64,
    /// Second by second.
    pub counts: CountsBySecond,
    /// What the servers did against the rules.
    pub violations: Vec<Violation>,
}

impl Recovery {
    /// Whether the fleet is back within the stated time.
    pub fn is_back(&self) -> bool {
        self.after >= RECOVERED_PART * self.before
    }

    /// The part of the servers that closed idle connections at once in the last second.
    pub fn closing_at_end(&self) -> f64 {
        let last = self.counts.seconds.iter().rfind(|second| second.sample.servers > 0);
        last.map_or(0.0, |second| second.sample.closing as f64 / second.sample.servers as f64)
    }
}

/// Plays the setup with that fault on that timeline.
pub fn recovery(mut setup: Setup, kind: FaultKind, timeline: Timeline) -> Recovery {
    setup.duration = seconds(timeline.end_s);
    // A request sent less than one latency objective before the loss may be affected by it.
    let unharmed = timeline.lost_s - setup.client_policy.objective.div_ceil(SECOND) as usize;
    setup.faults =
        vec![Fault { kind, starts_at: seconds(timeline.lost_s), ends_at: seconds(timeline.returned_s) }];
    let results = Fleet::new(setup).play();
    let counts = results.counts;
    let late = timeline.returned_s + RECOVERY_SECONDS;
    let before = counts.service(timeline.settled_s, unharmed);
    Recovery {
        before,
        during: counts.service(timeline.lost_s, timeline.returned_s),
        after: counts.service(late, timeline.end_s),
        recovered_after_s: recovered_after_s(&counts, before, timeline),
        handshakes_before: handshakes(&counts, timeline.settled_s, unharmed),
        handshakes_after: handshakes(&counts, late, timeline.end_s),
        attempts_after: attempts(&counts, late, timeline.end_s),
        violations: results.violations,
        counts,
    }
}

fn seconds(count: usize) -> SimulationMicros {
    count as SimulationMicros * SECOND
}

fn handshakes(counts: &CountsBySecond, from: usize, to: usize) -> f64 {
    counts.sum(from, to, |second| second.handshakes) / (to - from) as f64
}

fn attempts(counts: &CountsBySecond, from: usize, to: usize) -> f64 {
    counts.sum(from, to, |second| second.attempts) / counts.sum(from, to, |second| second.sent)
}

fn recovered_after_s(counts: &CountsBySecond, before: f64, timeline: Timeline) -> Option<usize> {
    let last = timeline.end_s - WINDOW_SECONDS;
    let back = (timeline.returned_s..=last)
        .find(|at| counts.service(*at, at + WINDOW_SECONDS) >= RECOVERED_PART * before)?;
    Some(back - timeline.returned_s)
}
