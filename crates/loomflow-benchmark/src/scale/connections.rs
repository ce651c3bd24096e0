//! Memory, descriptors and CPU time of a server for idle connections.

use std::path::Path;

use super::{CALLERS, proc, setup};
use crate::process;
use crate::report::Report;

/// Numbers of open connections at which the server is measured.
const CONNECTION_COUNTS: [usize; 3] = [500, 2_000, CALLERS];
/// Budget of `loomflow-server::budget` for the stacks and buffers of a connection, KB.
const KB_A_CONNECTION: f64 = 24.0;

/// Measurement with a number of open connections.
struct ConnectionSample {
    connections: usize,
    memory_mb: f64,
    descriptors: usize,
    idle_core_percent: f64,
}

pub fn measure(report: &mut Report, program: &Path) {
    // Descriptors limit the counts: the server closes idle connections when it runs short of them, and this process needs
    // one for each connection as well.
    let max_connections = proc::descriptors_allowed();
    let size = setup::Size { connections: CALLERS, tenants: 2, period_ms: 5.0 };
    let server = setup::start(program, size);
    let sample = |connections| ConnectionSample {
        connections,
        memory_mb: process::memory(server.fixture.pid()),
        descriptors: server.fixture.descriptors(),
        idle_core_percent: proc::idle_core_percent(server.fixture.pid()),
    };
    let mut samples = vec![sample(0)];
    let mut open = Vec::new();
    for count in CONNECTION_COUNTS.into_iter().filter(|count| *count <= max_connections) {
        open.extend(setup::open_idle(&server.fixture, count - open.len()));
        samples.push(sample(count));
    }
    print(report, &samples);
    let (first, last) = (&samples[1], &samples[samples.len() - 1]);
    let between = (last.connections - first.connections) as f64;
    report.require_min("connections", last.connections as f64, CALLERS as f64);
    let memory_kb = (last.memory_mb - first.memory_mb) * 1024.0 / between;
    report.require_max("connection_kb", memory_kb, KB_A_CONNECTION);
    let descriptors = (last.descriptors - first.descriptors) as f64 / between;
    report.require_max("connection_descriptors", descriptors, 1.0);
    report.figure("idle_core_percent", last.idle_core_percent);
}

fn print(report: &Report, samples: &[ConnectionSample]) {
    let base = &samples[0];
    let row = |sample: &ConnectionSample| {
        let count = sample.connections.max(1) as f64;
        let memory_kb = (sample.memory_mb - base.memory_mb) * 1024.0 / count;
        let descriptors = (sample.descriptors - base.descriptors) as f64 / count;
        vec![
            sample.connections.to_string(),
            format!("{:.2}", sample.memory_mb),
            format!("{memory_kb:.2}"),
            sample.descriptors.to_string(),
            format!("{descriptors:.3}"),
            format!("{:.2}", sample.idle_core_percent),
        ]
    };
    report.table(
        "Connections that only stay open (memory of the process; the system's buffers do not count)",
        &["connections", "memory MB", "KB each", "descriptors", "each", "idle % of a core"],
        samples.iter().map(row).collect(),
    );
}
