//! Random scenarios on a simulated fleet, by seed: faults for 48 s, then quiet. No invariant is violated, every ticket is
//! closed or overdue in the end, and every duty has one owner unless it is parked.
//!
//! A seed that fails is printed with its timeline; `LOOMFLOW_SEED=n` plays it alone, `LOOMFLOW_SEEDS=n` plays seeds 0 to n.

mod common;

use common::timeline;
use loomflow_fleet::command::FleetResponse;
use loomflow_fleet::maintenance::ticket::TicketStage;
use loomflow_fleet_simulation::config::duty_name;
use loomflow_fleet_simulation::{Scenario, Simulation, SimulationConfig, core_count, run_parallel};

/// When faults start and end, ms.
const FAULTS: std::ops::Range<u64> = 12_000..60_000;
/// How long a fleet is quiet after the faults, ms, and how much longer for each machine.
const QUIET: u64 = 300_000;
const QUIET_PER_MACHINE: u64 = 40_000;

/// A fleet whose size depends on the seed.
fn config(seed: u64) -> SimulationConfig {
    let voters = if seed.is_multiple_of(3) { 5 } else { 3 };
    SimulationConfig {
        machines: voters + (seed % 4) as usize,
        voters,
        zones: 1 + (seed % 3) as usize,
        max_clock_drift: 0.001,
        duties: 6,
        ..SimulationConfig::default()
    }
}

/// Plays the faults of a seed and the quiet time after them.
fn play_phases(simulation: &mut Simulation, seed: u64) -> Result<(), String> {
    let (machines, voters) = (simulation.config.machines, simulation.config.voters);
    let scenario = Scenario::random(seed, machines, voters, FAULTS.start, FAULTS.end);
    simulation.run(&scenario, FAULTS.end).map_err(|violation| violation.to_string())?;
    // Machines that a fault killed and that were not restarted are started now.
    (0..machines).for_each(|machine| simulation.start(machine));
    let end = FAULTS.end + QUIET + QUIET_PER_MACHINE * machines as u64;
    simulation.run_until(end).map_err(|violation| violation.to_string())
}

/// The fleet has a leader, and each machine has a ticket that is closed or overdue, if any ticket was accepted.
fn check_tickets(simulation: &Simulation) -> Result<(), String> {
    let stages = simulation.tickets();
    let machines = simulation.config.machines;
    let is_accepted =
        simulation.operator_calls.iter().any(|call| matches!(call.response, Some(FleetResponse::Done(_))));
    if is_accepted && stages.len() != machines {
        return Err(format!("{} tickets of {machines} are known: {stages:?}", stages.len()));
    }
    let is_open = |stage: TicketStage| !stage.is_closed() && stage != TicketStage::Overdue;
    let open = stages.iter().filter(|ticket| is_open(ticket.stage)).count();
    if simulation.leader().is_none() || open > 0 {
        return Err(format!("{open} open, leader {:?}: {stages:?}", simulation.leader()));
    }
    Ok(())
}

/// Each duty has one owner, or none while it is parked.
fn check_duties(simulation: &Simulation) -> Result<(), String> {
    for duty in (0..simulation.config.duties).map(duty_name) {
        let record = simulation.leader_state();
        let is_parked = record.is_some_and(|record| record.duties.duties()[&duty].parked.is_some());
        let owners = simulation.owners(&duty);
        if owners.len() != usize::from(!is_parked) {
            return Err(format!("{duty} has owners {owners:?}, parked {is_parked}"));
        }
    }
    Ok(())
}

/// Plays a seed; a failure comes with the timeline.
fn play(seed: u64) -> Result<(), String> {
    let mut simulation = Simulation::new(config(seed), seed);
    play_phases(&mut simulation, seed)
        .and_then(|()| check_tickets(&simulation))
        .and_then(|()| check_duties(&simulation))
        .map_err(|fault| format!("seed {seed}: {fault}\n{}", timeline(&simulation)))
}

#[test]
fn random_scenarios_violate_no_invariant_and_every_ticket_is_closed() {
    let from = |name| std::env::var(name).ok().and_then(|text| text.parse::<u64>().ok());
    let seeds = match (from("LOOMFLOW_SEED"), from("LOOMFLOW_SEEDS")) {
        (Some(seed), _) => seed..seed + 1,
        (None, count) => 0..count.unwrap_or(24),
    };
    let played = run_parallel(core_count(), seeds, |seed| (seed, play(seed)));
    let failed: Vec<(u64, String)> =
        played.into_iter().filter_map(|(seed, played)| Some((seed, played.err()?))).collect();
    let numbers: Vec<u64> = failed.iter().map(|(seed, _)| *seed).collect();
    assert!(failed.is_empty(), "seeds {numbers:?} fail\n{}", failed[0].1);
}
