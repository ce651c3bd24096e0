//! Nine processes in three zones under load, each taken out once; beside it a script that takes thirds without a ticket.

use std::path::Path;
use std::time::{Duration, Instant};

use loomflow_load::rounds::{self, Round, RoundReport};
use loomflow_load::{Plan, Results, fleet};
use loomflow_test_servers::fleet::{Fleet, Plan as Made};

use crate::report::Report;

const MEMBERS: usize = 9;
const WORK: Duration = Duration::from_millis(20);
/// Of what all nine do.
const LOAD: f64 = 0.7;
/// What a machine's work takes.
const OUT_FOR: Duration = Duration::from_secs(2);
const MADE: Made = Made {
    members: MEMBERS,
    zones: 3,
    extra: "  begin_within_s: 10\n  warm_for_s: 1\n",
    cores: 1,
    work: WORK,
    seed: 1,
};

fn started(program: &Path) -> (Fleet, fleet::Running) {
    let fleet = Fleet::start_with(MADE, program).bootstrap(MADE);
    let rate = LOAD * MEMBERS as f64 / WORK.as_secs_f64();
    let plan = Plan {
        class: "read",
        rates: vec![(0.0, rate)],
        duration: Duration::from_secs(900),
        connections: 1,
        objective: Duration::from_millis(500),
        prefix: "r",
    };
    let listens = fleet.members.iter().map(|member| member.fixture.listen).collect();
    let load = fleet::start(listens, plan, Duration::from_secs(5));
    std::thread::sleep(Duration::from_secs(2));
    (fleet, load)
}

/// In time over requested, from the second second on.
fn in_time(results: &Results) -> f64 {
    let all = results.between(1, results.seconds.len().saturating_sub(1).max(2));
    f64::from(all.in_time) / f64::from(all.sent.max(1))
}

/// What one play of the load shows.
struct Played {
    /// In time over requested.
    in_time: f64,
    took: Duration,
}

pub fn measure(report: &mut Report, quick: bool, program: &Path) {
    let quiet = play_without_maintenance(program, Duration::from_secs(if quick { 8 } else { 30 }));
    let settled = play_settled(program);
    let thirds = play_thirds(program);
    print(report, quiet, &settled, &thirds);
    let round = &settled.round;
    let is_complete = round.complete && round.failed_exits == 0;
    report.require_min("round_complete", f64::from(u8::from(is_complete)), 1.0);
    report.require_max("out_at_once", round.max_out as f64, 1.0);
    report.require_min("in_time_over_quiet", settled.in_time / quiet, 0.99);
    report.figure("thirds_over_quiet", thirds.in_time / quiet);
    report.require_max("lost", f64::from(settled.lost_or_wrong), 0.0);
    let shortest_s = settled.cycle_s * MEMBERS as f64;
    report.require_max("time_over_least", round.took.as_secs_f64() / shortest_s, 1.3);
}

fn print(report: &Report, quiet: f64, settled: &Settled, thirds: &Played) {
    let row = |name: &str, in_time: f64, out: String, took: Duration| {
        vec![name.into(), format!("{in_time:.4}"), out, format!("{:.1}", took.as_secs_f64())]
    };
    let round = &settled.round;
    report.table(
        "Nine servers in three zones at 0.7 of what they do, each out for two seconds once",
        &["order", "in time", "out at once", "took s"],
        vec![
            row("none goes", quiet, "0".into(), Duration::ZERO),
            row("settled by the servers", settled.in_time, round.max_out.to_string(), round.took),
            row("thirds, unasked", thirds.in_time, "3".into(), thirds.took),
        ],
    );
}

/// The same load without maintenance, for as long as the script takes: in time over requested.
fn play_without_maintenance(program: &Path, span: Duration) -> f64 {
    let (_fleet, load) = started(program);
    std::thread::sleep(span);
    in_time(&load.end())
}

/// A round in the order that the servers settle.
struct Settled {
    round: RoundReport,
    in_time: f64,
    lost_or_wrong: u32,
    /// From a grant to the place being available, in the mean, s.
    cycle_s: f64,
}

fn play_settled(program: &Path) -> Settled {
    let (mut fleet, load) = started(program);
    let round = Round { work: OUT_FOR, kill_after: None, limit: Duration::from_secs(400) };
    let round = rounds::play(&mut fleet, &round);
    let results = load.end();
    let total = results.total();
    Settled {
        round,
        in_time: in_time(&results),
        lost_or_wrong: total.lost + total.wrong,
        cycle_s: cycle(&fleet),
    }
}

/// A third at once, by SIGTERM.
fn play_thirds(program: &Path) -> Played {
    let (mut fleet, load) = started(program);
    let began = Instant::now();
    for third in 0..3 {
        let out: Vec<usize> = (0..MEMBERS).filter(|one| one % 3 == third).collect();
        for one in &out {
            fleet.members[*one].fixture.terminate();
        }
        for one in &out {
            fleet.wait_for_exit(*one);
        }
        std::thread::sleep(OUT_FOR);
        for one in &out {
            fleet.start_member(*one);
        }
        std::thread::sleep(Duration::from_secs(1));
    }
    let took = began.elapsed();
    Played { in_time: in_time(&load.end()), took }
}

/// A machine's turn from its grant to its place being free, in the mean of all, s.
fn cycle(fleet: &Fleet) -> f64 {
    let (_, output, _) = fleet.run_command(0, &["work", "history", "--json"]);
    let events: serde_json::Value = serde_json::from_str(&output).unwrap_or_default();
    let empty = Vec::new();
    let events = events.as_array().unwrap_or(&empty);
    let at = |stage: &str| -> f64 {
        events.iter().filter(|e| e["stage"] == stage).filter_map(|e| e["at"].as_f64()).sum()
    };
    (at("Done") - at("Granted")) / 1000.0 / MEMBERS as f64
}
