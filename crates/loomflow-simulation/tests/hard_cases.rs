//! What goes wrong in a fleet, case by case, in virtual time. Each case is a script; the witness looks on all the while.

use loomflow_fleet::maintenance::rules::{Limit, Rules};
use loomflow_fleet::maintenance::ticket::{Stage, Urgency::Routine};
use loomflow_simulation::Fault::{self, *};
use loomflow_simulation::{Script, Shape, World};

fn shape(machines: usize, voters: usize) -> Shape {
    Shape { machines, voters, ..Shape::default() }
}

fn timeline(world: &World) -> String {
    let waits = (0..world.machines.len()).flat_map(|one| world.explain(one));
    world.log.iter().map(|(at, what)| format!("{at:>8} {what}")).chain(waits).collect::<Vec<_>>().join("\n")
}

/// Plays it and gives the world at the end; what the witness saw is the failure.
fn play(shape: Shape, steps: impl IntoIterator<Item = (u64, Fault)>, until: u64) -> World {
    let mut world = World::new(shape, 7);
    if let Err(what) = world.play(&Script::new(steps), until) {
        panic!("{what}");
    }
    world
}

/// The stages of all tickets in the order of their numbers, by the leader's word.
fn stages(world: &World) -> Vec<Stage> {
    assert!(world.leader().is_some(), "nobody leads\n{}", timeline(world));
    world.stages().into_iter().map(|(_, _, stage)| stage).collect()
}

fn ends(world: &World, stages_wanted: &[Stage]) {
    assert_eq!(stages(world), stages_wanted, "{}", timeline(world));
}

/// When each left: machine and moment.
fn left(world: &World) -> Vec<(usize, u64)> {
    world.witness.left.iter().map(|(one, _, at)| (*one, *at)).collect()
}

#[test]
fn a_fleet_forms_and_each_goes_in_turn_the_leader_last() {
    let world = play(shape(5, 3), [(12_000, RequestWork((0..5).collect(), Routine))], 200_000);
    ends(&world, &[Stage::Done; 5]);
    let order: Vec<usize> = left(&world).into_iter().map(|(one, _)| one).collect();
    // The first machine founded the fleet and led it.
    assert_eq!((order.len(), order.last()), (5, Some(&0)), "{}", timeline(&world));
}

#[test]
fn zones_are_taken_one_after_the_other() {
    let world =
        play(Shape { zones: 3, ..shape(9, 3) }, [(12_000, RequestWork((3..9).collect(), Routine))], 250_000);
    ends(&world, &[Stage::Done; 6]);
    let zones: Vec<usize> = left(&world).into_iter().map(|(one, _)| one % 3).collect();
    assert!(zones.windows(2).all(|pair| pair[0] != pair[1]), "{zones:?}");
}

#[test]
fn a_leader_killed_between_granting_and_telling_loses_nothing() {
    // The leader's words reach only the voter beside it, so the grant is agreed on and its server is not told.
    let cuts = (2..5).map(|to| (12_900, Cut(0, to)));
    let steps =
        [(13_000, RequestWork(vec![3], Routine)), (13_600, Kill(0)), (14_000, Mend), (60_000, Start(0))];
    let world = play(shape(5, 3), cuts.chain(steps), 120_000);
    ends(&world, &[Stage::Done]);
}

#[test]
fn a_grant_heard_after_it_lapsed_does_nothing() {
    // Stopped before it can begin, woken when its grant is long void and another is out.
    // Two may be out: the one that is stopped counts as one of them.
    let rules = Rules { begin_within_millis: 4_000, max_out: Limit::Count(2), ..Rules::default() };
    let mut world = World::new(Shape { rules, work: 20_000, ..shape(5, 3) }, 7);
    world.go(12_000).unwrap();
    world.do_fault(&RequestWork(vec![4], Routine));
    // As soon as the grant is agreed on, before its server has heard of it.
    while stages(&world) != [Stage::Granted] {
        let next = world.now + 1;
        world.go(next).unwrap();
    }
    world.do_fault(&Stop(4, 12_000));
    let now = world.now;
    world.go(now + 8_000).unwrap();
    assert_ne!(stages(&world)[0], Stage::Granted, "{}", timeline(&world));
    world.do_fault(&Withdraw(1));
    world.do_fault(&RequestWork(vec![3], Routine));
    world.go(now + 11_900).unwrap();
    let before = left(&world);
    assert_eq!(before.iter().map(|(one, _)| *one).collect::<Vec<_>>(), [3], "{}", timeline(&world));
    // It wakes, and finds the grant that it was never told of, or was told of before it stood still.
    world.go(now + 16_000).unwrap();
    assert_eq!(left(&world), before, "{}", timeline(&world));
    world.go(now + 120_000).unwrap();
    ends(&world, &[Stage::Withdrawn, Stage::Done]);
}

