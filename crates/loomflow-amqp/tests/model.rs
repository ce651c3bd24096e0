//! Consumers against the stand-in broker's state, without sockets: generated days of redeliveries, lost frames, broken
//! channels and connections, refusals, restarts and drains. Whatever happens, archive runs at most once, every message
//! has an ending, and none is settled twice.

mod common;
use std::collections::{BTreeMap, VecDeque};

use common::*;
use loomflow_amqp::idempotency::NoHistory;
use loomflow_amqp::*;
use loomflow_standins::broker::state::State;
use loomflow_standins::broker::{Message, Settled, message};
use proptest::prelude::*;

const GRACE: f64 = 1_000.0;

/// One server: its consumer, its side of the connection, and an owner that does as it is told.
struct Server {
    consumer: Consumer,
    /// The connection's number at the broker, while there is one.
    link: Option<u64>,
    /// Opened again then.
    opens_at: Option<f64>,
    to_broker: VecDeque<u8>,
    to_server: VecDeque<Frame>,
    held: Vec<SubmittedMessage>,
    running: Vec<SubmittedMessage>,
    leaving: bool,
}

struct Day {
    now: f64,
    broker: State,
    servers: Vec<Server>,
    effect: bool,
    links: u64,
    published: u64,
    runs: BTreeMap<String, usize>,
    /// Keys whose run was broken off with its server.
    killed: usize,
    /// Connections that a consumer gave up.
    broken: usize,
}

impl Day {
    fn new(servers: usize, effect: bool) -> Day {
        let mut broker = State::default();
        ["jobs", "dead", "replies"].into_iter().for_each(|queue| broker.declare(queue, None));
        let mut day = Day {
            now: 0.0,
            broker,
            servers: Vec::new(),
            effect,
            links: 0,
            published: 0,
            runs: BTreeMap::new(),
            killed: 0,
            broken: 0,
        };
        for seed in 0..servers {
            let server = day.server(seed as u64);
            day.servers.push(server);
        }
        day
    }

    fn server(&self, seed: u64) -> Server {
        let mut consumer = Consumer::new(settings(self.effect), Box::new(NoHistory), seed);
        consumer.start_accepting();
        Server {
            consumer,
            link: None,
            opens_at: Some(self.now),
            to_broker: VecDeque::new(),
            to_server: VecDeque::new(),
            held: Vec::new(),
            running: Vec::new(),
            leaving: false,
        }
    }

    fn publish(&mut self, again: Option<u64>) {
        let number = again.filter(|_| self.published > 0).map_or(self.published, |n| n % self.published);
        self.published += u64::from(number == self.published);
        let id = format!("j{number}");
        assert!(self.broker.publish(message("jobs", &id, id.as_bytes()).reply_to("replies", &id)));
    }

    fn pass(&mut self, at: usize) {
        let (now, links) = (self.now, &mut self.links);
        let server = &mut self.servers[at];
        if server.link.is_none() && server.opens_at.is_some_and(|at| now >= at) {
            *links += 1;
            (server.link, server.opens_at) = (Some(*links), None);
            server.consumer.connected(now);
            self.broker.opened(*links);
        }
        if server.consumer.tick(now).is_err() {
            self.broken += 1;
            return self.cut(at);
        }
        server.to_broker.extend(server.consumer.take_output(now));
        for ask in server.consumer.take_requests() {
            match ask {
                ConsumerRequest::Submit(offer) => server.held.push(offer),
                ConsumerRequest::Cancel(id) => {
                    assert!(
                        server.running.iter().all(|one| one.id != id),
                        "a run that has begun is not gone"
                    );
                    server.held.retain(|one| one.id != id);
                }
                ConsumerRequest::Log(_) => {}
            }
        }
    }

