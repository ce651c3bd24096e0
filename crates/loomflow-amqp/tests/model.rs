//! Model-based test of consumers against the state of the test broker, without sockets: generated sequences of
//! redeliveries, lost frames, closed channels and connections, rejections, restarts and drains. Messages with an external
//! effect run at most once, every message is finished, and none is settled twice.

mod common;
use std::collections::{BTreeMap, VecDeque};

use common::*;
use loomflow_amqp::failure_reason::FailureReason;
use loomflow_amqp::idempotency::NoHistory;
use loomflow_amqp::*;
use loomflow_test_servers::broker::state::{Faults, State};
use loomflow_test_servers::broker::{Message, Settled, message};
use proptest::prelude::*;

const GRACE: f64 = 1_000.0;

/// One server: its consumer, its side of the connection, and the messages submitted to its owner.
struct Server {
    consumer: Consumer,
    /// Id of the connection at the broker, while it is open.
    connection: Option<u64>,
    /// When the next connection is opened.
    reconnect_at: Option<f64>,
    to_broker: VecDeque<u8>,
    to_server: VecDeque<Frame>,
    submitted: Vec<SubmittedMessage>,
    running: Vec<SubmittedMessage>,
    is_draining: bool,
}

struct Simulation {
    now: f64,
    broker: State,
    servers: Vec<Server>,
    has_effect: bool,
    connections_opened: u64,
    published: u64,
    runs: BTreeMap<String, usize>,
    /// Runs that ended with the restart of their server.
    killed: usize,
    /// Connections that a consumer abandoned.
    broken: usize,
}

impl Simulation {
    fn new(servers: usize, has_effect: bool) -> Simulation {
        let mut broker = State::default();
        for queue in ["jobs", "dead", "replies"] {
            broker.declare(queue, None);
        }
        let mut simulation = Simulation {
            now: 0.0,
            broker,
            servers: Vec::new(),
            has_effect,
            connections_opened: 0,
            published: 0,
            runs: BTreeMap::new(),
            killed: 0,
            broken: 0,
        };
        for seed in 0..servers {
            let server = simulation.server(seed as u64);
            simulation.servers.push(server);
        }
        simulation
    }

