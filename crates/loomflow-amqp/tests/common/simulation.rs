//! Consumers of one or more servers against the state machine of the test broker, without sockets.

#![allow(dead_code, reason = "each test file uses only some of these items")]

use std::collections::{BTreeMap, VecDeque};

use loomflow_amqp::idempotency::NoHistory;
use loomflow_amqp::*;
use loomflow_test_servers::broker::state::{Faults, State};
use loomflow_test_servers::broker::{Message, Settled, message};

use crate::common::{decode, settings};

/// Duration of a drain, ms.
pub const DRAIN_TIMEOUT_MS: f64 = 1_000.0;

/// Step of the time, ms.
const STEP_MS: f64 = 10.0;

/// One server: its consumer, the frames in transit, and the submitted messages.
pub struct Server {
    pub consumer: Consumer,
    /// Id of the open connection at the broker.
    pub connection: Option<u64>,
    /// When the next connection is opened; `None` while one is open or if none is needed.
    pub reconnect_at: Option<f64>,
    pub to_broker: VecDeque<u8>,
    pub to_server: VecDeque<Frame>,
    pub submitted: Vec<SubmittedMessage>,
    pub running: Vec<SubmittedMessage>,
    pub is_draining: bool,
}

/// Servers that consume from the queue `jobs` of one broker.
pub struct Simulation {
    pub now: f64,
    pub broker: State,
    pub servers: Vec<Server>,
    pub settings: Settings,
    pub connections_opened: u64,
    /// Number of keys that were published.
    pub published: u64,
    /// The key of each published message. Its index is the correlation id of the message.
    pub messages: Vec<String>,
    pub runs: BTreeMap<String, usize>,
    /// Number of runs that were lost with the restart of their server.
    pub lost_runs: usize,
    /// Number of connections that a consumer dropped because of an error.
    pub failed_connections: usize,
}

impl Simulation {
    pub fn new(servers: usize, has_effect: bool) -> Simulation {
        Simulation::with_settings(servers, settings(has_effect))
    }

    pub fn with_settings(servers: usize, settings: Settings) -> Simulation {
        let mut broker = State::default();
        for queue in ["jobs", "dead", "replies"] {
            broker.declare(queue, None);
        }
        let mut simulation = Simulation {
            now: 0.0,
            broker,
            servers: Vec::new(),
            settings,
            connections_opened: 0,
            published: 0,
            messages: Vec::new(),
            runs: BTreeMap::new(),
            lost_runs: 0,
            failed_connections: 0,
        };
        for seed in 0..servers {
            let server = simulation.server(seed as u64);
            simulation.servers.push(server);
        }
        simulation
    }

    pub fn server(&self, seed: u64) -> Server {
        let mut consumer = Consumer::new(self.settings.clone(), Box::new(NoHistory), seed);
        consumer.start_accepting();
        Server {
            consumer,
            connection: None,
            reconnect_at: Some(self.now),
            to_broker: VecDeque::new(),
            to_server: VecDeque::new(),
            submitted: Vec::new(),
            running: Vec::new(),
            is_draining: false,
        }
    }

    /// Publishes a new message, or one of another caller with the key and body of an earlier one.
    pub fn publish(&mut self, duplicate_of: Option<u64>, reply_to: &str) {
        let number =
            duplicate_of.filter(|_| self.published > 0).map_or(self.published, |n| n % self.published);
        self.published += u64::from(number == self.published);
        let id = format!("j{number}");
        let caller = self.messages.len().to_string();
        assert!(self.broker.publish(message("jobs", &id, id.as_bytes()).reply_to(reply_to, &caller)));
        self.messages.push(id);
    }

    pub fn advance(&mut self, at: usize) {
        let (now, connections_opened) = (self.now, &mut self.connections_opened);
        let server = &mut self.servers[at];
        if server.connection.is_none() && server.reconnect_at.is_some_and(|at| now >= at) {
            *connections_opened += 1;
            (server.connection, server.reconnect_at) = (Some(*connections_opened), None);
            server.consumer.connected(now);
            self.broker.connection_opened(*connections_opened);
        }
        if server.consumer.tick(now).is_err() {
            self.failed_connections += 1;
            return self.disconnect(at);
        }
        server.to_broker.extend(server.consumer.take_output(now));
        for request in server.consumer.take_requests() {
            match request {
                ConsumerRequest::Submit(message) => server.submitted.push(message),
                ConsumerRequest::Cancel(id) => {
                    assert!(
                        server.running.iter().all(|message| message.id != id),
                        "message {id} was cancelled while it runs"
                    );
                    server.submitted.retain(|message| message.id != id);
                }
                ConsumerRequest::Log(_) => {}
            }
        }
    }

    /// Transfers all frames to the broker and up to `count` frames to the server.
    pub fn exchange(&mut self, at: usize, count: usize) {
        self.advance(at);
        let Some(connection) = self.servers[at].connection else { return };
        for frame in decode(&mut self.servers[at].to_broker) {
            self.broker.handle_frame(connection, frame);
        }
        let mut closed = Vec::new();
        for (to, frame) in self.broker.take_outgoing() {
            let Some(server) = self.servers.iter_mut().find(|server| server.connection == Some(to)) else {
                continue;
            };
            match frame {
                Some(frame) => server.to_server.push_back(frame),
                None => closed.push(to),
            }
        }
        let now = self.now;
        let server = &mut self.servers[at];
        let mut has_failed = false;
        for frame in server.to_server.drain(..count.min(server.to_server.len())) {
            has_failed |= server.consumer.handle_frame(frame, now).is_err();
        }
        if has_failed || closed.contains(&connection) {
            return self.disconnect(at);
        }
        self.advance(at);
    }

