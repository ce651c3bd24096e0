//! Two builds of the server under the same load by RESP, in turns, so that what disturbs one disturbs the other.

use std::path::{Path, PathBuf};
use std::time::Duration;

use loomflow_test_servers::{AutonomousEngine, ServerFixture, site};

use crate::process;
use crate::report::Report;

/// Requests a second.
const REQUESTS_PER_S: f64 = 1_500.0;

#[derive(Default)]
struct Used {
    /// CPU of a request, s.
    cpu_s: Vec<f64>,
    memory_mb: Vec<f64>,
}

/// This build against another program. CPU and memory a request may be a tenth more.
pub fn measure(quick: bool, own: PathBuf, other: &str) -> Report {
    let mut report = Report::new("against");
    let programs = [own, PathBuf::from(other)];
    let mut used = [Used::default(), Used::default()];
    let (turns, seconds) = if quick { (4, 3) } else { (10, 6) };
    for turn in 0..turns {
        // The order alternates, as the second one may profit from caches that the first has filled.
        for at in [turn % 2, (turn + 1) % 2] {
            let (cpu_s, memory_mb) = play(&programs[at], Duration::from_secs(seconds));
            used[at].cpu_s.push(cpu_s);
            used[at].memory_mb.push(memory_mb);
        }
    }
    let middle = |values: &[f64]| {
        let mut sorted = values.to_vec();
        sorted.sort_by(f64::total_cmp);
        sorted[sorted.len() / 2]
    };
    let row = |name: &str, used: &Used| {
        let cpu = format!("{:.1}", middle(&used.cpu_s) * 1e6);
        vec![name.to_owned(), cpu, format!("{:.2}", middle(&used.memory_mb))]
    };
    report.table(
        "The middle of the turns",
        &["build", "CPU us a request", "memory MB"],
        vec![row("this one", &used[0]), row("the other", &used[1])],
    );
    report.require_max("cpu_ratio", middle(&used[0].cpu_s) / middle(&used[1].cpu_s), 1.1);
    report.require_max("memory_ratio", middle(&used[0].memory_mb) / middle(&used[1].memory_mb), 1.1);
    report
}

/// CPU of a request, s, and memory at the end, MB.
fn play(program: &Path, span: Duration) -> (f64, f64) {
    let worker = AutonomousEngine::start(4, Duration::from_micros(200));
    let mut fixture = ServerFixture::new(site(20_000.0));
    program.clone_into(&mut fixture.program);
    fixture.serve_with(&worker);
    (process::cpu_by_resp(&fixture, "pay", REQUESTS_PER_S, span), process::memory(fixture.pid()))
}
