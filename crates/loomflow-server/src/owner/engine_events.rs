//! Handles the engine's notices, and resends commands after a lost link.

use loomflow::interface::{AttemptOutcome, Event, RequestId};
use loomflow::time::Millis;
use loomflow_protocol::AttemptId;
use loomflow_protocol::engine::{Command, Notice, RunEnd};

use super::Owner;
use crate::engine::{self, LostLink, PendingCommand, ReplayEnd, RequestState, Resend, SentCommand};
use crate::front::interface::{Failure, Response};
use crate::idempotency::Completion;
use crate::ledger::FinishedCall;
use crate::log;
use crate::request_table::Progress;

impl Owner {
    /// Handles a notice that [`EngineLink::accept_notice`](crate::engine::EngineLink::accept_notice) has accepted.
    pub(super) fn handle_notice(&mut self, notice: Notice) {
        match notice {
            Notice::Hello { is_starting, age } => self.engine_attached(is_starting, age),
            Notice::Stats { tag, values } => {
                if let Some(end) = self.peers.engine.gauges_received(&tag, values, self.now.ms) {
                    self.resend_commands(end);
                }
            }
            Notice::HealthChecked { tag, has_passed } => {
                if let Some(response_handle) = self.health.take_pending(&tag) {
                    self.respond_to_health_check(response_handle, has_passed);
                }
            }
            Notice::Need { id, body, .. } => self.call_needed(id, body),
            Notice::Done { id, end, duration, result, .. } => {
                if let Some(id) = self.requests.find_attempt(id) {
                    self.run_finished(id, end, duration, &result);
                }
            }
            Notice::CommandRejected { command, id } => self.command_rejected(&command, id),
            Notice::Note { .. } => {}
        }
    }

    /// Handles the first notice on a new link. The first link also starts the controller.
    fn engine_attached(&mut self, is_starting: bool, age: Millis) {
        // A controller started during a shutdown would have missed `Event::ShutdownRequested`.
        if !self.controller.is_started() && !self.shutdown.is_requested() {
            let settings = engine::with_remaining_slow_start(&self.site.settings, is_starting, age);
            let slow_start = if settings.is_slow_start { settings.slow_start_duration } else { 0.0 };
            self.fleet.set_slow_start_end(self.now.ms + slow_start);
            self.controller.start(settings, self.config.seed, self.now.ms);
            self.fronts.controller_ready();
        }
        self.peers.engine.attached(self.now.ms);
    }

    /// Passes the call that a run waits for to the controller, or fails the request if its resent reply is ambiguous.
    fn call_needed(&mut self, attempt_id: AttemptId, body: Vec<u8>) {
        let Some(id) = self.requests.find_attempt(attempt_id) else { return };
        let Some(entry) = self.requests.get_mut(id) else { return };
        entry.pending_command = None;
        entry.progress = Progress::AwaitingCall;
        entry.call_body = body;
        entry.body = Vec::new();
        let fence = entry.resent_reply_fence.take();
        if fence.is_some_and(|fence| !self.peers.engine.has_passed(fence)) {
            return self.fail_ambiguous_reply(id);
        }
        self.controller.queue(Event::CallNeeded(id));
    }

    fn command_rejected(&mut self, command: &str, attempt_id: Option<AttemptId>) {
        log!(part = "engine", command, "the engine rejected a command");
        if command != "RUN" {
            return;
        }
        let Some(id) = attempt_id.and_then(|attempt_id| self.requests.find_attempt(attempt_id)) else {
            return;
        };
        // A rejection does not concern a run that has started. Ending such a run would let a duplicate repeat its effect.
        if self.requests.get_mut(id).is_some_and(|entry| entry.is_run_unconfirmed()) {
            self.run_finished(id, RunEnd::NotStarted, 0.0, &[]);
        }
    }

