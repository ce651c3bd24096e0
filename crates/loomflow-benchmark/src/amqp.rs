//! Measures the AMQP front: whether its rules hold under redeliveries and restarts, its CPU time compared with RESP,
//! both fronts under overload, and memory with a long queue.

use std::collections::BTreeMap;
use std::thread;
use std::time::{Duration, Instant};

use loomflow_load::{BackgroundTask, Plan, Results, resp};
use loomflow_test_servers::broker::{Broker, Faults, Message, message};
use loomflow_test_servers::{AutonomousEngine, ServerFixture, class, site};
use serde_json::Value;

use crate::process;
use crate::report::Report;

const CORES: usize = 4;

pub fn measure(quick: bool) -> Report {
    let mut report = Report::new("amqp");
    measure_rules(&mut report, if quick { 60 } else { 1_000 });
    measure_cost(&mut report, if quick { 4 } else { 15 });
    measure_overload(&mut report, if quick { 8 } else { 20 });
    measure_backlog(&mut report, if quick { 20_000 } else { 100_000 });
    report
}

fn options(broker: &Broker, class: &str, rank: f64) -> String {
    format!(
        "amqp:\n  brokers: [\"{}\"]\n  credentials: CREDENTIALS\n  dead_letter: {{routing_key: dead}}\n  queues:\n    - \
         {{name: jobs, class: {class}, tenant: acme, work_ms: 10, rank: {rank}}}\n",
        broker.address
    )
}

/// Starts a server with an autonomous engine and, optionally, a broker with the class and the rank of its queue.
fn fixture(
    settings: Value,
    engine: &AutonomousEngine,
    broker: Option<(&Broker, &str, f64)>,
) -> ServerFixture {
    let mut fixture = ServerFixture::new(settings);
    fixture.program = process::program();
    fixture.config["limits"]["memory_mb"] = 32.into();
    if let Some((broker, class, rank)) = broker {
        fixture.options(&options(broker, class, rank));
    }
    fixture.serve_with(engine);
    fixture
}

fn job(number: u64) -> Message {
    let id = number.to_string();
    message("jobs", &id, id.as_bytes()).reply_to("replies", &id)
}

// ---- Rules under redeliveries and restarts ----

/// Fault that is injected in one round, in the server or its connections.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Fault {
    None,
    Restart,
    Disconnect,
    DisconnectWithinFrame,
    CloseChannels,
    LoseAcks,
    LoseConfirm,
    NackPublishes,
}

impl Fault {
    fn random(random: &mut fastrand::Rng) -> Fault {
        match random.u8(0..10) {
            0 | 1 => Fault::Restart,
            2 | 3 => Fault::Disconnect,
            4 => Fault::DisconnectWithinFrame,
            5 => Fault::CloseChannels,
            6 => Fault::LoseAcks,
            7 => Fault::LoseConfirm,
            8 => Fault::NackPublishes,
            _ => Fault::None,
        }
    }

    /// Name of the fault in the table.
    fn as_str(self) -> &'static str {
        match self {
            Fault::None => "none",
            Fault::Restart => "restart",
            Fault::Disconnect => "connection cut",
            Fault::DisconnectWithinFrame => "connection cut within a frame",
            Fault::CloseChannels => "channels closed",
            Fault::LoseAcks => "acks lost",
            Fault::LoseConfirm => "confirm lost",
            Fault::NackPublishes => "publishes nacked",
        }
    }

    /// Whether the server may fail to learn that the broker has accepted a reply, and then publishes the reply again.
    fn may_repeat_replies(self) -> bool {
        !matches!(self, Fault::None | Fault::NackPublishes)
    }

    fn inject(self, peers: &mut Peers, random: &mut fastrand::Rng) {
        let Peers { fixture, engine, broker } = peers;
        match self {
            Fault::None => {}
            Fault::Restart => {
                fixture.kill();
                engine.reset_for_server_restart();
                fixture.start("exec \"$0\" serve");
                fixture.wait_for_service();
            }
            Fault::Disconnect => broker.disconnect_all(),
            Fault::DisconnectWithinFrame => broker.disconnect_after(random.u64(1..2_000)),
            Fault::CloseChannels => broker.with_state(|state| state.close_channels("jobs", 541)),
            Fault::LoseAcks => {
                broker.faults(|faults| faults.forget_acks = 2);
                thread::sleep(Duration::from_millis(10));
                broker.disconnect_all();
            }
            Fault::LoseConfirm => {
                broker.faults(|faults| faults.unconfirmed = 1);
                thread::sleep(Duration::from_millis(10));
                broker.disconnect_all();
            }
            Fault::NackPublishes => broker.faults(|faults| faults.nack = 2),
        }
    }
}

