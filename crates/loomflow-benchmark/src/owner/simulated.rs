//! Duties in a simulated fleet: invariants under faults, cost for a large fleet, spread over its members, and migrations.

use loomflow_fleet::duty::LeaseSettings;
use loomflow_fleet::duty::assign::Candidate;
use loomflow_fleet::duty::load::imbalance;
use loomflow_fleet::time::{IntegerMillis, seconds};
use loomflow_fleet_simulation::config::{duty_name, server_name};
use loomflow_fleet_simulation::{Fault, Scenario, Simulation, SimulationConfig, core_count, run_parallel};

use crate::report::Report;

pub fn measure(report: &mut Report, quick: bool) {
    measure_days_of_faults(report, quick);
    measure_large_fleet(report, quick);
}

/// Simulates days of faults with duties. The invariants are checked after every event.
fn measure_days_of_faults(report: &mut Report, quick: bool) {
    let count = if quick { 200 } else { 4_000 };
    let failed: Vec<String> = run_parallel(core_count(), 0..count, |seed| {
        let voters = if seed % 3 == 0 { 5 } else { 3 };
        let machines = voters + (seed % 4) as usize;
        let config = SimulationConfig {
            machines,
            voters,
            max_clock_drift: 0.004,
            duties: 8,
            ..SimulationConfig::default()
        };
        let scenario = Scenario::random(seed, machines, voters, 12_000, 60_000);
        let mut simulation = Simulation::new(config, seed);
        let scenario_results = simulation.run(&scenario, 60_000).and_then(|()| {
            (0..machines).for_each(|machine| simulation.start(machine));
            simulation.run_until(180_000)
        });
        scenario_results.err().map(|violation| format!("seed {seed}: {violation}"))
    })
    .into_iter()
    .flatten()
    .collect();
    failed.iter().take(1).for_each(|violation| println!("{violation}"));
    report.figure("owner_seeds", count as f64);
    report.require_max("owner_violations", failed.len() as f64, 0.0);
}

const MACHINES: usize = 300;
const DUTIES: usize = 1_000;
/// The machine that is killed: one that is not a voter.
const KILLED_MACHINE: usize = 100;

/// Cost of duties for a quiet fleet.
struct QuietDay {
    /// Messages that a member sends, per second.
    messages: f64,
    /// Bytes that a member sends, per second.
    bytes: f64,
    /// Entries of the fleet's replicated log, per second.
    log_entries: f64,
    /// Migrations of duties, per hour.
    migrations: f64,
}

impl QuietDay {
    fn row(&self, duties: usize, migrations: String) -> Vec<String> {
        vec![
            duties.to_string(),
            format!("{:.1}", self.messages),
            format!("{:.0}", self.bytes),
            format!("{:.1}", self.log_entries),
            migrations,
        ]
    }
}

/// Measures 300 members with 1,000 duties: messages, bytes and log entries compared with a fleet without duties, the spread
/// of the duties, and migrations on a quiet day and after the death of a member.
fn measure_large_fleet(report: &mut Report, quick: bool) {
    let duration = if quick { 20_000 } else { 600_000 };
    let duty_counts = [0, DUTIES];
    let days = run_parallel(2, 0..2, |index| quiet_day(duty_counts[index as usize], duration));
    let mut days = days.into_iter();
    let (Some((_, without)), Some((mut simulation, with))) = (days.next(), days.next()) else { return };
    report.table(
        "300 members: without duties, and with 1,000",
        &["duties", "messages a member a second", "bytes", "log entries a second", "moves an hour"],
        vec![without.row(0, "-".into()), with.row(DUTIES, format!("{:.0}", with.migrations))],
    );
    let (max_over_mean, bytes) = spread(&simulation);
    let (migrated, owned_by_killed) = migrations_after_death(&mut simulation);
    report.table(
        "1,000 duties on 300 members",
        &["most over mean", "moved when one died", "that were its own", "state, bytes"],
        vec![vec![
            format!("{max_over_mean:.2}"),
            migrated.to_string(),
            owned_by_killed.to_string(),
            bytes.to_string(),
        ]],
    );
    report.require_max("spread_most_over_mean", max_over_mean, 1.25);
    report.require_max("moves_over_least_300", migrated as f64 / owned_by_killed.max(1) as f64, 1.2);
    report.require_max("moves_an_hour", with.migrations, 0.0);
    report.require_max("messages_over_none", with.messages / without.messages, 1.5);
    report.figure("log_entries_a_second", with.log_entries);
}

/// Simulates a quiet fleet for `duration`, ms, after it has formed. Returns the simulation and the cost.
fn quiet_day(duties: usize, duration: IntegerMillis) -> (Simulation, QuietDay) {
    const FORMED_AT: IntegerMillis = 60_000;
    let lease_settings = LeaseSettings { lease_millis: 10_000, max_attempts: 5 };
    let config = SimulationConfig {
        machines: MACHINES,
        voters: 5,
        zones: 3,
        duties,
        lease_settings,
        ..SimulationConfig::default()
    };
    let mut simulation = Simulation::new(config, 3);
    simulation.invariants.compares_states = false;
    simulation.invariants.expects_one_owner = false;
    let _ = simulation.run_until(FORMED_AT);
    let (traffic, index, token) = (simulation.traffic(), applied_index(&simulation), last_token(&simulation));
    let _ = simulation.run_until(FORMED_AT + duration);
    let traffic_after = simulation.traffic();
    let duration_seconds = seconds(duration);
    let each = |count: u64| count as f64 / MACHINES as f64 / duration_seconds;
    let day = QuietDay {
        messages: each(traffic_after.messages - traffic.messages),
        bytes: each(traffic_after.bytes - traffic.bytes),
        log_entries: (applied_index(&simulation) - index) as f64 / duration_seconds,
        migrations: (last_token(&simulation) - token) as f64 * 3_600.0 / duration_seconds,
    };
    (simulation, day)
}

/// Ratio of the maximum load of duties on a member to the mean, and the size of the saved state of all duties, bytes.
fn spread(simulation: &Simulation) -> (f64, usize) {
    let candidates: Vec<Candidate> =
        (0..MACHINES).map(|n| Candidate { name: server_name(n), weight: 1.0, can_acquire: true }).collect();
    let Some(state) = simulation.leader_state() else { return (f64::INFINITY, 0) };
    (imbalance(&state.duties, &candidates), state.duties.save().len())
}

/// Number of duties that changed their owner after a member was killed, and number of duties that the killed member
/// owned.
fn migrations_after_death(simulation: &mut Simulation) -> (usize, usize) {
    let owner = |simulation: &Simulation, duty: usize| simulation.owners(&duty_name(duty)).first().copied();
    let before: Vec<Option<usize>> = (0..DUTIES).map(|duty| owner(simulation, duty)).collect();
    simulation.inject(&Fault::Kill(KILLED_MACHINE));
    let next = simulation.now + 30_000;
    let _ = simulation.run_until(next);
    let owned_by_killed = before.iter().filter(|owner| **owner == Some(KILLED_MACHINE)).count();
    let migrated = (0..DUTIES).filter(|duty| owner(simulation, *duty) != before[*duty]).count();
    (migrated, owned_by_killed)
}

fn applied_index(simulation: &Simulation) -> u64 {
    let consensus =
        simulation.leader().and_then(|leader| simulation.machines[leader].node.as_ref()?.consensus());
    consensus.map_or(0, loomflow_fleet::consensus::Consensus::applied_index)
}

fn last_token(simulation: &Simulation) -> u64 {
    simulation.leader_state().map_or(0, |state| state.duties.last_token())
}
