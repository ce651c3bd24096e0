//! Requests, from the submission by a front to their response.

use loomflow::interface::{Arrival, AttemptOutcome, Event, Idempotency, RequestId};

use super::Owner;
use super::admission::{self, AdmissionRejection};
use crate::engine::PendingCommand;
use crate::front::interface::{Failure, FrontRequest, InvalidRequest, Response, ResponseHandle, Submission};
use crate::idempotency::{Completion, KeyedRequest};
use crate::log;
use crate::request_table::{Progress, RequestEntry};

/// A request that is accepted.
struct Admission {
    id: RequestId,
    /// The request that it repeats.
    original: Option<RequestId>,
}

impl Owner {
    /// Handles the requests of the fronts, in order.
    pub(super) fn handle_front_requests(&mut self, mut requests: Vec<FrontRequest>) {
        for request in requests.drain(..) {
            match request {
                FrontRequest::Submit(submission) => self.submit(*submission),
                FrontRequest::Invalid { response_handle, reason } => {
                    self.reject_invalid(response_handle, reason);
                }
                FrontRequest::Cancel(response_handle) => self.cancel(response_handle),
                FrontRequest::HealthCheck { response_handle, is_deep } => {
                    self.check_health(response_handle, is_deep);
                }
            }
        }
        self.front_requests = requests;
    }

    fn reject_invalid(&mut self, response_handle: ResponseHandle, reason: InvalidRequest) {
        let rejection = self.check_capacity().err().unwrap_or(AdmissionRejection::Invalid(reason));
        self.reject(response_handle, rejection);
    }

    fn reject(&mut self, response_handle: ResponseHandle, rejection: AdmissionRejection) {
        log!(why = rejection.reason(), "a request was not accepted");
        self.fronts.respond(response_handle, rejection.response(), self.now.ms);
    }

    fn check_capacity(&self) -> Result<(), AdmissionRejection> {
        self.admission_limit.check_capacity(self.controller.is_started(), self.requests.len())
    }

    /// Cancels the request of a response that nobody reads any more.
    fn cancel(&mut self, response_handle: ResponseHandle) {
        let Some(id) = self.requests.find_unanswered(response_handle) else { return };
        self.requests.mark_answered(id, self.now.ms);
        self.controller.queue(Event::RequestCancelled(id));
        self.end_answered(id);
    }

    fn submit(&mut self, submission: Submission) {
        let Admission { id, original } = match self.admit(&submission) {
            Ok(admission) => admission,
            Err(rejection) => return self.reject(submission.response_handle, rejection),
        };
        let Submission { response_handle, attempt_id, attributes, body, .. } = submission;
        self.controller.queue(Event::RequestArrived(Arrival { id, attributes, original }));
        let class = attributes.class;
        let idempotency = self.site.settings.classes[class].idempotency;
        let entry = RequestEntry::queued(response_handle, attempt_id, class, idempotency, original, body);
        self.requests.insert(id, entry);
    }

    /// Decides whether a submission is accepted, and registers its key.
    fn admit(&mut self, submission: &Submission) -> Result<Admission, AdmissionRejection> {
        self.check_capacity()?;
        if self.requests.find_attempt(submission.attempt_id).is_some() {
            return Err(AdmissionRejection::AttemptIdInUse);
        }
        let id = self.requests.next_id();
        let Some(key) = submission.key.clone() else { return Ok(Admission { id, original: None }) };
        let class = &self.site.settings.classes[submission.attributes.class];
        let request = KeyedRequest {
            key,
            is_idempotent: class.idempotency == Idempotency::Always,
            body: &submission.body,
            arrived_at: self.now.ms - submission.attributes.age,
            max_read_delay: class.timeout,
        };
        let registration = self.idempotency.register(id, request, self.now.ms);
        Ok(Admission { id, original: admission::accept_registration(registration)? })
    }

