//! What the engine reports about runs, and the commands that are sent to it again after a lost link.

use loomflow::controller::Controller;
use loomflow::interface::{Event, Idempotency, Outcome, RequestId};
use loomflow::time::Millis;
use loomflow_protocol::AttemptId;
use loomflow_protocol::engine::{Command, Notice, RunEnd};

use super::Owner;
use crate::engine::{self, Delivery, LostLink, PendingCommand, SentCommand};
use crate::front::interface::{Failure, Response};
use crate::idempotency::Completion;
use crate::ledger::FinishedCall;
use crate::log;
use crate::request_table::{Progress, RequestEntry};

/// What becomes of an unconfirmed command once a new link is ready.
enum Resend {
    /// Nothing: it is on the new link already, or must not be sent again.
    Nothing,
    /// It is taken to have arrived.
    Confirm,
    /// Its request has been answered, and no report of the run is waited for.
    EndRun,
    /// It is sent again.
    Send,
    /// It is sent again right behind a fence, which shows whether the run has gone on to another call meanwhile.
    SendBehindFence,
}

impl Owner {
    pub(super) fn handle_notice(&mut self, notice: Notice) {
        match notice {
            Notice::Hello { is_starting: starting, age } => self.engine_attached(starting, age),
            Notice::Stats { tag, values } => {
                if self.engine.gauges_received(&tag, values, self.now.ms) {
                    self.resend_commands(true);
                }
            }
            Notice::HealthChecked { tag, has_passed: fine } => {
                let check = tag.parse().ok().and_then(|tag: u64| self.health_checks.remove(&tag));
                if let Some(check) = check {
                    self.respond_to_health_check(check.reply_handle, fine);
                }
            }
            Notice::Need { id, body, .. } => self.call_needed(id, body),
            Notice::Done { id, end, duration: took, result, .. } => {
                if let Some(id) = self.requests.find_attempt(id) {
                    self.run_finished(id, end, took, &result);
                }
            }
            Notice::CommandRejected { command, id } => self.command_rejected(&command, id),
            Notice::Note { .. } => {}
        }
    }

    /// The engine is up: the first time, the controller is created.
    fn engine_attached(&mut self, is_starting: bool, age: Millis) {
        // During a shutdown a new controller would not know of the shutdown.
        if self.controller.is_none() && self.kill_deadline.is_none() {
            let settings = engine::with_remaining_slow_start(&self.site.settings, is_starting, age);
            let slow_start = if settings.is_slow_start { settings.slow_start_duration } else { 0.0 };
            self.slow_start_ends_at = self.now.ms + slow_start;
            self.controller = Some(Controller::new(settings, self.config.seed, self.now.ms));
            self.needs_decision = true;
            self.fronts.controller_ready();
        }
        self.engine.attached(self.now.ms);
    }

    /// A run waits for its call.
    fn call_needed(&mut self, attempt_id: AttemptId, body: Vec<u8>) {
        let Some(id) = self.requests.find_attempt(attempt_id) else { return };
        let Some(entry) = self.requests.get_mut(id) else { return };
        entry.pending_command = None;
        entry.progress = Progress::AwaitingCall;
        entry.call_body = body;
        entry.body = Vec::new();
        let fence = entry.resent_reply_fence.take();
        if fence.is_some_and(|fence| !self.engine.has_passed(fence)) {
            return self.fail_ambiguous_reply(id);
        }
        self.controller_events.push_back(Event::CallNeeded(id));
    }

    fn command_rejected(&mut self, command: &str, attempt_id: Option<AttemptId>) {
        log!(part = "engine", command, "a command was rejected");
        if command != "RUN" {
            return;
        }
        let Some(id) = attempt_id.and_then(|attempt_id| self.requests.find_attempt(attempt_id)) else {
            return;
        };
        // It does not concern a run that has started: to let a duplicate run would repeat its effect.
        if self.requests.get_mut(id).is_some_and(|entry| entry.is_run_unconfirmed()) {
            self.run_finished(id, RunEnd::NotStarted, 0.0, &[]);
        }
    }

    /// A link was lost: what was sent on it may have arrived or not.
    pub(super) fn engine_link_lost(&mut self, lost: LostLink) {
        let now = self.now.ms;
        for (_, entry) in self.requests.iter_mut() {
            if let Some(pending) = &mut entry.pending_command {
                pending.delivery = pending.delivery_after(lost, now);
            }
        }
    }

