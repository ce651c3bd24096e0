//! Helpers to run scenarios on a simulated fleet.

#![allow(dead_code, reason = "no test file uses all helpers")]

use loomflow_fleet_simulation::{Fault, Scenario, Simulation, SimulationConfig};

/// The log of a simulation, followed by the reasons why tickets wait.
pub fn timeline(simulation: &Simulation) -> String {
    let waits = (0..simulation.machines.len()).flat_map(|machine| simulation.explain(machine));
    let lines = simulation.log.iter().map(ToString::to_string);
    lines.chain(waits).collect::<Vec<_>>().join("\n")
}

/// Advances the virtual time to `until`, ms; panics if an invariant is violated.
pub fn advance(simulation: &mut Simulation, until: u64) {
    if let Err(violation) = simulation.run_until(until) {
        panic!("{violation}");
    }
}

/// Advances the virtual time in steps of `step` ms until a condition holds, for at most 120 s; returns the
/// time at which it holds.
pub fn advance_until(
    simulation: &mut Simulation,
    step: u64,
    condition: &str,
    holds: impl Fn(&Simulation) -> bool,
) -> u64 {
    let end = simulation.now + 120_000;
    while !holds(simulation) {
        assert!(
            simulation.now < end,
            "condition not met within 120 s: {condition}\n{}",
            timeline(simulation)
        );
        let next = simulation.now + step;
        advance(simulation, next);
    }
    simulation.now
}

/// Runs a fleet with these faults until `until`, ms; panics if an invariant is violated.
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
