//! What goes wrong with duties, case by case, in virtual time. The invariants are checked after every event: one owner at a time
//! by the machines' own clocks, no token of two machines, no effect admitted after that of a later owner.

mod common;

use std::collections::BTreeSet;

use loomflow_fleet::duty::LeaseSettings;
use loomflow_fleet_simulation::Fault::*;
use loomflow_fleet_simulation::{Scenario, Simulation, SimulationConfig};

use common::{run, timeline};

const LEASE: u64 = 4_000;

fn config(machines: usize, voters: usize, duties: usize) -> SimulationConfig {
    SimulationConfig {
        machines,
        voters,
        duties,
        lease_settings: LeaseSettings { lease_millis: LEASE, max_attempts: 5 },
        ..SimulationConfig::default()
    }
}

/// The only owner of a duty.
fn owner(simulation: &Simulation, duty: usize) -> usize {
    let owners = simulation.owners(&loomflow_fleet_simulation::config::duty_name(duty));
    assert_eq!(owners.len(), 1, "d{duty}\n{}", timeline(simulation));
    owners[0]
}

fn all_owned(simulation: &Simulation) -> Vec<usize> {
    (0..simulation.config.duties).map(|duty| owner(simulation, duty)).collect()
}

fn run_to(simulation: &mut Simulation, until: u64) {
    if let Err(what) = simulation.run_until(until) {
        panic!("{what}");
    }
}

/// Runs until a condition holds; returns the time.
fn run_until_condition(simulation: &mut Simulation, what: &str, holds: impl Fn(&Simulation) -> bool) -> u64 {
    let end = simulation.now + 120_000;
    while !holds(simulation) {
        assert!(simulation.now < end, "never: {what}\n{}", timeline(simulation));
        let next = simulation.now + 10;
        run_to(simulation, next);
    }
    simulation.now
}

#[test]
fn every_duty_has_one_owner_and_none_migrates_on_a_quiet_day() {
    let mut simulation = run(config(5, 3, 20), [], 30_000);
    let before = all_owned(&simulation);
    let each: BTreeSet<usize> = before.iter().copied().collect();
    assert!(each.len() >= 4, "{before:?}");
    let token = simulation.leader_state().unwrap().duties.last_token();
    run_to(&mut simulation, 30_000 + 600_000);
    assert_eq!(all_owned(&simulation), before);
    let after = simulation.leader_state().unwrap().duties.last_token();
    assert_eq!(after, token, "moves on a quiet day");
}

#[test]
fn an_owner_that_dies_is_replaced_within_one_and_a_half_leases() {
    let mut simulation = run(config(5, 3, 6), [], 30_000);
    let one = owner(&simulation, 0);
    simulation.inject(&Kill(one));
    let died = simulation.now;
    let at = run_until_condition(&mut simulation, "another owns it", |simulation| {
        !simulation.owners("d0").is_empty()
    });
    assert!(at - died <= LEASE * 3 / 2, "{} ms", at - died);
    run_to(&mut simulation, at + 2_000);
    all_owned(&simulation);
}

#[test]
fn an_owner_stopped_between_check_and_effect_is_rejected_after_two_others() {
    let mut simulation = run(config(5, 5, 1), [], 30_000);
    let first = owner(&simulation, 0);
    simulation.inject(&Stop(first, 60_000));
    run_until_condition(&mut simulation, "a second", |simulation| {
        simulation.owners("d0").iter().any(|one| *one != first)
    });
    let second = owner(&simulation, 0);
    simulation.inject(&Kill(second));
    run_until_condition(&mut simulation, "a third", |simulation| !simulation.owners("d0").is_empty());
    let third = owner(&simulation, 0);
    assert!(third != first && third != second);
    let rejected = simulation.invariants.receiver.rejected;
    run_to(&mut simulation, 95_000);
    assert_eq!(simulation.invariants.receiver.rejected, rejected + 1, "{}", timeline(&simulation));
    assert_eq!(owner(&simulation, 0), third);
}