/// A server with its broker and its engine.
struct Peers {
    // Fields are dropped in this order: the server before its peers.
    fixture: ServerFixture,
    engine: AutonomousEngine,
    broker: Broker,
}

/// Number of rounds by fault, and the outcomes of their messages.
#[derive(Default)]
struct RoundResults {
    rounds_by_fault: BTreeMap<Fault, u32>,
    published: u64,
    replies: Vec<Message>,
    dead_lettered: usize,
}

fn measure_rules(report: &mut Report, rounds: u32) {
    let (broker, engine) = (Broker::with_jobs(), AutonomousEngine::start(CORES, Duration::from_millis(2)));
    let fixture = fixture(site(20_000.0), &engine, Some((&broker, "book", 0.5)));
    let mut peers = Peers { fixture, engine, broker };
    let results = run_rounds(&mut peers, rounds);
    report_rounds(report, &results, &peers.engine);
}

fn run_rounds(peers: &mut Peers, rounds: u32) -> RoundResults {
    let mut random = fastrand::Rng::with_seed(7);
    let mut results = RoundResults::default();
    for _ in 0..rounds {
        for _ in 0..random.u64(1..8) {
            peers.broker.publish(job(results.published));
            results.published += 1;
        }
        thread::sleep(Duration::from_millis(random.u64(0..20)));
        let fault = Fault::random(&mut random);
        fault.inject(peers, &mut random);
        *results.rounds_by_fault.entry(fault).or_default() += 1;
        results.replies.extend(peers.broker.take("replies"));
    }
    let broker = &peers.broker;
    broker.faults(|faults| *faults = Faults::default());
    broker.disconnect_all();
    broker.wait_until_empty("jobs");
    thread::sleep(Duration::from_millis(300));
    results.replies.extend(broker.take("replies"));
    results.dead_lettered = broker.take("dead").len();
    results
}

/// Numbers of `served` replies and of other replies, by the number of the message.
fn counts_by_message(replies: &[Message]) -> (BTreeMap<String, u32>, BTreeMap<String, u32>) {
    let (mut served, mut failed) = (BTreeMap::new(), BTreeMap::new());
    for reply in replies {
        let counts = if reply.kind() == "served" { &mut served } else { &mut failed };
        *counts.entry(reply.correlation()).or_default() += 1;
    }
    (served, failed)
}

fn report_rounds(report: &mut Report, results: &RoundResults, engine: &AutonomousEngine) {
    let (served, failed) = counts_by_message(&results.replies);
    let has_ended = |number: &u64| {
        let id = number.to_string();
        served.contains_key(&id) || failed.contains_key(&id)
    };
    let mut rows: Vec<Vec<String>> = results
        .rounds_by_fault
        .iter()
        .map(|(fault, count)| vec![fault.as_str().to_owned(), count.to_string()])
        .collect();
    rows.sort();
    report.table("Rounds by what happened in them", &["event", "rounds"], rows);
    report.figure("messages", results.published as f64);
    let duplicate_runs = engine.run_counts().values().filter(|times| **times > 1).count();
    report.require_max("runs_twice", duplicate_runs as f64, 0.0);
    let without_ending = (0..results.published).filter(|number| !has_ended(number)).count();
    report.require_max("without_ending", without_ending as f64, 0.0);
    // If a process is killed between a reply and the ack, the message is redelivered to the next process, which has no record
    // of it.
    let restarts = f64::from(results.rounds_by_fault.get(&Fault::Restart).copied().unwrap_or(0));
    let contrary = served.keys().filter(|id| failed.contains_key(*id)).count();
    report.require_max("contrary_replies", contrary as f64, restarts * CORES as f64);
    // A reply whose confirm was lost may or may not have been accepted, so the same reply is published again.
    let repeating = results.rounds_by_fault.iter().filter(|(fault, _)| fault.may_repeat_replies());
    let repeating: u32 = repeating.map(|(_, count)| count).sum();
    let repeated: u32 = served.values().map(|times| times - 1).sum();
    report.require_max("same_reply_again", f64::from(repeated), f64::from(repeating) * CORES as f64);
    report.figure("dead_lettered", results.dead_lettered as f64);
}