    fn server(&self, seed: u64) -> Server {
        let mut consumer = Consumer::new(settings(self.has_effect), Box::new(NoHistory), seed);
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

    fn publish(&mut self, again: Option<u64>) {
        let number = again.filter(|_| self.published > 0).map_or(self.published, |n| n % self.published);
        self.published += u64::from(number == self.published);
        let id = format!("j{number}");
        assert!(self.broker.publish(message("jobs", &id, id.as_bytes()).reply_to("replies", &id)));
    }

    fn advance(&mut self, at: usize) {
        let (now, connections_opened) = (self.now, &mut self.connections_opened);
        let server = &mut self.servers[at];
        if server.connection.is_none() && server.reconnect_at.is_some_and(|at| now >= at) {
            *connections_opened += 1;
            (server.connection, server.reconnect_at) = (Some(*connections_opened), None);
            server.consumer.connected(now);
            self.broker.connection_opened(*connections_opened);
        }
        if server.consumer.tick(now).is_err() {
            self.broken += 1;
            return self.disconnect(at);
        }
        server.to_broker.extend(server.consumer.take_output(now));
        for request in server.consumer.take_requests() {
            match request {
                ConsumerRequest::Submit(message) => server.submitted.push(message),
                ConsumerRequest::Cancel(id) => {
                    assert!(
                        server.running.iter().all(|one| one.id != id),
                        "a run that has begun is not gone"
                    );
                    server.submitted.retain(|one| one.id != id);
                }
                ConsumerRequest::Log(_) => {}
            }
        }
    }

    /// Carries all frames to the broker and up to `count` frames to the server.
    fn exchange(&mut self, at: usize, count: usize) {
        self.advance(at);
        let Some(connection) = self.servers[at].connection else { return };
        for frame in decode(&mut self.servers[at].to_broker) {
            self.broker.handle_frame(connection, frame);
        }
        let mut over = Vec::new();
        for (to, frame) in self.broker.take_outgoing() {
            let Some(server) = self.servers.iter_mut().find(|server| server.connection == Some(to)) else {
                continue;
            };
            match frame {
                Some(frame) => server.to_server.push_back(frame),
                None => over.push(to),
            }
        }
        let now = self.now;
        let server = &mut self.servers[at];
        let mut broken = false;
        for frame in server.to_server.drain(..count.min(server.to_server.len())) {
            broken |= server.consumer.handle_frame(frame, now).is_err();
        }
        if broken || over.contains(&connection) {
            return self.disconnect(at);
        }
        self.advance(at);
    }

    /// The connection breaks, and frames in transit are lost.
    fn disconnect(&mut self, at: usize) {
        let now = self.now;
        let server = &mut self.servers[at];
        let Some(connection) = server.connection.take() else { return };
        server.to_broker.clear();
        server.to_server.clear();
        server.reconnect_at = server.consumer.disconnected(now).map(|pause| now + pause);
        self.broker.connection_closed(connection);
        self.advance(at);
    }

    fn restart(&mut self, at: usize) {
        if let Some(connection) = self.servers[at].connection {
            self.broker.connection_closed(connection);
        }
        self.killed += self.servers[at].running.len();
        let server = self.server(self.connections_opened + 100);
        self.servers[at] = server;
    }

    fn start_run(&mut self, at: usize) {
        let now = self.now;
        let server = &mut self.servers[at];
        let Some(message) = server.submitted.pop() else { return };
        server.consumer.run_started(message.id, now);
        *self.runs.entry(String::from_utf8(message.body.clone()).unwrap()).or_default() += 1;
        server.running.push(message);
    }

    fn finish_run(&mut self, at: usize, fine: bool) {
        let now = self.now;
        let server = &mut self.servers[at];
        let Some(message) = server.running.pop() else { return };
        let ending = if fine { MessageResponse::Served(&message.body) } else { MessageResponse::MayHaveRun };
        server.consumer.respond(message.id, ending, now);
    }

    fn reject(&mut self, at: usize, pause: f64) {
        let now = self.now;
        let server = &mut self.servers[at];
        let Some(message) = server.submitted.pop() else { return };
        server.consumer.respond(
            message.id,
            MessageResponse::Rejected { retry_after: pause, is_final: false },
            now,
        );
    }

    fn drain(&mut self, at: usize) {
        let now = self.now;
        let server = &mut self.servers[at];
        if !std::mem::replace(&mut server.is_draining, true) {
            server.consumer.begin_drain(now + GRACE, now);
            server.consumer.stop_intake(now);
            self.advance(at);
        }
    }

    /// Without further faults, the servers work until no message is left.
    fn run_to_completion(&mut self) {
        self.broker.faults = Faults::default();
        // After a lost acknowledgement, the broker redelivers on a new connection.
        for at in 0..self.servers.len() {
            self.disconnect(at);
        }
        for _ in 0..4_000 {
            self.now += 10.0;
            for at in 0..self.servers.len() {
                self.exchange(at, usize::MAX);
                self.start_run(at);
                self.finish_run(at, true);
            }
            // A drained server is replaced by a new one.
            for at in 0..self.servers.len() {
                let server = &self.servers[at];
                let idle = server.submitted.is_empty() && server.running.is_empty();
                if server.is_draining && idle && server.consumer.is_drained(self.now) {
                    self.restart(at);
                }
            }
            let idle = self.servers.iter().all(|s| s.submitted.is_empty() && s.running.is_empty());
            if idle && self.broker.ready("jobs") == 0 && self.broker.unacked("jobs") == 0 {
                return;
            }
        }
        panic!("{} wait, {} are unacknowledged", self.broker.ready("jobs"), self.broker.unacked("jobs"));
    }

    fn check(&mut self) {
        if self.has_effect {
            assert!(self.runs.values().all(|times| *times == 1), "{:?}", self.runs);
        }
        let name = |message: &Message| String::from_utf8(message.body.clone()).unwrap();
        let dead: Vec<String> = self.broker.take("dead").iter().map(name).collect();
        let replies = self.broker.take("replies");
        for number in 0..self.published {
            let id = format!("j{number}");
            let served = replies.iter().any(|reply| reply.correlation() == id && reply.kind() == "served");
            assert!(served || dead.contains(&id), "{id} has no ending");
        }
        // A message can be settled twice only if it was redelivered in between.
        let rejected = self.broker.settled.iter().filter(|(_, how)| *how == Settled::Rejected).count();
        assert_eq!(rejected, 0, "all that is given up is dead-lettered with its reason");
    }
}

#[derive(Clone, Debug)]
enum SimulationStep {
    Publish(Option<u64>),
    Pass(f64),
    Exchange(usize, usize),
    Begin(usize),
    Finish(usize, bool),
    Refuse(usize, f64),
    Cut(usize),
    Restart(usize),
    Leave(usize),
    CloseChannels,
    CancelConsumers,
    Fault(u8),
}

fn steps() -> impl Strategy<Value = Vec<SimulationStep>> {
    let at = 0usize..2;
    let one = prop_oneof![
        6 => proptest::option::weighted(0.15, 0u64..50).prop_map(SimulationStep::Publish),
        4 => (1.0f64..400.0).prop_map(SimulationStep::Pass),
        20 => (at.clone(), 1usize..40).prop_map(|(at, n)| SimulationStep::Exchange(at, n)),
        8 => at.clone().prop_map(SimulationStep::Begin),
        8 => (at.clone(), prop::bool::weighted(0.9)).prop_map(|(at, fine)| SimulationStep::Finish(at, fine)),
        2 => (at.clone(), 0.0f64..300.0).prop_map(|(at, pause)| SimulationStep::Refuse(at, pause)),
        1 => at.clone().prop_map(SimulationStep::Cut),
        1 => at.clone().prop_map(SimulationStep::Restart),
        1 => at.prop_map(SimulationStep::Leave),
        1 => Just(SimulationStep::CloseChannels),
        1 => Just(SimulationStep::CancelConsumers),
        2 => (0u8..4).prop_map(SimulationStep::Fault),
    ];
    proptest::collection::vec(one, 1..250)
}

/// Servers share no records and a restart loses them: a key that is published twice runs once only if one server has
/// received both messages. So a key is published twice only with a single server that never restarts; redeliveries
/// happen in any case.
fn play(servers: usize, has_effect: bool, steps: Vec<SimulationStep>) -> Simulation {
    let mut simulation = Simulation::new(servers, has_effect);
    let alone = servers == 1;
    for one in steps {
        match one {
            SimulationStep::Exchange(at, _) | SimulationStep::Begin(at) | SimulationStep::Finish(at, _)
                if at >= servers => {}
            SimulationStep::Refuse(at, _) | SimulationStep::Cut(at) if at >= servers => {}
            SimulationStep::Restart(_) | SimulationStep::Leave(_) if alone => {}
            SimulationStep::Fault(1) if !alone => {}
            SimulationStep::Publish(Some(_)) if !alone => simulation.publish(None),
            SimulationStep::Publish(again) => simulation.publish(again),
            SimulationStep::Pass(span) => simulation.now += span,
            SimulationStep::Exchange(at, count) => simulation.exchange(at, count),
            SimulationStep::Begin(at) => simulation.start_run(at),
            SimulationStep::Finish(at, fine) => simulation.finish_run(at, fine),
            SimulationStep::Refuse(at, pause) => simulation.reject(at, pause),
            SimulationStep::Cut(at) => simulation.disconnect(at),
            SimulationStep::Restart(at) => simulation.restart(at),
            SimulationStep::Leave(at) => simulation.drain(at),
            SimulationStep::CloseChannels => simulation.broker.close_channels("jobs", 541),
            SimulationStep::CancelConsumers => simulation.broker.cancel_consumers("jobs"),
            SimulationStep::Fault(0) => simulation.broker.faults.nack += 1,
            SimulationStep::Fault(1) => simulation.broker.faults.duplicate += 1,
            SimulationStep::Fault(2) => simulation.broker.faults.unconfirmed += 1,
            SimulationStep::Fault(_) => simulation.broker.faults.forget_acks += 1,
        }
    }
    simulation
}

#[test]
fn a_republished_message_keeps_its_properties_except_those_the_broker_acts_on() {
    let mut first =
        message("jobs", "a", b"x").reply_to("replies", "a").header("CC", "elsewhere").header("mine", "1");
    first.properties = first.properties.with_user_id("somebody".into()).with_expiration("60000".into());
    let (settings, of) = (settings(true), &first.properties);
    for (to, queue) in [
        (settlement::Republish::Requeue { retry_count: 3 }, "jobs"),
        (settlement::Republish::DeadLetter(FailureReason::new("why")), "dead"),
    ] {
        let anew = loomflow_amqp::message::republished(&settings, "jobs", of, b"x", to, 7);
        assert_eq!(
            (anew.exchange.as_str(), anew.routing_key.as_str(), anew.body.as_slice()),
            ("", queue, &b"x"[..])
        );
        assert_eq!((anew.properties.user_id(), anew.properties.reply_to()), (&None, of.reply_to()));
        assert_eq!(
            (anew.properties.message_id(), anew.properties.expiration()),
            (of.message_id(), of.expiration())
        );
        let said = Message { properties: anew.properties, ..first.clone() };
        let words =
            ["mine", "x-loomflow-user-id", "CC", "x-loomflow-publish"].map(|name| said.header_text(name));
        assert_eq!(words, [Some("1".into()), Some("somebody".into()), None, Some("7".into())]);
        let dead = matches!(to, settlement::Republish::DeadLetter(_));
        assert_eq!(said.header_text("x-loomflow-reason"), dead.then(|| "why".into()));
        assert_eq!(said.header_text("x-loomflow-rounds"), (!dead).then(|| "3".into()));
    }
}

/// A simulation of one server to which one message has been submitted.
fn simulation_with_one_submitted() -> Simulation {
    let mut simulation = Simulation::new(1, true);
    for _ in 0..20 {
        simulation.exchange(0, usize::MAX);
    }
    simulation.publish(None);
    simulation.exchange(0, usize::MAX);
    assert_eq!(simulation.servers[0].submitted.len(), 1);
    simulation
}

#[test]
fn messages_that_have_not_started_by_the_drain_deadline_are_requeued_untouched() {
    let mut simulation = simulation_with_one_submitted();
    simulation.drain(0);
    for _ in 0..20 {
        simulation.exchange(0, usize::MAX);
    }
    assert!(
        simulation.servers[0].submitted.is_empty()
            && simulation.servers[0].consumer.is_drained(simulation.now)
    );
    let back = simulation.broker.take("jobs");
    assert_eq!((back.len(), back[0].redelivered, simulation.broker.unacked("jobs")), (1, false, 0));
}

#[test]
fn a_silent_broker_is_awaited_until_the_drain_deadline_and_no_longer() {
    let mut simulation = simulation_with_one_submitted();
    simulation.start_run(0);
    simulation.drain(0);
    simulation.finish_run(0, true);
    let by = simulation.now + GRACE;
    // No frame reaches the broker.
    let consumer = &mut simulation.servers[0].consumer;
    assert!(consumer.tick(by - 1.0).is_ok() && !consumer.is_drained(by - 1.0) && consumer.is_drained(by));
}

#[test]
fn draining_waits_for_the_close_of_an_open_connection_but_not_for_a_handshake() {
    let mut simulation = Simulation::new(2, true);
    simulation.servers[0].consumer.connected(0.0);
    for _ in 0..20 {
        simulation.exchange(1, usize::MAX);
    }
    let [one, other] = &mut simulation.servers[..] else { unreachable!("there are two") };
    let (one, other) = (&mut one.consumer, &mut other.consumer);
    // Long after the handshake, which has its own timeout.
    one.begin_drain(1e9, 3_000.0);
    other.begin_drain(1e9, 6_000.0);
    one.connected(3_000.0);
    assert!(one.is_drained(3_000.0) && !other.is_drained(6_000.0));
    simulation.now = 6_000.0;
    for _ in 0..20 {
        simulation.exchange(1, usize::MAX);
    }
    assert!(
        simulation.servers[1].consumer.is_drained(6_000.0) && simulation.servers[1].reconnect_at.is_none()
    );
    assert_eq!(simulation.broken, 0, "the close was confirmed");
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 400, max_shrink_iters: 20_000, ..ProptestConfig::default() })]

    #[test]
    fn effects_run_at_most_once_and_every_message_is_finished(steps in steps()) {
        for servers in [1, 2] {
            let mut simulation = play(servers, true, steps.clone());
            simulation.run_to_completion();
            simulation.check();
        }
    }

    #[test]
    fn every_message_without_an_effect_is_finished(steps in steps()) {
        let mut simulation = play(2, false, steps);
        simulation.run_to_completion();
        simulation.check();
    }
}