#[test]
fn an_owner_isolated_from_the_voters_gives_up_before_another_takes_over() {
    let mut simulation = run(config(6, 3, 12), [], 30_000);
    let one =
        (0..12).map(|duty| owner(&simulation, duty)).find(|one| *one >= 3).expect("one that does not vote");
    let its: Vec<usize> = (0..12).filter(|duty| owner(&simulation, *duty) == one).collect();
    simulation.inject(&Isolate(vec![one]));
    run_to(&mut simulation, 45_000);
    assert!(its.iter().all(|duty| owner(&simulation, *duty) != one));
    simulation.inject(&HealNetwork);
    run_to(&mut simulation, 90_000);
    all_owned(&simulation);
}

#[test]
fn a_leader_that_dies_migrates_no_duty_of_others() {
    let mut simulation = run(config(5, 5, 20), [], 30_000);
    let leader = simulation.leader().unwrap();
    let before = all_owned(&simulation);
    simulation.inject(&Kill(leader));
    run_to(&mut simulation, 60_000);
    for (duty, was) in before.iter().enumerate().filter(|(_, was)| **was != leader) {
        assert_eq!(owner(&simulation, duty), *was, "{}", timeline(&simulation));
    }
    all_owned(&simulation);
}

#[test]
fn a_server_that_drains_hands_over_within_a_fifth_of_a_second() {
    let mut simulation = run(config(5, 3, 10), [], 30_000);
    let one = owner(&simulation, 3);
    simulation.inject(&Terminate(one));
    let left = simulation.now;
    let at = run_until_condition(&mut simulation, "all have other owners", |simulation| {
        (0..10).all(|duty| simulation.owners(&format!("d{duty}")).iter().any(|owner| *owner != one))
    });
    assert!(at - left <= 200, "{} ms", at - left);
}

#[test]
fn voters_restarted_at_once_assign_no_token_twice() {
    let kills = (0..3).map(|one| (30_000, Kill(one)));
    let starts = (0..3).map(|one| (33_000, Start(one)));
    let simulation = run(config(5, 3, 8), kills.chain(starts), 90_000);
    all_owned(&simulation);
}

#[test]
fn a_lost_data_directory_changes_nothing_and_recovery_leaves_a_gap_in_the_tokens() {
    let one = [(30_000, Kill(1)), (30_000, LoseDisk(1)), (32_000, Start(1))];
    let mut simulation = run(config(5, 3, 6), one, 60_000);
    all_owned(&simulation);
    let token = simulation.machines[0].node.as_ref().unwrap().fleet_state().unwrap().duties.last_token();
    for one in [1, 2] {
        simulation.inject(&Kill(one));
        simulation.inject(&LoseDisk(one));
    }
    run_to(&mut simulation, 70_000);
    let now = simulation.local_time(0);
    simulation.machines[0].node.as_mut().unwrap().recover(now).unwrap();
    simulation.inject(&Start(1));
    simulation.inject(&Start(2));
    run_to(&mut simulation, 130_000);
    all_owned(&simulation);
    let after = simulation.machines[0].node.as_ref().unwrap().fleet_state().unwrap().duties.last_token();
    assert!(after > token + (1 << 20));
}

#[test]
fn an_hour_of_sleep_does_not_extend_a_lease() {
    let mut simulation = run(config(5, 3, 10), [], 30_000);
    let one =
        (0..10).map(|duty| owner(&simulation, duty)).find(|one| *one >= 3).expect("one that does not vote");
    simulation.inject(&Stop(one, 3_600_000));
    run_to(&mut simulation, 30_000 + 3_600_000 + 30_000);
    all_owned(&simulation);
    assert!(simulation.invariants.receiver.rejected > 0);
}

#[test]
fn clocks_within_the_drift_bound_keep_owners_apart() {
    let config =
        SimulationConfig { max_clock_drift: loomflow_fleet::duty::MAX_CLOCK_DRIFT / 2.0, ..config(6, 3, 8) };
    let faults = (0..12).map(|n| {
        (30_000 + n * 9_000, if n % 2 == 0 { Isolate(vec![n as usize / 2 % 6]) } else { HealNetwork })
    });
    let simulation = run(config, faults, 180_000);
    all_owned(&simulation);
}

