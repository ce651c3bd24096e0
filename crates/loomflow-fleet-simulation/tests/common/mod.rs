//! Playing scenarios on a simulated fleet.

use loomflow_fleet_simulation::{Fault, Scenario, Simulation, SimulationConfig};

/// What happened, and why each server waits.
pub fn timeline(simulation: &Simulation) -> String {
    let waits = (0..simulation.machines.len()).flat_map(|one| simulation.explain(one));
    let lines = simulation.log.iter().map(ToString::to_string);
    lines.chain(waits).collect::<Vec<_>>().join("\n")
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
