//! Tests of a consumer and the controller under overload, with a simulated engine and the state machine of the test
//! broker, without sockets. Messages state when they were sent, so the controller orders and rejects them like the
//! requests of gateways, and no message is run after the timeout of its caller.

mod common;
use std::collections::{BTreeMap, VecDeque};

use common::*;
use loomflow::controller::Controller;
use loomflow::interface::{Action, Arrival, AttemptOutcome, Event, Gauges, RequestAttributes, RequestId};
use loomflow_amqp::idempotency::NoHistory;
use loomflow_amqp::*;
use loomflow_settings::{JsonObject, Site};
use loomflow_test_servers::broker::message;
use loomflow_test_servers::broker::state::State;
use proptest::prelude::*;

const CORES: usize = 4;
const WORK_MS: f64 = 10.0;
/// Capacity of the engine.
const MESSAGES_PER_SECOND: f64 = CORES as f64 * 1000.0 / WORK_MS;
const CALLER_TIMEOUT_MS: f64 = 1_000.0;
const CONNECTION: u64 = 1;
/// Time between batches, ms.
const STEP_MS: f64 = 5.0;

struct Simulation {
    now: f64,
    broker: State,
    consumer: Consumer,
    controller: Controller,
    /// Submitted messages by their request ids at the controller.
    submitted: BTreeMap<RequestId, SubmittedMessage>,
    last_request: RequestId,
    waiting: VecDeque<RequestId>,
    /// When each core becomes idle, and the request that runs on it.
    cores: Vec<(f64, Option<RequestId>)>,
    timers: Vec<f64>,
    /// When each message was sent.
    sent: Vec<f64>,
    /// Whether each message was served, and when its reply was published.
    outcomes: BTreeMap<usize, (bool, f64)>,
    /// Number of runs that started after the timeout of the caller.
    late_runs: usize,
}

impl Simulation {
    fn new() -> Simulation {
        let site = loomflow_test_servers::site(CALLER_TIMEOUT_MS);
        let site = Site::parse(&JsonObject::new("", &site).unwrap()).unwrap();
        let mut amqp = settings(true);
        (amqp.max_in_flight, amqp.max_unconfirmed) = (4_000, 256);
        amqp.capacity =
            idempotency::Capacity { records: 10_000, reply_bytes: 1_000_000, retired_keys: 10_000 };
        amqp.classes[0].timeout = CALLER_TIMEOUT_MS;
        amqp.queues[0].sent_from = Some(SentFrom::Header("sent".into()));
        let mut consumer = Consumer::new(amqp, Box::new(NoHistory), 7);
        consumer.start_accepting();
        consumer.connected(0.0);
        let mut broker = State::default();
        for queue in ["jobs", "dead", "replies"] {
            broker.declare(queue, None);
        }
        broker.connection_opened(CONNECTION);
        let mut controller_settings = site.settings.clone();
        for class in &mut controller_settings.classes {
            class.makes_calls = false;
        }
        Simulation {
            now: 0.0,
            broker,
            consumer,
            controller: Controller::new(controller_settings, 7, 0.0),
            submitted: BTreeMap::new(),
            last_request: 0,
            waiting: VecDeque::new(),
            cores: vec![(0.0, None); CORES],
            timers: Vec::new(),
            sent: Vec::new(),
            outcomes: BTreeMap::new(),
            late_runs: 0,
        }
    }

    fn publish(&mut self) {
        let id = self.sent.len().to_string();
        self.sent.push(self.now);
        let message = message("jobs", &id, id.as_bytes()).reply_to("replies", &id);
        assert!(self.broker.publish(message.with_number_header("sent", self.now as i64)));
    }

    fn step(&mut self) {
        self.now += STEP_MS;
        let mut events = self.finish_runs();
        self.exchange_frames();
        events.extend(self.submit_messages());
        events.extend(self.fire_timer());
        let mut actions = Vec::new();
        for event in events {
            self.controller.event(self.now, event, &mut actions);
        }
        self.controller.decide(self.now, &mut actions);
        for action in actions {
            self.carry_out(action);
        }
        self.start_runs();
        self.exchange_frames();
        self.take_replies();
    }

    /// Responds to the messages whose runs have finished by now.
    fn finish_runs(&mut self) -> Vec<Event> {
        let mut events = Vec::new();
        for core in &mut self.cores {
            let Some(id) = core.1.take_if(|_| core.0 <= self.now) else { continue };
            let message = self.submitted.remove(&id).expect("a submitted message");
            self.consumer.respond(message.id, MessageResponse::Served(&message.body), self.now);
            events.push(Event::RunEnded { id, outcome: AttemptOutcome::Ok, duration: WORK_MS });
        }
        events
    }

    /// Arrival events of the messages that the consumer submits.
    fn submit_messages(&mut self) -> Vec<Event> {
        let mut events = Vec::new();
        for request in self.consumer.take_requests() {
            let ConsumerRequest::Submit(message) = request else { continue };
            self.last_request += 1;
            events.push(Event::RequestArrived(Arrival {
                id: self.last_request,
                attributes: RequestAttributes {
                    class: 2,
                    tenant: 0,
                    remaining_wait: CALLER_TIMEOUT_MS - message.upstream_time,
                    estimated_work: Some(WORK_MS),
                    memory_kb: 1.0,
                    rank: 0.5,
                    is_retry: false,
                    caller: 0,
                    age: 0.0,
                    upstream_time: message.upstream_time,
                },
                original: None,
            }));
            self.submitted.insert(self.last_request, message);
        }
        events
    }

