//! Final responses to requests that are not served: at their deadline, when they cannot meet their objective,
//! to free memory, and in a shutdown.
//!
//! Connects the rules and fixes which response a request gets in each stage. Times are in ms.

use super::Controller;
use super::deadlines::next_queue_check;
use super::load_shedding::{Availability, RejectionScope};
use super::request::{Request, RequestStage};
use super::shutdown::{Shutdown, ShutdownTimes};
use crate::interface::{Action, Preemption, RequestId};
use crate::time::Millis;

impl Controller {
    /// Rule 1 (one response in time): checks each request when it can no longer meet its objective, and a
    /// margin before its deadline.
    pub(super) fn check_deadlines(&mut self, out: &mut Vec<Action>) {
        while let Some(id) = self.deadlines.pop_due(self.now) {
            self.check_deadline(id, out);
        }
    }

    fn check_deadline(&mut self, id: RequestId, out: &mut Vec<Action>) {
        let Some(request) = self.requests.get(id).filter(|request| !request.is_resolved) else { return };
        let is_queued = request.stage == RequestStage::Queued;
        let respond_by = self.deadlines.respond_by(request.deadline);
        if self.deadlines.is_response_due(request.deadline, self.now) {
            self.shed(id, RejectionScope::ThisServer, out);
        } else if is_queued && self.should_shed(request, 0.0) {
            self.shed(id, RejectionScope::AllServers, out);
        } else if is_queued {
            let expected_time = self.run_estimates.expected_time(request);
            let next = next_queue_check(self.now, request.objective_at, expected_time, respond_by);
            self.deadlines.schedule(next, id);
        } else {
            self.deadlines.schedule(respond_by, id);
        }
    }

    /// Sheds requests from the end of the queue that would miss their objective at the current limit.
    pub(super) fn shed_queue_tail(&mut self, out: &mut Vec<Action>) {
        while self.queue.len() > 1 {
            let Some(id) = self.queue.last() else { return };
            let wait = self.limit.queue_wait(self.queue.work());
            let should_shed = |request: &Request| self.should_shed(request, wait);
            if !self.requests.get(id).is_some_and(should_shed) {
                return;
            }
            self.shed(id, RejectionScope::AllServers, out);
        }
    }

    /// Rule 4 (no overload): sheds the requests of the lowest weight, except `keep`, until `needed_kb` more
    /// fit into the memory; otherwise a full queue would keep runs from starting. Returns whether they fit.
    pub(super) fn reclaim_memory(
        &mut self,
        needed_kb: f64,
        keep: Option<RequestId>,
        out: &mut Vec<Action>,
    ) -> bool {
        while self.memory.would_exceed(needed_kb, self.retained_keys.len()) {
            let queued = self.queue.last().filter(|last| Some(*last) != keep);
            let is_for_run = needed_kb != 0.0;
            let shed = if is_for_run { queued } else { queued.or_else(|| self.newest_awaiting_result()) };
            let Some(id) = shed else { return false };
            self.shed(id, RejectionScope::ThisServer, out);
        }
        true
    }

    /// The newest duplicate that waits for the result of its original: it occupies memory without a run.
    fn newest_awaiting_result(&self) -> Option<RequestId> {
        let mut newest_first = self.requests.iter().rev();
        newest_first.find(|(_, request)| request.stage == RequestStage::AwaitingResult).map(|(id, _)| id)
    }

    /// Sends the final response to a request that will not be served, and ends its queueing, run or call.
    pub(super) fn shed(&mut self, id: RequestId, scope: RejectionScope, out: &mut Vec<Action>) {
        let Some(request) = self.requests.get_mut(id) else { return };
        request.is_resolved = true;
        match request.stage {
            RequestStage::Queued => self.shed_queued(id, scope, out),
            RequestStage::AwaitingResult => {
                out.push(Action::Fail(id));
                self.remove(id);
            }
            RequestStage::Running => self.shed_running(id, out),
            RequestStage::AwaitingCall | RequestStage::Calling => {
                self.call_queue.remove(request.queue_key);
                out.push(Action::Fail(id));
            }
        }
    }

    fn shed_queued(&mut self, id: RequestId, scope: RejectionScope, out: &mut Vec<Action>) {
        let Some(request) = self.requests.get(id) else { return };
        if !request.is_retry {
            self.objective.record_rejection(self.now - request.arrived_at);
        }
        let rejection = self.rejection(id, scope);
        out.push(rejection);
        self.release_key(id, out);
        self.remove(id);
    }

    fn shed_running(&mut self, id: RequestId, out: &mut Vec<Action>) {
        let Some(request) = self.requests.get(id) else { return };
        // A failed idempotent request would be retried at another server, which is too late; a rejection
        // prevents that retry.
        let is_rejected = self.is_idempotent(request.class);
        let response =
            if is_rejected { self.rejection(id, RejectionScope::AllServers) } else { Action::Fail(id) };
        out.push(response);
        self.preempt(id, out);
    }

    /// Stops a run that no caller waits for, if runs can be stopped.
    pub(super) fn preempt(&mut self, id: RequestId, out: &mut Vec<Action>) {
        if self.settings.preemption != Preemption::Unsupported {
            out.push(Action::Preempt(id));
        }
    }

    /// Releases the key of a request that never ran, if one is retained.
    pub(super) fn release_key(&mut self, id: RequestId, out: &mut Vec<Action>) {
        if self.retained_keys.remove(id) {
            out.push(Action::ReleaseKey(id));
        }
    }

    /// Builds a rejection with its Retry-After.
    pub(super) fn rejection(&mut self, id: RequestId, scope: RejectionScope) -> Action {
        let queue_wait = self.limit.queue_wait(self.queue.work());
        let is_stalled = self.stall_detector.is_stalled();
        let availability = Availability {
            wait: queue_wait.max(self.share.read_delay()),
            is_unavailable: is_stalled || self.shutdown.has_stopped_intake(self.now),
            max_retry_after: self.settings.max_retry_after,
        };
        let retry_after = availability.retry_after(self.jitter.next_factor());
        Action::Reject { id, retry_after, is_final: scope.is_final() }
    }

    /// Rule 3 (safe shutdown): moves later deadlines forward, so that every response is sent before the kill,
    /// and fails health checks, so that other servers are used.
    pub(super) fn begin_shutdown(&mut self, time_left: Millis, out: &mut Vec<Action>) {
        let times = ShutdownTimes {
            drain_grace: self.settings.drain_grace,
            response_slack: self.settings.response_slack,
        };
        self.shutdown = Shutdown::requested(self.now, time_left, self.deadlines.margin(), times);
        // The time left may end before the next tick.
        self.next_tick = self.now;
        out.push(Action::SetHealth { is_healthy: false, is_cached: true });
        let respond_by = self.shutdown.respond_by();
        let is_late = |(_, request): &(RequestId, &Request)| request.deadline > respond_by;
        let late: Vec<RequestId> = self.requests.iter().filter(is_late).map(|(id, _)| id).collect();
        for id in late {
            self.advance_deadline(id, respond_by);
        }
    }

    fn advance_deadline(&mut self, id: RequestId, deadline: Millis) {
        let Some(request) = self.requests.get_mut(id) else { return };
        request.deadline = deadline;
        request.objective_at = request.objective_at.min(deadline);
        self.deadlines.schedule(self.deadlines.respond_by(deadline), id);
        if request.stage == RequestStage::Queued {
            self.queue.remove(request.queue_key, request.expected_run);
            self.enqueue(id);
        }
    }
}
