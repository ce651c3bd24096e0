//! Seeded days of faults. A seed that fails is printed with its timeline; `LOOMFLOW_SEED=n` plays it alone,
//! `LOOMFLOW_SEEDS=n` plays so many.

use loomflow_fleet::maintenance::Response;
use loomflow_fleet::maintenance::ticket::TicketStage;
use loomflow_fleet_simulation::{Scenario, Simulation, SimulationConfig, core_count, run_parallel};

/// Faults from the twelfth second to the sixtieth, then quiet: every ticket comes to its end.
fn day(seed: u64) -> Result<(), String> {
    let voters = if seed.is_multiple_of(3) { 5 } else { 3 };
    let machines = voters + (seed % 4) as usize;
    let zones = 1 + (seed % 3) as usize;
    let config = SimulationConfig {
        machines,
        voters,
        zones,
        max_clock_drift: 0.001,
        duties: 6,
        ..SimulationConfig::default()
    };
    let scenario = Scenario::random(seed, machines, voters, 12_000, 60_000);
    let mut simulation = Simulation::new(config, seed);
    let fail = |simulation: &Simulation, what: String| {
        let lines: Vec<String> = simulation.log.iter().map(ToString::to_string).collect();
        let waits: Vec<String> = (0..machines).flat_map(|one| simulation.explain(one)).collect();
        format!("seed {seed}: {what}\n{}\n{}", lines.join("\n"), waits.join("\n"))
    };
    if let Err(what) = simulation.run(&scenario, 60_000) {
        return Err(fail(&simulation, what.to_string()));
    }
    // Whoever died by fault and was not started again is.
    (0..machines).for_each(|one| simulation.start(one));
    if let Err(what) = simulation.run_until(60_000 + 300_000 + 40_000 * machines as u64) {
        return Err(fail(&simulation, what.to_string()));
    }
    let stages = simulation.tickets();
    let asked = simulation.operator_calls.iter().any(|call| matches!(call.response, Some(Response::Done(_))));
    if asked && stages.len() != machines {
        return Err(fail(
            &simulation,
            format!("{} tickets of {machines} are known: {stages:?}", stages.len()),
        ));
    }
    let open =
        stages.iter().filter(|one| !one.stage.is_closed() && one.stage != TicketStage::Overdue).count();
    if simulation.leader().is_none() || open > 0 {
        return Err(fail(&simulation, format!("{open} open, leader {:?}: {stages:?}", simulation.leader())));
    }
    for duty in (0..simulation.config.duties).map(loomflow_fleet_simulation::config::duty_name) {
        let record = simulation.leader_state();
        let parked = record.is_some_and(|record| record.duties.duties()[&duty].parked.is_some());
        if simulation.owners(&duty).len() != usize::from(!parked) {
            return Err(fail(
                &simulation,
                format!("{duty} has owners {:?}, parked {parked}", simulation.owners(&duty)),
            ));
        }
    }
    Ok(())
}

#[test]
fn seeded_days_break_no_invariant_and_close_every_ticket() {
    let from = |name| std::env::var(name).ok().and_then(|text| text.parse::<u64>().ok());
    let seeds = match (from("LOOMFLOW_SEED"), from("LOOMFLOW_SEEDS")) {
        (Some(one), _) => one..one + 1,
        (None, count) => 0..count.unwrap_or(24),
    };
    let played = run_parallel(core_count(), seeds, |seed| (seed, day(seed)));
    let failed: Vec<(u64, String)> =
        played.into_iter().filter_map(|(seed, played)| Some((seed, played.err()?))).collect();
    let numbers: Vec<u64> = failed.iter().map(|(seed, _)| *seed).collect();
    assert!(failed.is_empty(), "seeds {numbers:?} fail\n{}", failed[0].1);
}
