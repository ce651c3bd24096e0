//! How a message ends: what its caller hears, where the message goes, and the one word that settles it with the broker.
//!
//! Whatever is published for a message (its reply, the message itself put back or dead-lettered) is confirmed before
//! the message is settled, so that nothing is lost wherever the connection breaks. What the broker does not take is
//! published again after growing pauses, while the message stays unsettled and holds its place in the window.

use crate::idempotency::RunResult;
use crate::publisher::PublishResult;

/// Between two tries to publish, ms, the first and the longest.
const MIN_PUBLISH_BACKOFF_MS: f64 = 100.0;
const MAX_PUBLISH_BACKOFF_MS: f64 = 30_000.0;
/// A refused message waits so long at least, ms, twice as long in each round up to the longest, so that it never turns
/// in a hot loop, and overload that lasts does not use its rounds up.
const MIN_RETRY_AFTER_MS: f64 = 100.0;
const MAX_RETRY_AFTER_MS: f64 = 30_000.0;
/// A reply that is refused so often is given up, lest a full queue of one caller hold up all others; its message goes to
/// the dead letters then. One that cannot be routed is given up at once: its caller is gone.
const MAX_REPLY_ATTEMPTS: u32 = 8;

/// What became of a message's work.
#[derive(Clone, Debug, PartialEq)]
pub enum MessageOutcome {
    Finished(RunResult),
    /// All that is due has been published and confirmed on an earlier delivery: only the acknowledgement is missing.
    AlreadyAnswered,
    /// Turned away, never begun; to come again after so many ms, or nowhere any more (`last`).
    Rejected {
        retry_after: f64,
        is_final: bool,
    },
    /// It failed, and nothing was begun for it.
    NotRun,
    /// It cannot be taken: unknown names, too large.
    Invalid(&'static str),
    /// It may have run, where nobody here knows of.
    MayHaveRun,
    /// Given back unbegun, since this server leaves.
    Returned,
}

/// What is known of a message when it ends.
#[derive(Clone, Copy, Debug)]
pub struct SettlementContext {
    /// Somebody is to be told.
    pub has_reply_to: bool,
    /// It may be dead-lettered with a reason.
    pub has_dead_letter: bool,
    /// How often it was put back, and how often it may be.
    pub retry_count: u32,
    pub max_retries: u32,
    /// Running it twice is one time too many, so that a mark "redelivered" would cost it its run.
    pub has_effect: bool,
    /// How long its sender still waits, ms, where it says when it was sent.
    pub time_left: Option<f64>,
}

/// What a caller hears.
#[derive(Clone, Debug, PartialEq)]
pub enum ReplyStatus {
    Served(RunResult),
    Rejected(f64),
    /// `holdoff`: ms to stay away before the next try.
    Failed {
        reason: &'static str,
        may_have_run: bool,
        retry_after: Option<f64>,
    },
}

/// The message itself, published anew.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Republish {
    /// To the end of its queue, with its rounds counted.
    Requeue {
        retry_count: u32,
    },
    DeadLetter(&'static str),
}

/// The one word by which the broker hears that a delivery is over.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Settlement {
    Ack,
    /// `basic.nack`, to be delivered again.
    Requeue,
    /// `basic.reject`, for the queue's own dead letters.
    Reject,
}

