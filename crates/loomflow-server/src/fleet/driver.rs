//! The fleet's thread: an event loop that passes socket and timer events to the member and applies its effects.

use std::io;
use std::sync::mpsc::SyncSender;
use std::sync::{Arc, PoisonError};
use std::time::Duration;

use loomflow_boot_clock::boot_millis;
use loomflow_fleet::duty::workers::WorkerId;
use loomflow_fleet::node::{BootstrapError, Effect, Node};
use loomflow_fleet::operator::{OperatorRequest, OperatorResponse, OwnershipConfirmation};
use loomflow_fleet::time::{IntegerMillis, whole_millis};
use mio::event::Event;
use mio::{Events, Poll, Token};

use super::jobs::Jobs;
use super::links::Links;
use super::operator_socket::{OperatorSocket, RequestError};
use super::{Inbox, LISTENER, OPERATORS, OwnerMessages};
use crate::log;
use crate::mailbox::{Mailbox, OwnerEvent};

/// Maximum time between two iterations of the event loop.
pub const MAX_SLEEP: Duration = Duration::from_millis(200);
/// [`MAX_SLEEP`] while a job that was told to terminate is still running.
const SLEEP_WHILE_TERMINATING: Duration = Duration::from_millis(10);
/// Events taken from one poll.
const MAX_EVENTS: usize = 256;

/// The owner's [`mio::Waker`].
pub const WAKE: Token = Token(0);

/// The thread's shutdown, begun when the server has drained.
pub(super) struct Shutdown {
    /// Signals the owner, which waits until the drain is reported to the fleet.
    done: SyncSender<()>,
    /// When to stop even if not everything is reported, boot clock, ms.
    deadline: IntegerMillis,
}

/// The thread's state. Built by [`Fleet::start`](super::Fleet::start), which creates the parts that can fail.
pub struct Driver {
    pub(super) poll: Poll,
    pub(super) links: Links,
    pub(super) operators: OperatorSocket,
    pub(super) inbox: Arc<Inbox>,
    pub(super) node: Node,
    pub(super) mailbox: Arc<Mailbox>,
    pub(super) jobs: Jobs,
    /// Maximum time from the report that the server has drained to the end of the thread.
    pub(super) shutdown_timeout: Duration,
    /// `None` until the server has drained.
    pub(super) shutdown: Option<Shutdown>,
}

impl Driver {
    /// Runs until the server has drained and reported it, or the poller fails.
    pub fn run(mut self) {
        let mut events = Events::with_capacity(MAX_EVENTS);
        loop {
            let now = boot_millis();
            if now >= self.node.next_wake() {
                self.node.tick(now);
            }
            self.jobs.tick(&mut self.node, now);
            self.apply_effects(now);
            if let Some(done) = self.finished_shutdown(now) {
                return self.shut_down(&done, now);
            }
            if let Err(error) = self.wait(&mut events, now) {
                let why = error.to_string();
                log!(
                    part = "fleet",
                    why,
                    "polling failed: the fleet's thread stops, the server continues without it"
                );
                return;
            }
            let now = boot_millis();
            for event in &events {
                self.handle_event(event, now);
            }
            self.take_owner_messages(now);
            self.links.close_timed_out(now);
            self.operators.close_timed_out(now);
        }
    }

    /// Returns the sender that signals the owner, once everything is reported or the deadline has passed;
    /// `None` before.
    fn finished_shutdown(&self, now: IntegerMillis) -> Option<SyncSender<()>> {
        let shutdown = self.shutdown.as_ref()?;
        (self.node.is_finished() || now >= shutdown.deadline).then(|| shutdown.done.clone())
    }

    fn shut_down(&mut self, done: &SyncSender<()>, now: IntegerMillis) {
        self.jobs.terminate_all();
        self.node.leave(now);
        self.apply_effects(now);
        self.links.flush();
        let _ = done.try_send(());
    }

    fn wait(&mut self, events: &mut Events, now: IntegerMillis) -> io::Result<()> {
        let until_wake = Duration::from_millis(self.node.next_wake().saturating_sub(now).max(1));
        let max_sleep = if self.jobs.is_terminating() { SLEEP_WHILE_TERMINATING } else { MAX_SLEEP };
        match self.poll.poll(events, Some(until_wake.min(max_sleep))) {
            Err(error) if error.kind() != io::ErrorKind::Interrupted => Err(error),
            _ => Ok(()),
        }
    }

