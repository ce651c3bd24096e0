//! Settlement of a message: the reply to its caller, whether it is requeued or dead-lettered, and the method that
//! settles it with the broker.
//!
//! All that is published for a message (its reply, the requeued copy or the dead letter) is confirmed before the
//! message is settled, so that nothing is lost if the connection breaks. A publish that the broker does not accept is
//! repeated after an exponential backoff, while the message stays unsettled and counts in the window.

use loomflow_backoff::ExponentialBackoff;

use crate::Millis;
use crate::failure_reason::FailureReason;
use crate::idempotency::RunResult;
use crate::publisher::PublishResult;
use crate::remaining_steps::RemainingSteps;

/// First backoff between attempts to publish, ms. It doubles up to [`MAX_PUBLISH_BACKOFF_MS`], so that the
/// [`MAX_REPLY_ATTEMPTS`] of a reply are spread over 25 s.
const MIN_PUBLISH_BACKOFF_MS: Millis = 200.0;
/// Maximum backoff between attempts to publish, ms.
const MAX_PUBLISH_BACKOFF_MS: Millis = 30_000.0;
/// Minimum delay before a rejected message is requeued, ms. It doubles with each retry up to [`MAX_RETRY_AFTER_MS`], so
/// that a message does not circulate in a hot loop and sustained overload does not use up its retries.
const MIN_RETRY_AFTER_MS: Millis = 100.0;
/// Value up to which [`MIN_RETRY_AFTER_MS`] doubles with each retry, ms.
const MAX_RETRY_AFTER_MS: Millis = 30_000.0;
/// Maximum number of attempts to publish a reply, so that the full queue of one caller does not block all others. After
/// that the message is dead-lettered. A reply that cannot be routed is not repeated, because its caller has disconnected.
const MAX_REPLY_ATTEMPTS: u32 = 8;

/// Final failure of a message that was not run.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct FailureBeforeRun {
    /// Reason of the failure, for the reply and the dead letter.
    pub reason: FailureReason,
    /// How long the caller should back off before a retry, if a time is known.
    pub retry_after: Option<Millis>,
}

impl From<FailureReason> for FailureBeforeRun {
    fn from(reason: FailureReason) -> FailureBeforeRun {
        FailureBeforeRun { reason, retry_after: None }
    }
}

/// Outcome of a message.
#[derive(Clone, Debug, PartialEq)]
pub enum MessageOutcome {
    /// The run has ended.
    Finished(RunResult),
    /// A copy of the message was published and confirmed: the message only has to be acknowledged.
    Superseded,
    /// The message was rejected under overload and not started.
    Rejected {
        /// Time until a retry is allowed.
        retry_after: Millis,
        /// Whether the message must not be retried on any server.
        is_final: bool,
    },
    /// The message failed before its run was started.
    NotRun,
    /// The message cannot be handled, for example because of an unknown class or a body that is too large, or an earlier
    /// delivery of it failed before its run.
    Failed(FailureBeforeRun),
    /// The message may have run in another process.
    MayHaveRun,
    /// The message is returned to its queue without a run because the server is shutting down.
    Returned,
}

/// Properties of a message and of the settings that determine its settlement.
#[derive(Clone, Copy, Debug)]
pub struct SettlementContext {
    /// Whether there is a destination for its reply.
    pub has_reply_to: bool,
    /// Whether a destination for dead letters is configured.
    pub has_dead_letter: bool,
    /// How often the message was requeued after a rejection.
    pub retry_count: u32,
    /// Maximum of [`SettlementContext::retry_count`].
    pub max_retries: u32,
    /// Whether the message has an external effect and therefore must not run twice. If such a message were returned
    /// with `basic.nack`, the broker would mark it as redelivered, and a server without a record of its key would not
    /// run it.
    pub has_effect: bool,
    /// How long its sender still waits; `None` if the sending time is unknown.
    pub time_left: Option<Millis>,
    /// What earlier deliveries of the message did not complete.
    pub remaining: RemainingSteps,
}

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

/// Messages to publish for an outcome, and the method that settles the delivery.
struct Plan {
    reply: Option<ReplyStatus>,
    republish: Option<Republish>,
    settlement: Settlement,
    /// Delay before the message is republished.
    delay: Millis,
    /// Set if the message fails before its run.
    failure: Option<FailureBeforeRun>,
}

