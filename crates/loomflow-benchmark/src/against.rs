//! Compares two builds of the server under the same load by RESP. The builds take turns, so that disturbances of the
//! machine affect both.

use std::path::{Path, PathBuf};
use std::time::Duration;

use loomflow_test_servers::{AutonomousEngine, ServerFixture, site};

use crate::process;
use crate::report::Report;

/// Request rate of the load.
const REQUESTS_PER_S: f64 = 1_500.0;

/// CPU time and memory of one build, one value for each turn.
#[derive(Default)]
struct Usage {
    /// CPU time of a request, s.
    cpu_s: Vec<f64>,
    memory_mb: Vec<f64>,
}

/// Compares this build with another one. The CPU time of a request and the memory of the process may each be at most a
/// tenth higher than with the other build.
pub fn measure(quick: bool, own: PathBuf, other: &str) -> Report {
    let mut report = Report::new("against");
    let programs = [own, PathBuf::from(other)];
    let mut usage = [Usage::default(), Usage::default()];
    let (turns, seconds) = if quick { (4, 3) } else { (10, 6) };
    for turn in 0..turns {
        // The order alternates, because the second build may profit from caches that the first one has filled.
        for build in [turn % 2, (turn + 1) % 2] {
            let (cpu_s, memory_mb) = measure_build(&programs[build], Duration::from_secs(seconds));
            usage[build].cpu_s.push(cpu_s);
            usage[build].memory_mb.push(memory_mb);
        }
    }
    let median = |values: &[f64]| {
        let mut sorted = values.to_vec();
        sorted.sort_by(f64::total_cmp);
        sorted[sorted.len() / 2]
    };
    let row = |name: &str, usage: &Usage| {
        let cpu = format!("{:.1}", median(&usage.cpu_s) * 1e6);
        vec![name.to_owned(), cpu, format!("{:.2}", median(&usage.memory_mb))]
    };
    report.table(
        "The median of the turns",
        &["build", "CPU us a request", "memory MB"],
        vec![row("this one", &usage[0]), row("the other", &usage[1])],
    );
    report.require_max("cpu_ratio", median(&usage[0].cpu_s) / median(&usage[1].cpu_s), 1.1);
    report.require_max("memory_ratio", median(&usage[0].memory_mb) / median(&usage[1].memory_mb), 1.1);
    report
}

/// Returns the CPU time of a request, s, and the memory of the server at the end, MB.
fn measure_build(program: &Path, duration: Duration) -> (f64, f64) {
    let engine = AutonomousEngine::start(4, Duration::from_micros(200));
    let mut fixture = ServerFixture::new(site(20_000.0));
    program.clone_into(&mut fixture.program);
    fixture.serve_with(&engine);
    (process::cpu_by_resp(&fixture, "pay", REQUESTS_PER_S, duration), process::memory(fixture.pid()))
}
