//! What a server pays for its tenants: reading them, keeping them, and taking up a new version while it serves.

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

const STEPS: [usize; 3] = [1_000, 10_000, TENANTS];
/// Half of a server's 32 MB are granted to answers, results, keys and requests (`loomflow-server::budget`), and 4 are for
/// the program itself: this is what reading may take on top of that, MB.
const READING_MB: f64 = 12.0;
/// Maximum stall of the request path while a new version is taken up, ms.
const STALL_MS: f64 = 5.0;
/// Between two checks by which a stall is detected.
const PROBE_EVERY: Duration = Duration::from_micros(100);
/// The server may log five lines a second, and one of them is waited for.
const BETWEEN_RELOADS: Duration = Duration::from_millis(600);
const RELOADED: &str = "the configuration was reloaded";

struct Row {
    tenants: usize,
    serving_mb: f64,
    peak_mb: f64,
    reloaded_mb: f64,
    reload_peak_mb: f64,
    check: Duration,
    compare: Duration,
    /// Maximum response time in each quiet span and in each reload, ms.
    quiet_ms: Vec<f64>,
    reload_ms: Vec<f64>,
    /// Time on a core that the request path's thread spends on each reload, ms: the stall of a machine with nothing else
    /// to do.
    owner_cpu_ms: Vec<f64>,
}

pub fn measure(report: &mut Report, quick: bool, program: &Path) {
    let rounds = if quick { 5 } else { 25 };
    let base = play(program, 2, 1);
    let rows: Vec<Row> = STEPS.into_iter().map(|tenants| play(program, tenants, rounds)).collect();
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

fn play(program: &Path, tenants: usize, rounds: usize) -> Row {
    let size = setup::Size { connections: 500, tenants, period_ms: 0.0 };
    let server = setup::start(program, size);
    let pid = server.fixture.pid();
    let versions = versions(&server.fixture);
    let (check, compare) = check_times(program, &versions);
    let (serving_mb, peak_mb) = (process::memory(pid), proc::peak_mb(pid));
    let (mut quiet_ms, mut reload_ms) = (Vec::new(), Vec::new());
    for round in 0..rounds {
        quiet_ms.push(max_response_ms(&server.fixture, || std::thread::sleep(BETWEEN_RELOADS)));
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

/// The configuration of the server, and one with a tenant more at the beginning and another quota of the last.
fn versions(fixture: &ServerFixture) -> [String; 2] {
    let first = fixture.config.to_string();
    let mut config = fixture.config.clone();
    let tenants = config["settings"]["Orgs"].as_array_mut().expect("tenants");
    tenants.last_mut().expect("a tenant")["QuotaPerS"] = 5.0.into();
    tenants.insert(0, serde_json::json!({"Name": "newcomer", "QuotaPerS": 1.0}));
    [first, config.to_string()]
}

/// Has the server read a version, and waits until it has taken it up.
fn reload(fixture: &ServerFixture, version: &str) {
    let read = || fixture.log().matches(RELOADED).count();
    let before = read();
    fixture.write(version);
    fixture.signal("HUP");
    let until = Instant::now() + Duration::from_secs(60);
    while read() == before {
        assert!(Instant::now() < until, "the configuration is not read again: {}", fixture.log());
        std::thread::sleep(Duration::from_millis(1));
    }
}

/// What a reload costs the thread that the request path goes through, ms on a core: the server's main thread. What it
/// spends in as long a time without one is taken off.
fn reload_cpu_ms(fixture: &ServerFixture, version: &str) -> f64 {
    let spent = |work: &dyn Fn()| {
        let before = proc::main_thread_cpu_ns(fixture.pid());
        let began = Instant::now();
        work();
        std::thread::sleep(BETWEEN_RELOADS.saturating_sub(began.elapsed()));
        (proc::main_thread_cpu_ns(fixture.pid()) - before) as f64 / 1e6
    };
    let idle = spent(&|| ());
    spent(&|| reload(fixture, version)) - idle
}

/// The maximum response time of a check while something is done, ms. Some check is under way nearly all the time.
fn max_response_ms(fixture: &ServerFixture, work: impl FnOnce()) -> f64 {
    let over = Arc::new(AtomicBool::new(false));
    let (mut gateway, is_over) = (fixture.gateway(), over.clone());
    let probe = BackgroundTask::start(move |_| {
        let mut max_latency = Duration::ZERO;
        while !is_over.load(Ordering::Relaxed) {
            max_latency = max_latency.max(answer_time(&mut gateway));
            std::thread::sleep(PROBE_EVERY);
        }
        max_latency
    });
    work();
    over.store(true, Ordering::Relaxed);
    probe.stop().as_secs_f64() * 1000.0
}

fn answer_time(gateway: &mut Gateway) -> Duration {
    let sent_at = Instant::now();
    gateway.send(&health(1, false));
    assert_eq!(gateway.response().status, "UP");
    sent_at.elapsed()
}

/// How long `check-config` takes for the second version, alone and against the first: the best of three.
fn check_times(program: &Path, versions: &[String; 2]) -> (Duration, Duration) {
    let folder = std::env::temp_dir();
    let file = |name: &str| folder.join(format!("loomflow-scale-{}-{name}.json", std::process::id()));
    let (previous, new) = (file("old"), file("new"));
    std::fs::write(&previous, &versions[0]).expect("a file is written");
    std::fs::write(&new, &versions[1]).expect("a file is written");
    let best = |against: Option<&PathBuf>| {
        let once = |_| check_time(program, &new, against);
        (0..3).map(once).min().expect("a time")
    };
    let times = (best(None), best(Some(&previous)));
    let _ = (std::fs::remove_file(&previous), std::fs::remove_file(&new));
    times
}

fn check_time(program: &Path, file: &Path, against: Option<&PathBuf>) -> Duration {
    let began = Instant::now();
    let mut command = Command::new(program);
    command.arg("check-config").arg("--config").arg(file).stdout(Stdio::null());
    command.args(against.iter().flat_map(|previous| [Path::new("--against"), previous.as_path()]));
    assert!(command.status().expect("it starts").success(), "the configuration is good");
    began.elapsed()
}
