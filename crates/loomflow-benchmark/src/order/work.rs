//! Nine processes in three zones under load, each maintained once: scheduled by the fleet, compared with a script that
//! terminates a third of them at once without tickets.

use std::path::Path;
use std::time::{Duration, Instant};

use loomflow_load::rounds::{self, Round, RoundReport};
use loomflow_load::{Plan as LoadPlan, Results, fleet};
use loomflow_test_servers::fleet::{Fleet, Plan as FleetPlan};

use crate::report::Report;

const MEMBERS: usize = 9;
/// Duration of one run.
const WORK: Duration = Duration::from_millis(20);
/// Load, as a fraction of the capacity of all members.
const LOAD: f64 = 0.7;
/// How long the maintenance of a machine takes.
const MAINTENANCE: Duration = Duration::from_secs(2);
const FLEET_PLAN: FleetPlan = FleetPlan {
    members: MEMBERS,
    zones: 3,
    extra: "  begin_within_s: 10\n  warm_for_s: 1\n",
    cores: 1,
    work: WORK,
    seed: 1,
};

/// Starts a fleet and puts it under load.
fn start_under_load(program: &Path) -> (Fleet, fleet::FleetLoad) {
    let fleet = Fleet::start_with(FLEET_PLAN, program).bootstrap(FLEET_PLAN);
    let rate = LOAD * MEMBERS as f64 / WORK.as_secs_f64();
    let plan = LoadPlan {
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

/// Fraction of requests that were served in time, without the first and the last second.
fn in_time_ratio(results: &Results) -> f64 {
    let all = results.between(1, results.seconds.len().saturating_sub(1).max(2));
    f64::from(all.in_time) / f64::from(all.sent.max(1))
}

/// Outcome of maintenance of a third of the members at once.
struct ThirdsOutcome {
    /// Fraction of requests that were served in time.
    in_time: f64,
    took: Duration,
}

pub fn measure(report: &mut Report, quick: bool, program: &Path) {
    let quiet = run_without_maintenance(program, Duration::from_secs(if quick { 8 } else { 30 }));
    let scheduled = run_scheduled(program);
    let thirds = run_thirds(program);
    print(report, quiet, &scheduled, &thirds);
    let round = &scheduled.round;
    let is_complete = round.complete && round.failed_exits == 0;
    report.require_min("round_complete", f64::from(u8::from(is_complete)), 1.0);
    report.require_max("out_at_once", round.max_out as f64, 1.0);
    report.require_min("in_time_over_quiet", scheduled.in_time / quiet, 0.99);
    report.figure("thirds_over_quiet", thirds.in_time / quiet);
    report.require_max("lost", f64::from(scheduled.lost_or_wrong), 0.0);
    let shortest_s = scheduled.cycle_s * MEMBERS as f64;
    report.require_max("time_over_least", round.took.as_secs_f64() / shortest_s, 1.3);
}

fn print(report: &Report, quiet: f64, scheduled: &ScheduledOutcome, thirds: &ThirdsOutcome) {
    let row = |name: &str, in_time: f64, out: String, took: Duration| {
        vec![name.into(), format!("{in_time:.4}"), out, format!("{:.1}", took.as_secs_f64())]
    };
    let round = &scheduled.round;
    report.table(
        "Nine servers in three zones at 0.7 of what they do, each out for two seconds once",
        &["order", "in time", "out at once", "took s"],
        vec![
            row("none goes", quiet, "0".into(), Duration::ZERO),
            row("settled by the servers", scheduled.in_time, round.max_out.to_string(), round.took),
            row("thirds, unasked", thirds.in_time, "3".into(), thirds.took),
        ],
    );
}

/// Runs the same load without maintenance for `duration`. Returns the fraction of requests that were served in time.
fn run_without_maintenance(program: &Path, duration: Duration) -> f64 {
    let (_fleet, load) = start_under_load(program);
    std::thread::sleep(duration);
    in_time_ratio(&load.end())
}

/// Outcome of a round of maintenance that the fleet schedules.
struct ScheduledOutcome {
    round: RoundReport,
    in_time: f64,
    lost_or_wrong: u32,
    /// Mean time from the grant of a ticket until its maintenance slot is free again, s.
    cycle_s: f64,
}

fn run_scheduled(program: &Path) -> ScheduledOutcome {
    let (mut fleet, load) = start_under_load(program);
    let round = Round { work: MAINTENANCE, kill_after: None, limit: Duration::from_secs(400) };
    let round = rounds::run(&mut fleet, &round);
    let results = load.end();
    let total = results.total();
    ScheduledOutcome {
        round,
        in_time: in_time_ratio(&results),
        lost_or_wrong: total.lost + total.wrong,
        cycle_s: mean_cycle_seconds(&fleet),
    }
}

/// Terminates (SIGTERM) a third of the members at a time and restarts them after the time of their maintenance.
fn run_thirds(program: &Path) -> ThirdsOutcome {
    let (mut fleet, load) = start_under_load(program);
    let started_at = Instant::now();
    for third in 0..3 {
        let out: Vec<usize> = (0..MEMBERS).filter(|member| member % 3 == third).collect();
        for member in &out {
            fleet.members[*member].fixture.terminate();
        }
        for member in &out {
            fleet.wait_for_exit(*member);
        }
        std::thread::sleep(MAINTENANCE);
        for member in &out {
            fleet.start_member(*member);
        }
        std::thread::sleep(Duration::from_secs(1));
    }
    let took = started_at.elapsed();
    ThirdsOutcome { in_time: in_time_ratio(&load.end()), took }
}

/// Mean time from the grant of a ticket until its maintenance slot is free again, s.
fn mean_cycle_seconds(fleet: &Fleet) -> f64 {
    let (_, output, _) = fleet.run_command(0, &["work", "history", "--json"]);
    let events: serde_json::Value = serde_json::from_str(&output).unwrap_or_default();
    let empty = Vec::new();
    let events = events.as_array().unwrap_or(&empty);
    let sum_of_times = |stage: &str| -> f64 {
        events.iter().filter(|event| event["stage"] == stage).filter_map(|event| event["at"].as_f64()).sum()
    };
    (sum_of_times("Done") - sum_of_times("Granted")) / 1000.0 / MEMBERS as f64
}
