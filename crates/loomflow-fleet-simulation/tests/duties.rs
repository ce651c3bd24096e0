//! Duties of a simulated fleet under faults, case by case, in virtual time. The invariants are checked after every event: one
//! owner at a time by the machines' own clocks, no token on two machines, no effect accepted after that of a later owner.

mod common;

use std::collections::BTreeSet;

use loomflow_fleet::duty::LeaseSettings;
use loomflow_fleet_simulation::Fault::*;
use loomflow_fleet_simulation::{Scenario, Simulation, SimulationConfig};

use common::{advance, advance_until, run, timeline};

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

/// The owner of a duty, which has one.
fn owner(simulation: &Simulation, duty: usize) -> usize {
    let owners = simulation.owners(&loomflow_fleet_simulation::config::duty_name(duty));
    assert_eq!(owners.len(), 1, "d{duty}\n{}", timeline(simulation));
    owners[0]
}

/// Expects that each duty has one owner; returns the owners.
fn expect_owners(simulation: &Simulation) -> Vec<usize> {
    (0..simulation.config.duties).map(|duty| owner(simulation, duty)).collect()
}

#[test]
fn every_duty_has_one_owner_and_none_moves_without_faults() {
    let mut simulation = run(config(5, 3, 20), [], 30_000);
    let before = expect_owners(&simulation);
    let distinct: BTreeSet<usize> = before.iter().copied().collect();
    assert!(distinct.len() >= 4, "{before:?}");
    let token = simulation.leader_state().unwrap().duties.last_token();
    advance(&mut simulation, 30_000 + 600_000);
    assert_eq!(expect_owners(&simulation), before);
    let after = simulation.leader_state().unwrap().duties.last_token();
    assert_eq!(after, token, "a duty moves without faults");
}

#[test]
fn a_killed_owner_is_replaced_within_one_and_a_half_leases() {
    let mut simulation = run(config(5, 3, 6), [], 30_000);
    let former = owner(&simulation, 0);
    simulation.inject(&Kill(former));
    let killed_at = simulation.now;
    let at = advance_until(&mut simulation, 10, "another owns it", |simulation| {
        !simulation.owners("d0").is_empty()
    });
    assert!(at - killed_at <= LEASE * 3 / 2, "{} ms", at - killed_at);
    advance(&mut simulation, at + 2_000);
    expect_owners(&simulation);
}

#[test]
fn an_owner_paused_between_check_and_effect_is_rejected_after_two_later_owners() {
    let mut simulation = run(config(5, 5, 1), [], 30_000);
    let first = owner(&simulation, 0);
    simulation.inject(&Stop(first, 60_000));
    advance_until(&mut simulation, 10, "a second", |simulation| {
        simulation.owners("d0").iter().any(|member| *member != first)
    });
    let second = owner(&simulation, 0);
    simulation.inject(&Kill(second));
    advance_until(&mut simulation, 10, "a third", |simulation| !simulation.owners("d0").is_empty());
    let third = owner(&simulation, 0);
    assert!(third != first && third != second);
    let rejected = simulation.invariants.receiver.rejected;
    advance(&mut simulation, 95_000);
    assert_eq!(simulation.invariants.receiver.rejected, rejected + 1, "{}", timeline(&simulation));
    assert_eq!(owner(&simulation, 0), third);
}

#[test]
fn a_partitioned_owner_stops_before_another_takes_over() {
    let mut simulation = run(config(6, 3, 12), [], 30_000);
    let former = (0..12)
        .map(|duty| owner(&simulation, duty))
        .find(|owner| *owner >= 3)
        .expect("an owner that does not vote");
    let owned: Vec<usize> = (0..12).filter(|duty| owner(&simulation, *duty) == former).collect();
    simulation.inject(&Isolate(vec![former]));
    advance(&mut simulation, 45_000);
    assert!(owned.iter().all(|duty| owner(&simulation, *duty) != former));
    simulation.inject(&HealNetwork);
    advance(&mut simulation, 90_000);
    expect_owners(&simulation);
}

#[test]
fn a_killed_leader_moves_no_duty_of_other_members() {
    let mut simulation = run(config(5, 5, 20), [], 30_000);
    let leader = simulation.leader().unwrap();
    let before = expect_owners(&simulation);
    simulation.inject(&Kill(leader));
    advance(&mut simulation, 60_000);
    for (duty, was) in before.iter().enumerate().filter(|(_, was)| **was != leader) {
        assert_eq!(owner(&simulation, duty), *was, "{}", timeline(&simulation));
    }
    expect_owners(&simulation);
}

#[test]
fn a_draining_owner_hands_over_within_200_ms() {
    let mut simulation = run(config(5, 3, 10), [], 30_000);
    let former = owner(&simulation, 3);
    simulation.inject(&Terminate(former));
    let terminated_at = simulation.now;
    let at = advance_until(&mut simulation, 10, "all have other owners", |simulation| {
        (0..10).all(|duty| simulation.owners(&format!("d{duty}")).iter().any(|owner| *owner != former))
    });
    assert!(at - terminated_at <= 200, "{} ms", at - terminated_at);
}

#[test]
fn no_token_is_used_twice_when_all_voters_restart() {
    let kills = (0..3).map(|member| (30_000, Kill(member)));
    let starts = (0..3).map(|member| (33_000, Start(member)));
    let simulation = run(config(5, 3, 8), kills.chain(starts), 90_000);
    expect_owners(&simulation);
}

