//! Thirty processes that restart at once on one machine: how soon each is ready, whatever state its peers are in.
//!
//! A process is ready once its engine has run a request for a gateway, or, while there is no engine, once it answers a
//! gateway's health check. The bound is the operators': nine in ten within ten seconds.

use std::io::Write;
use std::net::TcpListener;
use std::path::Path;
use std::thread;
use std::time::{Duration, Instant};

use loomflow_test_servers::{
    AutonomousEngine, Gateway, ServerFixture, call, fields, health, loopback_address, next_attempt_id,
};

use super::ms;
use crate::report::Report;

/// Processes that restart at the same time.
const PROCESSES: usize = 30;
/// Each should be ready within this, and this part of them must be.
const READY_WITHIN: Duration = Duration::from_secs(10);
const READY_PART: f64 = 0.9;
/// How long slow peers take: the engine for its `HELLO`, the ledger for each reply.
const SLOW_HELLO: Duration = Duration::from_secs(2);
const SLOW_REPLY: Duration = Duration::from_millis(300);
/// A gateway that was rejected retries after this.
const RETRY_INTERVAL: Duration = Duration::from_millis(5);
/// One that is not ready by then is taken to be so then.
const GIVE_UP: Duration = Duration::from_secs(30);
const GIVE_UP_MS: f64 = 30_000.0;

/// In which state a process finds its engine, its ledger and its control plane.
#[derive(Clone, Copy, PartialEq)]
enum Peers {
    Up,
    Slow,
    /// Up, and the former process still drains as the next one starts.
    UpBesideDrain,
}

struct Process {
    fixture: ServerFixture,
    engine: Option<AutonomousEngine>,
}

/// Measures restarts for each state of the peers. `program`: the server.
pub fn measure(report: &mut Report, program: &Path) {
    let mut rows = Vec::new();
    let cases = [
        ("peers up", Peers::Up, "restart_up"),
        ("peers up, beside the former life's drain", Peers::UpBesideDrain, "restart_drain"),
        ("peers slow", Peers::Slow, "restart_slow"),
    ];
    for (name, peers, figure) in cases {
        let ready = restart_all(peers, program);
        report.require_min(figure, part_in_time(&ready), READY_PART);
        rows.push(row(name, ready));
    }
    let (checked, ran) = restart_without_peers(program);
    report.require_min("restart_down", part_in_time(&checked), READY_PART);
    report.require_min("restart_engine_back", part_in_time(&ran), READY_PART);
    rows.push(row("peers down, to the first check", checked));
    rows.push(row("from the engine's return to the first run", ran));
    let title = format!("{PROCESSES} processes that restart at once, ready after, ms");
    report.table(&title, &["restart with", "p50", "p90", "most"], rows);
}

fn part_in_time(ready: &[Duration]) -> f64 {
    let in_time = ready.iter().filter(|took| **took <= READY_WITHIN).count();
    in_time as f64 / ready.len() as f64
}

fn row(name: &str, mut ready: Vec<Duration>) -> Vec<String> {
    ready.sort();
    let at =
        |part: f64| format!("{:.0}", ready[((ready.len() - 1) as f64 * part) as usize].as_secs_f64() * 1e3);
    vec![name.to_owned(), at(0.5), at(0.9), at(1.0)]
}

/// Processes that have served once, so that each has had a former life.
fn started(peers: Peers, program: &Path) -> Vec<Process> {
    let start = |_| {
        let engine = AutonomousEngine::start(1, Duration::from_millis(5));
        let mut fixture = super::fixture(program);
        fixture.config["engine"] = engine.address.to_string().into();
        if peers == Peers::Slow {
            fixture.ledger.post_all_after(SLOW_REPLY);
            // The control plane takes reports and never answers them.
            fixture.control.set_response("");
        } else {
            fixture.ledger.post_all();
        }
        fixture.serve_with(&engine);
        engine.set_call_interval(1);
        Process { fixture, engine: Some(engine) }
    };
    (0..PROCESSES).map(start).collect()
}

/// Ends all processes, starts all again at once, and returns how long each took until a request was served.
fn restart_all(peers: Peers, program: &Path) -> Vec<Duration> {
    let mut processes = started(peers, program);
    for process in &mut processes {
        let engine = process.engine.as_ref().expect("an engine");
        match peers {
            Peers::UpBesideDrain => process.fixture.drain_in_background(),
            _ => process.fixture.kill(),
        }
        engine.reset_for_server_restart();
        if peers == Peers::Slow {
            engine.set_hello_delay(SLOW_HELLO);
        }
    }
    in_parallel(&mut processes, |process| {
        let attached = process.engine.as_ref().map_or(0, AutonomousEngine::attach_count);
        let since = Instant::now();
        process.fixture.start("exec \"$0\" serve");
        // Until then the former process may still be the one that answers.
        while process.engine.as_ref().is_some_and(|engine| engine.attach_count() == attached)
            && ms(since) < GIVE_UP_MS
        {
            thread::sleep(RETRY_INTERVAL);
        }
        until_served(&process.fixture, since);
        since.elapsed()
    })
}

/// The same with nobody at the addresses of engine, ledger and control plane; then the engines come back.
fn restart_without_peers(program: &Path) -> (Vec<Duration>, Vec<Duration>) {
    let mut processes = started(Peers::Up, program);
    for process in &mut processes {
        process.fixture.kill();
        process.engine = None;
        for peer in ["engine", "ledger", "control"] {
            process.fixture.config[peer] = loopback_address().to_string().into();
        }
    }
    let checked = in_parallel(&mut processes, |process| {
        let since = Instant::now();
        process.fixture.start("exec \"$0\" serve");
        let mut gateway = process.fixture.gateway();
        gateway.send(&health(1, false));
        let _ = gateway.next_response(GIVE_UP);
        since.elapsed()
    });
    let ran = in_parallel(&mut processes, |process| {
        let address = process.fixture.config["engine"].as_str().expect("an address").to_owned();
        let listener = TcpListener::bind(&address).expect("the engine's address");
        let since = Instant::now();
        process.engine = Some(AutonomousEngine::at(listener, 1, Duration::from_millis(5)));
        until_served(&process.fixture, since);
        since.elapsed()
    });
    (checked, ran)
}

/// Does the same to all processes at once.
fn in_parallel(processes: &mut [Process], act: impl Fn(&mut Process) -> Duration + Sync) -> Vec<Duration> {
    let act = &act;
    thread::scope(|scope| {
        let threads: Vec<_> = processes.iter_mut().map(|process| scope.spawn(move || act(process))).collect();
        threads.into_iter().map(|thread| thread.join().expect("a process is measured")).collect()
    })
}

/// Asks as a gateway does, until a request is served.
fn until_served(fixture: &ServerFixture, since: Instant) {
    let mut gateway: Option<Gateway> = None;
    let mut tag = 0;
    while ms(since) < GIVE_UP_MS {
        let mut connection = gateway.take().unwrap_or_else(|| fixture.gateway());
        tag += 1;
        let sent = connection.stream.write_all(&call(tag, "read", &fields(&next_attempt_id()), b"x")).is_ok();
        // A connection to a process that exits is closed: another is opened.
        let answer = if sent { connection.next_response(GIVE_UP).ok().flatten() } else { None };
        match answer {
            Some(answer) if answer.status == "OK" => return,
            Some(answer) if answer.tag > 0 => gateway = Some(connection),
            _ => {}
        }
        thread::sleep(RETRY_INTERVAL);
    }
}