    /// Frames go both ways: so many to the server, all to the broker.
    fn exchange(&mut self, at: usize, count: usize) {
        self.pass(at);
        let Some(link) = self.servers[at].link else { return };
        for frame in decode(&mut self.servers[at].to_broker) {
            self.broker.frame(link, frame);
        }
        let mut over = Vec::new();
        for (to, frame) in self.broker.take_out() {
            let Some(server) = self.servers.iter_mut().find(|server| server.link == Some(to)) else {
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
        if broken || over.contains(&link) {
            return self.cut(at);
        }
        self.pass(at);
    }

    /// The connection breaks: what was on its way is lost.
    fn cut(&mut self, at: usize) {
        let now = self.now;
        let server = &mut self.servers[at];
        let Some(link) = server.link.take() else { return };
        server.to_broker.clear();
        server.to_server.clear();
        server.opens_at = server.consumer.disconnected(now).map(|pause| now + pause);
        self.broker.ended(link);
        self.pass(at);
    }

    fn restart(&mut self, at: usize) {
        if let Some(link) = self.servers[at].link {
            self.broker.ended(link);
        }
        self.killed += self.servers[at].running.len();
        let server = self.server(self.links + 100);
        self.servers[at] = server;
    }

    fn begin(&mut self, at: usize) {
        let now = self.now;
        let server = &mut self.servers[at];
        let Some(offer) = server.held.pop() else { return };
        server.consumer.run_started(offer.id, now);
        *self.runs.entry(String::from_utf8(offer.body.clone()).unwrap()).or_default() += 1;
        server.running.push(offer);
    }

    fn finish(&mut self, at: usize, fine: bool) {
        let now = self.now;
        let server = &mut self.servers[at];
        let Some(offer) = server.running.pop() else { return };
        let ending = if fine { MessageResponse::Served(&offer.body) } else { MessageResponse::MayHaveRun };
        server.consumer.respond(offer.id, ending, now);
    }

    fn refuse(&mut self, at: usize, pause: f64) {
        let now = self.now;
        let server = &mut self.servers[at];
        let Some(offer) = server.held.pop() else { return };
        server.consumer.respond(
            offer.id,
            MessageResponse::Rejected { retry_after: pause, is_final: false },
            now,
        );
    }

    fn leave(&mut self, at: usize) {
        let now = self.now;
        let server = &mut self.servers[at];
        if !std::mem::replace(&mut server.leaving, true) {
            server.consumer.begin_drain(now + GRACE, now);
            server.consumer.stop_intake(now);
            self.pass(at);
        }
    }

    /// Nothing goes wrong any more: servers work until nothing is left to do.
    fn settle(&mut self) {
        self.broker.faults = Default::default();
        // A broker that has lost an acknowledgement delivers again once the connection is new.
        (0..self.servers.len()).for_each(|at| self.cut(at));
        for _ in 0..4_000 {
            self.now += 10.0;
            for at in 0..self.servers.len() {
                self.exchange(at, usize::MAX);
                self.begin(at);
                self.finish(at, true);
            }
            // One that has left is followed by one that starts.
            for at in 0..self.servers.len() {
                let server = &self.servers[at];
                let idle = server.held.is_empty() && server.running.is_empty();
                if server.leaving && idle && server.consumer.is_drained(self.now) {
                    self.restart(at);
                }
            }
            let idle = self.servers.iter().all(|s| s.held.is_empty() && s.running.is_empty());
            if idle && self.broker.ready("jobs") == 0 && self.broker.unacked("jobs") == 0 {
                return;
            }
        }
        panic!("{} wait, {} are unacknowledged", self.broker.ready("jobs"), self.broker.unacked("jobs"));
    }

    fn check(&mut self) {
        if self.effect {
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
        // A message that is settled again by another word was delivered again between.
        let rejected = self.broker.settled.iter().filter(|(_, how)| *how == Settled::Rejected).count();
        assert_eq!(rejected, 0, "all that is given up is dead-lettered with its reason");
    }
}

#[derive(Clone, Debug)]
enum Move {
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

fn moves() -> impl Strategy<Value = Vec<Move>> {
    let at = 0usize..2;
    let one = prop_oneof![
        6 => proptest::option::weighted(0.15, 0u64..50).prop_map(Move::Publish),
        4 => (1.0f64..400.0).prop_map(Move::Pass),
        20 => (at.clone(), 1usize..40).prop_map(|(at, n)| Move::Exchange(at, n)),
        8 => at.clone().prop_map(Move::Begin),
        8 => (at.clone(), prop::bool::weighted(0.9)).prop_map(|(at, fine)| Move::Finish(at, fine)),
        2 => (at.clone(), 0.0f64..300.0).prop_map(|(at, pause)| Move::Refuse(at, pause)),
        1 => at.clone().prop_map(Move::Cut),
        1 => at.clone().prop_map(Move::Restart),
        1 => at.prop_map(Move::Leave),
        1 => Just(Move::CloseChannels),
        1 => Just(Move::CancelConsumers),
        2 => (0u8..4).prop_map(Move::Fault),
    ];
    proptest::collection::vec(one, 1..250)
}

/// Servers share nothing, and a restart forgets: a second publish of a key is one run only where one server has seen
/// both. So either there is one that stays, or nothing is published twice; redeliveries come in any case.
fn play(servers: usize, effect: bool, moves: Vec<Move>) -> Day {
    let mut day = Day::new(servers, effect);
    let alone = servers == 1;
    for one in moves {
        match one {
            Move::Exchange(at, _) | Move::Begin(at) | Move::Finish(at, _) if at >= servers => {}
            Move::Refuse(at, _) | Move::Cut(at) if at >= servers => {}
            Move::Restart(_) | Move::Leave(_) if alone => {}
            Move::Fault(1) if !alone => {}
            Move::Publish(Some(_)) if !alone => day.publish(None),
            Move::Publish(again) => day.publish(again),
            Move::Pass(span) => day.now += span,
            Move::Exchange(at, count) => day.exchange(at, count),
            Move::Begin(at) => day.begin(at),
            Move::Finish(at, fine) => day.finish(at, fine),
            Move::Refuse(at, pause) => day.refuse(at, pause),
            Move::Cut(at) => day.cut(at),
            Move::Restart(at) => day.restart(at),
            Move::Leave(at) => day.leave(at),
            Move::CloseChannels => day.broker.close_channels("jobs", 541),
            Move::CancelConsumers => day.broker.cancel_consumers("jobs"),
            Move::Fault(0) => day.broker.faults.nack += 1,
            Move::Fault(1) => day.broker.faults.duplicate += 1,
            Move::Fault(2) => day.broker.faults.unconfirmed += 1,
            Move::Fault(_) => day.broker.faults.forget_acks += 1,
        }
    }
    day
}

#[test]
fn a_message_published_anew_keeps_what_it_said_but_what_a_broker_would_act_on_again() {
    let mut first =
        message("jobs", "a", b"x").reply_to("replies", "a").header("CC", "elsewhere").header("mine", "1");
    first.properties = first.properties.with_user_id("somebody".into()).with_expiration("60000".into());
    let (settings, of) = (settings(true), &first.properties);
    for (to, queue) in [
        (settlement::Republish::Requeue { retry_count: 3 }, "jobs"),
        (settlement::Republish::DeadLetter("why"), "dead"),
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
        let words = ["mine", "x-loomflow-user-id", "CC", "x-loomflow-publish"].map(|name| said.says(name));
        assert_eq!(words, [Some("1".into()), Some("somebody".into()), None, Some("7".into())]);
        let dead = matches!(to, settlement::Republish::DeadLetter(_));
        assert_eq!(said.says("x-loomflow-reason"), dead.then(|| "why".into()));
        assert_eq!(said.says("x-loomflow-rounds"), (!dead).then(|| "3".into()));
    }
}

/// A day with one server that has a message in hand, and one that is about to be told of it.
fn with_one_held() -> Day {
    let mut day = Day::new(1, true);
    for _ in 0..20 {
        day.exchange(0, usize::MAX);
    }
    day.publish(None);
    day.exchange(0, usize::MAX);
    assert_eq!(day.servers[0].held.len(), 1);
    day
}

#[test]
fn what_has_not_begun_when_the_grace_is_over_stands_in_its_queue_as_if_never_touched() {
    let mut day = with_one_held();
    day.leave(0);
    for _ in 0..20 {
        day.exchange(0, usize::MAX);
    }
    assert!(day.servers[0].held.is_empty() && day.servers[0].consumer.is_drained(day.now));
    let back = day.broker.take("jobs");
    assert_eq!((back.len(), back[0].redelivered, day.broker.unacked("jobs")), (1, false, 0));
}

#[test]
fn a_broker_that_does_not_answer_is_waited_for_until_the_last_moment_and_no_longer() {
    let mut day = with_one_held();
    day.begin(0);
    day.leave(0);
    day.finish(0, true);
    let by = day.now + GRACE;
    // Nothing that is said arrives.
    let consumer = &mut day.servers[0].consumer;
    assert!(consumer.tick(by - 1.0).is_ok() && !consumer.is_drained(by - 1.0) && consumer.is_drained(by));
}

#[test]
fn leaving_waits_for_no_broker_that_has_not_answered_and_for_the_word_of_one_that_has() {
    let mut day = Day::new(2, true);
    day.servers[0].consumer.connected(0.0);
    for _ in 0..20 {
        day.exchange(1, usize::MAX);
    }
    let [one, other] = &mut day.servers[..] else { unreachable!("there are two") };
    let (one, other) = (&mut one.consumer, &mut other.consumer);
    // Long after the handshake, which has a limit of its own.
    one.begin_drain(1e9, 3_000.0);
    other.begin_drain(1e9, 6_000.0);
    one.connected(3_000.0);
    assert!(one.is_drained(3_000.0) && !other.is_drained(6_000.0));
    day.now = 6_000.0;
    for _ in 0..20 {
        day.exchange(1, usize::MAX);
    }
    assert!(day.servers[1].consumer.is_drained(6_000.0) && day.servers[1].opens_at.is_none());
    assert_eq!(day.broken, 0, "its end was heard of");
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 400, max_shrink_iters: 20_000, ..ProptestConfig::default() })]

    #[test]
    fn archive_runs_at_most_once_and_every_message_has_its_ending(moves in moves()) {
        for servers in [1, 2] {
            let mut day = play(servers, true, moves.clone());
            day.settle();
            day.check();
        }
    }

    #[test]
    fn so_has_every_message_without_an_effect(moves in moves()) {
        let mut day = play(2, false, moves);
        day.settle();
        day.check();
    }
}
