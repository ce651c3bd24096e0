//! Checks the responses between servers and callers: each attempt that reached a server gets exactly one
//! final response within the timeout, unless its connection is lost first.

use std::collections::{BTreeMap, BTreeSet};

use crate::clock::SimulationMicros;
use crate::cores::AttemptId;

/// A violation of the rules for responses.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Violation {
    /// A second response to an attempt, or a response to an attempt that never arrived.
    DuplicateResponse(AttemptId),
    /// A response to an attempt after the timeout.
    LateResponse(AttemptId),
    /// No response to an attempt within the timeout.
    MissingResponse(AttemptId),
}

/// Tracks attempts until their response.
pub struct Checker {
    timeout: SimulationMicros,
    /// Deadline of each attempt without a response.
    pending: BTreeMap<AttemptId, SimulationMicros>,
    /// The pending attempts, ordered by deadline.
    deadlines: BTreeSet<(SimulationMicros, AttemptId)>,
    /// Attempts whose connection was lost before their response.
    disconnected: BTreeSet<AttemptId>,
    violations: Vec<Violation>,
}

impl Checker {
    /// Creates a checker; `timeout` counts from the arrival of an attempt at a server.
    pub fn new(timeout: SimulationMicros) -> Checker {
        Checker {
            timeout,
            pending: BTreeMap::new(),
            deadlines: BTreeSet::new(),
            disconnected: BTreeSet::new(),
            violations: Vec::new(),
        }
    }

    /// Records that an attempt arrived at a server.
    pub fn attempt_arrived(&mut self, now: SimulationMicros, attempt: AttemptId) {
        let deadline = now + self.timeout;
        self.pending.insert(attempt, deadline);
        self.deadlines.insert((deadline, attempt));
    }

    /// Records that a server sent a final response.
    pub fn response_sent(&mut self, now: SimulationMicros, attempt: AttemptId) {
        // A response sent as its connection is lost still counts as the only one.
        if self.disconnected.remove(&attempt) {
            return;
        }
        match self.pending.remove(&attempt) {
            None => self.violations.push(Violation::DuplicateResponse(attempt)),
            Some(deadline) => {
                self.deadlines.remove(&(deadline, attempt));
                if now > deadline {
                    self.violations.push(Violation::LateResponse(attempt));
                }
            }
        }
    }

    /// Records that the connection of an attempt was lost, so that no response is expected.
    pub fn connection_lost(&mut self, attempt: AttemptId) {
        if let Some(deadline) = self.pending.remove(&attempt) {
            self.deadlines.remove(&(deadline, attempt));
            self.disconnected.insert(attempt);
        }
    }

    /// Records attempts whose deadline is before `now` as missing a response, and returns all violations so
    /// far.
    pub fn violations(&mut self, now: SimulationMicros) -> &[Violation] {
        while let Some((deadline, attempt)) =
            self.deadlines.first().copied().filter(|(deadline, _)| *deadline < now)
        {
            self.deadlines.remove(&(deadline, attempt));
            self.pending.remove(&attempt);
            self.violations.push(Violation::MissingResponse(attempt));
        }
        &self.violations
    }
}