    /// Updates the delivery state of the commands that were sent on a lost link.
    pub(super) fn engine_link_lost(&mut self, lost: LostLink) {
        let now = self.now.ms;
        for (_, entry) in self.requests.iter_mut() {
            if let Some(pending) = &mut entry.pending_command {
                pending.delivery = pending.delivery_after(lost, now);
            }
        }
    }

    /// Responds to the request of a run that has ended, unless it was answered before, and removes it.
    fn run_finished(&mut self, id: RequestId, end: RunEnd, duration: Millis, result: &[u8]) {
        self.peers.ledger.cancel(id, self.now.ms);
        let (response, outcome, completion) = match end {
            RunEnd::Succeeded => (Response::Served(result), AttemptOutcome::Ok, Completion::Served(result)),
            RunEnd::Failed => {
                (Response::Failed(Failure::MayHaveRun), AttemptOutcome::Error, Completion::Failed)
            }
            RunEnd::Stopped => {
                (Response::Failed(Failure::MayHaveRun), AttemptOutcome::Cancelled, Completion::Failed)
            }
            RunEnd::NotStarted => {
                (Response::Failed(Failure::NotRun), AttemptOutcome::NotStarted, Completion::NotRun)
            }
        };
        self.send_response(id, response);
        self.controller.queue(Event::RunEnded { id, outcome, duration });
        self.remove(id, completion);
    }

    /// Resends the commands that may not have arrived, after the replay of notices on a new link has ended.
    pub(super) fn resend_commands(&mut self, replay_end: ReplayEnd) {
        let mut ended_runs = Vec::new();
        for (id, entry) in self.requests.iter_mut() {
            let Some(pending) = &mut entry.pending_command else { continue };
            let request = RequestState {
                has_response: entry.is_answered,
                idempotency: entry.idempotency,
                has_resent_reply: entry.resent_reply_fence.is_some(),
                is_replay_complete: replay_end == ReplayEnd::Confirmed,
            };
            match pending.resend(request) {
                Resend::Nothing => continue,
                Resend::Confirm => {
                    entry.pending_command = None;
                    entry.body = Vec::new();
                    continue;
                }
                Resend::EndRun => {
                    ended_runs.push(id);
                    continue;
                }
                Resend::Send => {}
                Resend::SendBehindFence => entry.resent_reply_fence = Some(self.peers.engine.send_fence()),
            }
            let class = &self.site.classes[entry.class];
            let command = pending.command.to_command(entry.attempt_id, class, &entry.body);
            pending.sent_at = self.now.ms;
            pending.delivery = self.peers.engine.send(command);
        }
        for id in ended_runs {
            self.end_unreported_run(id);
        }
    }

    /// Fails a request whose run waits for its next call, while a resent reply to its previous call may reach it as the reply
    /// to this one. The result of such a run could be wrong.
    fn fail_ambiguous_reply(&mut self, id: RequestId) {
        log!("a resent reply may have reached a later call of the same run: the request fails");
        // The controller has no event for a failure that the server decides. On `RequestCancelled` it decides no further
        // response to the request, stops its run if the engine can, and counts the request as cancelled by its caller.
        self.controller.queue(Event::RequestCancelled(id));
        self.respond(id, Response::Failed(Failure::MayHaveRun));
    }

    /// Sends the reply of a successful call to the engine, and reports the end of the call to the controller.
    pub(super) fn call_finished(&mut self, finished: FinishedCall) {
        let FinishedCall { id, outcome, duration, reply } = finished;
        if let Some(entry) = self.requests.get_mut(id).filter(|_| outcome == AttemptOutcome::Ok) {
            let delivery = self.peers.engine.send(Command::Feed { id: entry.attempt_id, reply: &reply });
            entry.pending_command =
                Some(PendingCommand { command: SentCommand::Reply(reply), delivery, sent_at: self.now.ms });
            entry.progress = Progress::Running;
        }
        self.controller.queue(Event::CallEnded { id, outcome, duration });
    }
}