    /// Breaks the connection, which loses the frames in transit.
    pub fn disconnect(&mut self, at: usize) {
        let now = self.now;
        let server = &mut self.servers[at];
        let Some(connection) = server.connection.take() else { return };
        server.to_broker.clear();
        server.to_server.clear();
        server.reconnect_at = server.consumer.disconnected(now).map(|backoff| now + backoff);
        self.broker.connection_closed(connection);
        self.advance(at);
    }

    pub fn restart(&mut self, at: usize) {
        if let Some(connection) = self.servers[at].connection {
            self.broker.connection_closed(connection);
        }
        self.lost_runs += self.servers[at].running.len();
        let server = self.server(self.connections_opened + 100);
        self.servers[at] = server;
    }

    pub fn start_run(&mut self, at: usize) {
        let now = self.now;
        let server = &mut self.servers[at];
        let Some(message) = server.submitted.pop() else { return };
        server.consumer.run_started(message.id, now);
        *self.runs.entry(String::from_utf8(message.body.clone()).unwrap()).or_default() += 1;
        server.running.push(message);
    }

    pub fn finish_run(&mut self, at: usize, is_ok: bool) {
        let now = self.now;
        let server = &mut self.servers[at];
        let Some(message) = server.running.pop() else { return };
        let response =
            if is_ok { MessageResponse::Served(&message.body) } else { MessageResponse::MayHaveRun };
        server.consumer.respond(message.id, response, now);
    }

    pub fn reject(&mut self, at: usize, retry_after: f64) {
        let now = self.now;
        let server = &mut self.servers[at];
        let Some(message) = server.submitted.pop() else { return };
        server.consumer.respond(message.id, MessageResponse::Rejected { retry_after, is_final: false }, now);
    }

    pub fn drain(&mut self, at: usize) {
        let now = self.now;
        let server = &mut self.servers[at];
        if !std::mem::replace(&mut server.is_draining, true) {
            server.consumer.begin_drain(now + DRAIN_TIMEOUT_MS, now);
            server.consumer.stop_intake(now);
            self.advance(at);
        }
    }

    /// Lets time pass and exchanges all frames. Runs neither start nor end.
    pub fn elapse(&mut self, duration: f64) {
        let until = self.now + duration;
        while self.now < until {
            self.now += STEP_MS;
            for at in 0..self.servers.len() {
                self.exchange(at, usize::MAX);
            }
        }
    }

    /// Runs the servers without further faults until no message is left in the queue.
    pub fn run_to_completion(&mut self) {
        self.broker.faults = Faults::default();
        // The broker redelivers messages whose acknowledgement was lost only after a reconnect.
        for at in 0..self.servers.len() {
            self.disconnect(at);
        }
        for _ in 0..4_000 {
            self.now += STEP_MS;
            for at in 0..self.servers.len() {
                self.exchange(at, usize::MAX);
                self.start_run(at);
                self.finish_run(at, true);
            }
            // A drained server is replaced by a new one.
            for at in 0..self.servers.len() {
                let server = &self.servers[at];
                let is_idle = server.submitted.is_empty() && server.running.is_empty();
                if server.is_draining && is_idle && server.consumer.is_drained(self.now) {
                    self.restart(at);
                }
            }
            let is_idle =
                self.servers.iter().all(|server| server.submitted.is_empty() && server.running.is_empty());
            if is_idle && self.broker.ready("jobs") == 0 && self.broker.unacked("jobs") == 0 {
                return;
            }
        }
        panic!(
            "{} messages are ready, {} are unacknowledged",
            self.broker.ready("jobs"),
            self.broker.unacked("jobs")
        );
    }

    /// Checks that messages with an effect ran at most once, and that each message was served or dead-lettered.
    pub fn check(&mut self) {
        if self.settings.classes[0].has_effect {
            assert!(self.runs.values().all(|count| *count == 1), "{:?}", self.runs);
        }
        let replies = self.broker.take("replies");
        let dead = self.broker.take("dead");
        for (caller, id) in self.messages.iter().enumerate() {
            let caller = caller.to_string();
            let has_reply = |kind: &str| {
                replies.iter().any(|reply| reply.correlation() == caller && reply.kind() == kind)
            };
            let is_dead_lettered =
                dead.iter().any(|message| message.correlation() == caller && message.body == id.as_bytes());
            assert!(
                has_reply("served") || is_dead_lettered,
                "{id} of caller {caller} was neither served nor dead-lettered"
            );
        }
        // A server that restarts, or another one, does not know what its caller was told.
        if self.servers.len() == 1 && self.settings.classes[0].has_effect {
            check_final_answers(&replies);
        }
        self.check_settlements();
    }

    /// Checks that messages are rejected only where dead-lettering is left to their queue.
    fn check_settlements(&self) {
        let rejected =
            self.broker.settled.iter().filter(|(_, settled)| *settled == Settled::Rejected).count();
        assert!(
            rejected == 0 || self.settings.dead_letter.is_none(),
            "failed messages are dead-lettered with a reason and acknowledged"
        );
    }
}

/// Checks that no caller was told that its message does not run and then served.
fn check_final_answers(replies: &[Message]) {
    let not_run = replies.iter().filter(|reply| reply.header_text("x-loomflow-ran").as_deref() == Some("no"));
    for caller in not_run.map(Message::correlation) {
        let is_served = replies.iter().any(|reply| reply.correlation() == caller && reply.kind() == "served");
        assert!(!is_served, "caller {caller} was told that its message does not run, and was served");
    }
}
