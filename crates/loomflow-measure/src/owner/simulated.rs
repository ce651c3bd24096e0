//! What duties cost a large fleet, how they are spread, and how little moves, in virtual time.

use loomflow_fleet::duty::assign::{Candidate, imbalance};
use loomflow_simulation::config::{duty_name, server_name};
use loomflow_simulation::{Fault, Scenario, Simulation, SimulationConfig, core_count, run_parallel};

use crate::report::Report;

pub fn measure(report: &mut Report, quick: bool) {
    seeds(report, quick);
    size(report, quick);
}

/// Days of faults with duties: the witness looks on after every event.
fn seeds(report: &mut Report, quick: bool) {
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
        let played = simulation.run(&scenario, 60_000).and_then(|()| {
            (0..machines).for_each(|one| simulation.start(one));
            simulation.run_until(180_000)
        });
        played.err().map(|what| format!("seed {seed}: {what}"))
    })
    .into_iter()
    .flatten()
    .collect();
    failed.iter().take(1).for_each(|what| println!("{what}"));
    report.figure("owner_seeds", count as f64);
    report.at_most("owner_violations", failed.len() as f64, 0.0);
}

/// 300 members with 1,000 duties: messages, bytes, entries; spread; moves on a quiet day and when a member dies.
fn size(report: &mut Report, quick: bool) {
    const MACHINES: usize = 300;
    const DUTIES: usize = 1_000;
    let quiet = if quick { 20_000 } else { 600_000 };
    let config = |duties| {
        let lease_settings = loomflow_fleet::duty::LeaseSettings { lease_millis: 10_000, max_attempts: 5 };
        SimulationConfig {
            machines: MACHINES,
            voters: 5,
            zones: 3,
            duties,
            lease_settings,
            ..SimulationConfig::default()
        }
    };
    let traffic = |duties: usize| {
        let mut simulation = Simulation::new(config(duties), 3);
        (simulation.invariants.compares_states, simulation.invariants.expects_one_owner) = (false, false);
        let _ = simulation.run_until(60_000);
        let before = (simulation.traffic(), applied(&simulation), last_token(&simulation));
        let _ = simulation.run_until(60_000 + quiet);
        let after = (simulation.traffic(), applied(&simulation), last_token(&simulation));
        let seconds = quiet as f64 / 1000.0;
        let each = |count: u64| count as f64 / MACHINES as f64 / seconds;
        let figures = (
            each(after.0.messages - before.0.messages),
            each(after.0.bytes - before.0.bytes),
            (after.1 - before.1) as f64 / seconds,
            (after.2 - before.2) as f64 * 3_600.0 / seconds,
        );
        (simulation, figures)
    };
    let both = run_parallel(2, 0..2, |with| traffic(if with == 1 { DUTIES } else { 0 }));
    let mut both = both.into_iter();
    let (Some((_, without)), Some((mut simulation, with))) = (both.next(), both.next()) else { return };
    let able: Vec<Candidate> =
        (0..MACHINES).map(|n| Candidate { name: server_name(n), weight: 1.0, can_acquire: true }).collect();
    let most = simulation.leader_state().map(|record| {
        let bytes = record.duties.save().len();
        (imbalance(&record.duties, &able), bytes)
    });
    let (most, bytes) = most.unwrap_or((f64::INFINITY, 0));
    // One that does not vote dies: how much moves.
    let owner = |simulation: &Simulation, duty: usize| simulation.owners(&duty_name(duty)).first().copied();
    let before: Vec<Option<usize>> = (0..DUTIES).map(|duty| owner(&simulation, duty)).collect();
    simulation.inject(&Fault::Kill(100));
    let next = simulation.now + 30_000;
    let _ = simulation.run_until(next);
    let had_to = before.iter().filter(|one| **one == Some(100)).count();
    let moved = (0..DUTIES).filter(|duty| owner(&simulation, *duty) != before[*duty]).count();
    report.table(
        "300 members: without duties, and with 1,000",
        &["duties", "messages a member a second", "bytes", "log entries a second", "moves an hour"],
        vec![
            vec![
                "0".into(),
                format!("{:.1}", without.0),
                format!("{:.0}", without.1),
                format!("{:.1}", without.2),
                "-".into(),
            ],
            vec![
                DUTIES.to_string(),
                format!("{:.1}", with.0),
                format!("{:.0}", with.1),
                format!("{:.1}", with.2),
                format!("{:.0}", with.3),
            ],
        ],
    );
    report.table(
        "1,000 duties on 300 members",
        &["most over mean", "moved when one died", "that were its own", "state, bytes"],
        vec![vec![format!("{most:.2}"), moved.to_string(), had_to.to_string(), bytes.to_string()]],
    );
    report.at_most("spread_most_over_mean", most, 1.25);
    report.at_most("moves_over_least_300", moved as f64 / had_to.max(1) as f64, 1.2);
    report.at_most("moves_an_hour", with.3, 0.0);
    report.at_most("messages_over_none", with.0 / without.0, 1.5);
    report.figure("log_entries_a_second", with.2);
}

fn applied(simulation: &Simulation) -> u64 {
    let consensus = simulation.leader().and_then(|one| simulation.machines[one].node.as_ref()?.consensus());
    consensus.map_or(0, |consensus| consensus.applied_index())
}

fn last_token(simulation: &Simulation) -> u64 {
    let record = simulation.leader_state();
    record.map_or(0, |record| record.duties.last_token())
}
