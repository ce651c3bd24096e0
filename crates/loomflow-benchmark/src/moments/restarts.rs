//! Thirty processes that restart at once on one machine: how soon each is ready, with its peers up, slow or down.
//!
//! A process is ready once its engine has run a request for a gateway or, without an engine, once it responds to a
//! gateway's health check. The operators require that nine in ten are ready within ten seconds.

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
/// Time within which a process should be ready.
const READY_WITHIN: Duration = Duration::from_secs(10);
/// Fraction of the processes that must be ready within [`READY_WITHIN`].
const MIN_READY_FRACTION: f64 = 0.9;
/// Delay of the `HELLO` of a slow engine.
const SLOW_HELLO: Duration = Duration::from_secs(2);
/// Delay of each reply of a slow ledger.
const SLOW_REPLY: Duration = Duration::from_millis(300);
/// Interval between two requests of a gateway that waits to be served.
const RETRY_INTERVAL: Duration = Duration::from_millis(5);
/// The wait for a process ends after this time, which is then recorded as the time it took.
const READY_TIMEOUT: Duration = Duration::from_secs(30);
const READY_TIMEOUT_MS: f64 = 30_000.0;

/// State of the engine, the ledger and the control plane at the restart of a process.
#[derive(Clone, Copy, PartialEq)]
enum PeerState {
    Up,
    Slow,
    /// Up, and the previous process still drains while the next one starts.
    UpBesideDrain,
}

struct Process {
    fixture: ServerFixture,
    engine: Option<AutonomousEngine>,
}

/// Measures restarts of the server `program` for each state of its peers.
pub fn measure(report: &mut Report, program: &Path) {
    let mut rows = Vec::new();
    let cases = [
        ("peers up", PeerState::Up, "restart_up"),
        ("peers up, beside the former life's drain", PeerState::UpBesideDrain, "restart_drain"),
        ("peers slow", PeerState::Slow, "restart_slow"),
    ];
    for (name, peers, figure) in cases {
        let ready = restart_all(peers, program);
        report.require_min(figure, fraction_in_time(&ready), MIN_READY_FRACTION);
        rows.push(row(name, ready));
    }
    let (checked, ran) = restart_without_peers(program);
    report.require_min("restart_down", fraction_in_time(&checked), MIN_READY_FRACTION);
    report.require_min("restart_engine_back", fraction_in_time(&ran), MIN_READY_FRACTION);
    rows.push(row("peers down, to the first check", checked));
    rows.push(row("from the engine's return to the first run", ran));
    let title = format!("{PROCESSES} processes that restart at once, ready after, ms");
    report.table(&title, &["restart with", "p50", "p90", "most"], rows);
}

fn fraction_in_time(ready: &[Duration]) -> f64 {
    let in_time = ready.iter().filter(|took| **took <= READY_WITHIN).count();
    in_time as f64 / ready.len() as f64
}

fn row(name: &str, mut ready: Vec<Duration>) -> Vec<String> {
    ready.sort();
    let at = |fraction: f64| {
        format!("{:.0}", ready[((ready.len() - 1) as f64 * fraction) as usize].as_secs_f64() * 1e3)
    };
    vec![name.to_owned(), at(0.5), at(0.9), at(1.0)]
}

/// Starts processes that have each served a request, so that the restart follows a process that was in service.
fn start_processes(peers: PeerState, program: &Path) -> Vec<Process> {
    let start = |_| {
        let engine = AutonomousEngine::start(1, Duration::from_millis(5));
        let mut fixture = super::fixture(program);
        fixture.config["engine"] = engine.address.to_string().into();
        if peers == PeerState::Slow {
            fixture.ledger.post_all_after(SLOW_REPLY);
            // The control plane accepts reports and never responds to them.
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

/// Stops all processes, restarts them at once, and returns the time that each took to serve a request.
fn restart_all(peers: PeerState, program: &Path) -> Vec<Duration> {
    let mut processes = start_processes(peers, program);
    for process in &mut processes {
        let engine = process.engine.as_ref().expect("every process has an engine");
        match peers {
            PeerState::UpBesideDrain => process.fixture.drain_in_background(),
            _ => process.fixture.kill(),
        }
        engine.reset_for_server_restart();
        if peers == PeerState::Slow {
            engine.set_hello_delay(SLOW_HELLO);
        }
    }
    in_parallel(&mut processes, |process| {
        let attached = process.engine.as_ref().map_or(0, AutonomousEngine::attach_count);
        let since = Instant::now();
        process.fixture.start("exec \"$0\" serve");
        // Until the new process has attached to the engine, the previous one may still be the one that responds.
        while process.engine.as_ref().is_some_and(|engine| engine.attach_count() == attached)
            && ms(since) < READY_TIMEOUT_MS
        {
            thread::sleep(RETRY_INTERVAL);
        }
        wait_until_served(&process.fixture, since);
        since.elapsed()
    })
}

/// Restarts all processes with nothing listening at the addresses of engine, ledger and control plane, then starts the
/// engines. Returns the times to the first health check, and from the start of the engine to the first served request.
fn restart_without_peers(program: &Path) -> (Vec<Duration>, Vec<Duration>) {
    let mut processes = start_processes(PeerState::Up, program);
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
        let _ = gateway.next_response(READY_TIMEOUT);
        since.elapsed()
    });
    let ran = in_parallel(&mut processes, |process| {
        let address = process.fixture.config["engine"].as_str().expect("`engine` is an address").to_owned();
        let listener = TcpListener::bind(&address).expect("the engine's address is free");
        let since = Instant::now();
        process.engine = Some(AutonomousEngine::at(listener, 1, Duration::from_millis(5)));
        wait_until_served(&process.fixture, since);
        since.elapsed()
    });
    (checked, ran)
}

/// Applies `measure` to all processes at once, in one thread each.
fn in_parallel(
    processes: &mut [Process],
    measure: impl Fn(&mut Process) -> Duration + Sync,
) -> Vec<Duration> {
    let measure = &measure;
    thread::scope(|scope| {
        let threads: Vec<_> =
            processes.iter_mut().map(|process| scope.spawn(move || measure(process))).collect();
        threads
            .into_iter()
            .map(|thread| thread.join().expect("the measuring thread does not panic"))
            .collect()
    })
}

/// Sends requests as a gateway until one is served, for at most [`READY_TIMEOUT`] after `since`.
fn wait_until_served(fixture: &ServerFixture, since: Instant) {
    let mut gateway: Option<Gateway> = None;
    let mut tag = 0;
    while ms(since) < READY_TIMEOUT_MS {
        let mut connection = gateway.take().unwrap_or_else(|| fixture.gateway());
        tag += 1;
        let sent = connection.stream.write_all(&call(tag, "read", &fields(&next_attempt_id()), b"x")).is_ok();
        // A process that exits closes its connections: the next attempt opens another.
        let response = if sent { connection.next_response(READY_TIMEOUT).ok().flatten() } else { None };
        match response {
            Some(response) if response.status == "OK" => return,
            Some(response) if response.tag > 0 => gateway = Some(connection),
            _ => {}
        }
        thread::sleep(RETRY_INTERVAL);
    }
}