    fn fire_timer(&mut self) -> Option<Event> {
        if !self.timers.iter().any(|at| *at <= self.now) {
            return None;
        }
        self.timers.retain(|at| *at > self.now);
        let busy = self.cores.iter().filter(|core| core.1.is_some()).count() as f64;
        Some(Event::TimerFired(Gauges {
            core_utilization: Some(busy / CORES as f64),
            runnable: Some(busy + self.waiting.len() as f64),
            ..Gauges::default()
        }))
    }

    /// Starts waiting messages on idle cores. A run starts when its core became idle, but at most one step ago.
    fn start_runs(&mut self) {
        for core in self.cores.iter_mut().filter(|core| core.1.is_none()) {
            if let Some(id) = self.waiting.pop_front() {
                *core = (core.0.max(self.now - STEP_MS) + WORK_MS, Some(id));
            }
        }
    }

    fn take_replies(&mut self) {
        for reply in self.broker.take("replies") {
            let number: usize = reply.correlation().parse().unwrap();
            assert_ne!(reply.kind(), "refused", "no retry is possible within the timeout of one second");
            let previous = self.outcomes.insert(number, (reply.kind() == "served", self.now));
            assert!(previous.is_none(), "message {number} has a second reply");
        }
    }

    fn carry_out(&mut self, action: Action) {
        let now = self.now;
        match action {
            Action::Run(id) => {
                let message = &self.submitted[&id];
                self.consumer.run_started(message.id, now);
                let number: usize = String::from_utf8(message.body.clone()).unwrap().parse().unwrap();
                self.late_runs += usize::from(now - self.sent[number] > CALLER_TIMEOUT_MS);
                self.waiting.push_back(id);
            }
            Action::Reject { id, retry_after, is_final } => {
                let message = self.submitted.remove(&id).expect("a submitted message");
                self.consumer.respond(message.id, MessageResponse::Rejected { retry_after, is_final }, now);
            }
            Action::Fail(id) => {
                // A running message gets its response when the run ends.
                if let Some(message) = self.submitted.get(&id).filter(|_| !self.waiting.contains(&id)) {
                    self.consumer.respond(message.id, MessageResponse::MayHaveRun, now);
                }
            }
            Action::SetSignal(share) => self.consumer.set_share(share),
            Action::SetTimer(at) => self.timers.push(at),
            _ => {}
        }
    }

    /// Transfers frames between consumer and broker until the broker sends no more.
    fn exchange_frames(&mut self) {
        loop {
            self.consumer.tick(self.now).expect("an open connection");
            let mut bytes: VecDeque<u8> = self.consumer.take_output(self.now).into();
            for frame in decode(&mut bytes) {
                self.broker.handle_frame(CONNECTION, frame);
            }
            let out = self.broker.take_outgoing();
            if out.is_empty() {
                return;
            }
            for (_, frame) in out {
                self.consumer.handle_frame(frame.expect("an open connection"), self.now).expect("a frame");
            }
        }
    }

    /// Number of messages that were sent in a second and served within half the timeout, relative to the capacity.
    fn in_time(&self, second: usize) -> f64 {
        let is_in_second = |at: f64| (at / 1_000.0) as usize == second;
        let sent_then = self.outcomes.iter().filter(|(number, _)| is_in_second(self.sent[**number]));
        let in_time = sent_then
            .filter(|(number, (served, at))| *served && at - self.sent[**number] <= CALLER_TIMEOUT_MS / 2.0);
        in_time.count() as f64 / MESSAGES_PER_SECOND
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 8, ..ProptestConfig::default() })]

    #[test]
    fn a_burst_is_served_in_time_and_leaves_no_backlog(
        base_load in 0.3f64..0.8, burst_load in 1.2f64..4.0, jitter in 0.0f64..1.0, seed in any::<u64>(),
    ) {
        let (mut simulation, mut random) = (Simulation::new(), fastrand::Rng::with_seed(seed));
        let mut next_send_at = 0.0;
        while simulation.now < 8_000.0 {
            while next_send_at <= simulation.now {
                simulation.publish();
                let rate = if (2_000.0..6_000.0).contains(&next_send_at) { burst_load } else { base_load } * MESSAGES_PER_SECOND;
                // With a jitter of 0, messages are sent at regular intervals.
                next_send_at += 1_000.0 / rate * (1.0 + jitter * (random.f64() * 2.0 - 1.0));
            }
            simulation.step();
        }
        for _ in 0..300 {
            simulation.step();
        }
        prop_assert_eq!(simulation.outcomes.len(), simulation.sent.len(), "each message has an outcome");
        prop_assert_eq!(simulation.late_runs, 0);
        for second in 3..6 {
            prop_assert!(simulation.in_time(second) >= 0.9, "second {}: {:.2}", second, simulation.in_time(second));
        }
        let replies_to_burst = simulation.outcomes.iter().filter(|(number, _)| simulation.sent[**number] < 6_000.0).map(|(_, (_, at))| *at);
        prop_assert!(replies_to_burst.fold(0.0, f64::max) <= 7_000.0);
        prop_assert!(simulation.in_time(7) * MESSAGES_PER_SECOND >= simulation.sent.iter().filter(|at| **at >= 7_000.0 && **at < 8_000.0).count() as f64 - 1.0);
    }
}