#[test]
fn of_two_sides_of_a_cut_only_the_one_with_a_majority_goes_on() {
    let mut world = World::new(shape(5, 3), 7);
    let cut = Script::new([(12_000, Isolate(vec![0, 4])), (12_100, RequestWork(vec![4], Routine))]);
    world.play(&cut, 20_000).unwrap();
    // The other side asks too, of a voter there.
    world.do_fault(&Kill(0));
    world.do_fault(&RequestWork(vec![3], Routine));
    world.go(60_000).unwrap();
    assert!(left(&world).iter().all(|(one, _)| *one != 4), "{}", timeline(&world));
    world.do_fault(&Mend);
    world.do_fault(&Start(0));
    world.go(460_000).unwrap();
    assert!(stages(&world).iter().all(|stage| *stage == Stage::Done), "{}", timeline(&world));
}

#[test]
fn cut_off_in_one_way_only_a_server_is_not_evidence_and_goes_when_it_is_heard_again() {
    // It hears all and is not heard by the voters.
    let cuts = (0..3).map(|to| (12_000, Cut(4, to)));
    let steps = [(16_000, RequestWork(vec![4, 3], Routine))];
    let mut world = World::new(shape(5, 3), 7);
    world.play(&Script::new(cuts.chain(steps)), 59_000).unwrap();
    assert!(left(&world).iter().all(|(one, _)| *one != 4), "{}", timeline(&world));
    world.do_fault(&Mend);
    world.go(400_000).unwrap();
    ends(&world, &[Stage::Done, Stage::Done]);
}

#[test]
fn a_server_stopped_while_it_drains_keeps_its_place_until_it_is_back() {
    let mut world = World::new(shape(5, 3), 7);
    world.go(12_000).unwrap();
    world.do_fault(&RequestWork(vec![4, 3], Routine));
    while left(&world).is_empty() {
        let next = world.now + 10;
        world.go(next).unwrap();
    }
    let first = left(&world)[0].0;
    world.do_fault(&Stop(first, 30_000));
    let now = world.now;
    world.go(now + 29_000).unwrap();
    assert_eq!(left(&world).len(), 1, "{}", timeline(&world));
    world.go(now + 200_000).unwrap();
    ends(&world, &[Stage::Done, Stage::Done]);
}

#[test]
fn a_machine_that_never_returns_is_overdue_and_written_off_frees_its_place() {
    let steps = [
        (11_000, Work(4, None)),
        (12_000, RequestWork(vec![4], Routine)),
        (14_000, RequestWork(vec![3], Routine)),
    ];
    let mut world = World::new(shape(5, 3), 7);
    world.play(&Script::new(steps), 100_000).unwrap();
    ends(&world, &[Stage::Overdue, Stage::Requested]);
    world.do_fault(&WriteOff(1));
    // It still counts as one that is gone, for an hour, unless it is started again.
    world.go(140_000).unwrap();
    ends(&world, &[Stage::Abandoned, Stage::Requested]);
    world.do_fault(&Start(4));
    world.go(240_000).unwrap();
    ends(&world, &[Stage::Abandoned, Stage::Done]);
}

#[test]
fn back_as_another_incarnation_under_a_new_ticket_it_goes_once_more_and_not_twice_at_once() {
    let steps = [(12_000, RequestWork(vec![4], Routine)), (14_500, RequestWork(vec![4], Routine))];
    let world = play(shape(5, 3), steps, 200_000);
    ends(&world, &[Stage::Done, Stage::Done]);
    assert_eq!(left(&world).len(), 2);
}