    fn check_health(&mut self, response_handle: ResponseHandle, is_deep: bool) {
        if !self.health.needs_engine(is_deep, self.site.deep_checks) {
            self.respond_to_health_check(response_handle, true);
        } else if let Some(tag) = self.peers.engine.send_health_check() {
            self.health.sent(tag, response_handle, self.now.ms);
        } else {
            self.respond_to_health_check(response_handle, false);
        }
    }

    /// Responds to a health check: the server is healthy if the check has passed and the controller agrees.
    pub(super) fn respond_to_health_check(&mut self, response_handle: ResponseHandle, has_passed: bool) {
        let response = Response::Health(has_passed && self.health.is_healthy());
        self.fronts.respond(response_handle, response, self.now.ms);
    }

    /// Sends the final response, and ends what is done for the request.
    pub(super) fn respond(&mut self, id: RequestId, response: Response) {
        if self.send_response(id, response) {
            self.end_answered(id);
        }
    }

    /// Marks a request as answered, and sends its final response. Returns false where it was answered before.
    pub(super) fn send_response(&mut self, id: RequestId, response: Response) -> bool {
        let Some(entry) = self.requests.mark_answered(id, self.now.ms) else { return false };
        self.fronts.respond(entry.response_handle, response, self.now.ms);
        true
    }

    /// Responds that the request has failed, with what is known of its run.
    pub(super) fn fail(&mut self, id: RequestId) {
        let has_started = self.requests.get_mut(id).is_some_and(|entry| entry.may_have_started());
        let failure = if has_started { Failure::MayHaveRun } else { Failure::NotRun };
        self.respond(id, Response::Failed(failure));
    }

    /// Ends the work for a request that has been answered: one that is not running is removed, the call of one that runs is
    /// cancelled, and its entry stays until the engine reports the end of the run.
    pub(super) fn end_answered(&mut self, id: RequestId) {
        let Some(entry) = self.requests.get_mut(id) else { return };
        entry.body = Vec::new();
        match entry.progress {
            Progress::Queued | Progress::AwaitingResult => self.remove(id, Completion::NotRun),
            Progress::Running | Progress::AwaitingCall => {
                let lost = entry.pending_command.as_ref().and_then(PendingCommand::lost_run_outcome);
                self.peers.ledger.cancel(id, self.now.ms);
                if let Some(outcome) = lost {
                    self.controller.queue(Event::RunEnded { id, outcome, duration: 0.0 });
                    let has_run = outcome != AttemptOutcome::NotStarted;
                    self.remove(id, if has_run { Completion::Failed } else { Completion::NotRun });
                }
            }
        }
    }

    /// Removes a request from the table. Duplicates that waited for its result get it, or fail with it.
    pub(super) fn remove(&mut self, id: RequestId, completion: Completion) {
        let entry = self.requests.remove(id);
        if let Some(original) = entry.and_then(|entry| entry.original) {
            self.idempotency.leave(id, original);
        }
        for waiter in self.idempotency.complete(id, completion) {
            self.respond_with_result(waiter, completion);
        }
    }

    /// Ends a run whose end the engine will not report.
    pub(super) fn end_unreported_run(&mut self, id: RequestId) {
        self.controller.queue(Event::RunEnded { id, outcome: AttemptOutcome::Cancelled, duration: 0.0 });
        self.remove(id, Completion::Failed);
    }

    /// Responds to a duplicate as its original has finished.
    pub(super) fn respond_with_result(&mut self, id: RequestId, completion: Completion) {
        let (response, outcome) = match completion {
            Completion::Served(result) => (Response::Served(result), AttemptOutcome::Ok),
            // The original has failed, or may have run and left no result.
            Completion::Failed => (Response::Failed(Failure::MayHaveRun), AttemptOutcome::Error),
            // Neither ran, so the duplicate may be retried.
            Completion::NotRun => (Response::REJECTED, AttemptOutcome::NotStarted),
        };
        self.respond(id, response);
        self.controller.queue(Event::RunEnded { id, outcome, duration: 0.0 });
    }
}
