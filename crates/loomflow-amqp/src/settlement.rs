//! How a message is settled: what its caller gets, where the message is published, and the one method that settles it with the broker.
//!
//! Whatever is published for a message (its reply, the message itself requeued or dead-lettered) is confirmed before the
//! message is settled, so that nothing is lost wherever the connection breaks. What the broker does not accept is
//! published again after a growing backoff, while the message stays unsettled and counts in the window.

use loomflow_backoff::ExponentialBackoff;

use crate::Millis;
use crate::failure_reason::FailureReason;
use crate::idempotency::RunResult;
use crate::publisher::PublishResult;

/// Between two attempts to publish.
const MIN_PUBLISH_BACKOFF_MS: Millis = 100.0;
const MAX_PUBLISH_BACKOFF_MS: Millis = 30_000.0;
/// A rejected message is requeued after this at the earliest, twice as long for each retry up to the maximum, so that it
/// never spins in a hot loop, and lasting overload does not use up its retries.
const MIN_RETRY_AFTER_MS: Millis = 100.0;
const MAX_RETRY_AFTER_MS: Millis = 30_000.0;
/// A reply that the broker rejects so often is given up, so that a full queue of one caller does not block all others; its message is
/// dead-lettered then. One that cannot be routed is given up at once: its caller has disconnected.
const MAX_REPLY_ATTEMPTS: u32 = 8;

/// What became of a message's work.
#[derive(Clone, Debug, PartialEq)]
pub enum MessageOutcome {
    /// Its run has ended.
    Finished(RunResult),
    /// Everything was published and confirmed on an earlier delivery: it only has to be acknowledged.
    AlreadyAnswered,
    /// Load was shed, and nothing was started.
    Rejected {
        /// When it is to come again.
        retry_after: Millis,
        /// It is not to come again anywhere.
        is_final: bool,
    },
    /// It failed, and nothing was started for it.
    NotRun,
    /// It cannot be handled, for this reason: unknown names, too large.
    Invalid(FailureReason),
    /// It may have run elsewhere.
    MayHaveRun,
    /// It is returned without being started, since this server shuts down.
    Returned,
}

/// What is known of a message that is to be settled.
#[derive(Clone, Copy, Debug)]
pub struct SettlementContext {
    /// It names a destination of its reply.
    pub has_reply_to: bool,
    /// There is a place for dead letters with a reason.
    pub has_dead_letter: bool,
    /// How often it was requeued.
    pub retry_count: u32,
    /// How often it may be.
    pub max_retries: u32,
    /// It must not run twice. If it were returned by nack, the broker would mark it as redelivered, and no server that
    /// does not know its key would run it.
    pub has_effect: bool,
    /// How long its sender will still wait, if its sending time is known.
    pub time_left: Option<Millis>,
}

/// What a caller gets.
#[derive(Clone, Debug, PartialEq)]
pub enum ReplyStatus {
    /// The result.
    Served(RunResult),
    /// Load was shed; the message comes again after this.
    Rejected(Millis),
    /// It failed.
    Failed {
        /// Why.
        reason: FailureReason,
        /// It may have had its effect.
        may_have_run: bool,
        /// How long to stay away before a retry.
        retry_after: Option<Millis>,
    },
}

/// How a message itself is published again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Republish {
    /// To the end of its queue.
    Requeue {
        /// The count that it carries.
        retry_count: u32,
    },
    /// As a dead letter, for this reason.
    DeadLetter(FailureReason),
}

/// The one method by which a delivery is settled with the broker.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Settlement {
    /// `basic.ack`.
    Ack,
    /// `basic.nack`, to be delivered again.
    Requeue,
    /// `basic.reject`, for the queue's own dead letters.
    Reject,
}

/// What is to be done next for a message.
#[derive(Clone, Debug, PartialEq)]
pub enum SettlementAction {
    /// Publish its reply.
    Reply(ReplyStatus),
    /// Publish it again.
    Republish(Republish),
    /// Settle it.
    Settle(Settlement),
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum PublishState {
    /// To be published then.
    Due(Millis),
    /// Published and not confirmed.
    Published,
    Done,
}

/// What is to be published for a message that has ended, and how it is settled.
struct Plan {
    reply: Option<ReplyStatus>,
    republish: Option<Republish>,
    settlement: Settlement,
    /// Before the message is published again.
    delay: Millis,
}

impl Plan {
    fn failed(reason: FailureReason, may_have_run: bool, dead_letter: FailureReason) -> Plan {
        Plan {
            reply: Some(ReplyStatus::Failed { reason, may_have_run, retry_after: None }),
            republish: Some(Republish::DeadLetter(dead_letter)),
            settlement: Settlement::Reject,
            delay: 0.0,
        }
    }

