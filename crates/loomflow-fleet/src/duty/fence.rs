//! The receiver's half: the highest token that was ever seen of each duty, and a refusal for every lower one.
//!
//! A lease cannot stop a process that stands still between its check and its act. So each effect carries its owner's token,
//! and whoever receives it asks a fence first. The fence is kept where the effect is kept, and written before the effect:
//! [`Fence::admit`] takes the writing as a step that must succeed.

use std::collections::BTreeMap;
use std::fmt;

use serde::{Deserialize, Serialize};

use super::{DutyName, MOST_DUTIES, Token};

/// Why an effect is refused. Nothing of it is to be done.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Shut<E> {
    /// A later owner was here.
    Stale { token: Token, seen: Token },
    /// More duties than a fence keeps.
    Full,
    /// The token could not be written down; nothing is known to be durable, so nothing may follow.
    Unkept(E),
}

impl<E: fmt::Display> fmt::Display for Shut<E> {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            Shut::Stale { token, seen } => write!(f, "token {token} is of an old owner: {seen} was here"),
            Shut::Full => write!(f, "the fence keeps {MOST_DUTIES} duties, and knows as many"),
            Shut::Unkept(why) => write!(f, "the token could not be kept: {why}"),
        }
    }
}

/// Highest tokens by duty. Holds at most [`MOST_DUTIES`].
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Fence {
    highest: BTreeMap<DutyName, Token>,
    /// Effects refused since this was made.
    #[serde(skip)]
    refused: u64,
}

impl Fence {
    /// The highest token seen of a duty; 0 before there was one.
    pub fn seen(&self, duty: &str) -> Token {
        self.highest.get(duty).copied().unwrap_or(0)
    }

    pub fn refused(&self) -> u64 {
        self.refused
    }

    /// Asks whether an effect with this token may be done. `keep` writes the fence down, where the token is higher than any
    /// before: it has to be durable when it returns. Errors: the effect must not be done, and the fence is as it was.
    pub fn admit<E>(
        &mut self,
        duty: &str,
        token: Token,
        keep: impl FnOnce(&Fence) -> Result<(), E>,
    ) -> Result<(), Shut<E>> {
        let seen = self.seen(duty);
        if token < seen {
            self.refused += 1;
            return Err(Shut::Stale { token, seen });
        }
        if token == seen && seen > 0 {
            return Ok(());
        }
        if seen == 0 && self.highest.len() >= MOST_DUTIES {
            return Err(Shut::Full);
        }
        self.highest.insert(duty.to_owned(), token);
        keep(self).map_err(|why| {
            match seen {
                0 => self.highest.remove(duty),
                seen => self.highest.insert(duty.to_owned(), seen),
            };
            Shut::Unkept(why)
        })
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn kept(_: &Fence) -> Result<(), &'static str> {
        Ok(())
    }

    #[test]
    fn a_lower_token_is_refused_and_the_same_one_is_not() {
        let mut fence = Fence::default();
        assert_eq!(fence.admit("d", 5, kept), Ok(()));
        assert_eq!(fence.admit("d", 5, |_| -> Result<(), &str> { panic!("it is kept already") }), Ok(()));
        assert_eq!(fence.admit("d", 4, kept), Err(Shut::Stale { token: 4, seen: 5 }));
        assert_eq!(fence.admit("other", 4, kept), Ok(()), "each duty for itself");
        assert_eq!((fence.seen("d"), fence.refused()), (5, 1));
    }

    #[test]
    fn what_cannot_be_kept_is_not_admitted_and_changes_nothing() {
        let mut fence = Fence::default();
        assert_eq!(fence.admit("d", 5, |_| Err("full")), Err(Shut::Unkept("full")));
        assert_eq!(fence, Fence::default());
        assert_eq!(fence.admit("d", 5, kept), Ok(()));
        assert_eq!(fence.admit("d", 7, |_| Err("full")), Err(Shut::Unkept("full")));
        assert_eq!(fence.admit("d", 6, kept), Ok(()), "7 was never here");
    }

    #[test]
    fn it_is_bounded() {
        let mut fence = Fence::default();
        for duty in 0..MOST_DUTIES {
            assert_eq!(fence.admit(&duty.to_string(), 1, kept), Ok(()));
        }
        assert_eq!(fence.admit("one more", 1, kept), Err(Shut::Full));
        assert_eq!(fence.admit("7", 2, kept), Ok(()));
    }
}
