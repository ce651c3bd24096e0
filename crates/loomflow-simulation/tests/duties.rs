//! What goes wrong with duties, case by case, in virtual time. The witness looks on after every event: one owner at a time by
//! the machines' own clocks, no token of two machines, no effect let in after that of a later owner.

use std::collections::BTreeSet;

use loomflow_fleet::duty::LeaseSettings;
use loomflow_simulation::Fault::{self, *};
use loomflow_simulation::{Script, Shape, World};

const LEASE: u64 = 4_000;

fn shape(machines: usize, voters: usize, duties: usize) -> Shape {
    Shape {
        machines,
        voters,
        duties,
        terms: LeaseSettings { lease_millis: LEASE, max_attempts: 5 },
        ..Shape::default()
    }
}

fn timeline(world: &World) -> String {
    world.log.iter().map(|(at, what)| format!("{at:>8} {what}")).collect::<Vec<_>>().join("\n")
}

fn play(shape: Shape, steps: impl IntoIterator<Item = (u64, Fault)>, until: u64) -> World {
    let mut world = World::new(shape, 7);
    if let Err(what) = world.play(&Script::new(steps), until) {
        panic!("{what}");
    }
    world
}

/// The one who owns it now.
fn owner(world: &World, duty: usize) -> usize {
    let owners = world.owners(&loomflow_simulation::world::duty(duty));
    assert_eq!(owners.len(), 1, "d{duty}\n{}", timeline(world));
    owners[0]
}

fn all_owned(world: &World) -> Vec<usize> {
    (0..world.shape.duties).map(|duty| owner(world, duty)).collect()
}

fn go(world: &mut World, until: u64) {
    if let Err(what) = world.go(until) {
        panic!("{what}");
    }
}

/// Moves on until something holds; gives the moment.
fn go_until(world: &mut World, what: &str, holds: impl Fn(&World) -> bool) -> u64 {
    let end = world.now + 120_000;
    while !holds(world) {
        assert!(world.now < end, "never: {what}\n{}", timeline(world));
        let next = world.now + 10;
        go(world, next);
    }
    world.now
}

#[test]
fn every_duty_has_one_owner_and_nothing_moves_on_a_quiet_day() {
    let mut world = play(shape(5, 3, 20), [], 30_000);
    let before = all_owned(&world);
    let each: BTreeSet<usize> = before.iter().copied().collect();
    assert!(each.len() >= 4, "{before:?}");
    let token = world.machines[world.leader().unwrap()]
        .node
        .as_ref()
        .unwrap()
        .fleet_state()
        .unwrap()
        .duties
        .last_token();
    go(&mut world, 30_000 + 600_000);
    assert_eq!(all_owned(&world), before);
    let after = world.machines[world.leader().unwrap()]
        .node
        .as_ref()
        .unwrap()
        .fleet_state()
        .unwrap()
        .duties
        .last_token();
    assert_eq!(after, token, "moves on a quiet day");
}

#[test]
fn an_owner_that_dies_is_followed_within_one_and_a_half_leases() {
    let mut world = play(shape(5, 3, 6), [], 30_000);
    let one = owner(&world, 0);
    world.do_fault(&Kill(one));
    let died = world.now;
    let at = go_until(&mut world, "another owns it", |world| !world.owners("d0").is_empty());
    assert!(at - died <= LEASE * 3 / 2, "{} ms", at - died);
    go(&mut world, at + 2_000);
    all_owned(&world);
}

#[test]
fn an_owner_that_was_stopped_between_check_and_act_is_refused_after_two_others() {
    let mut world = play(shape(5, 5, 1), [], 30_000);
    let first = owner(&world, 0);
    world.do_fault(&Stop(first, 60_000));
    go_until(&mut world, "a second", |world| world.owners("d0").iter().any(|one| *one != first));
    let second = owner(&world, 0);
    world.do_fault(&Kill(second));
    go_until(&mut world, "a third", |world| !world.owners("d0").is_empty());
    let third = owner(&world, 0);
    assert!(third != first && third != second);
    let refused = world.witness.receiver.refused;
    go(&mut world, 95_000);
    assert_eq!(world.witness.receiver.refused, refused + 1, "{}", timeline(&world));
    assert_eq!(owner(&world, 0), third);
}

