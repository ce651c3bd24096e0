//! Downstream calls of runs, from the wait for a permit to the end of the call.
//!
//! Connects the rules and fixes the order in which calls are issued and failures are handled. Times are in
//! ms.

use super::Controller;
use super::call_retry::{CallTimes, may_linger, may_run_again, may_skip_call};
use super::load_shedding::RejectionScope;
use super::request::RequestStage;
use crate::interface::{Action, AttemptOutcome, Idempotency, RequestId};
use crate::time::Millis;

impl Controller {
    pub(super) fn call_needed(&mut self, id: RequestId) {
        let Some(request) = self.requests.await_call(id, self.now) else { return };
        self.call_queue.insert(request.queue_key);
        self.stall_detector.record_progress(self.now);
    }

    /// Issues calls while permits are free. Runs that will not get a permit in time continue without their
    /// call, starting with the last in line.
    pub(super) fn issue_calls(&mut self, out: &mut Vec<Action>) {
        let speed = self.slow_start.speed(self.now);
        let permits = self.call_permits.permits(self.limit.survivable(speed));
        while self.call_permits.occupied() < permits {
            let Some(id) = self.call_queue.pop_first() else { break };
            self.issue_call(id, out);
        }
        while let Some(id) = self.call_queue.last() {
            if self.gets_permit_in_time(id, permits) || !self.skip_call(id, out) {
                break;
            }
        }
    }

    fn issue_call(&mut self, id: RequestId, out: &mut Vec<Action>) {
        let deadline = self.call_permits.bounded_deadline(self.call_deadline(id), self.now);
        let Some(request) = self.requests.get_mut(id) else { return };
        request.start_call();
        self.call_permits.start_call();
        out.push(Action::Call { id, deadline });
    }

    fn call_times(&self) -> CallTimes {
        CallTimes { mean: self.call_permits.call_time(), batch_interval: self.settings.batch_interval }
    }

    fn call_deadline(&self, id: RequestId) -> Millis {
        let Some(request) = self.requests.get(id) else { return self.now };
        let respond_by = self.deadlines.respond_by(request.deadline);
        let is_idempotent = self.is_idempotent(request.class);
        self.call_times().deadline(self.now, is_idempotent, request.objective_at, respond_by)
    }

    fn gets_permit_in_time(&self, id: RequestId, permits: f64) -> bool {
        let Some(request) = self.requests.get(id) else { return true };
        let wait = self.call_times().permit_wait(self.call_queue.ready_len(), permits);
        self.now + wait + request.expected_run < request.objective_at
    }

    pub(super) fn call_ended(
        &mut self,
        id: RequestId,
        outcome: AttemptOutcome,
        duration: Millis,
        out: &mut Vec<Action>,
    ) {
        let Some(request) = self.requests.get_mut(id).filter(|r| r.stage == RequestStage::Calling) else {
            return;
        };
        request.stage = RequestStage::AwaitingCall;
        let (is_resolved, class) = (request.is_resolved, request.class);
        self.call_permits.end_call(self.now);
        if outcome == AttemptOutcome::Ok {
            self.call_permits.record_success(duration);
            self.requests.resume_run(id, self.now);
            return;
        }
        if may_linger(outcome) {
            self.call_permits.record_abandoned(duration, self.now);
        }
        if !is_resolved {
            self.call_failed(id, may_run_again(outcome, self.is_idempotent(class)), out);
        }
    }

    /// Handles a failed call: retries it if possible, else skips it if the class allows that, else sends the
    /// final response.
    fn call_failed(&mut self, id: RequestId, may_run_again: bool, out: &mut Vec<Action>) {
        let is_retried = may_run_again && self.schedule_call_retry(id);
        if !is_retried && !self.skip_call(id, out) {
            self.shed(id, RejectionScope::ThisServer, out);
        }
    }

    fn schedule_call_retry(&mut self, id: RequestId) -> bool {
        let Some(request) = self.requests.get(id) else { return false };
        let respond_by = self.deadlines.respond_by(request.deadline);
        let retry_at = self.call_times().retry_at(self.now, request.call_attempts, respond_by);
        if let Some(retry_at) = retry_at {
            self.call_queue.retry(request.queue_key, retry_at);
        }
        retry_at.is_some()
    }

    /// Continues a run without its call if its class allows that and the call is not in flight; returns
    /// whether it does.
    fn skip_call(&mut self, id: RequestId, out: &mut Vec<Action>) -> bool {
        let Some(request) = self.requests.get(id) else { return false };
        if !may_skip_call(&self.settings.classes[request.class])
            || request.stage != RequestStage::AwaitingCall
        {
            return false;
        }
        self.call_queue.remove(request.queue_key);
        self.requests.resume_run(id, self.now);
        out.push(Action::SkipCall(id));
        true
    }

    pub(super) fn is_idempotent(&self, class: usize) -> bool {
        self.settings.classes[class].idempotency == Idempotency::Always
    }
}
