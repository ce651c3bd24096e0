//! CPU time and memory of a process, read from `/proc`.

use std::fs::read_to_string;
use std::path::PathBuf;
use std::time::Duration;

use loomflow_load::{Plan, resp};
use loomflow_test_servers::ServerFixture;

/// Clock ticks per second in `/proc/PID/stat`: `USER_HZ`, which is 100 on every Linux.
const TICKS_PER_S: f64 = 100.0;

/// Path of the server that was built beside this program.
pub fn program() -> PathBuf {
    let benchmark = std::env::current_exe().expect("the path of this program is known");
    benchmark.with_file_name("loomflow")
}

/// CPU time of the server for each request that is served in time by RESP, s. The server must keep up with `rate`
/// (requests per second).
pub fn cpu_by_resp(fixture: &ServerFixture, class: &'static str, rate: f64, duration: Duration) -> f64 {
    let before = cpu(fixture.pid());
    let objective = Duration::from_secs(1);
    let plan = Plan { class, rates: vec![(0.0, rate)], duration, connections: 16, objective, prefix: "r" };
    let results = resp::run(fixture.listen, &plan, Duration::from_secs(2));
    (cpu(fixture.pid()) - before) / f64::from(results.total().in_time.max(1))
}

/// CPU time that all threads of a process have used since its start, s.
pub fn cpu(pid: u32) -> f64 {
    let text = read_to_string(format!("/proc/{pid}/stat")).unwrap_or_default();
    // The process name may contain blanks. The remaining fields follow its closing bracket.
    let fields = text.rsplit(')').next().unwrap_or_default();
    let ticks = |index: usize| {
        fields.split_whitespace().nth(index).and_then(|t| t.parse::<f64>().ok()).unwrap_or(0.0)
    };
    (ticks(11) + ticks(12)) / TICKS_PER_S
}

/// Anonymous resident memory of a process, MB. Pages mapped from its program file are excluded.
pub fn memory(pid: u32) -> f64 {
    let text = read_to_string(format!("/proc/{pid}/status")).unwrap_or_default();
    let line = text.lines().find(|line| line.starts_with("RssAnon:")).unwrap_or_default();
    line.split_whitespace().nth(1).and_then(|kb| kb.parse::<f64>().ok()).unwrap_or(0.0) / 1024.0
}
