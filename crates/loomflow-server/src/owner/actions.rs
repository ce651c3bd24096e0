//! Carries out the controller's actions.

use loomflow::interface::{Action, AttemptOutcome, Event, FeedbackSignal, Idempotency, RequestId};
use loomflow::time::Millis;
use loomflow_protocol::engine::Command;

use super::Owner;
use crate::engine::{PendingCommand, SentCommand};
use crate::front::interface::Response;
use crate::idempotency::{CachedResult, Completion};
use crate::ledger::CallRequest;
use crate::request_table::Progress;

impl Owner {
    /// Carries out actions in order. Events that follow from them are queued for the controller.
    pub(super) fn carry_out(&mut self, actions: Vec<Action>) {
        for action in actions {
            self.carry_out_action(action);
        }
    }

    fn carry_out_action(&mut self, action: Action) {
        let now = self.now.ms;
        match action {
            Action::Run(id) => self.run(id),
            Action::ReuseResult(id) => self.reuse_result(id),
            Action::Reject { id, retry_after, is_final } => {
                self.respond(id, Response::Rejected { retry_after, is_final });
            }
            Action::Fail(id) => self.fail(id),
            Action::Preempt(id) => self.preempt(id),
            Action::Call { id, deadline } => self.call(id, deadline),
            Action::SkipCall(id) => self.skip_call(id),
            Action::RetainKey { id, ttl } => self.idempotency.retain(id, now + ttl),
            Action::ReleaseKey(id) => self.release_key(id),
            Action::SetHealth { is_healthy, is_cached } => {
                self.health.set_healthy(is_healthy);
                self.health.set_cached(is_cached);
            }
            Action::SetSignal(signal) => {
                let is_send_share = self.site.settings.feedback_signal == FeedbackSignal::SendShare;
                self.fronts.set_signal(signal, is_send_share);
            }
            Action::SetIdleTimeout(timeout) => self.fronts.set_idle_timeout(timeout),
            Action::SetTimer(at) => self.timers.set(at, now),
        }
    }

    /// Sends the run to the engine. If the request has been answered or removed, its run ends as not started.
    fn run(&mut self, id: RequestId) {
        let Some(entry) = self.requests.get_mut(id).filter(|entry| !entry.is_answered) else {
            self.controller.queue(Event::RunEnded { id, outcome: AttemptOutcome::NotStarted, duration: 0.0 });
            return;
        };
        let class = &self.site.classes[entry.class];
        let delivery =
            self.peers.engine.send(Command::Run { id: entry.attempt_id, class, body: &entry.body });
        entry.pending_command =
            Some(PendingCommand { command: SentCommand::Run, delivery, sent_at: self.now.ms });
        entry.progress = Progress::Running;
        self.fronts.run_started(entry.response_handle, self.now.ms);
    }

    fn preempt(&mut self, id: RequestId) {
        if let Some(entry) = self.requests.get_mut(id) {
            self.peers.engine.send(Command::Halt { id: entry.attempt_id });
        }
    }

    /// Removes a key from the idempotency cache. Duplicates that waited for the result are rejected and may be retried.
    fn release_key(&mut self, id: RequestId) {
        for waiter in self.idempotency.remove(id) {
            self.respond_with_result(waiter, Completion::NotRun);
        }
    }

    /// Responds to a duplicate with its original's result, or lets it wait until the original is completed.
    fn reuse_result(&mut self, id: RequestId) {
        let Some(entry) = self.requests.get_mut(id) else { return };
        entry.progress = Progress::AwaitingResult;
        match self.idempotency.join(id, entry.original) {
            CachedResult::InProgress => {}
            CachedResult::Served(result) => self.respond_with_result(id, Completion::Served(&result)),
            CachedResult::Unavailable => self.respond_with_result(id, Completion::Failed),
        }
    }

    /// Makes a run's call to the ledger. The call ends as unreachable if there is no ledger or no connection for it.
    fn call(&mut self, id: RequestId, deadline: Millis) {
        let Some(entry) = self.requests.get_mut(id) else { return };
        let call = CallRequest {
            id,
            attempt_id: entry.attempt_id,
            has_effect: entry.idempotency != Idempotency::Always,
            body: &entry.call_body,
            deadline,
        };
        if !self.peers.ledger.call(call, self.now.ms) {
            let outcome = AttemptOutcome::Unreachable;
            self.controller.queue(Event::CallEnded { id, outcome, duration: 0.0 });
        }
    }

    fn skip_call(&mut self, id: RequestId) {
        let Some(entry) = self.requests.get_mut(id) else { return };
        let delivery = self.peers.engine.send(Command::Skip { id: entry.attempt_id });
        entry.pending_command =
            Some(PendingCommand { command: SentCommand::SkipCall, delivery, sent_at: self.now.ms });
        entry.progress = Progress::Running;
    }
}
