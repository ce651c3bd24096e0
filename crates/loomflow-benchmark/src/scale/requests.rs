//! Time that a server adds to a request and CPU time that it spends on it, compared with the same load sent directly to
//! the test engine.

use std::path::Path;
use std::time::{Duration, Instant};

use loomflow_test_servers::{Gateway, ServerFixture, call, fields, next_attempt_id};

use super::engine_client::EngineClient;
use super::load::{self, Latencies};
use super::{CALLERS, REQUESTS_PER_S, TENANTS, ZONE_LOST, proc, setup};
use crate::report::Report;

/// Maximum time that a server may add at the 99th percentile, ms.
const ADDED_P99_MS: f64 = 1.1;
/// If the 99th percentile of the engine alone exceeds this, ms, the machine is too busy to measure the time that a server
/// adds. It is the time of one run plus the time that the server may add.
const UNDISTURBED_P99_MS: f64 = 2.0 + ADDED_P99_MS;
/// Threads that make requests: more than there are open requests at any time.
const THREADS: usize = 32;
const CALLER_TIMEOUT: Duration = Duration::from_secs(10);
const CLASS: &str = "read";
/// Time between batches (`settings.Period`) in the settings of the platform, ms.
const PLATFORM_PERIOD_MS: f64 = 5.0;

/// Size of a server, and the load that it receives.
struct Case {
    name: &'static str,
    size: setup::Size,
    requests_per_s: f64,
}

struct Row {
    case: Case,
    served: Latencies,
    direct: Latencies,
    cpu_us: f64,
    idle_core_percent: f64,
}

impl Row {
    /// Difference between the latencies with and without the server at a quantile, ms.
    fn added_ms(&self, fraction: f64) -> f64 {
        self.served.quantile_ms(fraction) - self.direct.quantile_ms(fraction)
    }
}

fn cases() -> [Case; 6] {
    let small = setup::Size { connections: 16, tenants: 2, period_ms: 0.0 };
    let large = setup::Size { connections: CALLERS, tenants: TENANTS, period_ms: 0.0 };
    let many_tenants = setup::Size { connections: small.connections, ..large };
    let many_connections = setup::Size { tenants: small.tenants, ..large };
    let slow = setup::Size { period_ms: PLATFORM_PERIOD_MS, ..large };
    [
        Case { name: "16 connections, 2 tenants", size: small, requests_per_s: REQUESTS_PER_S },
        Case { name: "16 connections, all tenants", size: many_tenants, requests_per_s: REQUESTS_PER_S },
        Case { name: "all connections, 2 tenants", size: many_connections, requests_per_s: REQUESTS_PER_S },
        Case { name: "at the target", size: large, requests_per_s: REQUESTS_PER_S },
        Case { name: "at the target, a zone lost", size: large, requests_per_s: REQUESTS_PER_S * ZONE_LOST },
        Case { name: "at the target, Period 5 ms", size: slow, requests_per_s: REQUESTS_PER_S },
    ]
}

pub fn measure(report: &mut Report, quick: bool, program: &Path) {
    let turns = if quick { 2 } else { 6 };
    let duration = Duration::from_secs(if quick { 5 } else { 15 });
    let rows: Vec<Row> =
        cases().into_iter().map(|case| measure_case(program, case, turns, duration)).collect();
    print(report, &rows);
    let [small, tenants, connections, target, zone_lost, platform] = &rows[..] else { return };
    report.figure("small_cpu_us", small.cpu_us.round());
    report.figure("all_tenants_cpu_us", tenants.cpu_us.round());
    report.figure("all_connections_cpu_us", connections.cpu_us.round());
    report.figure("target_cpu_us", target.cpu_us.round());
    let engine_p99_ms = [target, zone_lost].map(|row| row.direct.quantile_ms(0.99));
    report.require_max("engine_p99_ms", engine_p99_ms[0].max(engine_p99_ms[1]), UNDISTURBED_P99_MS);
    report.require_max("added_p99_ms", target.added_ms(0.99), ADDED_P99_MS);
    report.require_max("zone_lost_added_p99_ms", zone_lost.added_ms(0.99), ADDED_P99_MS);
    // Not bounded, because the batch period of the platform alone is longer than the bound: see docs/CAPACITY.md.
    report.figure("platform_period_added_p99_ms", platform.added_ms(0.99));
    let unserved = rows.iter().map(|row| row.served.unserved + row.direct.unserved).sum::<usize>();
    report.require_max("unserved", unserved as f64, 0.0);
}

