//! Checks the rules for responses on the wire between callers and servers: each attempt that reached a server gets one
//! final response before the timeout of its caller, unless the connection broke first.

use std::collections::{BTreeMap, BTreeSet};

use crate::clock::SimulationMicros;
use crate::cores::AttemptId;

/// A violation of the rules.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Violation {
    /// An attempt was answered twice, or never arrived.
    AnsweredTwice(AttemptId),
    /// An attempt was answered after the timeout of its caller.
    AnsweredLate(AttemptId),
    /// An attempt was not answered before the timeout of its caller.
    NeverAnswered(AttemptId),
}

/// Tracks the attempts without a response.
pub struct Checker {
    timeout: SimulationMicros,
    waiting: BTreeMap<AttemptId, SimulationMicros>,
    due: BTreeSet<(SimulationMicros, AttemptId)>,
    broken: BTreeSet<AttemptId>,
    violations: Vec<Violation>,
}

impl Checker {
    /// Creates a checker for callers with this timeout.
    pub fn new(timeout: SimulationMicros) -> Checker {
        Checker {
            timeout,
            waiting: BTreeMap::new(),
            due: BTreeSet::new(),
            broken: BTreeSet::new(),
            violations: Vec::new(),
        }
    }

    /// An attempt reached a server.
    pub fn reached(&mut self, now: SimulationMicros, attempt: AttemptId) {
        let due = now + self.timeout;
        self.waiting.insert(attempt, due);
        self.due.insert((due, attempt));
    }

    /// A server sent a final answer.
    pub fn answered(&mut self, now: SimulationMicros, attempt: AttemptId) {
        // A response may cross with the end of its connection; it is the final one all the same.
        if self.broken.remove(&attempt) {
            return;
        }
        match self.waiting.remove(&attempt) {
            None => self.violations.push(Violation::AnsweredTwice(attempt)),
            Some(due) => {
                self.due.remove(&(due, attempt));
                if now > due {
                    self.violations.push(Violation::AnsweredLate(attempt));
                }
            }
        }
    }

    /// The connection of an attempt broke: no response is due.
    pub fn broke(&mut self, attempt: AttemptId) {
        if let Some(due) = self.waiting.remove(&attempt) {
            self.due.remove(&(due, attempt));
            self.broken.insert(attempt);
        }
    }

    /// Checks for attempts that are overdue, and returns all violations.
    pub fn violations(&mut self, now: SimulationMicros) -> &[Violation] {
        while let Some((due, attempt)) = self.due.first().copied().filter(|(due, _)| *due < now) {
            self.due.remove(&(due, attempt));
            self.waiting.remove(&attempt);
            self.violations.push(Violation::NeverAnswered(attempt));
        }
        &self.violations
    }
}
