//! What is wrong in the receiver's history, and whether it is one of a register with fenced writes.

use std::collections::BTreeSet;
use std::time::Instant;

use loomflow_fleet::duty::Token;
use stateright::semantics::{ConsistencyTester, LinearizabilityTester, SequentialSpec};

use super::effects::Effect;

/// Effects on each side of a change of owner that are checked together.
const WINDOW_SIDE: usize = 8;

/// What is wrong with the histories of duties.
#[derive(Default)]
pub struct HistoryViolations {
    /// Let in after one of a later owner.
    pub by_former_owners: u64,
    /// Owners that came back between effects of another.
    pub interleaved: u64,
    /// Windows around a change of owner that no order of fenced writes explains.
    pub not_linearizable: u64,
    /// Windows that were checked.
    pub windows: u64,
    /// Effects that the fence rejected, as it should.
    pub rejected: u64,
}

/// A register that a write with a lower token does not change.
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
    /// Adds up the counts of other histories.
    pub fn add(&mut self, other: &HistoryViolations) {
        self.by_former_owners += other.by_former_owners;
        self.interleaved += other.interleaved;
        self.not_linearizable += other.not_linearizable;
        self.windows += other.windows;
        self.rejected += other.rejected;
    }
}

/// Checks the history of one duty.
pub fn judge(effects: &[Effect], violations: &mut HistoryViolations) {
    check_order_of_owners(effects, violations);
    for at in 1..effects.len() {
        if effects[at].token != effects[at - 1].token {
            check_change_of_owner(effects, at, violations);
        }
    }
}

/// Once another owner's effect was admitted, none of a former owner may be.
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

/// The effects around a change of owner, which is that of the effect at `at`, are to be those of a fenced register.
fn check_change_of_owner(effects: &[Effect], at: usize, violations: &mut HistoryViolations) {
    let start = at.saturating_sub(WINDOW_SIDE);
    let window = &effects[start..(at + WINDOW_SIDE).min(effects.len())];
    // What was admitted before the window is the value of the register.
    let highest_before = effects[..start].iter().map(|effect| effect.token).max().unwrap_or(0);
    violations.windows += 1;
    violations.not_linearizable += u64::from(!is_linearizable(window, highest_before));
}

fn is_linearizable(window: &[Effect], highest_before: Token) -> bool {
    enum Step<'a> {
        Call(&'a Effect),
        Return(&'a Effect),
    }
    // Of one moment calls come before returns.
    let mut steps: Vec<(Instant, u8, Step)> = Vec::new();
    for effect in window {
        steps.push((effect.began, 0, Step::Call(effect)));
        steps.push((effect.ended, 1, Step::Return(effect)));
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