#[test]
fn clocks_beyond_the_drift_bound_leave_it_to_the_fence() {
    let config = SimulationConfig { max_clock_drift: 0.4, ..config(6, 3, 8) };
    let mut simulation = Simulation::new(config, 7);
    // Two may take themselves for the owner; effects are still admitted in the order of their tokens.
    simulation.invariants.expects_one_owner = false;
    let faults = (0..24).map(|n| {
        (30_000 + n * 5_000, if n % 2 == 0 { Isolate(vec![n as usize / 2 % 6]) } else { HealNetwork })
    });
    if let Err(what) = simulation.run(&Scenario::new(faults), 200_000) {
        panic!("{what}");
    }
    assert!(simulation.invariants.receiver.accepted > 1_000);
}

#[test]
fn an_overloaded_owner_hands_over_and_acquires_nothing_new() {
    let mut simulation = run(config(4, 3, 12), [], 40_000);
    let one = owner(&simulation, 0);
    simulation.inject(&SetShare(one, 0.2));
    run_to(&mut simulation, 160_000);
    let owners = all_owned(&simulation);
    assert!(!owners.contains(&one), "{owners:?}");
    simulation.inject(&SetShare((one + 1) % 4, 0.2));
    simulation.inject(&Kill((one + 2) % 4));
    run_to(&mut simulation, 300_000);
    assert!(!all_owned(&simulation).contains(&one));
}

#[test]
fn a_third_of_the_members_die_and_little_more_migrates_than_they_owned() {
    let mut simulation = Simulation::new(config(30, 5, 300), 7);
    simulation.invariants.compares_states = false;
    run_to(&mut simulation, 40_000);
    let before = all_owned(&simulation);
    // None of the voters.
    let dead: Vec<usize> = (10..20).collect();
    for one in &dead {
        simulation.inject(&Kill(*one));
    }
    run_to(&mut simulation, 60_000);
    let after = all_owned(&simulation);
    let lost = before.iter().filter(|one| dead.contains(one)).count();
    let moved = before.iter().zip(&after).filter(|(a, b)| a != b).count();
    assert!(moved * 10 <= lost * 12, "{moved} moved, {lost} had to");
}

#[test]
fn a_member_that_flaps_each_second_acquires_no_duty_of_another() {
    let flaps = (0..20).flat_map(|n| [(30_000 + n * 2_000, Kill(4)), (31_000 + n * 2_000, Start(4))]);
    let simulation = run(config(5, 3, 10), flaps, 120_000);
    all_owned(&simulation);
}

#[test]
fn a_duty_that_brings_down_each_owner_is_parked() {
    let mut simulation = run(config(7, 3, 3), [], 30_000);
    let mut last = None;
    // The first has owned it for long, and its death says nothing.
    for _ in 0..6 {
        run_until_condition(&mut simulation, "it has an owner", |simulation| {
            !simulation.owners("d1").is_empty()
        });
        let one = owner(&simulation, 1);
        simulation.inject(&Kill(one));
        if let Some(before) = last.replace(one) {
            simulation.inject(&Start(before));
        }
    }
    run_to(&mut simulation, 120_000);
    assert!(simulation.owners("d1").is_empty());
    let record = simulation.leader_state().unwrap();
    let parked = record.duties.duties()["d1"].parked.clone().unwrap();
    assert!(parked.contains("was lost while it owned it"), "{parked}");
    owner(&simulation, 0);
    owner(&simulation, 2);
}

#[test]
fn one_owner_at_a_time_over_lossy_duplicating_reordering_links() {
    let faults = [
        (20_000, SetLoss(0.2, 0.3)),
        (20_000, SetMaxDelay(1_500)),
        (80_000, SetLoss(0.0, 0.0)),
        (80_000, SetMaxDelay(5)),
    ];
    let simulation = run(config(5, 3, 10), faults, 120_000);
    all_owned(&simulation);
}
