//! Playing scenarios on a simulated fleet.

#![allow(dead_code, reason = "each test file uses a part of them")]

use loomflow_fleet_simulation::{Fault, Scenario, Simulation, SimulationConfig};

/// The events of a simulation, and why each machine waits.
pub fn timeline(simulation: &Simulation) -> String {
    let waits = (0..simulation.machines.len()).flat_map(|machine| simulation.explain(machine));
    let lines = simulation.log.iter().map(ToString::to_string);
    lines.chain(waits).collect::<Vec<_>>().join("\n")
}

/// Lets time pass until a moment, ms. An invariant that is violated fails the test.
pub fn advance(simulation: &mut Simulation, until: u64) {
    if let Err(violation) = simulation.run_until(until) {
        panic!("{violation}");
    }
}

/// Lets time pass in steps until a condition holds; returns the moment.
pub fn advance_until(
    simulation: &mut Simulation,
    step: u64,
    condition: &str,
    holds: impl Fn(&Simulation) -> bool,
) -> u64 {
    let end = simulation.now + 120_000;
    while !holds(simulation) {
        assert!(simulation.now < end, "never: {condition}\n{}", timeline(simulation));
        let next = simulation.now + step;
        advance(simulation, next);
    }
    simulation.now
}

/// Plays faults on a fleet until a time, ms. An invariant that is violated fails the test.
pub fn run(
    config: SimulationConfig,
    steps: impl IntoIterator<Item = (u64, Fault)>,
    until: u64,
) -> Simulation {
    let mut simulation = Simulation::new(config, 7);
    if let Err(violation) = simulation.run(&Scenario::new(steps), until) {
        panic!("{violation}");
    }
    simulation
}
