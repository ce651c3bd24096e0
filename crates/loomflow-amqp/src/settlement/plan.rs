//! What each outcome of a message requires: its reply, whether it is requeued or dead-lettered, and the method that
//! settles it with the broker.

use loomflow_backoff::ExponentialBackoff;

use super::{ReplyStatus, Republish, Settlement};
use crate::Millis;
use crate::failure_reason::FailureReason;
use crate::idempotency::RunResult;
use crate::remaining_steps::RemainingSteps;

/// Minimum delay before a rejected message is requeued, ms. It doubles with each retry up to [`MAX_RETRY_AFTER_MS`], so
/// that a message does not circulate in a hot loop and sustained overload does not use up its retries.
pub(super) const MIN_RETRY_AFTER_MS: Millis = 100.0;
/// Value up to which [`MIN_RETRY_AFTER_MS`] doubles with each retry, ms.
pub(super) const MAX_RETRY_AFTER_MS: Millis = 30_000.0;

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

/// Messages to publish for an outcome, and the method that settles the delivery.
pub(super) struct Plan {
    pub(super) reply: Option<ReplyStatus>,
    pub(super) republish: Option<Republish>,
    pub(super) settlement: Settlement,
    /// Delay before the message is republished.
    pub(super) delay: Millis,
    /// Set if the message fails before its run.
    pub(super) failure: Option<FailureBeforeRun>,
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

    pub(super) fn new(outcome: &MessageOutcome, context: &SettlementContext) -> Plan {
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
