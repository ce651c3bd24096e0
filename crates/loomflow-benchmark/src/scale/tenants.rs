//! Cost of tenants in one server: memory while they are read and while the server is in service, and stalls during a
//! reload of the configuration.

use std::path::{Path, PathBuf};
use std::process::{Command, Stdio};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use loomflow_load::BackgroundTask;
use loomflow_test_servers::{Gateway, ServerFixture, health};

use super::{TENANTS, proc, setup};
use crate::process;
use crate::report::Report;

/// Numbers of tenants at which the server is measured.
const TENANT_COUNTS: [usize; 3] = [1_000, 10_000, TENANTS];
/// Memory that reading the configuration may take at its peak, MB: what remains of a server's 32 MB after half for
/// responses, results, keys and requests (`loomflow-server::budget`) and 4 MB for the program itself.
const READING_MB: f64 = 12.0;
/// Maximum stall of the request path while a new configuration is applied, ms.
const STALL_MS: f64 = 5.0;
/// Time between two health checks, whose response times show stalls.
const PROBE_INTERVAL: Duration = Duration::from_micros(100);
/// Minimum time between two reloads: the server logs at most five lines per second, and each reload waits for one.
const RELOAD_INTERVAL: Duration = Duration::from_millis(600);
const RELOADED: &str = "the configuration was reloaded";

struct Row {
    tenants: usize,
    serving_mb: f64,
    peak_mb: f64,
    reloaded_mb: f64,
    reload_peak_mb: f64,
    check: Duration,
    compare: Duration,
    /// Maximum response time of health checks in each period without a reload, ms, ascending.
    quiet_ms: Vec<f64>,
    /// Maximum response time of health checks during each reload, ms, ascending.
    reload_ms: Vec<f64>,
    /// CPU time that the thread of the request path spends on each reload, ms, ascending: the stall on an otherwise idle
    /// machine.
    owner_cpu_ms: Vec<f64>,
}

pub fn measure(report: &mut Report, quick: bool, program: &Path) {
    let rounds = if quick { 5 } else { 25 };
    let base = measure_tenants(program, 2, 1);
    let rows: Vec<Row> =
        TENANT_COUNTS.into_iter().map(|tenants| measure_tenants(program, tenants, rounds)).collect();
    print(report, &base, &rows);
    let [.., last] = &rows[..] else { return };
    let bytes = (last.serving_mb - base.serving_mb) * 1024.0 * 1024.0 / last.tenants as f64;
    report.figure("tenant_bytes", bytes.round());
    report.require_max("reading_peak_mb", last.peak_mb - base.peak_mb, READING_MB);
    report.require_max("reload_peak_mb", last.reload_peak_mb - base.reload_peak_mb, READING_MB);
    report.require_max("reload_owner_cpu_ms", last.owner_cpu_ms[rounds / 2], STALL_MS);
    report.figure("reload_stall_most_ms", last.reload_ms[rounds - 1]);
    report.require_max("reload_stall_ms", last.reload_ms[rounds / 2], STALL_MS);
}

fn print(report: &Report, base: &Row, rows: &[Row]) {
    let median_and_max = |all: &[f64]| format!("{:.2} / {:.2}", all[all.len() / 2], all[all.len() - 1]);
    let row = |row: &Row| {
        vec![
            row.tenants.to_string(),
            format!("{:.2}", row.serving_mb),
            format!("{:.2}", row.peak_mb - base.peak_mb),
            format!("{:.2}", row.reloaded_mb),
            format!("{:.2}", row.reload_peak_mb - base.reload_peak_mb),
            format!("{:.0}", row.check.as_secs_f64() * 1000.0),
            format!("{:.0}", row.compare.as_secs_f64() * 1000.0),
            median_and_max(&row.quiet_ms),
            median_and_max(&row.reload_ms),
            median_and_max(&row.owner_cpu_ms),
        ]
    };
    report.table(
        "Tenants (peaks are over a server with two; stalls are the middle and the most of the rounds)",
        &[
            "tenants",
            "serving MB",
            "peak of start MB",
            "after reloads MB",
            "peak of reload MB",
            "check ms",
            "against ms",
            "stall quiet ms",
            "stall reload ms",
            "owner CPU ms",
        ],
        std::iter::once(base).chain(rows).map(row).collect(),
    );
}

