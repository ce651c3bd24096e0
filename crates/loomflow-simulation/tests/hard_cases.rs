//! What goes wrong in a fleet, case by case, in virtual time.

use loomflow_fleet::order::ticket::{Stage, Urgency};
use loomflow_simulation::Fault::*;
use loomflow_simulation::{Script, Shape, World};

fn shape(machines: usize, voters: usize) -> Shape {
    Shape { machines, voters, ..Shape::default() }
}

/// Plays it and gives the world at the end; what the witness saw is the failure.
fn play(shape: Shape, script: Script, until: u64) -> World {
    let mut world = World::new(shape, 7);
    if let Err(what) = world.play(&script, until) {
        panic!("{what}");
    }
    world
}

fn stages(world: &World) -> Vec<Stage> {
    world.stages().into_iter().map(|(_, _, stage)| stage).collect()
}

fn timeline(world: &World) -> String {
    world.log.iter().map(|(at, what)| format!("{at:>8} {what}\n")).collect()
}

#[test]
fn a_fleet_forms_and_each_goes_in_turn() {
    let world = play(shape(5, 3), Script::new([(12_000, Ask((0..5).collect(), Urgency::Routine))]), 180_000);
    let done = [Stage::Done; 5];
    assert_eq!(stages(&world), done, "{}", timeline(&world));
    assert_eq!(world.witness.left.len(), 5);
}