    fn acknowledged(reply: Option<ReplyStatus>) -> Plan {
        Plan { reply, republish: None, settlement: Settlement::Ack, delay: 0.0 }
    }

    fn new(outcome: &MessageOutcome, context: &SettlementContext) -> Plan {
        match outcome {
            MessageOutcome::Finished(RunResult::Failed) => {
                Plan::failed(FailureReason::FAILED, true, FailureReason::MAY_HAVE_RUN)
            }
            MessageOutcome::Finished(RunResult::ReplyDiscarded) => {
                Plan::failed(FailureReason::RESULT_DISCARDED, true, FailureReason::RESULT_DISCARDED)
            }
            MessageOutcome::MayHaveRun | MessageOutcome::Finished(RunResult::Unknown) => {
                Plan::failed(FailureReason::RUN_UNKNOWN, true, FailureReason::RUN_UNKNOWN)
            }
            MessageOutcome::Finished(served) => Plan::acknowledged(Some(ReplyStatus::Served(served.clone()))),
            MessageOutcome::AlreadyAnswered => Plan::acknowledged(None),
            MessageOutcome::Rejected { retry_after, is_final } => {
                Plan::rejected(*retry_after, *is_final, context)
            }
            MessageOutcome::NotRun => Plan::failed(FailureReason::NOT_RUN, false, FailureReason::NOT_RUN),
            MessageOutcome::Invalid(reason) => Plan::failed(*reason, false, *reason),
            MessageOutcome::Returned => Plan::returned(context),
        }
    }

    fn rejected(retry_after: Millis, is_final: bool, context: &SettlementContext) -> Plan {
        let backoff =
            ExponentialBackoff::delay_after(MIN_RETRY_AFTER_MS, MAX_RETRY_AFTER_MS, context.retry_count);
        let delay = retry_after.max(backoff);
        // `is_final` counts only where the time left is known: other messages are retried.
        if context.time_left.is_some_and(|time_left| is_final || delay >= time_left) {
            // It cannot come again in time: its sender gets a failure at once, and it is never run late.
            let reason = FailureReason::OUT_OF_TIME;
            let reply = ReplyStatus::Failed { reason, may_have_run: false, retry_after: Some(retry_after) };
            return Plan { reply: Some(reply), ..Plan::failed(reason, false, reason) };
        }
        if context.retry_count >= context.max_retries {
            return Plan::failed(FailureReason::RETRIES_EXHAUSTED, false, FailureReason::RETRIES_EXHAUSTED);
        }
        Plan {
            reply: Some(ReplyStatus::Rejected(delay)),
            republish: Some(Republish::Requeue { retry_count: context.retry_count + 1 }),
            settlement: Settlement::Ack,
            delay,
        }
    }

    /// No reply: whoever runs the message replies. A message with an effect is republished instead of nacked, because a
    /// redelivered one would not be run (see [`SettlementContext::has_effect`]).
    fn returned(context: &SettlementContext) -> Plan {
        if context.has_effect {
            let republish = Some(Republish::Requeue { retry_count: context.retry_count });
            return Plan { republish, ..Plan::acknowledged(None) };
        }
        Plan { settlement: Settlement::Requeue, ..Plan::acknowledged(None) }
    }
}

/// A message that has ended, until it is settled.
#[derive(Clone, Debug)]
pub struct Settling {
    reply: Option<ReplyStatus>,
    reply_state: PublishState,
    republish: Option<Republish>,
    republish_state: PublishState,
    settlement: Settlement,
    is_settled: bool,
    /// Before the next attempt to publish.
    backoff: ExponentialBackoff,
    reply_attempts: u32,
    context: SettlementContext,
    /// What its caller gets is the end of its key, and not of this attempt.
    is_final_reply: bool,
}

impl Settling {
    /// A message that has ended at `now`.
    pub fn new(outcome: &MessageOutcome, context: SettlementContext, now: Millis) -> Settling {
        let Plan { reply, republish, settlement, delay } = Plan::new(outcome, &context);
        let reply = reply.filter(|_| context.has_reply_to);
        // Without a destination of our own the dead letters of the queue are used, which state no reason.
        let republish =
            republish.filter(|to| context.has_dead_letter || matches!(to, Republish::Requeue { .. }));
        let settlement = if republish.is_some() { Settlement::Ack } else { settlement };
        let due = |is_due: bool, at| if is_due { PublishState::Due(at) } else { PublishState::Done };
        Settling {
            reply_state: due(reply.is_some(), now),
            republish_state: due(republish.is_some(), now + delay),
            reply,
            republish,
            settlement,
            is_settled: false,
            backoff: ExponentialBackoff::new(MIN_PUBLISH_BACKOFF_MS, MAX_PUBLISH_BACKOFF_MS),
            reply_attempts: 0,
            context,
            is_final_reply: matches!(outcome, MessageOutcome::Finished(_) | MessageOutcome::MayHaveRun),
        }
    }

