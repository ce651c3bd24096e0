//! Checks the receiver's histories: the order of owners, and linearizability as a register with fenced writes.

use std::collections::BTreeSet;
use std::time::Instant;

use loomflow_fleet::duty::Token;
use stateright::semantics::{ConsistencyTester, LinearizabilityTester, SequentialSpec};

use super::effects::Effect;

/// Number of effects before and after a change of owner that are checked for linearizability.
const WINDOW_SIDE: usize = 8;

/// Violations in the histories of duties.
#[derive(Default)]
pub struct HistoryViolations {
    /// Effects admitted after an effect of a later owner.
    pub by_former_owners: u64,
    /// Number of times that an owner's effects resumed after those of another owner.
    pub interleaved: u64,
    /// Windows around a change of owner that are not linearizable as fenced writes.
    pub not_linearizable: u64,
    /// Windows that were checked for linearizability.
    pub windows: u64,
    /// Effects that the fence rejected. These are not violations.
    pub rejected: u64,
}

/// Specification of a register that rejects a write with a token lower than its value.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
struct FencedRegister(Token);

impl SequentialSpec for FencedRegister {
    type Op = Token;
    type Ret = bool;

    fn invoke(&mut self, token: &Token) -> bool {
        let admits = *token >= self.0;
        self.0 = self.0.max(*token);
        admits
    }
}

impl HistoryViolations {
    /// Adds the counts of other histories.
    pub fn add(&mut self, other: &HistoryViolations) {
        self.by_former_owners += other.by_former_owners;
        self.interleaved += other.interleaved;
        self.not_linearizable += other.not_linearizable;
        self.windows += other.windows;
        self.rejected += other.rejected;
    }
}

/// Checks the history of one duty.
pub fn check_history(effects: &[Effect], violations: &mut HistoryViolations) {
    check_order_of_owners(effects, violations);
    for at in 1..effects.len() {
        if effects[at].token != effects[at - 1].token {
            check_change_of_owner(effects, at, violations);
        }
    }
}

/// Checks that no effect of a former owner was admitted after one of a later owner, and counts rejected effects.
fn check_order_of_owners(effects: &[Effect], violations: &mut HistoryViolations) {
    let mut highest = 0;
    let mut last_token = None;
    let mut seen_tokens: BTreeSet<Token> = BTreeSet::new();
    for effect in effects {
        if !effect.admitted {
            violations.rejected += 1;
            continue;
        }
        violations.by_former_owners += u64::from(effect.token < highest);
        highest = highest.max(effect.token);
        if last_token != Some(effect.token) && !seen_tokens.insert(effect.token) {
            violations.interleaved += 1;
        }
        last_token = Some(effect.token);
    }
}

/// Checks that the effects around a change of owner, the first of which is `effects[at]`, are linearizable as fenced writes.
fn check_change_of_owner(effects: &[Effect], at: usize, violations: &mut HistoryViolations) {
    let start = at.saturating_sub(WINDOW_SIDE);
    let window = &effects[start..(at + WINDOW_SIDE).min(effects.len())];
    // The register's value at the start of the window is the highest token before it.
    let highest_before = effects[..start].iter().map(|effect| effect.token).max().unwrap_or(0);
    violations.windows += 1;
    violations.not_linearizable += u64::from(!is_linearizable(window, highest_before));
}

fn is_linearizable(window: &[Effect], highest_before: Token) -> bool {
    enum Step<'a> {
        Call(&'a Effect),
        Return(&'a Effect),
    }
    // Calls precede returns with the same timestamp.
    let mut steps: Vec<(Instant, u8, Step)> = Vec::new();
    for effect in window {
        steps.push((effect.started_at, 0, Step::Call(effect)));
        steps.push((effect.ended_at, 1, Step::Return(effect)));
    }
    steps.sort_by_key(|(at, kind, _)| (*at, *kind));
    let mut tester = LinearizabilityTester::new(FencedRegister(highest_before));
    for (_, _, step) in steps {
        let is_valid = match step {
            Step::Call(effect) => tester.on_invoke(effect.connection, effect.token).is_ok(),
            Step::Return(effect) => tester.on_return(effect.connection, effect.admitted).is_ok(),
        };
        if !is_valid {
            return false;
        }
    }
    tester.is_consistent()
}

#[cfg(test)]
mod tests;