// ---- CPU time compared with RESP ----

/// Request rate for the comparison of CPU time, on either front.
const REQUESTS_PER_S: f64 = 1_500.0;

fn measure_cost(report: &mut Report, seconds: u64) {
    let duration = Duration::from_secs(seconds);
    let engine = AutonomousEngine::start(CORES, Duration::from_micros(200));
    let by_resp =
        process::cpu_by_resp(&fixture(site(20_000.0), &engine, None), "book", REQUESTS_PER_S, duration);
    let (by_queue, count) = {
        let broker = Broker::with_jobs();
        let fixture = fixture(site(20_000.0), &engine, Some((&broker, "book", 0.5)));
        let before = process::cpu(fixture.pid());
        let replies = publish_and_count_served(&broker, REQUESTS_PER_S, duration);
        (((process::cpu(fixture.pid()) - before) / replies.max(1) as f64), replies)
    };
    let us = |s: f64| format!("{:.0}", s * 1e6);
    let a_second = |s: f64| format!("{:.0}", 1.0 / s);
    report.table(
        "CPU of the server a request, at the same rate on the same engine",
        &["front", "us", "a second on one core"],
        vec![
            vec!["RESP".into(), us(by_resp), a_second(by_resp)],
            vec!["AMQP".into(), us(by_queue), a_second(by_queue)],
        ],
    );
    report.figure("cost_messages", count as f64);
    report.require_max("cpu_ratio", by_queue / by_resp, 1.5);
}

/// Publishes the jobs that are due at a rate since `start`, from `number` on.
fn publish_due(broker: &Broker, number: &mut u32, start: Instant, requests_per_s: f64) {
    while f64::from(*number) < start.elapsed().as_secs_f64() * requests_per_s {
        broker.publish(job((*number).into()));
        *number += 1;
    }
}

/// Publishes jobs at a rate and waits until the queue is empty. Returns the number of served jobs.
fn publish_and_count_served(broker: &Broker, requests_per_s: f64, duration: Duration) -> usize {
    let start = Instant::now();
    let (mut number, mut served) = (0_u32, 0);
    let count = |broker: &Broker| broker.take("replies").iter().filter(|r| r.kind() == "served").count();
    while start.elapsed() < duration {
        publish_due(broker, &mut number, start, requests_per_s);
        served += count(broker);
        thread::sleep(Duration::from_millis(2));
    }
    broker.wait_until_empty("jobs");
    thread::sleep(Duration::from_millis(100));
    served + count(broker)
}

// ---- Both fronts under overload ----

/// Request rate of each front: together three times the capacity of the engine.
const OVERLOAD_REQUESTS_PER_S: f64 = 600.0;
const WORK: Duration = Duration::from_millis(10);
/// Maximum wait for open requests at the end of the load.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(3);

/// Sample of the AMQP front in one second.
struct Second {
    unacked: usize,
    memory_mb: f64,
    served: usize,
    rejected: usize,
}

fn measure_overload(report: &mut Report, seconds: u64) {
    let settings = overload_settings();
    let duration = Duration::from_secs(seconds);
    let plan = Plan {
        class: "pay",
        rates: vec![(0.0, OVERLOAD_REQUESTS_PER_S)],
        duration,
        connections: 32,
        objective: Duration::from_millis(500),
        prefix: "r",
    };
    let engine = AutonomousEngine::start(CORES, WORK);
    let resp_alone = {
        let fixture = fixture(settings.clone(), &engine, None);
        resp::run(fixture.listen, &plan, RESPONSE_TIMEOUT)
    };
    let broker = Broker::with_jobs();
    let both = fixture(settings, &engine, Some((&broker, "book", 0.1)));
    let queue_load = {
        let (broker, pid) = (broker.clone(), both.pid());
        BackgroundTask::start(move |_| publish_and_sample(&broker, pid, duration))
    };
    let resp_beside_queue = resp::run(both.listen, &plan, RESPONSE_TIMEOUT);
    let queue = queue_load.stop();
    print_overload(report, &resp_beside_queue, &queue);
    report_overload(report, &resp_alone, &resp_beside_queue, &queue);
}

/// Settings in which a job of the queue has a fifth of the value of a RESP call, and ten times its timeout.
fn overload_settings() -> Value {
    let mut settings = site(1_000.0);
    settings["Classes"][2] = class("book", "keyed", 10_000.0);
    settings["Classes"][2]["Points"] = 0.2.into();
    settings
}