fn print(report: &Report, rows: &[Row]) {
    let row = |row: &Row| {
        let added = |part| format!("{:.2}", row.added_ms(part));
        vec![
            row.case.name.to_owned(),
            format!("{:.0}", row.case.requests_per_s),
            row.served.served().to_string(),
            format!("{:.2}", row.direct.quantile_ms(0.5)),
            format!("{:.2}", row.direct.quantile_ms(0.99)),
            added(0.5),
            added(0.99),
            added(0.999),
            format!("{:.0}", row.cpu_us),
            format!("{:.2}", row.idle_core_percent),
        ]
    };
    report.table(
        "Requests, ms: straight to the engine, and what the server adds",
        &[
            "case",
            "a second",
            "served",
            "engine p50",
            "p99",
            "added p50",
            "p99",
            "p99.9",
            "CPU us a request",
            "idle % of a core",
        ],
        rows.iter().map(row).collect(),
    );
}

/// Measures server and engine in turns, so that disturbances of the machine affect both.
fn measure_case(program: &Path, case: Case, turns: usize, duration: Duration) -> Row {
    let server = setup::start(program, case.size);
    let pid = server.fixture.pid();
    let connections = case.size.connections.min(proc::descriptors_allowed());
    let mut shares = share_out(setup::open_idle(&server.fixture, connections));
    let idle_core_percent = proc::idle_core_percent(pid);
    let engine = setup::engine();
    let direct_client = EngineClient::connect(engine.address);
    let (mut served, mut direct, mut cpu_ns) = (Latencies::default(), Latencies::default(), 0);
    for _ in 0..turns {
        let before = proc::cpu_ns(pid);
        served.merge(through_server(&mut shares, &case, duration));
        cpu_ns += proc::cpu_ns(pid) - before;
        direct.merge(load::run(vec![(); THREADS], case.requests_per_s, duration, |(), number| {
            direct_client.call(CLASS, body(number).as_bytes(), CALLER_TIMEOUT)
        }));
    }
    assert_connected(&server.fixture, connections);
    let cpu_us = cpu_ns as f64 / 1000.0 / served.served().max(1) as f64;
    Row { case, served, direct, cpu_us, idle_core_percent }
}

/// Distributes the connections over the threads.
fn share_out(connections: Vec<Gateway>) -> Vec<Vec<Gateway>> {
    let mut shares: Vec<Vec<Gateway>> = (0..THREADS).map(|_| Vec::new()).collect();
    for (at, connection) in connections.into_iter().enumerate() {
        shares[at % THREADS].push(connection);
    }
    shares.retain(|share| !share.is_empty());
    shares
}

/// Panics if the server has closed connections during the measurement, which would invalidate the figures.
fn assert_connected(fixture: &ServerFixture, connections: usize) {
    assert!(
        fixture.descriptors() >= connections,
        "the server has closed some of {connections} connections: {}",
        fixture.log()
    );
}

fn through_server(shares: &mut [Vec<Gateway>], case: &Case, duration: Duration) -> Latencies {
    let tenants = case.size.tenants;
    load::run(shares.iter_mut().collect(), case.requests_per_s, duration, |share, number| {
        let at = number % share.len();
        make_request(&mut share[at], number, tenants)
    })
}

/// Makes one request for a tenant that is chosen at random, seeded by the request's number. Returns the latency if the
/// request was served.
fn make_request(gateway: &mut Gateway, number: usize, tenants: usize) -> Option<Duration> {
    let tenant = setup::tenant_name(fastrand::Rng::with_seed(number as u64).usize(0..tenants));
    let fields = fields(&next_attempt_id()).replace("owner=acme", &format!("owner={tenant}"));
    let tag = number as u64 + 2;
    let bytes = call(tag, CLASS, &fields, body(number).as_bytes());
    let sent_at = Instant::now();
    gateway.send(&bytes);
    let response = gateway.next_response(CALLER_TIMEOUT).ok()??;
    (response.status == "OK" && response.tag == tag).then(|| sent_at.elapsed())
}

fn body(number: usize) -> String {
    format!("request {number}")
}
