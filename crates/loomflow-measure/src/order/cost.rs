//! What a fleet costs a server that is in one; what it costs one that is not is told by `against` with an earlier build.

use std::path::Path;
use std::time::Duration;

use loomflow_standins::fleet::{Fleet, Plan};
use loomflow_standins::{Worker, World, site};

use crate::process;
use crate::report::Report;

const MADE: Plan =
    Plan { members: 5, zones: 1, extra: "", cores: 4, work: Duration::from_millis(5), seed: 1 };

pub fn measure(report: &mut Report, quick: bool, program: &Path) {
    let span = Duration::from_secs(if quick { 5 } else { 30 });
    let worker = Worker::start(4, Duration::from_millis(5));
    let mut off = World::new(site(20_000.0));
    off.program = program.to_owned();
    off.work_with(&worker);
    let fleet = Fleet::start_with(MADE, program).found(MADE);
    let on: Vec<u32> = fleet.members.iter().map(|member| member.world.pid()).collect();
    let before = (process::cpu(off.pid()), on.iter().map(|pid| process::cpu(*pid)).collect::<Vec<_>>());
    std::thread::sleep(span);
    let seconds = span.as_secs_f64();
    let idle = (process::cpu(off.pid()) - before.0) / seconds;
    let busy = on.iter().zip(&before.1).map(|(pid, before)| (process::cpu(*pid) - before) / seconds - idle);
    let busy = busy.fold(0.0, f64::max);
    let more = on.iter().map(|pid| process::memory(*pid)).fold(0.0, f64::max) - process::memory(off.pid());
    report.table(
        "A voter of five, idle, over a server in no fleet",
        &["memory MB", "% of a core"],
        vec![vec![format!("{more:.2}"), format!("{:.2}", 100.0 * busy)]],
    );
    report.at_most("on_memory_mb", more, 4.0);
    report.at_most("on_core", busy, 0.01);
}