#[derive(Clone, Debug, PartialEq)]
pub enum SettlementAction {
    Reply(ReplyStatus),
    Republish(Republish),
    Settle(Settlement),
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum PublishState {
    Due(f64),
    Published,
    Done,
}

/// A message that has ended, on its way out.
#[derive(Clone, Debug)]
pub struct Settling {
    reply: Option<ReplyStatus>,
    reply_state: PublishState,
    republish: Option<Republish>,
    republish_state: PublishState,
    settlement: Settlement,
    is_settled: bool,
    /// The next pause, and tries to reply.
    backoff: f64,
    reply_attempts: u32,
    /// Running it twice is one time too many.
    has_effect: bool,
    has_dead_letter: bool,
    /// What its caller hears is the end of its key, and not of this try.
    is_final_reply: bool,
}

impl Settling {
    pub fn new(ended: &MessageOutcome, terms: SettlementContext, now: f64) -> Settling {
        let failed =
            |reason, may_have_run| Some(ReplyStatus::Failed { reason, may_have_run, retry_after: None });
        let least =
            (MIN_RETRY_AFTER_MS * 2.0_f64.powi(terms.retry_count.min(30) as i32)).min(MAX_RETRY_AFTER_MS);
        let (reply, moves, settle, pause) = match ended {
            MessageOutcome::Finished(RunResult::Failed) => {
                (failed("failed", true), Some(Republish::DeadLetter("may-have-run")), Settlement::Reject, 0.0)
            }
            MessageOutcome::Finished(RunResult::ReplyDiscarded) => (
                failed("result-gone", true),
                Some(Republish::DeadLetter("result-gone")),
                Settlement::Reject,
                0.0,
            ),
            MessageOutcome::MayHaveRun | MessageOutcome::Finished(RunResult::Unknown) => (
                failed("run-unknown", true),
                Some(Republish::DeadLetter("run-unknown")),
                Settlement::Reject,
                0.0,
            ),
            MessageOutcome::Finished(served) => {
                (Some(ReplyStatus::Served(served.clone())), None, Settlement::Ack, 0.0)
            }
            MessageOutcome::AlreadyAnswered => (None, None, Settlement::Ack, 0.0),
            // Back in time is not to be had: its sender hears at once, and it is never run late.
            MessageOutcome::Rejected { retry_after: pause, is_final: last }
                if terms.time_left.is_some_and(|left| *last || pause.max(least) >= left) =>
            {
                (
                    Some(ReplyStatus::Failed {
                        reason: "out-of-time",
                        may_have_run: false,
                        retry_after: Some(*pause),
                    }),
                    Some(Republish::DeadLetter("out-of-time")),
                    Settlement::Reject,
                    0.0,
                )
            }
            MessageOutcome::Rejected { .. } if terms.retry_count >= terms.max_retries => (
                failed("refused-too-often", false),
                Some(Republish::DeadLetter("refused-too-often")),
                Settlement::Reject,
                0.0,
            ),
            MessageOutcome::Rejected { retry_after: pause, .. } => {
                let back = Republish::Requeue { retry_count: terms.retry_count + 1 };
                let pause = pause.max(least);
                (Some(ReplyStatus::Rejected(pause)), Some(back), Settlement::Ack, pause)
            }
            MessageOutcome::NotRun => {
                (failed("not-run", false), Some(Republish::DeadLetter("not-run")), Settlement::Reject, 0.0)
            }
            MessageOutcome::Invalid(why) => {
                (failed(why, false), Some(Republish::DeadLetter(why)), Settlement::Reject, 0.0)
            }
            // Its caller hears from whoever runs it. A mark "redelivered" would keep what has an effect from running.
            MessageOutcome::Returned if terms.has_effect => {
                (None, Some(Republish::Requeue { retry_count: terms.retry_count }), Settlement::Ack, 0.0)
            }
            MessageOutcome::Returned => (None, None, Settlement::Requeue, 0.0),
        };
        let reply = reply.filter(|_| terms.has_reply_to);
        // Without a place for dead letters of our own the queue's is used, which tells no reason.
        let republish = moves.filter(|one| terms.has_dead_letter || matches!(one, Republish::Requeue { .. }));
        let settlement = if republish.is_some() { Settlement::Ack } else { settle };
        let due = |is: bool, at| if is { PublishState::Due(at) } else { PublishState::Done };
        Settling {
            reply_state: due(reply.is_some(), now),
            republish_state: due(republish.is_some(), now + pause),
            reply,
            republish,
            settlement,
            is_settled: false,
            backoff: MIN_PUBLISH_BACKOFF_MS,
            reply_attempts: 0,
            has_effect: terms.has_effect,
            has_dead_letter: terms.has_dead_letter,
            is_final_reply: matches!(ended, MessageOutcome::Finished(_) | MessageOutcome::MayHaveRun),
        }
    }