    fn handle_event(&mut self, event: &Event, now: IntegerMillis) {
        match event.token() {
            WAKE => {}
            LISTENER => self.links.accept(self.poll.registry(), now),
            OPERATORS => self.operators.accept(self.poll.registry(), now),
            token if self.operators.is_connection(token) => {
                if let Some(request) = self.operators.ready(token, now) {
                    self.handle_operator(token, request, now);
                }
            }
            token => self.handle_link(token, event.is_readable() || event.is_read_closed(), now),
        }
    }

    /// Handles a readable or writable connection of another member.
    fn handle_link(&mut self, token: Token, is_readable: bool, now: IntegerMillis) {
        let node = &mut self.node;
        let mut handle_message = |bytes: &[u8]| node.handle_message(bytes, now);
        let ended = self.links.ready(token, is_readable, now, self.poll.registry(), &mut handle_message);
        if let Some(why) = ended {
            log!(
                part = "fleet",
                why,
                "a connection from another member was closed because of an invalid message"
            );
        }
    }

    fn take_owner_messages(&mut self, now: IntegerMillis) {
        let messages = {
            let mut inbox = self.inbox.lock().unwrap_or_else(PoisonError::into_inner);
            std::mem::take(&mut *inbox)
        };
        let OwnerMessages { load_report, is_draining, drained } = messages;
        if let Some(load_report) = load_report {
            self.node.set_load(now, load_report);
        }
        if is_draining {
            self.node.begin_drain(now);
        }
        if let Some(done) = drained {
            self.node.drained(now);
            let deadline = now + whole_millis(self.shutdown_timeout);
            self.shutdown = Some(Shutdown { done, deadline });
        }
    }

    fn handle_operator(
        &mut self,
        connection: Token,
        request: Result<OperatorRequest, RequestError>,
        now: IntegerMillis,
    ) {
        let to_response = |result: Result<(), BootstrapError>| match result {
            Ok(()) => OperatorResponse::Done,
            Err(error) => OperatorResponse::Error(error.to_string()),
        };
        let response = match request {
            Err(error) => OperatorResponse::Error(error.to_string()),
            Ok(OperatorRequest::LocalStatus) => {
                OperatorResponse::LocalStatus(Box::new(self.node.status(now)))
            }
            Ok(OperatorRequest::Fleet(request)) => {
                let id = self.node.submit(request, now);
                return self.operators.await_response(connection, id);
            }
            Ok(OperatorRequest::Bootstrap) => to_response(self.node.bootstrap(now)),
            Ok(OperatorRequest::Recover) => to_response(self.node.recover(now)),
            Ok(OperatorRequest::CheckOwnership(duty)) => {
                let worker = self.operators.peer_process(connection);
                self.check_ownership(&duty, worker, now)
            }
            Ok(OperatorRequest::WorkEnded(duty)) => {
                self.jobs.workers().ended(&duty, self.operators.peer_process(connection));
                OperatorResponse::Done
            }
        };
        self.operators.respond(connection, &response, now);
    }

    /// Responds to a process on this machine that does a duty's work, and records that it is running.
    fn check_ownership(&mut self, duty: &str, worker: WorkerId, now: IntegerMillis) -> OperatorResponse {
        let Some(token) = self.node.owned_token(duty, now) else { return OperatorResponse::NotOwned };
        let owned = self.node.session_duty(duty);
        let is_recalled = owned.is_some_and(|owned| owned.is_recalled);
        let owned_until = self.node.owned_until();
        if let Err(error) = self.jobs.workers().ownership_confirmed(duty, worker, is_recalled, owned_until) {
            return OperatorResponse::Error(error.to_string());
        }
        OperatorResponse::Owned(OwnershipConfirmation {
            token,
            remaining_millis: owned_until.saturating_sub(now),
            is_recalled,
            lease_settings: self.node.lease_settings(),
            checkpoint: owned.map(|owned| owned.checkpoint.clone()).unwrap_or_default(),
        })
    }

    fn apply_effects(&mut self, now: IntegerMillis) {
        for effect in self.node.take_effects() {
            match effect {
                Effect::Send { address, bytes, .. } => {
                    self.links.send(address, bytes, now, self.poll.registry());
                }
                Effect::Drain(_) => self.mailbox.send(OwnerEvent::ShutdownRequested),
                Effect::Responded(id, response) => {
                    if !self.jobs.handle_write_response(id, &response, &mut self.node, now) {
                        self.operators.deliver(id, &OperatorResponse::Response(response), now);
                    }
                }
                Effect::Duty(change) => self.jobs.ownership_changed(change),
                Effect::Log(text) => log!(part = "fleet", "{text}"),
            }
        }
    }
}