    fn run_finished(&mut self, id: RequestId, end: RunEnd, duration: Millis, result: &[u8]) {
        self.ledger.cancel(id, self.now.ms);
        let (response, outcome, completion) = match end {
            RunEnd::Succeeded => (Response::Served(result), Outcome::Ok, Completion::Served(result)),
            RunEnd::Failed => (Response::Failed(Failure::MayHaveRun), Outcome::Error, Completion::Failed),
            RunEnd::Stopped => {
                (Response::Failed(Failure::MayHaveRun), Outcome::Cancelled, Completion::Failed)
            }
            RunEnd::NotStarted => {
                (Response::Failed(Failure::NotRun), Outcome::NotStarted, Completion::NotRun)
            }
        };
        let Some(entry) = self.requests.get_mut(id) else { return };
        // The run has ended: the response does not have to end it.
        entry.progress = Progress::Running;
        entry.pending_command = None;
        self.respond(id, response);
        self.controller_events.push_back(Event::RunEnded { id, outcome, duration });
        self.remove(id, completion);
    }

    /// A new link is ready, and all notices from before it have been read: sends again what may not have arrived.
    /// `is_replay_complete`: the engine has said that there are no more notices.
    pub(super) fn resend_commands(&mut self, is_replay_complete: bool) {
        let mut ended_runs = Vec::new();
        for (id, entry) in self.requests.iter_mut() {
            match resend_decision(entry, is_replay_complete) {
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
                Resend::SendBehindFence => entry.resent_reply_fence = Some(self.engine.send_fence()),
            }
            let Some(pending) = &mut entry.pending_command else { continue };
            let id = entry.attempt_id;
            pending.sent_at = self.now.ms;
            pending.delivery = self.engine.send(match &pending.command {
                SentCommand::Run => {
                    Command::Run { id, class: &self.site.classes[entry.class], body: &entry.body }
                }
                SentCommand::Reply(reply) => Command::Feed { id, reply },
                SentCommand::SkipCall => Command::Skip { id },
            });
        }
        for id in ended_runs {
            self.controller_events.push_back(Event::RunEnded {
                id,
                outcome: Outcome::Cancelled,
                duration: 0.0,
            });
            self.remove(id, Completion::Failed);
        }
    }

    /// A run waits for its next call, and may have got the reply to the former one twice: its result might be wrong, so
    /// the request fails.
    fn fail_ambiguous_reply(&mut self, id: RequestId) {
        log!("a reply that was sent again may have reached another call: its request fails");
        self.controller_events.push_back(Event::RequestCancelled(id));
        self.respond(id, Response::Failed(Failure::MayHaveRun));
    }

    /// A call to the ledger has finished.
    pub(super) fn call_finished(&mut self, finished: FinishedCall) {
        let FinishedCall { id, outcome, duration, reply } = finished;
        if let Some(entry) = self.requests.get_mut(id).filter(|_| outcome == Outcome::Ok) {
            let delivery = self.engine.send(Command::Feed { id: entry.attempt_id, reply: &reply });
            entry.pending_command =
                Some(PendingCommand { command: SentCommand::Reply(reply), delivery, sent_at: self.now.ms });
            entry.progress = Progress::Running;
        }
        self.controller_events.push_back(Event::CallEnded { id, outcome, duration });
    }
}

/// What becomes of a request's unconfirmed command.
///
/// A run is asked for again, whatever its effect and however long ago it was sent: the engine does not start one twice.
/// A reply is sent again only where its request has no effect, and only after a complete replay: what came of the first
/// copy would have been read by then.
fn resend_decision(entry: &RequestEntry, is_replay_complete: bool) -> Resend {
    let Some(pending) = &entry.pending_command else { return Resend::Nothing };
    match (pending.delivery, &pending.command) {
        (Delivery::InFlight { .. }, _) => Resend::Nothing,
        // A pause of the machine between the command and the loss makes the loss look later than it was.
        (Delivery::Delivered, SentCommand::Run) if !entry.is_answered => Resend::Send,
        (Delivery::Delivered, _) => Resend::Confirm,
        _ if entry.is_answered => Resend::EndRun,
        (Delivery::NotSent | Delivery::Uncertain, SentCommand::Run) => Resend::Send,
        // A second copy that was not sent leaves the first, which may have arrived: another copy needs a fence, too.
        (Delivery::NotSent, _) if entry.resent_reply_fence.is_none() => Resend::Send,
        (Delivery::NotSent | Delivery::Uncertain, _)
            if is_replay_complete && entry.effect == Idempotency::Always =>
        {
            Resend::SendBehindFence
        }
        (Delivery::NotSent | Delivery::Uncertain, _) => Resend::Nothing,
    }
}
