//! What a process uses, read from the system.

use std::fs::read_to_string;
use std::path::PathBuf;
use std::time::Duration;

use loomflow_load::{Plan, resp};
use loomflow_test_servers::ServerFixture;

/// Clock ticks a second in `/proc`, on every Linux.
const TICKS_PER_S: f64 = 100.0;

/// The server that was built beside this program.
pub fn program() -> PathBuf {
    let own = std::env::current_exe().expect("a path");
    own.with_file_name("loomflow")
}

/// CPU of a request by RESP at a rate that the server keeps up with, s.
pub fn cpu_by_resp(fixture: &ServerFixture, class: &'static str, rate: f64, span: Duration) -> f64 {
    let before = cpu(fixture.pid());
    let aim = Duration::from_secs(1);
    let plan = Plan {
        class,
        rates: vec![(0.0, rate)],
        duration: span,
        connections: 16,
        objective: aim,
        prefix: "r",
    };
    let results = resp::play(fixture.listen, &plan, Duration::from_secs(2));
    (cpu(fixture.pid()) - before) / f64::from(results.total().in_time.max(1))
}

/// Time on a core so far, of all threads, s.
pub fn cpu(pid: u32) -> f64 {
    let text = read_to_string(format!("/proc/{pid}/stat")).unwrap_or_default();
    // The name may hold blanks; the numbers follow its bracket.
    let after = text.rsplit(')').next().unwrap_or_default();
    let ticks =
        |at: usize| after.split_whitespace().nth(at).and_then(|t| t.parse::<f64>().ok()).unwrap_or(0.0);
    (ticks(11) + ticks(12)) / TICKS_PER_S
}

/// Memory it has of its own now, MB; what it only maps from its program does not count.
pub fn memory(pid: u32) -> f64 {
    let text = read_to_string(format!("/proc/{pid}/status")).unwrap_or_default();
    let line = text.lines().find(|line| line.starts_with("RssAnon:")).unwrap_or_default();
    line.split_whitespace().nth(1).and_then(|kb| kb.parse::<f64>().ok()).unwrap_or(0.0) / 1024.0
}
