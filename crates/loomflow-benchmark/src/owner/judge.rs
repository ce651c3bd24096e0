//! What is wrong in the receiver's history, and whether it is one of a register with fenced writes.

use std::collections::BTreeSet;
use std::time::Instant;

use loomflow_fleet::duty::Token;
use stateright::semantics::{ConsistencyTester, LinearizabilityTester, SequentialSpec};

use super::effects::Effect;

/// Effects looked at on each side of a change of owner.
const BESIDE: usize = 8;

/// What is wrong with one duty's history.
#[derive(Default)]
pub struct Wrong {
    /// Let in after one of a later owner.
    pub by_former_owners: u64,
    /// Owners that came back between effects of another.
    pub interleaved: u64,
    /// Windows around a change of owner that no order of fenced writes explains.
    pub not_linear: u64,
    pub windows: u64,
    pub rejected: u64,
}

/// A register that a write with a lower token does not change.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
struct Fenced(Token);

impl SequentialSpec for Fenced {
    type Op = Token;
    type Ret = bool;

    fn invoke(&mut self, token: &Token) -> bool {
        let admits = *token >= self.0;
        self.0 = self.0.max(*token);
        admits
    }
}

pub fn judge(effects: &[Effect], wrong: &mut Wrong) {
    let mut highest = 0;
    let mut before = None;
    let mut had: BTreeSet<Token> = BTreeSet::new();
    for effect in effects {
        if !effect.admitted {
            wrong.rejected += 1;
            continue;
        }
        wrong.by_former_owners += u64::from(effect.token < highest);
        highest = highest.max(effect.token);
        if before != Some(effect.token) && !had.insert(effect.token) {
            wrong.interleaved += 1;
        }
        before = Some(effect.token);
    }
    for at in 1..effects.len() {
        if effects[at].token != effects[at - 1].token {
            let window = &effects[at.saturating_sub(BESIDE)..(at + BESIDE).min(effects.len())];
            // What was admitted before the window is the value of the register.
            let highest_before =
                effects[..at.saturating_sub(BESIDE)].iter().map(|one| one.token).max().unwrap_or(0);
            wrong.windows += 1;
            wrong.not_linear += u64::from(!is_linear(window, highest_before));
        }
    }
}

fn is_linear(window: &[Effect], highest_before: Token) -> bool {
    enum Side<'a> {
        Call(&'a Effect),
        Return(&'a Effect),
    }
    let mut sides: Vec<(Instant, u8, Side)> = Vec::new();
    for effect in window {
        sides.push((effect.began, 0, Side::Call(effect)));
        sides.push((effect.ended, 1, Side::Return(effect)));
    }
    sides.sort_by_key(|(at, kind, _)| (*at, *kind));
    let mut tester = LinearizabilityTester::new(Fenced(highest_before));
    for (_, _, side) in sides {
        let fine = match side {
            Side::Call(effect) => tester.on_invoke(effect.by, effect.token).is_ok(),
            Side::Return(effect) => tester.on_return(effect.by, effect.admitted).is_ok(),
        };
        if !fine {
            return false;
        }
    }
    tester.is_consistent()
}

#[cfg(test)]
mod tests;
