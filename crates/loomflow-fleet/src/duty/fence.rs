//! Fence of a receiver of effects: it records the highest fencing token of each duty and rejects every lower one.
//!
//! A lease cannot stop a process that stalls between its ownership check and its effect. So each effect carries its owner's
//! token, and its receiver checks the fence first. The fence is stored where the effect is stored, and before the effect:
//! [`Fence::admit`] takes the write as a closure that must succeed.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use super::{DutyName, MAX_DUTIES, Token};

/// Why an effect is rejected. The receiver must not apply any part of it.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum FenceError<E> {
    /// The fence has admitted a later owner.
    #[error("token {token} is stale: the fence has admitted token {highest}")]
    Stale {
        /// The token that the effect carries.
        token: Token,
        /// The highest token that the fence has admitted for the duty.
        highest: Token,
    },
    /// The duty is new, and the fence already stores [`MAX_DUTIES`] others.
    #[error("the fence is full: it stores tokens of {MAX_DUTIES} duties, which is the limit")]
    Full,
    /// The token could not be stored. An effect must not be applied before its token is durable.
    #[error("the token could not be stored: {0}")]
    Storage(E),
}

/// The highest admitted token of each duty, for at most [`MAX_DUTIES`] duties.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Fence {
    highest: BTreeMap<DutyName, Token>,
    /// Number of effects rejected in this process; not stored.
    #[serde(skip)]
    rejected: u64,
}

impl Fence {
    /// The highest token admitted for a duty; 0 before the first one.
    pub fn highest_token(&self, duty: &str) -> Token {
        self.highest.get(duty).copied().unwrap_or(0)
    }

    /// Number of effects rejected for a stale token since the fence was created or loaded.
    pub fn rejected(&self) -> u64 {
        self.rejected
    }

    /// Admits an effect with this token, unless the token is stale. `store` is called if the token is higher than any before:
    /// it writes the fence, which must be durable when it returns.
    ///
    /// # Errors
    /// The effect must not be applied. The tokens in the fence are unchanged.
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