#[test]
fn a_voter_back_with_an_empty_folder_is_let_in_as_another() {
    let steps = [
        (14_000, Kill(1)),
        (14_000, LoseDisk(1)),
        (16_000, Start(1)),
        (30_000, RequestWork(vec![1, 2], Routine)),
    ];
    let world = play(shape(4, 3), steps, 300_000);
    ends(&world, &[Stage::Done, Stage::Done]);
    let leader = world.leader().unwrap();
    let consensus = world.machines[leader].node.as_ref().unwrap().consensus().unwrap();
    assert_eq!(consensus.voters().len(), 3, "its former self has no vote any more");
}

#[test]
fn a_voter_whose_disk_is_full_neither_votes_nor_dies_and_comes_back_by_itself() {
    let full = [(12_000, FillDisk(0, true)), (14_000, RequestWork(vec![4], Routine))];
    let mut world = World::new(shape(5, 3), 7);
    world.play(&Script::new(full), 60_000).unwrap();
    assert_ne!(world.leader(), Some(0), "{}", timeline(&world));
    ends(&world, &[Stage::Done]);
    world.do_fault(&FillDisk(0, false));
    world.do_fault(&Kill(1));
    world.do_fault(&RequestWork(vec![3], Routine));
    // The budget of one is taken by the dead voter, but there is a majority again, with the mended one.
    world.go(90_000).unwrap();
    assert!(world.leader().is_some(), "{}", timeline(&world));
}

#[test]
fn all_voters_restarted_at_once_go_on_where_they_were() {
    let kill = (0..3).map(|one| (13_500, Kill(one)));
    let start = (0..3).map(|one| (20_000, Start(one)));
    let world =
        play(shape(5, 3), kill.chain(start).chain([(12_000, RequestWork(vec![4, 3], Routine))]), 400_000);
    ends(&world, &[Stage::Done, Stage::Done]);
}

#[test]
fn nobody_goes_while_a_zone_is_lost() {
    let lost = [2, 5].map(|one| (16_000, Kill(one)));
    let back = [2, 5].map(|one| (80_000, Start(one)));
    let shape =
        Shape { zones: 3, rules: Rules { max_out: Limit::Count(2), ..Rules::default() }, ..shape(9, 3) };
    let mut world = World::new(shape, 7);
    let asked = [(12_000, RequestWork(vec![3, 4, 6, 7], Routine))];
    world.play(&Script::new(lost.into_iter().chain(asked)), 75_000).unwrap();
    let late = left(&world).iter().filter(|(_, at)| *at > 18_000).count();
    assert_eq!(late, 0, "{}", timeline(&world));
    world.play(&Script::new(back), 400_000).unwrap();
    ends(&world, &[Stage::Done; 4]);
}

#[test]
fn overload_that_rises_after_the_grant_takes_it_back() {
    let mut world = World::new(shape(5, 3), 7);
    world.go(12_000).unwrap();
    // It cannot take the grant up at once.
    world.do_fault(&RequestWork(vec![4], Routine));
    while stages(&world) != [Stage::Granted] {
        let next = world.now + 1;
        world.go(next).unwrap();
    }
    world.do_fault(&Stop(4, 3_300));
    world.do_fault(&Demand(7.5));
    let now = world.now;
    world.go(now + 30_000).unwrap();
    assert_eq!((stages(&world), left(&world)), (vec![Stage::Requested], vec![]), "{}", timeline(&world));
    world.do_fault(&Demand(3.0));
    world.go(now + 420_000).unwrap();
    ends(&world, &[Stage::Done]);
}

#[test]
fn nobody_goes_in_overload_and_all_go_after_it() {
    let steps = [(12_000, Demand(7.0)), (16_000, RequestWork(vec![3, 4], Routine))];
    let mut world = World::new(shape(5, 3), 7);
    world.play(&Script::new(steps), 60_000).unwrap();
    assert_eq!(left(&world), [], "{}", timeline(&world));
    world.do_fault(&Demand(3.0));
    world.go(600_000).unwrap();
    ends(&world, &[Stage::Done, Stage::Done]);
}

