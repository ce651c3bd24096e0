//! Rare events of one server, repeated: how soon it serves after a start, also when thirty processes restart at once,
//! how often it reports, and whether thousands of connections with malformed bytes affect other connections. Times are
//! printed without bounds. Bounds apply to counts and to the fraction of processes that are ready within the ten
//! seconds that the operators allow.

mod restarts;

use std::collections::VecDeque;
use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::path::Path;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use loomflow_test_servers::{Gateway, ServerFixture, health, site};

use crate::report::Report;

/// Timeout of a request in the server's settings, ms.
const REQUEST_TIMEOUT_MS: f64 = 5_000.0;
/// Number of clients that send malformed bytes.
const CLIENTS: usize = 4;
/// How long each client keeps a connection open: longer than the server continues to read after it has closed its side,
/// so that many connections are in that state at once.
const CONNECTION_LIFETIME: Duration = Duration::from_millis(400);
/// Time between two connections of one client; health checks are sent at most a tenth as often.
const CONNECT_INTERVAL: Duration = Duration::from_millis(1);
/// A health check without a response within this time counts as unanswered.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(3);
/// Time for which reports to the control plane are counted.
const REPORT_WINDOW: Duration = Duration::from_secs(8);
/// Number of reports that the control plane must receive within [`REPORT_WINDOW`]. A server reports every 0.8 s, and is
/// removed from the lists 3 s after its last report.
const MIN_REPORTS: f64 = 9.0;

pub fn measure(quick: bool, program: &Path) -> Report {
    let mut report = Report::new("moments");
    measure_starts(&mut report, if quick { 20 } else { 100 }, program);
    restarts::measure(&mut report, program);
    measure_reports(&mut report, program);
    measure_malformed(&mut report, Duration::from_secs(if quick { 15 } else { 60 }), program);
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

/// Measures the time from the start of a process to its first health check, and from the engine's link to the first run.
fn measure_starts(report: &mut Report, rounds: usize, program: &Path) {
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
        // Requests are sent from the moment at which the engine is up.
        let up = Instant::now();
        engine.accept_attach("ATTACH 0");
        let mut tag = 2;
        loop {
            let id = gateway.call(tag, "pay", b"x");
            gateway.send(&health(tag + 1, false));
            // Until the server has registered the engine, it rejects the request, and the rejection arrives before the
            // response to the health check.
            let response = gateway.response();
            if response.status == "UP" {
                assert_eq!(engine.expect("RUN").word(1), id);
                ran.push(ms(up));
                break;
            }
            assert_eq!((response.tag, response.status.as_str()), (tag, "BUSY"));
            gateway.response();
            tag += 2;
        }
    }
    let row = |name: &str, mut times: Vec<f64>| {
        times.sort_by(f64::total_cmp);
        let at = |fraction: f64| format!("{:.1}", times[((times.len() - 1) as f64 * fraction) as usize]);
        vec![name.to_owned(), at(0.5), at(0.99), at(1.0)]
    };
    let rows = vec![row("process to first check", checked), row("engine up to first run", ran)];
    report.table(&format!("{rounds} starts, ms"), &["from ... to", "p50", "p99", "most"], rows);
    report.figure("starts", rounds as f64);
}

fn measure_reports(report: &mut Report, program: &Path) {
    let mut fixture = fixture(program);
    fixture.start("exec \"$0\" serve");
    fixture.control.report();
    let until = Instant::now() + REPORT_WINDOW;
    let mut count = 0;
    while Instant::now() < until {
        fixture.control.report();
        count += 1;
    }
    report.require_min("reports_in_8_s", f64::from(count), MIN_REPORTS);
}

/// Opens connections and sends malformed bytes on each, so that the server closes the connection. The client's side is
/// kept open for [`CONNECTION_LIFETIME`].
fn send_malformed(listen: SocketAddr, is_over: &AtomicBool, opened: &AtomicUsize) {
    let mut open: VecDeque<(Instant, TcpStream)> = VecDeque::new();
    while !is_over.load(Ordering::Relaxed) {
        if let Ok(mut stream) = TcpStream::connect(listen) {
            // Errors are ignored: only the effect on other connections is measured.
            let _ = stream.write_all(b"no RESP\r\n");
            opened.fetch_add(1, Ordering::Relaxed);
            open.push_back((Instant::now(), stream));
        }
        while open.front().is_some_and(|(since, _)| since.elapsed() > CONNECTION_LIFETIME) {
            open.pop_front();
        }
        std::thread::sleep(CONNECT_INTERVAL);
    }
}

/// Health checks of one gateway, sent while other connections send malformed bytes.
#[derive(Default)]
struct Checks {
    sent: u64,
    unanswered: usize,
    max_latency_ms: f64,
}

impl Checks {
    /// Sends checks until `until`; stops early if the server exits or three checks are unanswered.
    fn run(&mut self, fixture: &mut ServerFixture, until: Instant) {
        let listen = fixture.listen;
        let mut gateway = None::<Gateway>;
        while Instant::now() < until && fixture.is_running() && self.unanswered < 3 {
            let since = Instant::now();
            self.sent += 1;
            gateway = check(gateway.take(), listen, self.sent);
            self.unanswered += usize::from(gateway.is_none());
            self.max_latency_ms = self.max_latency_ms.max(ms(since));
            std::thread::sleep(10 * CONNECT_INTERVAL);
        }
    }
}

/// Sends one check, on a new connection if there is none. Returns the connection if the check was answered.
fn check(gateway: Option<Gateway>, listen: SocketAddr, tag: u64) -> Option<Gateway> {
    let mut gateway = match gateway {
        Some(gateway) => gateway,
        None => Gateway::from_stream(TcpStream::connect(listen).ok()?),
    };
    gateway.stream.write_all(&health(tag, false)).ok()?;
    matches!(gateway.next_response(RESPONSE_TIMEOUT), Ok(Some(_))).then_some(gateway)
}

/// Sends health checks for `duration` while clients send malformed bytes.
fn measure_malformed(report: &mut Report, duration: Duration, program: &Path) {
    let mut fixture = fixture(program);
    fixture.start("exec \"$0\" serve");
    let engine = fixture.engine.link();
    engine.accept_attach("ATTACH 0");
    fixture.wait_for_service();
    let (listen, is_over, opened) = (fixture.listen, AtomicBool::new(false), AtomicUsize::new(0));
    let mut checks = Checks::default();
    std::thread::scope(|scope| {
        for _ in 0..CLIENTS {
            scope.spawn(|| send_malformed(listen, &is_over, &opened));
        }
        checks.run(&mut fixture, Instant::now() + duration);
        is_over.store(true, Ordering::Relaxed);
    });
    let opened = opened.into_inner();
    let max_latency = format!("{:.0}", checks.max_latency_ms);
    let row = vec![opened.to_string(), checks.sent.to_string(), checks.unanswered.to_string(), max_latency];
    report.table(
        "Health checks on one connection beside malformed connections",
        &["connections", "checks", "unanswered", "longest, ms"],
        vec![row],
    );
    report.require_min("nonsense", opened as f64, 1_000.0);
    report.require_max("unanswered", checks.unanswered as f64, 0.0);
    report.require_max("died", f64::from(u8::from(!fixture.is_running())), 0.0);
}
