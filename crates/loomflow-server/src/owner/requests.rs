//! Requests, from the submission by a front to their response.

use loomflow::interface::{Arrival, Event, Idempotency, Outcome, RequestId};
use loomflow::time::Millis;

use super::{Owner, PendingHealthCheck};
use crate::engine::{Delivery, PendingCommand, SentCommand};
use crate::front::interface::{Failure, FrontRequest, ReplyHandle, Response, Submission};
use crate::idempotency::{Completion, KeyedRequest, Registration};
use crate::log;
use crate::request_table::{Progress, RequestEntry};

/// A deep health check that the engine has not answered by then has failed.
const HEALTH_CHECK_TIMEOUT_MS: Millis = 1000.0;

/// Why a request is not accepted, and the response to it.
struct Rejection {
    why: &'static str,
    response: Response<'static>,
}

impl Rejection {
    fn invalid(why: &'static str) -> Rejection {
        Rejection { why, response: Response::Failed(Failure::Invalid) }
    }

    fn shed(why: &'static str) -> Rejection {
        Rejection { why, response: Response::REJECTED }
    }
}

/// A request that is accepted.
struct Admission {
    id: RequestId,
    /// The request that it repeats.
    original: Option<RequestId>,
}

impl Owner {
    /// Handles what the fronts ask for, in order.
    pub(super) fn handle_front_requests(&mut self, mut requests: Vec<FrontRequest>) {
        for request in requests.drain(..) {
            match request {
                FrontRequest::Submit(submission) => self.submit(*submission),
                FrontRequest::Invalid(reply_handle, why) => self.reject_invalid(reply_handle, why),
                FrontRequest::Cancel(reply_handle) => self.cancel(reply_handle),
                FrontRequest::HealthCheck { reply_handle, is_deep } => {
                    self.check_health(reply_handle, is_deep);
                }
            }
        }
        self.front_requests = requests;
    }

    fn reject_invalid(&mut self, reply_handle: ReplyHandle, why: &'static str) {
        let rejection = self.unavailability().unwrap_or_else(|| Rejection::invalid(why));
        self.reject(reply_handle, rejection);
    }

    fn reject(&mut self, reply_handle: ReplyHandle, rejection: Rejection) {
        log!(why = rejection.why, "a request was not accepted");
        self.fronts.respond(reply_handle, rejection.response, self.now.ms);
    }

    /// Why no request can be accepted at all, if there is a reason.
    fn unavailability(&self) -> Option<Rejection> {
        match self.controller {
            None => Some(Rejection::shed("the engine is not up")),
            Some(_) if self.requests.len() >= self.max_requests => {
                Some(Rejection::shed("too many are in hand"))
            }
            Some(_) => None,
        }
    }

    /// Nobody reads the response to this request any more.
    fn cancel(&mut self, reply_handle: ReplyHandle) {
        let Some(id) = self.requests.find_unanswered(reply_handle) else { return };
        self.requests.mark_answered(id, self.now.ms);
        self.controller_events.push_back(Event::RequestCancelled(id));
        self.release(id);
    }

    fn submit(&mut self, submission: Submission) {
        let Admission { id, original } = match self.admit(&submission) {
            Ok(admission) => admission,
            Err(rejection) => return self.reject(submission.reply_handle, rejection),
        };
        if let Some(original) = original {
            self.originals.insert(id, original);
        }
        self.controller_events.push_back(Event::RequestArrived(arrival(id, original, &submission)));
        let Submission { reply_handle, attempt_id, class, body, .. } = submission;
        let effect = self.site.settings.classes[class].idempotency;
        self.requests.insert(id, RequestEntry::queued(reply_handle, attempt_id, class, effect, body));
    }

    /// Decides whether there is a place for a submission, and registers its key.
    fn admit(&mut self, submission: &Submission) -> Result<Admission, Rejection> {
        if let Some(rejection) = self.unavailability() {
            return Err(rejection);
        }
        if self.requests.find_attempt(submission.attempt_id).is_some() {
            return Err(Rejection::invalid("its req is in use"));
        }
        let id = self.requests.next_id();
        let Some(key) = submission.key.clone() else { return Ok(Admission { id, original: None }) };
        let class = &self.site.settings.classes[submission.class];
        let request = KeyedRequest {
            key,
            is_idempotent: class.idempotency == Idempotency::Always,
            body: &submission.body,
            arrived_at: self.now.ms - submission.age,
            max_read_delay: class.timeout,
        };
        match self.idempotency.register(id, request, self.now.ms) {
            Registration::New => Ok(Admission { id, original: None }),
            Registration::Duplicate(original) => Ok(Admission { id, original: Some(original) }),
            Registration::BodyMismatch => Err(Rejection::invalid("its key is that of another request")),
            Registration::CacheFull => Err(Rejection::shed("too many are remembered")),
        }
    }