#[test]
fn one_cut_off_from_the_voters_gives_up_before_another_takes_over() {
    let mut world = play(shape(6, 3, 12), [], 30_000);
    let one = (0..12).map(|duty| owner(&world, duty)).find(|one| *one >= 3).expect("one that does not vote");
    let its: Vec<usize> = (0..12).filter(|duty| owner(&world, *duty) == one).collect();
    world.do_fault(&Isolate(vec![one]));
    go(&mut world, 45_000);
    assert!(its.iter().all(|duty| owner(&world, *duty) != one));
    world.do_fault(&Mend);
    go(&mut world, 90_000);
    all_owned(&world);
}

#[test]
fn a_leader_that_dies_alone_moves_no_duty_of_others() {
    let mut world = play(shape(5, 5, 20), [], 30_000);
    let leader = world.leader().unwrap();
    let before = all_owned(&world);
    world.do_fault(&Kill(leader));
    go(&mut world, 60_000);
    for (duty, was) in before.iter().enumerate().filter(|(_, was)| **was != leader) {
        assert_eq!(owner(&world, duty), *was, "{}", timeline(&world));
    }
    all_owned(&world);
}

#[test]
fn a_server_that_leaves_hands_over_within_a_fifth_of_a_second() {
    let mut world = play(shape(5, 3, 10), [], 30_000);
    let one = owner(&world, 3);
    world.do_fault(&Terminate(one));
    let left = world.now;
    let at = go_until(&mut world, "all have other owners", |world| {
        (0..10).all(|duty| world.owners(&format!("d{duty}")).iter().any(|owner| *owner != one))
    });
    assert!(at - left <= 200, "{} ms", at - left);
}

#[test]
fn all_voters_restarted_at_once_give_no_token_twice() {
    let kills = (0..3).map(|one| (30_000, Kill(one)));
    let starts = (0..3).map(|one| (33_000, Start(one)));
    let world = play(shape(5, 3, 8), kills.chain(starts), 90_000);
    all_owned(&world);
}

#[test]
fn a_voter_with_an_empty_folder_changes_nothing_and_after_a_majority_lost_theirs_tokens_leap() {
    let one = [(30_000, Kill(1)), (30_000, LoseDisk(1)), (32_000, Start(1))];
    let mut world = play(shape(5, 3, 6), one, 60_000);
    all_owned(&world);
    let token = world.machines[0].node.as_ref().unwrap().fleet_state().unwrap().duties.last_token();
    for one in [1, 2] {
        [Kill(one), LoseDisk(one)].iter().for_each(|fault| world.do_fault(fault));
    }
    go(&mut world, 70_000);
    let now = world.local(0);
    world.machines[0].node.as_mut().unwrap().recover(now).unwrap();
    [Start(1), Start(2)].iter().for_each(|fault| world.do_fault(fault));
    go(&mut world, 130_000);
    all_owned(&world);
    let after = world.machines[0].node.as_ref().unwrap().fleet_state().unwrap().duties.last_token();
    assert!(after > token + (1 << 20));
}

#[test]
fn an_hour_of_sleep_is_no_gain_of_time() {
    let mut world = play(shape(5, 3, 10), [], 30_000);
    let one = (0..10).map(|duty| owner(&world, duty)).find(|one| *one >= 3).expect("one that does not vote");
    world.do_fault(&Stop(one, 3_600_000));
    go(&mut world, 30_000 + 3_600_000 + 30_000);
    all_owned(&world);
    assert!(world.witness.receiver.refused > 0);
}

