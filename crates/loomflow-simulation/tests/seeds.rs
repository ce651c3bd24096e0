//! Seeded days of faults. A seed that fails is printed with its timeline; `LOOMFLOW_SEED=n` plays it alone,
//! `LOOMFLOW_SEEDS=n` plays so many.

use loomflow_fleet::maintenance::ticket::Stage;
use loomflow_simulation::{Script, Shape, World, abreast, cores};

/// Faults from the twelfth second to the sixtieth, then quiet: every ticket comes to its end.
fn day(seed: u64) -> Result<(), String> {
    let voters = if seed.is_multiple_of(3) { 5 } else { 3 };
    let machines = voters + (seed % 4) as usize;
    let zones = 1 + (seed % 3) as usize;
    let shape = Shape { machines, voters, zones, drift: 0.001, duties: 6, ..Shape::default() };
    let script = Script::drawn(seed, machines, voters, 12_000, 60_000);
    let mut world = World::new(shape, seed);
    let fail = |world: &World, what: String| {
        let lines: Vec<String> = world.log.iter().map(|(at, what)| format!("{at:>8} {what}")).collect();
        let waits: Vec<String> = (0..machines).flat_map(|one| world.explain(one)).collect();
        format!("seed {seed}: {what}\n{}\n{}", lines.join("\n"), waits.join("\n"))
    };
    if let Err(what) = world.play(&script, 60_000) {
        return Err(fail(&world, what));
    }
    // Whoever died by fault and was not started again is.
    (0..machines).for_each(|one| world.start(one));
    if let Err(what) = world.go(60_000 + 300_000 + 40_000 * machines as u64) {
        return Err(fail(&world, what));
    }
    let stages = world.stages();
    let asked = world
        .asked
        .iter()
        .any(|(.., answer)| matches!(answer, Some(loomflow_fleet::maintenance::Response::Done(_))));
    if asked && stages.len() != machines {
        return Err(fail(&world, format!("{} tickets of {machines} are known: {stages:?}", stages.len())));
    }
    let open = stages.iter().filter(|(.., stage)| !stage.is_closed() && *stage != Stage::Overdue).count();
    if world.leader().is_none() || open > 0 {
        return Err(fail(&world, format!("{open} open, leader {:?}: {stages:?}", world.leader())));
    }
    for duty in (0..world.shape.duties).map(loomflow_simulation::world::duty) {
        let record = world.leader().and_then(|one| world.machines[one].node.as_ref()?.fleet_state());
        let parked = record.is_some_and(|record| record.duties.duties()[&duty].parked.is_some());
        if world.owners(&duty).len() != usize::from(!parked) {
            return Err(fail(
                &world,
                format!("{duty} has owners {:?}, parked {parked}", world.owners(&duty)),
            ));
        }
    }
    Ok(())
}

#[test]
fn seeded_days_break_nothing_and_every_ticket_comes_to_its_end() {
    let from = |name| std::env::var(name).ok().and_then(|text| text.parse::<u64>().ok());
    let seeds = match (from("LOOMFLOW_SEED"), from("LOOMFLOW_SEEDS")) {
        (Some(one), _) => one..one + 1,
        (None, count) => 0..count.unwrap_or(24),
    };
    let played = abreast(cores(), seeds, |seed| (seed, day(seed)));
    let failed: Vec<(u64, String)> =
        played.into_iter().filter_map(|(seed, played)| Some((seed, played.err()?))).collect();
    let numbers: Vec<u64> = failed.iter().map(|(seed, _)| *seed).collect();
    assert!(failed.is_empty(), "seeds {numbers:?} fail\n{}", failed[0].1);
}
