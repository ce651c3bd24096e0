//! Settlement of a message: the reply to its caller, whether it is requeued or dead-lettered, and the method that
//! settles it with the broker.
//!
//! All that is published for a message (its reply, the requeued copy or the dead letter) is confirmed before the
//! message is settled, so that nothing is lost if the connection breaks. A publish that the broker does not accept is
//! repeated after an exponential backoff, while the message stays unsettled and counts in the window.

mod plan;

use loomflow_backoff::ExponentialBackoff;

use crate::Millis;
use crate::failure_reason::FailureReason;
use crate::idempotency::RunResult;
use crate::publisher::PublishResult;
use crate::remaining_steps::RemainingSteps;
use plan::Plan;
pub use plan::{FailureBeforeRun, MessageOutcome, SettlementContext};

/// First backoff between attempts to publish, ms. It doubles up to [`MAX_PUBLISH_BACKOFF_MS`], so that the
/// [`MAX_REPLY_ATTEMPTS`] of a reply are spread over 25 s.
const MIN_PUBLISH_BACKOFF_MS: Millis = 200.0;
/// Maximum backoff between attempts to publish, ms.
const MAX_PUBLISH_BACKOFF_MS: Millis = 30_000.0;
/// Maximum number of attempts to publish a reply, so that the full queue of one caller does not block all others. After
/// that the message is dead-lettered. A reply that cannot be routed is not repeated, because its caller has disconnected.
const MAX_REPLY_ATTEMPTS: u32 = 8;

/// Content of the reply to a caller.
#[derive(Clone, Debug, PartialEq)]
pub enum ReplyStatus {
    /// Result of the run.
    Served(RunResult),
    /// The message was rejected under overload and is delivered again after this time.
    Rejected(Millis),
    /// The message failed.
    Failed {
        /// Reason of the failure.
        reason: FailureReason,
        /// Whether the message may have taken effect.
        may_have_run: bool,
        /// How long the caller should back off before a retry, if a time is known.
        retry_after: Option<Millis>,
    },
}

/// How a message is republished.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Republish {
    /// To the end of its queue.
    Requeue {
        /// Retry count of the copy.
        retry_count: u32,
    },
    /// As a dead letter, for this reason.
    DeadLetter(FailureReason),
}

/// Method that settles a delivery with the broker.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Settlement {
    /// `basic.ack`.
    Ack,
    /// `basic.nack` with `requeue`, so that the broker delivers the message again.
    Requeue,
    /// `basic.reject` without `requeue` for this reason, so that the queue applies its own dead-lettering.
    Reject(FailureReason),
}

/// Next step of a settlement.
#[derive(Clone, Debug, PartialEq)]
pub enum SettlementAction {
    /// Publish the reply to the message.
    Reply(ReplyStatus),
    /// Republish the message.
    Republish(Republish),
    /// Settle the delivery. This is the last step.
    Settle(Settlement),
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum PublishState {
    /// To be published at this time.
    Scheduled(Millis),
    /// Published and not yet confirmed.
    Published,
    Confirmed,
    /// Not needed or given up.
    Dropped,
}

impl PublishState {
    fn is_done(self) -> bool {
        matches!(self, PublishState::Confirmed | PublishState::Dropped)
    }
}

/// Progress of the settlement of one message.
#[derive(Clone, Debug)]
pub struct PendingSettlement {
    reply: Option<ReplyStatus>,
    reply_state: PublishState,
    republish: Option<Republish>,
    republish_state: PublishState,
    settlement: Settlement,
    is_settled: bool,
    /// Whether the message was republished at least once.
    was_republished: bool,
    /// Backoff before the next attempt to publish.
    backoff: ExponentialBackoff,
    reply_attempts: u32,
    context: SettlementContext,
    /// Set if the message fails before its run.
    failure: Option<FailureBeforeRun>,
    /// Whether redeliveries of the message have the same outcome.
    is_final: bool,
}

impl PendingSettlement {
    /// Starts the settlement of a message that ended at `now`.
    pub fn new(outcome: &MessageOutcome, context: SettlementContext, now: Millis) -> PendingSettlement {
        let Plan { reply, republish, settlement, delay, failure } = Plan::new(outcome, &context);
        let reply = reply.filter(|_| context.has_reply_to && context.remaining.reply);
        let (republish, settlement) = match republish {
            Some(Republish::DeadLetter(_)) if !context.remaining.dead_letter => (None, Settlement::Ack),
            // Without a configured destination, the queue applies its own dead-lettering, which states no reason.
            Some(Republish::DeadLetter(_)) if !context.has_dead_letter => (None, settlement),
            Some(republish) => (Some(republish), Settlement::Ack),
            None => (None, settlement),
        };
        let schedule =
            |is_needed: bool, at| if is_needed { PublishState::Scheduled(at) } else { PublishState::Dropped };
        PendingSettlement {
            reply_state: schedule(reply.is_some(), now),
            republish_state: schedule(republish.is_some(), now + delay),
            reply,
            republish,
            settlement,
            is_settled: false,
            was_republished: false,
            backoff: ExponentialBackoff::new(MIN_PUBLISH_BACKOFF_MS, MAX_PUBLISH_BACKOFF_MS),
            reply_attempts: 0,
            context,
            failure,
            is_final: failure.is_some()
                || matches!(outcome, MessageOutcome::Finished(_) | MessageOutcome::MayHaveRun),
        }
    }

    /// The failure of a message that was not run and must not be run by a redelivery.
    pub fn failure_before_run(&self) -> Option<FailureBeforeRun> {
        self.failure
    }

