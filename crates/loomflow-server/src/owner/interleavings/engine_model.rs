//! A model of the engine that replaces its socket. It executes commands and numbers notices as the protocol defines.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use loomflow_protocol::AttemptId;
use loomflow_protocol::engine::{Notice, RunEnd};

use super::messages::{self, EngineCommand};

/// The engine's state of a run.
pub(super) struct EngineRun {
    pub(super) class: String,
    /// For each call of the run, the number of replies that arrived while it waited for one.
    pub(super) reply_counts: Vec<usize>,
    is_awaiting_reply: bool,
    has_ended: bool,
}

/// The engine's runs and notices, and the data in transit on the link in both directions.
#[derive(Default)]
pub(super) struct EngineModel {
    pub(super) runs: BTreeMap<AttemptId, EngineRun>,
    /// All notices with a number, for replay on later links.
    numbered_notices: Vec<Notice>,
    /// Bytes in transit to the engine.
    pub(super) input: Vec<u8>,
    /// Notices in transit to the server.
    pub(super) output: VecDeque<Notice>,
    is_attached: bool,
    /// Runs that received a reply so recently that the server cannot know whether it arrived.
    pub(super) recent_replies: BTreeSet<AttemptId>,
    /// Runs that received the reply to another of their calls.
    pub(super) misdirected_replies: BTreeSet<AttemptId>,
    /// Answered requests: their runs are not started, and stop at the next call if started before.
    pub(super) answered: BTreeSet<AttemptId>,
}

impl EngineModel {
    fn send(&mut self, notice: Notice) {
        if self.is_attached {
            self.output.push_back(notice.clone());
        }
        if notice.number().is_some() {
            self.numbered_notices.push(notice);
        }
    }

    fn next_number(&self) -> u64 {
        self.numbered_notices.len() as u64 + 1
    }

    fn send_done(&mut self, id: AttemptId, end: RunEnd) {
        let result = if end == RunEnd::Succeeded { result_of(id) } else { Vec::new() };
        self.send(Notice::Done { number: self.next_number(), id, end, duration: 5.0, result });
    }

    /// Executes all complete commands in [`EngineModel::input`].
    pub(super) fn receive_commands(&mut self) {
        let input = std::mem::take(&mut self.input);
        let mut unread = &input[..];
        while let Some((command, rest)) = messages::next_command(unread) {
            unread = rest;
            self.execute(&command);
        }
        self.input = unread.to_vec();
    }

    fn execute(&mut self, command: &EngineCommand) {
        let fields: Vec<&str> = command.line.split(' ').collect();
        let id = fields.get(1).and_then(|field| AttemptId::parse(field.as_bytes()));
        match (fields[0], id) {
            ("ATTACH", _) => self.attach(fields[1].parse().expect("ATTACH has a notice number")),
            ("STAT", _) => {
                let values = vec![0.1, 1.0, 0.1, 4.0];
                self.output.push_back(Notice::Stats { tag: fields[1].into(), values });
            }
            ("RUN", Some(id)) => self.run(id, fields[2]),
            ("FEED", Some(id)) => self.take_reply(id, &command.body),
            (other, _) => panic!("unexpected command: {other}"),
        }
    }

    /// Replays the notices after number `last_read`, the last one that the server has read.
    fn attach(&mut self, last_read: usize) {
        self.is_attached = true;
        self.output.push_back(Notice::Hello { is_starting: false, age: 60_000.0 });
        self.output.extend(self.numbered_notices[last_read..].iter().cloned());
    }

    fn run(&mut self, id: AttemptId, class: &str) {
        match self.runs.get(&id) {
            None if self.answered.contains(&id) => self.send_done(id, RunEnd::NotStarted),
            None => {
                let (class, reply_counts) = (class.to_owned(), Vec::new());
                let run = EngineRun { class, reply_counts, is_awaiting_reply: false, has_ended: false };
                self.runs.insert(id, run);
            }
            Some(run) if run.has_ended => self.send_done(id, RunEnd::NotStarted),
            Some(_) => {}
        }
    }

    fn take_reply(&mut self, id: AttemptId, body: &[u8]) {
        let Some(run) = self.runs.get_mut(&id).filter(|run| run.is_awaiting_reply) else {
            // The run does not wait for a reply: it has continued or ended.
            let command = "FEED".into();
            return self.output.push_back(Notice::CommandRejected { command, id: Some(id) });
        };
        run.is_awaiting_reply = false;
        *run.reply_counts.last_mut().expect("a waiting run has a call") += 1;
        if body != call_body(run.reply_counts.len()) {
            self.misdirected_replies.insert(id);
        }
        self.recent_replies.insert(id);
    }

    /// Stops the runs that wait for a reply although their requests are answered.
    pub(super) fn stop_answered_runs(&mut self) {
        let is_stopped =
            |id: &AttemptId, run: &EngineRun| run.is_awaiting_reply && self.answered.contains(id);
        let stopped: Vec<AttemptId> =
            self.runs.iter().filter(|(id, run)| is_stopped(id, run)).map(|(id, _)| *id).collect();
        for id in stopped {
            let run = self.runs.get_mut(&id).expect("the run is waiting");
            (run.is_awaiting_reply, run.has_ended) = (false, true);
            self.send_done(id, RunEnd::Stopped);
        }
    }

    /// Advances a run that does not wait for a reply to its next call or to its end.
    pub(super) fn advance_run(&mut self, choice: usize) {
        let can_advance = |run: &EngineRun| !run.has_ended && !run.is_awaiting_reply;
        let candidates: Vec<AttemptId> =
            self.runs.iter().filter(|(_, run)| can_advance(run)).map(|(id, _)| *id).collect();
        let Some(id) = candidates.get(choice % candidates.len().max(1)).copied() else { return };
        let run = self.runs.get_mut(&id).expect("the run was started");
        if run.reply_counts.len() < call_count(id) {
            run.reply_counts.push(0);
            run.is_awaiting_reply = true;
            let body = call_body(run.reply_counts.len());
            self.send(Notice::Need { number: self.next_number(), id, body });
        } else {
            run.has_ended = true;
            self.send_done(id, RunEnd::Succeeded);
        }
    }

    /// Drops the link with the commands in transit. Returns the notices in transit.
    pub(super) fn disconnect(&mut self) -> VecDeque<Notice> {
        self.input = Vec::new();
        self.is_attached = false;
        std::mem::take(&mut self.output)
    }
}

/// Number of calls that a run makes: 0 to 2.
fn call_count(id: AttemptId) -> usize {
    (id.0 % 3) as usize
}

/// Body of a run's call with this number, and of the reply to it.
fn call_body(number: usize) -> Vec<u8> {
    format!("call {number}").into_bytes()
}

/// Result of a successful run.
pub(super) fn result_of(id: AttemptId) -> Vec<u8> {
    format!("result of {id}").into_bytes()
}