#[test]
fn a_withdrawn_ticket_goes_or_does_not_go_and_never_both() {
    // Withdrawn at each moment around its grant and begin, with messages that take up to half a second.
    for at in (12_050..13_500).step_by(50) {
        let steps = [(11_000, Delay(500)), (12_000, RequestWork(vec![4], Routine)), (at, Withdraw(1))];
        let world = play(shape(5, 3), steps, 200_000);
        let stage = stages(&world)[0];
        let went = !left(&world).is_empty();
        let agreed = matches!((stage, went), (Stage::Withdrawn, false) | (Stage::Done, true));
        assert!(agreed, "withdrawn at {at}: {stage:?}, went {went}\n{}", timeline(&world));
    }
}

#[test]
fn a_member_that_flaps_keeps_the_others_waiting_and_breaks_nothing() {
    let flap = (0..20).flat_map(|n| {
        let at = 12_000 + n * 3_000;
        [(at, Kill(4)), (at + 1_500, Start(4))]
    });
    let world = play(shape(5, 3), flap.chain([(13_000, RequestWork(vec![3, 4], Routine))]), 500_000);
    ends(&world, &[Stage::Done, Stage::Done]);
}

#[test]
fn sigterm_without_a_ticket_is_obeyed_and_counts_as_out() {
    let steps = [(12_000, Terminate(4)), (13_000, RequestWork(vec![3], Routine))];
    let mut world = World::new(shape(5, 3), 7);
    world.play(&Script::new(steps), 59_000).unwrap();
    assert!(world.machines[4].node.is_none() && left(&world).is_empty(), "{}", timeline(&world));
    let leader = world.leader().unwrap();
    assert_eq!(
        world.machines[leader].node.as_ref().unwrap().maintenance().unwrap().drains_without_ticket(),
        1
    );
    world.do_fault(&Start(4));
    world.go(200_000).unwrap();
    ends(&world, &[Stage::Done]);
}

#[test]
fn four_in_ten_joining_within_seconds_are_known_to_all_and_hold_nobody_up_for_long() {
    let shape = Shape { rules: Rules { max_out: Limit::Share(0.1), ..Rules::default() }, ..shape(50, 5) };
    let late: Vec<usize> = (30..50).collect();
    let gone = late.iter().map(|one| (4_000, Kill(*one)));
    let back = late.iter().map(|one| (30_000 + 100 * *one as u64, Start(*one)));
    let mut world = World::new(shape, 7);
    world.witness.thorough = false;
    world
        .play(&Script::new(gone.chain(back).chain([(45_000, RequestWork(vec![7, 8], Routine))])), 120_000)
        .unwrap();
    ends(&world, &[Stage::Done, Stage::Done]);
    for machine in &world.machines {
        let known = machine.node.as_ref().unwrap().membership().known();
        assert_eq!(known.len(), 49, "{}", timeline(&world));
    }
}

#[test]
fn a_majority_of_folders_lost_is_made_anew_from_one_with_numbers_that_leap() {
    let mut world = World::new(shape(5, 3), 7);
    world.play(&Script::new([(12_000, RequestWork(vec![4], Routine))]), 60_000).unwrap();
    for one in [0, 1] {
        world.do_fault(&Kill(one));
        world.do_fault(&LoseDisk(one));
        world.do_fault(&Start(one));
    }
    world.go(80_000).unwrap();
    assert_eq!(world.leader(), None, "a majority is lost");
    let now = world.now;
    let node = world.machines[2].node.as_mut().unwrap();
    // Its own clock does not matter here.
    node.recover(now).unwrap();
    world.go(140_000).unwrap();
    assert_eq!(stages(&world)[0], Stage::Done, "what the folder held is there");
    world.do_fault(&RequestWork(vec![4], Routine));
    world.go(260_000).unwrap();
    let last = world.stages().last().cloned().unwrap();
    assert!(last.0 > 1 << 20 && last.2 == Stage::Done, "{last:?}\n{}", timeline(&world));
}