    /// Takes the next action that is due; `None` if there is none at this time.
    pub fn next_action(&mut self, now: Millis) -> Option<SettlementAction> {
        if let (PublishState::Scheduled(at), Some(reply)) = (self.reply_state, &self.reply)
            && now >= at
        {
            self.reply_state = PublishState::Published;
            self.reply_attempts += 1;
            return Some(SettlementAction::Reply(reply.clone()));
        }
        if let (PublishState::Scheduled(at), Some(republish)) = (self.republish_state, self.republish)
            && now >= at
        {
            self.republish_state = PublishState::Published;
            self.was_republished = true;
            return Some(SettlementAction::Republish(republish));
        }
        if self.is_everything_published() && !self.is_settled {
            self.is_settled = true;
            return Some(SettlementAction::Settle(self.settlement));
        }
        None
    }

    fn is_everything_published(&self) -> bool {
        self.reply_state.is_done() && self.republish_state.is_done()
    }

    /// When the next scheduled publish is due; `None` if there is none.
    pub fn next_deadline(&self) -> Option<Millis> {
        let scheduled_at = |state| if let PublishState::Scheduled(at) = state { Some(at) } else { None };
        [scheduled_at(self.reply_state), scheduled_at(self.republish_state)]
            .into_iter()
            .flatten()
            .reduce(f64::min)
    }

    /// What a redelivery of the message would still have to do; everything unless the outcome is final.
    pub fn remaining_steps(&self) -> RemainingSteps {
        if !self.is_final {
            return RemainingSteps::ALL;
        }
        let reply = self.reply.is_some() && self.reply_state != PublishState::Confirmed;
        let dead_letter = match (self.republish, self.settlement) {
            (Some(Republish::DeadLetter(_)), _) => self.republish_state != PublishState::Confirmed,
            // Whether the broker receives the reject is never known.
            (_, Settlement::Reject(_)) => true,
            // Only the reply has the outcome.
            _ => reply && self.context.remaining.dead_letter,
        };
        RemainingSteps { reply, dead_letter }
    }

    /// [`PendingSettlement::remaining_steps`] once the reply that was published is confirmed.
    pub fn remaining_after_reply(&self) -> RemainingSteps {
        PendingSettlement { reply_state: PublishState::Confirmed, ..self.clone() }.remaining_steps()
    }

    /// [`PendingSettlement::remaining_steps`] once the dead letter that was published is confirmed.
    pub fn remaining_after_dead_letter(&self) -> RemainingSteps {
        PendingSettlement { republish_state: PublishState::Confirmed, ..self.clone() }.remaining_steps()
    }

    /// Republishes a rejected message without further delay, because the server is shutting down. The backoff after a
    /// publish that the broker did not accept stays.
    pub fn skip_delay(&mut self, now: Millis) {
        if let (PublishState::Scheduled(at), false) = (&mut self.republish_state, self.was_republished) {
            *at = at.min(now);
        }
    }

    /// Handles the result of publishing the reply.
    pub fn reply_published(&mut self, result: PublishResult, now: Millis) {
        if self.reply_state != PublishState::Published {
            return;
        }
        self.reply_state = PublishState::Dropped;
        match result {
            PublishResult::Confirmed => self.reply_state = PublishState::Confirmed,
            PublishResult::Unroutable => self.reply_given_up(FailureReason::REPLY_UNROUTABLE, now),
            PublishResult::Nacked | PublishResult::Unknown if self.reply_attempts < MAX_REPLY_ATTEMPTS => {
                self.reply_state = PublishState::Scheduled(now + self.backoff.advance());
            }
            PublishResult::Nacked | PublishResult::Unknown => {
                self.reply_given_up(FailureReason::REPLY_REJECTED, now);
            }
        }
    }

    /// Dead-letters the message if its outcome was only in the reply, which cannot be published.
    fn reply_given_up(&mut self, reason: FailureReason, now: Millis) {
        let is_only_acknowledged = self.republish.is_none() && self.settlement == Settlement::Ack;
        if is_only_acknowledged && self.context.remaining.dead_letter {
            self.dead_letter(reason, now);
        }
    }

    /// Dead-letters the message: to the configured destination, or by the queue's own dead-lettering if there is none.
    fn dead_letter(&mut self, reason: FailureReason, now: Millis) {
        if self.context.has_dead_letter {
            self.republish = Some(Republish::DeadLetter(reason));
            self.republish_state = PublishState::Scheduled(now);
        } else {
            self.settlement = Settlement::Reject(reason);
        }
    }

    /// Handles the result of republishing the message.
    pub fn republished(&mut self, result: PublishResult, now: Millis) {
        if self.republish_state != PublishState::Published {
            return;
        }
        self.republish_state = PublishState::Dropped;
        match (result, self.republish) {
            (PublishResult::Confirmed, _) => self.republish_state = PublishState::Confirmed,
            (PublishResult::Unroutable, Some(Republish::Requeue { .. })) => {
                // The queue cannot be reached by its name, so the broker has to requeue the message itself.
                self.settlement = Settlement::Requeue;
            }
            (PublishResult::Unknown, Some(Republish::Requeue { .. })) if self.context.has_effect => {
                // The queue may already contain the copy, and both messages would run.
                self.republish = None;
                self.dead_letter(FailureReason::RUN_UNKNOWN, now);
            }
            // Retried without a limit, so that no message is lost while the broker does not accept it.
            _ => self.republish_state = PublishState::Scheduled(now + self.backoff.advance()),
        }
    }
}

#[cfg(test)]
mod tests;
