//! Steps of a settlement that earlier deliveries of a message did not complete.
//!
//! `basic.ack` and `basic.reject` have no answer, so the broker may not have received one when the connection breaks. It
//! then delivers the message again. What the broker has confirmed until then (the reply, the dead letter) is not
//! repeated, and everything else is done for the new delivery.

use std::collections::VecDeque;
use std::num::NonZeroU64;

/// Maximum number of callers of a key whose steps are recorded.
pub(crate) const MAX_CALLERS: usize = 4;

/// What is still to be done for a message before it may be acknowledged.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RemainingSteps {
    /// Whether the reply to the caller is still to be confirmed.
    pub reply: bool,
    /// Whether the message is still to be dead-lettered, if its outcome requires it.
    pub dead_letter: bool,
}

impl RemainingSteps {
    /// Nothing is known to be done.
    pub const ALL: RemainingSteps = RemainingSteps { reply: true, dead_letter: true };
    /// Only the acknowledgement is left.
    pub const NONE: RemainingSteps = RemainingSteps { reply: false, dead_letter: false };

    /// The steps that remain although both were reached.
    fn intersection(self, other: RemainingSteps) -> RemainingSteps {
        RemainingSteps {
            reply: self.reply && other.reply,
            dead_letter: self.dead_letter && other.dead_letter,
        }
    }
}

/// Remaining steps for the last callers of a key, identified by a digest
/// ([`caller_digest`](crate::message::caller_digest)).
#[derive(Debug, Default)]
pub struct CallerSteps {
    /// Newest last.
    callers: VecDeque<(u64, RemainingSteps)>,
}

impl CallerSteps {
    /// The steps that remain for a caller; `None` if no step was completed.
    pub fn get(&self, caller: u64) -> Option<RemainingSteps> {
        self.callers.iter().find(|(known, _)| *known == caller).map(|(_, steps)| *steps)
    }

    /// Records that only `remaining` is left for a caller. A step that was completed before stays so.
    pub fn complete(&mut self, caller: u64, remaining: RemainingSteps) {
        if remaining == RemainingSteps::ALL {
            return;
        }
        if let Some((_, steps)) = self.callers.iter_mut().find(|(known, _)| *known == caller) {
            *steps = steps.intersection(remaining);
            return;
        }
        if self.callers.len() >= MAX_CALLERS {
            self.callers.pop_front();
        }
        self.callers.push_back((caller, remaining));
    }

    /// The newest caller for whom only the acknowledgement is left.
    pub fn newest_completed(&self) -> Option<NonZeroU64> {
        let completed = self.callers.iter().rev().find(|(_, steps)| *steps == RemainingSteps::NONE);
        completed.and_then(|(caller, _)| NonZeroU64::new(*caller))
    }
}

#[cfg(test)]
mod tests;