    fn check_health(&mut self, reply_handle: ReplyHandle, is_deep: bool) {
        if !is_deep || self.is_health_cached || !self.site.deep_checks {
            self.respond_to_health_check(reply_handle, true);
        } else if let Some(tag) = self.engine.send_health_check() {
            let deadline = self.now.ms + HEALTH_CHECK_TIMEOUT_MS;
            self.health_checks.insert(tag, PendingHealthCheck { reply_handle, deadline });
        } else {
            self.respond_to_health_check(reply_handle, false);
        }
    }

    pub(super) fn respond_to_health_check(&mut self, reply_handle: ReplyHandle, has_passed: bool) {
        let response = Response::Health(has_passed && self.is_healthy);
        self.fronts.respond(reply_handle, response, self.now.ms);
    }

    /// Sends the final response, and ends what is done for the request.
    pub(super) fn respond(&mut self, id: RequestId, response: Response) {
        let Some(entry) = self.requests.mark_answered(id, self.now.ms) else { return };
        self.fronts.respond(entry.reply_handle, response, self.now.ms);
        self.release(id);
    }

    /// Responds that the request has failed, with what is known of its run.
    pub(super) fn fail(&mut self, id: RequestId) {
        let has_started = self.requests.get_mut(id).is_some_and(|entry| entry.may_have_started());
        let failure = if has_started { Failure::MayHaveRun } else { Failure::NotRun };
        self.respond(id, Response::Failed(failure));
    }

    /// Ends what is done for a request that has been answered.
    pub(super) fn release(&mut self, id: RequestId) {
        let Some(entry) = self.requests.get_mut(id) else { return };
        entry.body = Vec::new();
        match entry.progress {
            Progress::Queued | Progress::AwaitingResult => self.remove(id, Completion::NotRun),
            Progress::Running | Progress::AwaitingCall => {
                let lost = entry.pending_command.as_ref().and_then(lost_run_outcome);
                self.ledger.cancel(id, self.now.ms);
                if let Some(outcome) = lost {
                    self.controller_events.push_back(Event::RunEnded { id, outcome, duration: 0.0 });
                    let has_run = outcome != Outcome::NotStarted;
                    self.remove(id, if has_run { Completion::Failed } else { Completion::NotRun });
                }
            }
        }
    }

    /// Removes a request from the table. Duplicates that waited for its result get it, or fail with it.
    pub(super) fn remove(&mut self, id: RequestId, completion: Completion) {
        self.requests.remove(id);
        if let Some(original) = self.originals.remove(&id) {
            self.idempotency.leave(id, original);
        }
        for waiter in self.idempotency.complete(id, completion) {
            self.respond_with_result(waiter, completion);
        }
    }

    /// Responds to a duplicate as its original has finished.
    pub(super) fn respond_with_result(&mut self, id: RequestId, completion: Completion) {
        let (response, outcome) = match completion {
            Completion::Served(result) => (Response::Served(result), Outcome::Ok),
            // The original has failed, or may have run and left no result.
            Completion::Failed => (Response::Failed(Failure::MayHaveRun), Outcome::Error),
            // Neither ran, so the duplicate may be retried.
            Completion::NotRun => (Response::REJECTED, Outcome::NotStarted),
        };
        self.respond(id, response);
        self.controller_events.push_back(Event::RunEnded { id, outcome, duration: 0.0 });
    }
}

/// A submission as the controller gets it.
fn arrival(id: RequestId, original: Option<RequestId>, submission: &Submission) -> Arrival {
    Arrival {
        id,
        class: submission.class,
        tenant: submission.tenant,
        remaining_wait: submission.remaining_wait,
        estimated_work: submission.estimated_work,
        memory_kb: submission.memory_kb,
        rank: submission.rank,
        is_retry: submission.is_retry,
        caller: submission.caller,
        age: submission.age,
        upstream_time: submission.upstream_time,
        original,
    }
}

/// The outcome of an answered run whose command never arrived, or is not known to have: the engine will not report it.
fn lost_run_outcome(pending: &PendingCommand) -> Option<Outcome> {
    match (pending.delivery, &pending.command) {
        (Delivery::NotSent, SentCommand::Run) => Some(Outcome::NotStarted),
        (Delivery::NotSent | Delivery::Uncertain, _) => Some(Outcome::Cancelled),
        (Delivery::InFlight { .. } | Delivery::Delivered, _) => None,
    }
}