    /// What is to be done now, one thing at a time, until there is nothing.
    pub fn next_action(&mut self, now: Millis) -> Option<SettlementAction> {
        if let (PublishState::Due(at), Some(reply)) = (self.reply_state, &self.reply)
            && now >= at
        {
            self.reply_state = PublishState::Published;
            self.reply_attempts += 1;
            return Some(SettlementAction::Reply(reply.clone()));
        }
        if let (PublishState::Due(at), Some(republish)) = (self.republish_state, self.republish)
            && now >= at
        {
            self.republish_state = PublishState::Published;
            return Some(SettlementAction::Republish(republish));
        }
        if self.is_everything_published() && !self.is_settled {
            self.is_settled = true;
            return Some(SettlementAction::Settle(self.settlement));
        }
        None
    }

    fn is_everything_published(&self) -> bool {
        self.reply_state == PublishState::Done && self.republish_state == PublishState::Done
    }

    /// Whether only the confirm of its reply and its settlement are missing.
    pub fn awaits_reply_confirm(&self) -> bool {
        self.is_final_reply
            && self.reply_state == PublishState::Published
            && self.republish_state == PublishState::Done
    }

    /// When there is something to do without a method of the broker.
    pub fn next_deadline(&self) -> Option<Millis> {
        let due_at = |state| if let PublishState::Due(at) = state { Some(at) } else { None };
        [due_at(self.reply_state), due_at(self.republish_state)].into_iter().flatten().reduce(f64::min)
    }

    /// Whether its final reply is dealt with and everything is published, so that it only has to be settled. A message
    /// without a destination of a reply has none to deal with.
    pub fn is_reply_settled(&self) -> bool {
        self.is_final_reply && self.is_everything_published()
    }

    /// This server shuts down: what waits for the end of its delay is published now.
    pub fn skip_backoff(&mut self, now: Millis) {
        if let PublishState::Due(at) = &mut self.republish_state {
            *at = at.min(now);
        }
    }

    /// What became of its reply.
    pub fn reply_published(&mut self, result: PublishResult, now: Millis) {
        if self.reply_state != PublishState::Published {
            return;
        }
        let has_failed = matches!(result, PublishResult::Nacked | PublishResult::Unknown);
        if has_failed && self.reply_attempts < MAX_REPLY_ATTEMPTS {
            self.reply_state = PublishState::Due(now + self.backoff.advance());
            return;
        }
        self.reply_state = PublishState::Done;
        if has_failed && self.context.has_dead_letter && self.republish.is_none() {
            self.republish = Some(Republish::DeadLetter(FailureReason::REPLY_REJECTED));
            self.republish_state = PublishState::Due(now);
        }
    }

    /// What became of the message that was published again.
    pub fn republished(&mut self, result: PublishResult, now: Millis) {
        if self.republish_state != PublishState::Published {
            return;
        }
        self.republish_state = match (result, self.republish) {
            (PublishResult::Confirmed, _) => PublishState::Done,
            (PublishResult::Unroutable, Some(Republish::Requeue { .. })) => {
                // Its queue has another name, or none: the broker knows where it came from.
                self.settlement = Settlement::Requeue;
                PublishState::Done
            }
            (PublishResult::Unknown, Some(Republish::Requeue { .. })) if self.context.has_effect => {
                // There may be a copy in its queue by now, and both would be run.
                self.republish = Some(Republish::DeadLetter(FailureReason::RUN_UNKNOWN));
                PublishState::Due(now)
            }
            // A place for dead letters that accepts none loses nothing: it is tried for as long as it takes.
            _ => PublishState::Due(now + self.backoff.advance()),
        };
    }
}

#[cfg(test)]
mod tests;