#[test]
fn clocks_that_drift_as_far_as_is_stated_keep_owners_apart() {
    let shape = Shape { drift: loomflow_fleet::duty::MAX_CLOCK_DRIFT / 2.0, ..shape(6, 3, 8) };
    let faults = (0..12)
        .map(|n| (30_000 + n * 9_000, if n % 2 == 0 { Isolate(vec![n as usize / 2 % 6]) } else { Mend }));
    let world = play(shape, faults, 180_000);
    all_owned(&world);
}

#[test]
fn clocks_that_drift_further_leave_it_to_the_fence() {
    let shape = Shape { drift: 0.4, ..shape(6, 3, 8) };
    let mut world = World::new(shape, 7);
    // Two may believe that they own a duty; what is let in still comes in the order of its tokens.
    world.witness.clocks_hold = false;
    let faults = (0..24)
        .map(|n| (30_000 + n * 5_000, if n % 2 == 0 { Isolate(vec![n as usize / 2 % 6]) } else { Mend }));
    if let Err(what) = world.play(&Script::new(faults), 200_000) {
        panic!("{what}");
    }
    assert!(world.witness.receiver.accepted > 1_000);
}

#[test]
fn an_owner_in_overload_hands_over_and_takes_nothing_new() {
    let mut world = play(shape(4, 3, 12), [], 40_000);
    let one = owner(&world, 0);
    world.do_fault(&Share(one, 0.2));
    go(&mut world, 160_000);
    let owners = all_owned(&world);
    assert!(!owners.contains(&one), "{owners:?}");
    world.do_fault(&Share((one + 1) % 4, 0.2));
    world.do_fault(&Kill((one + 2) % 4));
    go(&mut world, 300_000);
    assert!(!all_owned(&world).contains(&one));
}

#[test]
fn a_third_of_the_members_die_and_little_more_moves_than_was_theirs() {
    let mut world = World::new(shape(30, 5, 300), 7);
    world.witness.thorough = false;
    go(&mut world, 40_000);
    let before = all_owned(&world);
    // None of the voters.
    let dead: Vec<usize> = (10..20).collect();
    dead.iter().for_each(|one| world.do_fault(&Kill(*one)));
    go(&mut world, 60_000);
    let after = all_owned(&world);
    let lost = before.iter().filter(|one| dead.contains(one)).count();
    let moved = before.iter().zip(&after).filter(|(a, b)| a != b).count();
    assert!(moved * 10 <= lost * 12, "{moved} moved, {lost} had to");
}

#[test]
fn a_member_that_flaps_each_second_takes_no_other_ones_duties() {
    let flaps = (0..20).flat_map(|n| [(30_000 + n * 2_000, Kill(4)), (31_000 + n * 2_000, Start(4))]);
    let world = play(shape(5, 3, 10), flaps, 120_000);
    all_owned(&world);
}

#[test]
fn a_duty_that_brings_down_each_owner_is_parked() {
    let mut world = play(shape(7, 3, 3), [], 30_000);
    let mut last = None;
    // The first has owned it for long, and its death says nothing.
    for _ in 0..6 {
        go_until(&mut world, "it has an owner", |world| !world.owners("d1").is_empty());
        let one = owner(&world, 1);
        world.do_fault(&Kill(one));
        if let Some(before) = last.replace(one) {
            world.do_fault(&Start(before));
        }
    }
    go(&mut world, 120_000);
    assert!(world.owners("d1").is_empty());
    let record = world.machines[world.leader().unwrap()].node.as_ref().unwrap().fleet_state().unwrap();
    let parked = record.duties.duties()["d1"].parked.clone().unwrap();
    assert!(parked.contains("was lost while it owned it"), "{parked}");
    owner(&world, 0);
    owner(&world, 2);
}

#[test]
fn with_loss_doubling_disorder_and_delay_there_is_one_owner_at_a_time() {
    let faults =
        [(20_000, Loss(0.2, 0.3)), (20_000, Delay(1_500)), (80_000, Loss(0.0, 0.0)), (80_000, Delay(5))];
    let world = play(shape(5, 3, 10), faults, 120_000);
    all_owned(&world);
}
