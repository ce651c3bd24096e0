//! The rules of answers, judged only by what passed between callers and servers.
//!
//! Each attempt that reached a server gets one final answer before its caller would give up, unless the connection broke
//! first.

use std::collections::{BTreeMap, BTreeSet};

use crate::clock::Micros;
use crate::cores::AttemptId;

/// What a server did against the rules.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Violation {
    /// An attempt was answered that had its answer, or never came.
    AnsweredTwice(AttemptId),
    /// An attempt was answered after the end of its caller's patience.
    AnsweredLate(AttemptId),
    /// An attempt got no answer by the end of its caller's patience.
    NeverAnswered(AttemptId),
}

/// Watches the wire of a whole play. Keeps only attempts without an answer.
pub struct Checker {
    patience: Micros,
    waiting: BTreeMap<AttemptId, Micros>,
    due: BTreeSet<(Micros, AttemptId)>,
    broken: BTreeSet<AttemptId>,
    violations: Vec<Violation>,
}

impl Checker {
    /// A checker of servers whose callers wait for so long.
    pub fn new(patience: Micros) -> Checker {
        Checker {
            patience,
            waiting: BTreeMap::new(),
            due: BTreeSet::new(),
            broken: BTreeSet::new(),
            violations: Vec::new(),
        }
    }

    /// An attempt reached a server.
    pub fn reached(&mut self, now: Micros, attempt: AttemptId) {
        let due = now + self.patience;
        self.waiting.insert(attempt, due);
        self.due.insert((due, attempt));
    }

    /// A server sent a final answer.
    pub fn answered(&mut self, now: Micros, attempt: AttemptId) {
        // An answer may cross with the news that the connection broke; it is the last one all the same.
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

    /// The connection of an attempt broke: no answer is owed.
    pub fn broke(&mut self, attempt: AttemptId) {
        if let Some(due) = self.waiting.remove(&attempt) {
            self.due.remove(&(due, attempt));
            self.broken.insert(attempt);
        }
    }

    /// Looks for attempts that are past due, and gives all violations so far.
    pub fn violations(&mut self, now: Micros) -> &[Violation] {
        while let Some((due, attempt)) = self.due.first().copied().filter(|(due, _)| *due < now) {
            self.due.remove(&(due, attempt));
            self.waiting.remove(&attempt);
            self.violations.push(Violation::NeverAnswered(attempt));
        }
        &self.violations
    }
}
