//! Rare moments, often: how soon a process that has just been started is of use, also where thirty start at once, how often
//! it reports, and what thousands of connections that talk nonsense cost others. Times are shown; what is bounded are
//! counts, one of them of processes that are ready within the ten seconds that the operators allow.

mod restarts;

use std::collections::VecDeque;
use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::path::Path;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use loomflow_test_servers::{Gateway, ServerFixture, health, site};

use crate::report::Report;

/// Timeout of a request, ms.
const REQUEST_TIMEOUT_MS: f64 = 5_000.0;
/// Clients that talk nonsense, and how long each of their connections stays open: longer than the server reads on after
/// it has closed, so that many such waits stand beside each other.
const CLIENTS: usize = 4;
const CONNECTION_LIFETIME: Duration = Duration::from_millis(400);
/// Between two connections of one client.
const INTERVAL: Duration = Duration::from_millis(1);
/// A check that is not answered by then counts as unanswered.
const ANSWER: Duration = Duration::from_secs(3);
/// A server reports every 0.8 s, and is off the lists 3 s after its last report.
const REPORTS_OVER: Duration = Duration::from_secs(8);
const REPORTS: f64 = 9.0;

pub fn measure(quick: bool, program: &Path) -> Report {
    let mut report = Report::new("moments");
    starts(&mut report, if quick { 20 } else { 100 }, program);
    restarts::measure(&mut report, program);
    reports(&mut report, program);
    nonsense(&mut report, Duration::from_secs(if quick { 15 } else { 60 }), program);
    report
}

fn fixture(program: &Path) -> ServerFixture {
    let mut fixture = ServerFixture::new(site(REQUEST_TIMEOUT_MS));
    program.clone_into(&mut fixture.program);
    fixture
}

fn ms(since: Instant) -> f64 {
    since.elapsed().as_secs_f64() * 1000.0
}

fn starts(report: &mut Report, rounds: usize, program: &Path) {
    let (mut checked, mut ran) = (Vec::new(), Vec::new());
    for _ in 0..rounds {
        let mut fixture = fixture(program);
        let start = Instant::now();
        fixture.start("exec \"$0\" serve");
        let mut gateway = fixture.gateway();
        gateway.send(&health(1, false));
        assert_eq!(gateway.response().status, "UP");
        checked.push(ms(start));
        let engine = fixture.engine.link();
        // Requests in the moment in which the engine comes up.
        let up = Instant::now();
        engine.accept_attach("ATTACH 0");
        let mut tag = 2;
        loop {
            let id = gateway.call(tag, "pay", b"x");
            gateway.send(&health(tag + 1, false));
            // Before the engine is known to be up a request is rejected, and its answer comes before the check's.
            let answer = gateway.response();
            if answer.status == "UP" {
                assert_eq!(engine.expect("RUN").word(1), id);
                ran.push(ms(up));
                break;
            }
            assert_eq!((answer.tag, answer.status.as_str()), (tag, "BUSY"));
            gateway.response();
            tag += 2;
        }
    }
    let row = |what: &str, mut all: Vec<f64>| {
        all.sort_by(f64::total_cmp);
        let at = |part: f64| format!("{:.1}", all[((all.len() - 1) as f64 * part) as usize]);
        vec![what.to_owned(), at(0.5), at(0.99), at(1.0)]
    };
    let rows = vec![row("process to first check", checked), row("engine up to first run", ran)];
    report.table(&format!("{rounds} starts, ms"), &["from ... to", "p50", "p99", "most"], rows);
    report.figure("starts", rounds as f64);
}

fn reports(report: &mut Report, program: &Path) {
    let mut fixture = fixture(program);
    fixture.start("exec \"$0\" serve");
    fixture.control.report();
    let until = Instant::now() + REPORTS_OVER;
    let mut count = 0;
    while Instant::now() < until {
        fixture.control.report();
        count += 1;
    }
    report.require_min("reports_in_8_s", f64::from(count), REPORTS);
}

/// Opens connections that the server will close, and leaves each open for a while.
fn talk_nonsense(listen: SocketAddr, over: &AtomicBool, opened: &AtomicUsize) {
    let mut open: VecDeque<(Instant, TcpStream)> = VecDeque::new();
    while !over.load(Ordering::Relaxed) {
        if let Ok(mut stream) = TcpStream::connect(listen) {
            // Rejected or not: only other connections count here.
            let _ = stream.write_all(b"no RESP\r\n");
            opened.fetch_add(1, Ordering::Relaxed);
            open.push_back((Instant::now(), stream));
        }
        while open.front().is_some_and(|(since, _)| since.elapsed() > CONNECTION_LIFETIME) {
            open.pop_front();
        }
        std::thread::sleep(INTERVAL);
    }
}

/// Health checks of one gateway beside connections that send nonsense.
#[derive(Default)]
struct Checks {
    sent: u64,
    unanswered: usize,
    max_latency_ms: f64,
}

impl Checks {
    /// Sends checks until a time, while the server runs and answers.
    fn run(&mut self, fixture: &mut ServerFixture, until: Instant) {
        let listen = fixture.listen;
        let mut gateway = None::<Gateway>;
        while Instant::now() < until && fixture.is_running() && self.unanswered < 3 {
            let since = Instant::now();
            self.sent += 1;
            gateway = check(gateway.take(), listen, self.sent);
            self.unanswered += usize::from(gateway.is_none());
            self.max_latency_ms = self.max_latency_ms.max(ms(since));
            std::thread::sleep(10 * INTERVAL);
        }
    }
}

/// Sends one check, on a new connection where there is none. Returns the connection if the check was answered.
fn check(gateway: Option<Gateway>, listen: SocketAddr, tag: u64) -> Option<Gateway> {
    let mut gateway = match gateway {
        Some(gateway) => gateway,
        None => Gateway::from_stream(TcpStream::connect(listen).ok()?),
    };
    gateway.stream.write_all(&health(tag, false)).ok()?;
    matches!(gateway.next_response(ANSWER), Ok(Some(_))).then_some(gateway)
}

fn nonsense(report: &mut Report, span: Duration, program: &Path) {
    let mut fixture = fixture(program);
    fixture.start("exec \"$0\" serve");
    let engine = fixture.engine.link();
    engine.accept_attach("ATTACH 0");
    fixture.wait_for_service();
    let (listen, over, opened) = (fixture.listen, AtomicBool::new(false), AtomicUsize::new(0));
    let mut checks = Checks::default();
    std::thread::scope(|scope| {
        for _ in 0..CLIENTS {
            scope.spawn(|| talk_nonsense(listen, &over, &opened));
        }
        checks.run(&mut fixture, Instant::now() + span);
        over.store(true, Ordering::Relaxed);
    });
    let opened = opened.into_inner();
    let max_latency = format!("{:.0}", checks.max_latency_ms);
    let row = vec![opened.to_string(), checks.sent.to_string(), checks.unanswered.to_string(), max_latency];
    report.table(
        "connections that talk nonsense, beside one that asks for health",
        &["connections", "checks", "unanswered", "longest, ms"],
        vec![row],
    );
    report.require_min("nonsense", opened as f64, 1_000.0);
    report.require_max("unanswered", checks.unanswered as f64, 0.0);
    report.require_max("died", f64::from(u8::from(!fixture.is_running())), 0.0);
}
