//! Experiment: a fleet loses a part of itself for two seconds. Is it back at its former service soon after?

use crate::checker::Violation;
use crate::clock::{Micros, SECOND};
use crate::fault::{Fault, FaultKind};
use crate::fleet::Fleet;
use crate::ledger::Ledger;
use crate::setup::Setup;

/// The part of its former service at which a fleet counts as back.
pub const BACK: f64 = 0.9;
/// The seconds that it may take after the lost part's return.
pub const WITHIN: usize = 10;

/// The seconds over which service is averaged when the moment of recovery is sought.
const WINDOW: usize = 3;

/// When the parts of the experiment begin and end, in whole seconds.
#[derive(Clone, Copy, Debug)]
pub struct Timeline {
    /// The former service is taken from here to one latency objective before the loss.
    pub settled: usize,
    /// The part is lost.
    pub lost: usize,
    /// The part is back.
    pub returned: usize,
    /// Clients stop sending.
    pub end: usize,
}

impl Default for Timeline {
    fn default() -> Self {
        Timeline { settled: 4, lost: 10, returned: 12, end: 28 }
    }
}

/// What the experiment showed.
#[derive(Clone, Debug)]
pub struct Recovery {
    /// Service before the loss.
    pub before: f64,
    /// Service during it.
    pub during: f64,
    /// Service from `WITHIN` seconds after the return on.
    pub after: f64,
    /// Seconds from the return until the service of `WINDOW` seconds is back; none where it never is.
    pub took: Option<usize>,
    /// Handshakes a second, over the whole fleet, before the loss.
    pub handshakes_before: f64,
    /// Handshakes a second from `WITHIN` seconds after the return on.
    pub handshakes_after: f64,
    /// Callers' attempts a request from `WITHIN` seconds after the return on.
    pub attempts_after: f64,
    /// Second by second.
    pub ledger: Ledger,
    /// What the servers did against the rules.
    pub violations: Vec<Violation>,
}

impl Recovery {
    /// Whether the fleet is back within the stated time.
    pub fn is_back(&self) -> bool {
        self.after >= BACK * self.before
    }

    /// The part of the servers that closed idle connections at once in the last second.
    pub fn closing_at_end(&self) -> f64 {
        let last = self.ledger.seconds.iter().rfind(|second| second.sample.servers > 0);
        last.map_or(0.0, |second| second.sample.closing as f64 / second.sample.servers as f64)
    }
}

/// Plays the setup with that fault on that timeline.
pub fn recovery(mut setup: Setup, kind: FaultKind, timeline: Timeline) -> Recovery {
    setup.duration = seconds(timeline.end);
    // A request sent less than one latency objective before the loss may be affected by it.
    let unharmed = timeline.lost - setup.client_policy.objective.div_ceil(SECOND) as usize;
    setup.faults =
        vec![Fault { kind, starts_at: seconds(timeline.lost), ends_at: seconds(timeline.returned) }];
    let results = Fleet::new(setup).play();
    let ledger = results.ledger;
    let late = timeline.returned + WITHIN;
    let before = ledger.service(timeline.settled, unharmed);
    Recovery {
        before,
        during: ledger.service(timeline.lost, timeline.returned),
        after: ledger.service(late, timeline.end),
        took: recovered_after(&ledger, before, timeline),
        handshakes_before: handshakes(&ledger, timeline.settled, unharmed),
        handshakes_after: handshakes(&ledger, late, timeline.end),
        attempts_after: attempts(&ledger, late, timeline.end),
        violations: results.violations,
        ledger,
    }
}

fn seconds(count: usize) -> Micros {
    count as Micros * SECOND
}

fn handshakes(ledger: &Ledger, from: usize, to: usize) -> f64 {
    ledger.sum(from, to, |second| second.handshakes) / (to - from) as f64
}

fn attempts(ledger: &Ledger, from: usize, to: usize) -> f64 {
    ledger.sum(from, to, |second| second.attempts) / ledger.sum(from, to, |second| second.sent)
}

fn recovered_after(ledger: &Ledger, before: f64, timeline: Timeline) -> Option<usize> {
    let last = timeline.end - WINDOW;
    let back = (timeline.returned..=last).find(|at| ledger.service(*at, at + WINDOW) >= BACK * before)?;
    Some(back - timeline.returned)
}
