//! The receiver's part: the highest fencing token of each duty so far, and a rejection of every lower one.
//!
//! A lease cannot stop a process that stalls between its check and its effect. So each effect carries its owner's token,
//! and its receiver checks the fence first. The fence is stored where the effect is stored, and written before the effect:
//! [`Fence::admit`] takes the writing as a step that must succeed.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use super::{DutyName, MAX_DUTIES, Token};

/// Why an effect is rejected. Nothing of it is to be done.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum FenceError<E> {
    /// A later owner was here.
    #[error("token {token} is of an old owner: {highest} was here")]
    Stale {
        /// The token of the effect.
        token: Token,
        /// The highest token so far.
        highest: Token,
    },
    /// As many duties as a fence stores.
    #[error("the fence keeps {MAX_DUTIES} duties, and knows as many")]
    Full,
    /// The token could not be stored; nothing is known to be durable, so nothing may follow.
    #[error("the token could not be kept: {0}")]
    Storage(E),
}

/// Highest tokens by duty. Stores at most [`MAX_DUTIES`].
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Fence {
    highest: BTreeMap<DutyName, Token>,
    /// Effects rejected since this was created.
    #[serde(skip)]
    rejected: u64,
}

impl Fence {
    /// The highest token so far of a duty; 0 before there was one.
    pub fn highest_token(&self, duty: &str) -> Token {
        self.highest.get(duty).copied().unwrap_or(0)
    }

    /// Effects rejected since this was created.
    pub fn rejected(&self) -> u64 {
        self.rejected
    }

    /// Checks whether an effect with this token may be done. `store` writes the fence, where the token is higher than any
    /// before: it has to be durable when it returns.
    ///
    /// # Errors
    /// The effect must not be done, and the fence is as it was.
    pub fn admit<E>(
        &mut self,
        duty: &str,
        token: Token,
        store: impl FnOnce(&Fence) -> Result<(), E>,
    ) -> Result<(), FenceError<E>> {
        let highest = self.highest_token(duty);
        if token < highest {
            self.rejected += 1;
            return Err(FenceError::Stale { token, highest });
        }
        if token == highest && highest > 0 {
            return Ok(());
        }
        if highest == 0 && self.highest.len() >= MAX_DUTIES {
            return Err(FenceError::Full);
        }
        self.highest.insert(duty.to_owned(), token);
        store(self).map_err(|error| {
            match highest {
                0 => self.highest.remove(duty),
                highest => self.highest.insert(duty.to_owned(), highest),
            };
            FenceError::Storage(error)
        })
    }
}

#[cfg(test)]
mod tests;