fn print_overload(report: &Report, resp: &Results, queue: &[Second]) {
    let rows = queue.iter().enumerate().map(|(at, second)| {
        let resp = resp.seconds.get(at).copied().unwrap_or_default();
        let mut row = vec![at.to_string(), resp.in_time.to_string(), resp.rejected.to_string()];
        row.extend([second.served, second.rejected, second.unacked].map(|count| count.to_string()));
        row.push(format!("{:.1}", second.memory_mb));
        row
    });
    let head = [
        "second",
        "RESP in time",
        "RESP refused",
        "AMQP served",
        "AMQP refused",
        "unacknowledged",
        "memory MB",
    ];
    report.table("RESP and AMQP together at three times what the engine does", &head, rows.collect());
}

fn report_overload(report: &mut Report, resp_alone: &Results, resp_beside_queue: &Results, queue: &[Second]) {
    let share_in_time = |results: &Results| {
        let total = results.total();
        f64::from(total.in_time) / f64::from(total.sent.max(1))
    };
    let (alone, beside_queue) = (share_in_time(resp_alone), share_in_time(resp_beside_queue));
    report.figure("resp_alone", alone);
    report.figure("resp_beside_queue", beside_queue);
    report.require_min("resp_kept", beside_queue / alone, 0.95);
    report.figure("queue_served", queue.iter().map(|second| second.served).sum::<usize>() as f64);
    // Jobs of low value for which the engine has no capacity must wait at the broker, apart from a few per core.
    let max_unacked = queue.iter().map(|second| second.unacked).max().unwrap_or(0);
    report.require_max("most_unacked", max_unacked as f64, 4.0 * CORES as f64);
    let (middle, end) = (queue.len() / 2, queue.len().saturating_sub(1));
    report.require_max("memory_growth", queue[end].memory_mb / queue[middle].memory_mb.max(0.1), 1.25);
    let total = resp_beside_queue.total();
    report.require_max("lost", f64::from(total.lost + total.wrong), 0.0);
}

/// Publishes jobs at the rate of the overload and samples the AMQP front once per second.
fn publish_and_sample(broker: &Broker, pid: u32, duration: Duration) -> Vec<Second> {
    let start = Instant::now();
    let (mut number, mut seconds) = (0_u32, Vec::new());
    let (mut served, mut rejected) = (0, 0);
    while start.elapsed() < duration {
        publish_due(broker, &mut number, start, OVERLOAD_REQUESTS_PER_S);
        for reply in broker.take("replies") {
            match reply.kind().as_str() {
                "served" => served += 1,
                _ => rejected += 1,
            }
        }
        if start.elapsed().as_secs() as usize > seconds.len() {
            let unacked = broker.with_state(|state| state.unacked("jobs"));
            seconds.push(Second { unacked, memory_mb: process::memory(pid), served, rejected });
            (served, rejected) = (0, 0);
        }
        thread::sleep(Duration::from_millis(5));
    }
    seconds
}

// ---- Memory with a long queue ----

fn measure_backlog(report: &mut Report, count: u64) {
    let (broker, engine) = (Broker::with_jobs(), AutonomousEngine::start(CORES, Duration::from_millis(50)));
    let is_published = broker.with_state(|state| (0..count).all(|number| state.publish(job(number))));
    assert!(is_published, "{count} jobs can be published to the queue");
    let idle = {
        let fixture = fixture(site(20_000.0), &engine, None);
        thread::sleep(Duration::from_secs(1));
        process::memory(fixture.pid())
    };
    let fixture = fixture(site(20_000.0), &engine, Some((&broker, "book", 0.5)));
    let mut peak: f64 = 0.0;
    for _ in 0..40 {
        thread::sleep(Duration::from_millis(100));
        peak = peak.max(process::memory(fixture.pid()));
    }
    let unacked = broker.with_state(|state| state.max_unacked);
    report.table(
        "Messages waiting at the broker before a slow engine",
        &["waiting", "MB idle without a queue", "MB at most", "unacknowledged at most"],
        vec![vec![count.to_string(), format!("{idle:.1}"), format!("{peak:.1}"), unacked.to_string()]],
    );
    report.require_max("backlog_mb_more", peak - idle, 4.0);
    report.require_max("backlog_unacked", unacked as f64, 126.0);
}