    /// What is to be done now, one thing at a time, until there is none.
    pub fn next_action(&mut self, now: f64) -> Option<SettlementAction> {
        if let (PublishState::Due(at), Some(reply)) = (self.reply_state, &self.reply)
            && now >= at
        {
            self.reply_state = PublishState::Published;
            self.reply_attempts += 1;
            return Some(SettlementAction::Reply(reply.clone()));
        }
        if let (PublishState::Due(at), Some(moves)) = (self.republish_state, self.republish)
            && now >= at
        {
            self.republish_state = PublishState::Published;
            return Some(SettlementAction::Republish(moves));
        }
        if self.reply_state == PublishState::Done
            && self.republish_state == PublishState::Done
            && !self.is_settled
        {
            self.is_settled = true;
            return Some(SettlementAction::Settle(self.settlement));
        }
        None
    }

    /// Only its caller's reply, on its way, and one word to the broker are missing.
    pub fn awaits_reply_confirm(&self) -> bool {
        self.is_final_reply
            && self.reply_state == PublishState::Published
            && self.republish_state == PublishState::Done
    }

    /// When there will be something to do without a word from the broker.
    pub fn next_deadline(&self) -> Option<f64> {
        let at = |step| if let PublishState::Due(at) = step { Some(at) } else { None };
        [at(self.reply_state), at(self.republish_state)].into_iter().flatten().reduce(f64::min)
    }

    /// Its caller has had the last word and all that was to be published is at the broker: what is missing is one
    /// word to the broker.
    pub fn is_caller_answered(&self) -> bool {
        self.is_final_reply
            && self.reply_state == PublishState::Done
            && self.republish_state == PublishState::Done
    }

    /// This server leaves: what waits for the end of its pause goes back now.
    pub fn skip_backoff(&mut self, now: f64) {
        if let PublishState::Due(at) = &mut self.republish_state {
            *at = at.min(now);
        }
    }

    pub fn reply_published(&mut self, fate: PublishResult, now: f64) {
        if self.reply_state != PublishState::Published {
            return;
        }
        self.reply_state = match fate {
            PublishResult::Nacked | PublishResult::Unknown if self.reply_attempts < MAX_REPLY_ATTEMPTS => {
                PublishState::Due(now + self.next_backoff())
            }
            _ => PublishState::Done,
        };
        let given_up = self.reply_state == PublishState::Done
            && matches!(fate, PublishResult::Nacked | PublishResult::Unknown);
        if given_up && self.has_dead_letter && self.republish.is_none() {
            (self.republish, self.republish_state) =
                (Some(Republish::DeadLetter("reply-refused")), PublishState::Due(now));
        }
    }

    pub fn republished(&mut self, fate: PublishResult, now: f64) {
        if self.republish_state != PublishState::Published {
            return;
        }
        self.republish_state = match (fate, self.republish) {
            (PublishResult::Confirmed, _) => PublishState::Done,
            (PublishResult::Unroutable, Some(Republish::Requeue { .. })) => {
                // Its queue has another name, or none: the broker knows where it came from.
                self.settlement = Settlement::Requeue;
                PublishState::Done
            }
            (PublishResult::Unknown, Some(Republish::Requeue { .. })) if self.has_effect => {
                // There may be another in its queue by now, and both would be run.
                self.republish = Some(Republish::DeadLetter("run-unknown"));
                PublishState::Due(now)
            }
            // A place for dead letters that takes none loses nothing: it is tried for as long as it takes.
            _ => PublishState::Due(now + self.next_backoff()),
        };
    }

    fn next_backoff(&mut self) -> f64 {
        let pause = self.backoff;
        self.backoff = (pause * 2.0).min(MAX_PUBLISH_BACKOFF_MS);
        pause
    }
}

#[cfg(test)]
mod tests;
