//! The life of a request in the owner, from its submission by a front to its response.

use loomflow::interface::{Arrival, AttemptOutcome, Event, Idempotency, RequestId};

use super::Owner;
use super::admission::{self, AdmissionRejection};
use crate::engine::PendingCommand;
use crate::front::interface::{Failure, FrontRequest, InvalidRequest, Response, ResponseHandle, Submission};
use crate::idempotency::{Completion, KeyedRequest};
use crate::log;
use crate::request_table::{Progress, RequestEntry};

/// The id of an accepted request, and its original if it is a duplicate.
struct Admission {
    id: RequestId,
    /// The retained request with the same key; `None` if this request is not a duplicate.
    original: Option<RequestId>,
}

impl Owner {
    /// Handles the fronts' requests in order, and keeps the emptied buffer for the next batch.
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

    /// Rejects an invalid request. Without capacity for another request, that is the reason, as it is for
    /// valid ones.
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

    /// Cancels the unanswered request of this handle, because its response can no longer be delivered.
    fn cancel(&mut self, response_handle: ResponseHandle) {
        let Some(id) = self.requests.find_unanswered(response_handle) else { return };
        self.requests.mark_answered(id, self.now.ms);
        self.controller.queue(Event::RequestCancelled(id));
        self.end_answered(id);
    }

    /// Adds an accepted submission to the request table, or responds with the rejection.
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

    /// Assigns an id to a submission and registers its key. Rejects it if the request table or the idempotency cache is full,
    /// if its attempt id or key is in use, or if the attempt has run. An attempt that has run is accepted as the duplicate of a
    /// request with its key, because a duplicate does not run.
    fn admit(&mut self, submission: &Submission) -> Result<Admission, AdmissionRejection> {
        self.check_capacity()?;
        if self.requests.find_attempt(submission.attempt_id).is_some() {
            return Err(AdmissionRejection::AttemptIdInUse);
        }
        let id = self.requests.next_id();
        let has_run = self.started_attempts.contains(submission.attempt_id);
        let Some(key) = submission.key.clone() else {
            let admission = Admission { id, original: None };
            return if has_run { Err(AdmissionRejection::AttemptHasRun) } else { Ok(admission) };
        };
        let class = &self.site.settings.classes[submission.attributes.class];
        let request = KeyedRequest {
            key,
            is_idempotent: class.idempotency == Idempotency::Always,
            body: &submission.body,
            arrived_at: self.now.ms - submission.attributes.age,
            max_read_delay: class.timeout,
        };
        let registration = self.idempotency.register(id, request, self.now.ms);
        let original = admission::check_registration(registration)?;
        if has_run && original.is_none() {
            self.idempotency.remove(id);
            return Err(AdmissionRejection::AttemptHasRun);
        }
        Ok(Admission { id, original })
    }

    /// Responds to a health check, or sends it to the engine if it is a deep one that needs it.
    fn check_health(&mut self, response_handle: ResponseHandle, is_deep: bool) {
        if !self.health.needs_engine(is_deep, self.site.deep_checks) {
            self.respond_to_health_check(response_handle, true);
        } else if let Some(tag) = self.peers.engine.send_health_check() {
            self.health.add_pending(tag, response_handle, self.now.ms);
        } else {
            self.respond_to_health_check(response_handle, false);
        }
    }

    /// Responds to a health check. The server is healthy if the check passed and the controller last reported it as healthy.
    pub(super) fn respond_to_health_check(&mut self, response_handle: ResponseHandle, has_passed: bool) {
        let response = Response::Health(has_passed && self.health.is_healthy());
        self.fronts.respond(response_handle, response, self.now.ms);
    }

    /// Sends the final response and ends the work for the request, unless it was answered before.
    pub(super) fn respond(&mut self, id: RequestId, response: Response) {
        if self.send_response(id, response) {
            self.end_answered(id);
        }
    }

    /// Marks a request as answered and sends its final response. Returns false if it was answered before.
    pub(super) fn send_response(&mut self, id: RequestId, response: Response) -> bool {
        let Some(entry) = self.requests.mark_answered(id, self.now.ms) else { return false };
        self.fronts.respond(entry.response_handle, response, self.now.ms);
        true
    }

    /// Responds that the request has failed, and whether it may have run.
    pub(super) fn fail(&mut self, id: RequestId) {
        let has_started = self.requests.get_mut(id).is_some_and(|entry| entry.may_have_started());
        let failure = if has_started { Failure::MayHaveRun } else { Failure::NotRun };
        self.respond(id, Response::Failed(failure));
    }

    /// Ends the work for an answered request. A request that is not running is removed. If it is running, its
    /// call is cancelled, and its entry stays until the engine reports the end of the run, or is removed at
    /// once if the engine never will.
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

    /// Removes a request from the table, and responds to the duplicates that waited for its result.
    pub(super) fn remove(&mut self, id: RequestId, completion: Completion) {
        if let Some(entry) = self.requests.remove(id) {
            if !matches!(completion, Completion::NotRun) {
                self.started_attempts.record(entry.attempt_id, self.now.ms);
            }
            if let Some(original) = entry.original {
                self.idempotency.remove_waiter(id, original);
            }
        }
        for waiter in self.idempotency.complete(id, completion) {
            self.respond_with_result(waiter, completion);
        }
    }

    /// Ends a run whose end the engine will not report. It counts as cancelled and may have had its effect.
    pub(super) fn end_unreported_run(&mut self, id: RequestId) {
        self.controller.queue(Event::RunEnded { id, outcome: AttemptOutcome::Cancelled, duration: 0.0 });
        self.remove(id, Completion::Failed);
    }

    /// Responds to a duplicate according to how its original was completed.
    pub(super) fn respond_with_result(&mut self, id: RequestId, completion: Completion) {
        let (response, outcome) = match completion {
            Completion::Served(result) => (Response::Served(result), AttemptOutcome::Ok),
            // The original failed, or it may have run and its result is not available.
            Completion::Failed => (Response::Failed(Failure::MayHaveRun), AttemptOutcome::Error),
            // Neither the original nor the duplicate ran, so a retry is safe.
            Completion::NotRun => (Response::REJECTED, AttemptOutcome::NotStarted),
        };
        self.respond(id, response);
        self.controller.queue(Event::RunEnded { id, outcome, duration: 0.0 });
    }
}
