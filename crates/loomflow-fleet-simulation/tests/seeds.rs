//! Random scenarios on a simulated fleet: faults for 48 s, followed by a time without faults. No invariant
//! may be violated; in the end every ticket is closed or overdue, and every duty has one owner unless it is
//! parked.
//!
//! A failed seed is reported with its timeline. `LOOMFLOW_SEED=n` runs only seed n, `LOOMFLOW_SEEDS=n` the
//! first n seeds.

mod common;

use common::timeline;
use loomflow_fleet::command::FleetResponse;
use loomflow_fleet::maintenance::ticket::TicketStage;
use loomflow_fleet_simulation::config::duty_name;
use loomflow_fleet_simulation::{Scenario, Simulation, SimulationConfig, core_count, run_parallel};

/// Period in which faults are injected, ms.
const FAULT_PERIOD: std::ops::Range<u64> = 12_000..60_000;
/// Time without faults after the scenario, ms.
const SETTLING_MILLIS: u64 = 300_000;
/// Additional time without faults for each machine, ms.
const SETTLING_PER_MACHINE_MILLIS: u64 = 40_000;

/// Returns the configuration of a fleet whose size depends on the seed.
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

/// Runs the scenario of a seed and the time without faults after it.
fn run_scenario(simulation: &mut Simulation, seed: u64) -> Result<(), String> {
    let (machines, voters) = (simulation.config.machines, simulation.config.voters);
    let scenario = Scenario::random(seed, machines, voters, FAULT_PERIOD.start, FAULT_PERIOD.end);
    simulation.run(&scenario, FAULT_PERIOD.end).map_err(|violation| violation.to_string())?;
    // Restarts the machines that are still down.
    (0..machines).for_each(|machine| simulation.start(machine));
    let end = FAULT_PERIOD.end + SETTLING_MILLIS + SETTLING_PER_MACHINE_MILLIS * machines as u64;
    simulation.run_until(end).map_err(|violation| violation.to_string())
}

/// Checks that the fleet has a leader, that every ticket is closed or overdue, and that each machine has a
/// ticket if the request was accepted.
fn check_tickets(simulation: &Simulation) -> Result<(), String> {
    let tickets = simulation.tickets();
    let machines = simulation.config.machines;
    let is_accepted =
        simulation.operator_calls.iter().any(|call| matches!(call.response, Some(FleetResponse::Done(_))));
    if is_accepted && tickets.len() != machines {
        return Err(format!("{} tickets exist for {machines} machines: {tickets:?}", tickets.len()));
    }
    let is_open = |stage: TicketStage| !stage.is_closed() && stage != TicketStage::Overdue;
    let open = tickets.iter().filter(|ticket| is_open(ticket.stage)).count();
    if simulation.leader().is_none() || open > 0 {
        return Err(format!("{open} tickets are open, the leader is {:?}: {tickets:?}", simulation.leader()));
    }
    Ok(())
}

/// Checks that each duty has one owner, or none while it is parked.
fn check_duties(simulation: &Simulation) -> Result<(), String> {
    for duty in (0..simulation.config.duties).map(duty_name) {
        let state = simulation.leader_state();
        let is_parked = state.is_some_and(|state| state.duties.duties()[&duty].parked.is_some());
        let owners = simulation.owners(&duty);
        if owners.len() != usize::from(!is_parked) {
            return Err(format!("{duty} has owners {owners:?}, parked: {is_parked}"));
        }
    }
    Ok(())
}

/// Runs a seed; an error contains the timeline.
fn run_seed(seed: u64) -> Result<(), String> {
    let mut simulation = Simulation::new(config(seed), seed);
    run_scenario(&mut simulation, seed)
        .and_then(|()| check_tickets(&simulation))
        .and_then(|()| check_duties(&simulation))
        .map_err(|error| format!("seed {seed}: {error}\n{}", timeline(&simulation)))
}

#[test]
fn random_scenarios_keep_invariants_and_close_tickets() {
    let number_from_env = |name| std::env::var(name).ok().and_then(|text| text.parse::<u64>().ok());
    let seeds = match (number_from_env("LOOMFLOW_SEED"), number_from_env("LOOMFLOW_SEEDS")) {
        (Some(seed), _) => seed..seed + 1,
        (None, count) => 0..count.unwrap_or(24),
    };
    let results = run_parallel(core_count(), seeds, |seed| (seed, run_seed(seed)));
    let failed: Vec<(u64, String)> =
        results.into_iter().filter_map(|(seed, result)| Some((seed, result.err()?))).collect();
    let numbers: Vec<u64> = failed.iter().map(|(seed, _)| *seed).collect();
    assert!(failed.is_empty(), "seeds {numbers:?} failed\n{}", failed[0].1);
}