fn measure_tenants(program: &Path, tenants: usize, rounds: usize) -> Row {
    let size = setup::Size { connections: 500, tenants, period_ms: 0.0 };
    let server = setup::start(program, size);
    let pid = server.fixture.pid();
    let versions = versions(&server.fixture);
    let (check, compare) = check_config_times(program, &versions);
    let (serving_mb, peak_mb) = (process::memory(pid), proc::peak_mb(pid));
    let (mut quiet_ms, mut reload_ms) = (Vec::new(), Vec::new());
    for round in 0..rounds {
        quiet_ms.push(max_response_ms(&server.fixture, || std::thread::sleep(RELOAD_INTERVAL)));
        let version = &versions[(round + 1) % 2];
        reload_ms.push(max_response_ms(&server.fixture, || reload(&server.fixture, version)));
    }
    let mut owner_cpu_ms: Vec<f64> = (0..rounds)
        .map(|round| reload_cpu_ms(&server.fixture, &versions[(rounds + round + 1) % 2]))
        .collect();
    owner_cpu_ms.sort_by(f64::total_cmp);
    quiet_ms.sort_by(f64::total_cmp);
    reload_ms.sort_by(f64::total_cmp);
    let (reloaded_mb, reload_peak_mb) = (process::memory(pid), proc::peak_mb(pid));
    Row {
        tenants,
        serving_mb,
        peak_mb,
        reloaded_mb,
        reload_peak_mb,
        check,
        compare,
        quiet_ms,
        reload_ms,
        owner_cpu_ms,
    }
}

/// The configuration of the server, and one with an additional tenant at the beginning and another quota of the last
/// tenant.
fn versions(fixture: &ServerFixture) -> [String; 2] {
    let first = fixture.config.to_string();
    let mut config = fixture.config.clone();
    let tenants = config["settings"]["Orgs"].as_array_mut().expect("`Orgs` is an array");
    tenants.last_mut().expect("`Orgs` is not empty")["QuotaPerS"] = 5.0.into();
    tenants.insert(0, serde_json::json!({"Name": "newcomer", "QuotaPerS": 1.0}));
    [first, config.to_string()]
}

/// Makes the server reload its configuration from `version`, and waits until it logs that it has.
fn reload(fixture: &ServerFixture, version: &str) {
    let reload_count = || fixture.log().matches(RELOADED).count();
    let before = reload_count();
    fixture.write(version);
    fixture.signal("HUP");
    let until = Instant::now() + Duration::from_secs(60);
    while reload_count() == before {
        assert!(Instant::now() < until, "the configuration was not reloaded within 60 s: {}", fixture.log());
        std::thread::sleep(Duration::from_millis(1));
    }
}

/// CPU time that a reload takes on the server's main thread, which is the thread of the request path, ms. The CPU time of
/// as long a period without a reload is subtracted.
fn reload_cpu_ms(fixture: &ServerFixture, version: &str) -> f64 {
    let spent = |work: &dyn Fn()| {
        let before = proc::main_thread_cpu_ns(fixture.pid());
        let started_at = Instant::now();
        work();
        std::thread::sleep(RELOAD_INTERVAL.saturating_sub(started_at.elapsed()));
        (proc::main_thread_cpu_ns(fixture.pid()) - before) as f64 / 1e6
    };
    let idle = spent(&|| ());
    spent(&|| reload(fixture, version)) - idle
}

/// Maximum response time of health checks during `work`, ms. Checks are sent in close succession, so that a stall delays
/// one of them.
fn max_response_ms(fixture: &ServerFixture, work: impl FnOnce()) -> f64 {
    let is_over = Arc::new(AtomicBool::new(false));
    let (mut gateway, probe_is_over) = (fixture.gateway(), is_over.clone());
    let probe = BackgroundTask::start(move |_| {
        let mut max_latency = Duration::ZERO;
        while !probe_is_over.load(Ordering::Relaxed) {
            max_latency = max_latency.max(response_time(&mut gateway));
            std::thread::sleep(PROBE_INTERVAL);
        }
        max_latency
    });
    work();
    is_over.store(true, Ordering::Relaxed);
    probe.stop().as_secs_f64() * 1000.0
}

fn response_time(gateway: &mut Gateway) -> Duration {
    let sent_at = Instant::now();
    gateway.send(&health(1, false));
    assert_eq!(gateway.response().status, "UP");
    sent_at.elapsed()
}

/// Times of `check-config` for the second version, without and with `--against` the first one: the shortest of three
/// each.
fn check_config_times(program: &Path, versions: &[String; 2]) -> (Duration, Duration) {
    let directory = std::env::temp_dir();
    let file = |name: &str| directory.join(format!("loomflow-scale-{}-{name}.json", std::process::id()));
    let (previous, new) = (file("old"), file("new"));
    std::fs::write(&previous, &versions[0]).expect("the configuration file is written");
    std::fs::write(&new, &versions[1]).expect("the configuration file is written");
    let shortest = |against: Option<&PathBuf>| {
        let once = |_| check_config_time(program, &new, against);
        (0..3).map(once).min().expect("the command was run three times")
    };
    let times = (shortest(None), shortest(Some(&previous)));
    let _ = (std::fs::remove_file(&previous), std::fs::remove_file(&new));
    times
}

fn check_config_time(program: &Path, file: &Path, against: Option<&PathBuf>) -> Duration {
    let started_at = Instant::now();
    let mut command = Command::new(program);
    command.arg("check-config").arg("--config").arg(file).stdout(Stdio::null());
    command.args(against.iter().flat_map(|previous| [Path::new("--against"), previous.as_path()]));
    assert!(
        command.status().expect("the program starts").success(),
        "check-config rejects {}",
        file.display()
    );
    started_at.elapsed()
}