#[test]
fn tokens_skip_ahead_once_a_majority_lost_its_state_and_not_for_one_voter() {
    let faults = [(30_000, Kill(1)), (30_000, LoseDisk(1)), (32_000, Start(1))];
    let mut simulation = run(config(5, 3, 6), faults, 60_000);
    expect_owners(&simulation);
    let token = simulation.machines[0].node.as_ref().unwrap().fleet_state().unwrap().duties.last_token();
    for member in [1, 2] {
        simulation.inject(&Kill(member));
        simulation.inject(&LoseDisk(member));
    }
    advance(&mut simulation, 70_000);
    let now = simulation.local_time(0);
    simulation.machines[0].node.as_mut().unwrap().recover(now).unwrap();
    simulation.inject(&Start(1));
    simulation.inject(&Start(2));
    advance(&mut simulation, 130_000);
    expect_owners(&simulation);
    let after = simulation.machines[0].node.as_ref().unwrap().fleet_state().unwrap().duties.last_token();
    assert!(after > token + (1 << 20));
}

#[test]
fn a_lease_does_not_outlast_an_hour_of_suspension() {
    let mut simulation = run(config(5, 3, 10), [], 30_000);
    let former = (0..10)
        .map(|duty| owner(&simulation, duty))
        .find(|owner| *owner >= 3)
        .expect("an owner that does not vote");
    simulation.inject(&Stop(former, 3_600_000));
    advance(&mut simulation, 30_000 + 3_600_000 + 30_000);
    expect_owners(&simulation);
    assert!(simulation.invariants.receiver.rejected > 0);
}

#[test]
fn clock_drift_within_the_limit_allows_one_owner_at_a_time() {
    let config =
        SimulationConfig { max_clock_drift: loomflow_fleet::duty::MAX_CLOCK_DRIFT / 2.0, ..config(6, 3, 8) };
    let faults = (0..12).map(|n| {
        (30_000 + n * 9_000, if n % 2 == 0 { Isolate(vec![n as usize / 2 % 6]) } else { HealNetwork })
    });
    let simulation = run(config, faults, 180_000);
    expect_owners(&simulation);
}

#[test]
fn beyond_the_limit_of_clock_drift_the_fence_keeps_the_order() {
    let config = SimulationConfig { max_clock_drift: 0.4, ..config(6, 3, 8) };
    let mut simulation = Simulation::new(config, 7);
    // Two members may take themselves for the owner; effects are still accepted in the order of their tokens.
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
fn an_overloaded_owner_hands_over_and_takes_no_new_duty() {
    let mut simulation = run(config(4, 3, 12), [], 40_000);
    let former = owner(&simulation, 0);
    simulation.inject(&SetShare(former, 0.2));
    advance(&mut simulation, 160_000);
    let after = expect_owners(&simulation);
    assert!(!after.contains(&former), "{after:?}");
    simulation.inject(&SetShare((former + 1) % 4, 0.2));
    simulation.inject(&Kill((former + 2) % 4));
    advance(&mut simulation, 300_000);
    assert!(!expect_owners(&simulation).contains(&former));
}

#[test]
fn little_more_moves_than_the_duties_of_killed_members() {
    let mut simulation = Simulation::new(config(30, 5, 300), 7);
    simulation.invariants.compares_states = false;
    advance(&mut simulation, 40_000);
    let before = expect_owners(&simulation);
    // None of them votes.
    let killed: Vec<usize> = (10..20).collect();
    for member in &killed {
        simulation.inject(&Kill(*member));
    }
    advance(&mut simulation, 60_000);
    let after = expect_owners(&simulation);
    let lost = before.iter().filter(|member| killed.contains(member)).count();
    let moved = before.iter().zip(&after).filter(|(a, b)| a != b).count();
    assert!(moved * 10 <= lost * 12, "{moved} moved, {lost} had to");
}

#[test]
fn duties_stay_owned_while_a_member_flaps() {
    let flaps = (0..20).flat_map(|n| [(30_000 + n * 2_000, Kill(4)), (31_000 + n * 2_000, Start(4))]);
    let simulation = run(config(5, 3, 10), flaps, 120_000);
    expect_owners(&simulation);
}

#[test]
fn a_duty_that_kills_each_owner_is_parked() {
    let mut simulation = run(config(7, 3, 3), [], 30_000);
    let mut last = None;
    // The first has owned the duty for long, and its loss does not count.
    for _ in 0..6 {
        advance_until(&mut simulation, 10, "it has an owner", |simulation| {
            !simulation.owners("d1").is_empty()
        });
        let former = owner(&simulation, 1);
        simulation.inject(&Kill(former));
        if let Some(before) = last.replace(former) {
            simulation.inject(&Start(before));
        }
    }
    advance(&mut simulation, 120_000);
    assert!(simulation.owners("d1").is_empty());
    let record = simulation.leader_state().unwrap();
    let parked = record.duties.duties()["d1"].parked.clone().unwrap();
    assert!(parked.contains("was lost while it owned it"), "{parked}");
    owner(&simulation, 0);
    owner(&simulation, 2);
}

#[test]
fn there_is_one_owner_at_a_time_over_lossy_duplicating_slow_links() {
    let faults = [
        (20_000, SetLoss(0.2, 0.3)),
        (20_000, SetMaxDelay(1_500)),
        (80_000, SetLoss(0.0, 0.0)),
        (80_000, SetMaxDelay(5)),
    ];
    let simulation = run(config(5, 3, 10), faults, 120_000);
    expect_owners(&simulation);
}
