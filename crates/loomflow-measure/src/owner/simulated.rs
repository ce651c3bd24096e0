//! What duties cost a large fleet, how they are spread, and how little moves, in virtual time.

use loomflow_fleet::duty::assign::{Candidate, imbalance};
use loomflow_simulation::{Fault, Script, Shape, World, abreast, cores, world};

use crate::report::Report;

pub fn measure(report: &mut Report, quick: bool) {
    seeds(report, quick);
    size(report, quick);
}

/// Days of faults with duties: the witness looks on after every event.
fn seeds(report: &mut Report, quick: bool) {
    let count = if quick { 200 } else { 4_000 };
    let failed: Vec<String> = abreast(cores(), 0..count, |seed| {
        let voters = if seed % 3 == 0 { 5 } else { 3 };
        let machines = voters + (seed % 4) as usize;
        let shape = Shape { machines, voters, drift: 0.004, duties: 8, ..Shape::default() };
        let script = Script::drawn(seed, machines, voters, 12_000, 60_000);
        let mut world = World::new(shape, seed);
        let played = world.play(&script, 60_000).and_then(|()| {
            (0..machines).for_each(|one| world.start(one));
            world.go(180_000)
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
    let shape = |duties| {
        let terms = loomflow_fleet::duty::LeaseSettings { lease_millis: 10_000, max_attempts: 5 };
        Shape { machines: MACHINES, voters: 5, zones: 3, duties, terms, ..Shape::default() }
    };
    let traffic = |duties: usize| {
        let mut world = World::new(shape(duties), 3);
        (world.witness.thorough, world.witness.clocks_hold) = (false, false);
        let _ = world.go(60_000);
        let before = (world.traffic(), applied(&world), last_token(&world));
        let _ = world.go(60_000 + quiet);
        let after = (world.traffic(), applied(&world), last_token(&world));
        let seconds = quiet as f64 / 1000.0;
        let each = |count: u64| count as f64 / MACHINES as f64 / seconds;
        let figures = (
            each(after.0.0 - before.0.0),
            each(after.0.1 - before.0.1),
            (after.1 - before.1) as f64 / seconds,
            (after.2 - before.2) as f64 * 3_600.0 / seconds,
        );
        (world, figures)
    };
    let both = abreast(2, 0..2, |with| traffic(if with == 1 { DUTIES } else { 0 }));
    let mut both = both.into_iter();
    let (Some((_, without)), Some((mut world, with))) = (both.next(), both.next()) else { return };
    let able: Vec<Candidate> =
        (0..MACHINES).map(|n| Candidate { name: world::name(n), weight: 1.0, can_acquire: true }).collect();
    let most =
        world.leader().and_then(|one| world.machines[one].node.as_ref()?.fleet_state()).map(|record| {
            let bytes = record.duties.save().len();
            (imbalance(&record.duties, &able), bytes)
        });
    let (most, bytes) = most.unwrap_or((f64::INFINITY, 0));
    // One that does not vote dies: how much moves.
    let owner = |world: &World, duty: usize| world.owners(&world::duty(duty)).first().copied();
    let before: Vec<Option<usize>> = (0..DUTIES).map(|duty| owner(&world, duty)).collect();
    world.do_fault(&Fault::Kill(100));
    let next = world.now + 30_000;
    let _ = world.go(next);
    let had_to = before.iter().filter(|one| **one == Some(100)).count();
    let moved = (0..DUTIES).filter(|duty| owner(&world, *duty) != before[*duty]).count();
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

fn applied(world: &World) -> u64 {
    let consensus = world.leader().and_then(|one| world.machines[one].node.as_ref()?.consensus());
    consensus.map_or(0, |consensus| consensus.applied_index())
}

fn last_token(world: &World) -> u64 {
    let record = world.leader().and_then(|one| world.machines[one].node.as_ref()?.fleet_state());
    record.map_or(0, |record| record.duties.last_token())
}