impl Plan {
    fn dead_lettered(reply: ReplyStatus, reason: FailureReason) -> Plan {
        Plan {
            reply: Some(reply),
            republish: Some(Republish::DeadLetter(reason)),
            settlement: Settlement::Reject(reason),
            delay: 0.0,
            failure: None,
        }
    }

    fn may_have_run(reason: FailureReason, dead_letter: FailureReason) -> Plan {
        let reply = ReplyStatus::Failed { reason, may_have_run: true, retry_after: None };
        Plan::dead_lettered(reply, dead_letter)
    }

    fn failed_before_run(failure: FailureBeforeRun) -> Plan {
        let FailureBeforeRun { reason, retry_after } = failure;
        let reply = ReplyStatus::Failed { reason, may_have_run: false, retry_after };
        Plan { failure: Some(failure), ..Plan::dead_lettered(reply, reason) }
    }

    fn acknowledged(reply: Option<ReplyStatus>) -> Plan {
        Plan { reply, republish: None, settlement: Settlement::Ack, delay: 0.0, failure: None }
    }

    fn new(outcome: &MessageOutcome, context: &SettlementContext) -> Plan {
        match outcome {
            MessageOutcome::Finished(RunResult::Failed) => {
                Plan::may_have_run(FailureReason::FAILED, FailureReason::MAY_HAVE_RUN)
            }
            MessageOutcome::Finished(RunResult::ReplyDiscarded) => {
                Plan::may_have_run(FailureReason::RESULT_DISCARDED, FailureReason::RESULT_DISCARDED)
            }
            MessageOutcome::MayHaveRun | MessageOutcome::Finished(RunResult::Unknown) => {
                Plan::may_have_run(FailureReason::RUN_UNKNOWN, FailureReason::RUN_UNKNOWN)
            }
            MessageOutcome::Finished(served) => Plan::acknowledged(Some(ReplyStatus::Served(served.clone()))),
            MessageOutcome::Superseded => Plan::acknowledged(None),
            MessageOutcome::Rejected { retry_after, is_final } => {
                Plan::rejected(*retry_after, *is_final, context)
            }
            MessageOutcome::NotRun => Plan::failed_before_run(FailureReason::NOT_RUN.into()),
            MessageOutcome::Failed(failure) => Plan::failed_before_run(*failure),
            MessageOutcome::Returned => Plan::returned(context),
        }
    }

    fn rejected(retry_after: Millis, is_final: bool, context: &SettlementContext) -> Plan {
        let backoff =
            ExponentialBackoff::delay_after(MIN_RETRY_AFTER_MS, MAX_RETRY_AFTER_MS, context.retry_count);
        let delay = retry_after.max(backoff);
        // `is_final` applies only if the time left is known: other messages are retried.
        if context.time_left.is_some_and(|time_left| is_final || delay >= time_left) {
            // A retry would come too late, so the sender gets a failure at once, and the message is never run late.
            let (reason, retry_after) = (FailureReason::OUT_OF_TIME, Some(retry_after));
            return Plan::failed_before_run(FailureBeforeRun { reason, retry_after });
        }
        if context.retry_count >= context.max_retries {
            return Plan::failed_before_run(FailureReason::RETRIES_EXHAUSTED.into());
        }
        Plan {
            reply: Some(ReplyStatus::Rejected(delay)),
            republish: Some(Republish::Requeue { retry_count: context.retry_count + 1 }),
            settlement: Settlement::Ack,
            delay,
            failure: None,
        }
    }

    /// No reply, because the server that runs the message replies. A message with an effect is republished instead of
    /// nacked, because it would not be run after a redelivery (see [`SettlementContext::has_effect`]).
    fn returned(context: &SettlementContext) -> Plan {
        if context.has_effect {
            let republish = Some(Republish::Requeue { retry_count: context.retry_count });
            return Plan { republish, ..Plan::acknowledged(None) };
        }
        Plan { settlement: Settlement::Requeue, ..Plan::acknowledged(None) }
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

    /// [`PendingSettlement::remaining_steps`] once the reply that was published is confirmed; `None` if no confirm of a
    /// reply is pending.
    pub fn remaining_after_reply(&self) -> Option<RemainingSteps> {
        let is_pending = self.reply_state == PublishState::Published;
        is_pending.then(|| {
            PendingSettlement { reply_state: PublishState::Confirmed, ..self.clone() }.remaining_steps()
        })
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
