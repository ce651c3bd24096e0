//! Scripted fault scenarios for the duties of a simulated fleet. The invariants are checked after every
//! event: a duty has one owner at a time by the machines' own clocks, no two machines use one token, and no
//! effect is accepted after that of a later owner.

mod common;

use std::collections::BTreeSet;

use loomflow_fleet::duty::LeaseSettings;
use loomflow_fleet_simulation::Fault::*;
use loomflow_fleet_simulation::{Scenario, Simulation, SimulationConfig};

use common::{advance, advance_until, run, timeline};

/// Duration of a lease, ms.
const LEASE_MILLIS: u64 = 4_000;

fn config(machines: usize, voters: usize, duties: usize) -> SimulationConfig {
    SimulationConfig {
        machines,
        voters,
        duties,
        lease_settings: LeaseSettings { lease_millis: LEASE_MILLIS, max_attempts: 5 },
        ..SimulationConfig::default()
    }
}

/// Returns the owner of a duty; panics unless there is exactly one.
fn owner(simulation: &Simulation, duty: usize) -> usize {
    let owners = simulation.owners(&loomflow_fleet_simulation::config::duty_name(duty));
    assert_eq!(owners.len(), 1, "d{duty}\n{}", timeline(simulation));
    owners[0]
}

/// Returns the owner of each duty; panics unless each has exactly one.
fn expect_owners(simulation: &Simulation) -> Vec<usize> {
    (0..simulation.config.duties).map(|duty| owner(simulation, duty)).collect()
}

#[test]
fn duties_keep_their_one_owner_without_faults() {
    let mut simulation = run(config(5, 3, 20), [], 30_000);
    let before = expect_owners(&simulation);
    let distinct: BTreeSet<usize> = before.iter().copied().collect();
    assert!(distinct.len() >= 4, "fewer than 4 members own the duties: {before:?}");
    let token = simulation.leader_state().unwrap().duties.last_token();
    advance(&mut simulation, 30_000 + 600_000);
    assert_eq!(expect_owners(&simulation), before);
    let after = simulation.leader_state().unwrap().duties.last_token();
    assert_eq!(after, token, "a duty must not move without faults");
}

#[test]
fn killed_owner_is_replaced_within_one_and_a_half_leases() {
    let mut simulation = run(config(5, 3, 6), [], 30_000);
    let former = owner(&simulation, 0);
    simulation.inject(&Kill(former));
    let killed_at = simulation.now;
    let at = advance_until(&mut simulation, 10, "another member owns d0", |simulation| {
        !simulation.owners("d0").is_empty()
    });
    assert!(at - killed_at <= LEASE_MILLIS * 3 / 2, "{} ms", at - killed_at);
    advance(&mut simulation, at + 2_000);
    expect_owners(&simulation);
}

/// An owner is paused between its check of ownership and its effect. The effect arrives after the duty
/// has had two later owners.
#[test]
fn late_effect_of_paused_owner_is_rejected() {
    let mut simulation = run(config(5, 5, 1), [], 30_000);
    let first = owner(&simulation, 0);
    simulation.inject(&Stop(first, 60_000));
    advance_until(&mut simulation, 10, "a second owner of d0", |simulation| {
        simulation.owners("d0").iter().any(|member| *member != first)
    });
    let second = owner(&simulation, 0);
    simulation.inject(&Kill(second));
    advance_until(&mut simulation, 10, "a third owner of d0", |simulation| {
        !simulation.owners("d0").is_empty()
    });
    let third = owner(&simulation, 0);
    assert!(third != first && third != second);
    let rejected = simulation.invariants.receiver.rejected;
    advance(&mut simulation, 95_000);
    assert_eq!(simulation.invariants.receiver.rejected, rejected + 1, "{}", timeline(&simulation));
    assert_eq!(owner(&simulation, 0), third);
}

#[test]
fn partitioned_owner_stops_before_takeover() {
    let mut simulation = run(config(6, 3, 12), [], 30_000);
    let former = (0..12)
        .map(|duty| owner(&simulation, duty))
        .find(|owner| *owner >= 3)
        .expect("some owner is not a voter");
    let owned: Vec<usize> = (0..12).filter(|duty| owner(&simulation, *duty) == former).collect();
    simulation.inject(&Isolate(vec![former]));
    advance(&mut simulation, 45_000);
    assert!(owned.iter().all(|duty| owner(&simulation, *duty) != former));
    simulation.inject(&HealNetwork);
    advance(&mut simulation, 90_000);
    expect_owners(&simulation);
}

#[test]
fn leader_failure_moves_no_duty_of_other_members() {
    let mut simulation = run(config(5, 5, 20), [], 30_000);
    let leader = simulation.leader().unwrap();
    let before = expect_owners(&simulation);
    simulation.inject(&Kill(leader));
    advance(&mut simulation, 60_000);
    for (duty, previous) in before.iter().enumerate().filter(|(_, previous)| **previous != leader) {
        assert_eq!(owner(&simulation, duty), *previous, "{}", timeline(&simulation));
    }
    expect_owners(&simulation);
}

#[test]
fn draining_owner_hands_over_within_200_ms() {
    let mut simulation = run(config(5, 3, 10), [], 30_000);
    let former = owner(&simulation, 3);
    simulation.inject(&Terminate(former));
    let terminated_at = simulation.now;
    let at = advance_until(&mut simulation, 10, "all duties have other owners", |simulation| {
        (0..10).all(|duty| simulation.owners(&format!("d{duty}")).iter().any(|owner| *owner != former))
    });
    assert!(at - terminated_at <= 200, "{} ms", at - terminated_at);
}

#[test]
fn tokens_stay_unique_after_restart_of_all_voters() {
    let kills = (0..3).map(|member| (30_000, Kill(member)));
    let starts = (0..3).map(|member| (33_000, Start(member)));
    let simulation = run(config(5, 3, 8), kills.chain(starts), 90_000);
    expect_owners(&simulation);
}

/// Recovery from the state of a single voter must skip token numbers, since the lost state may have issued
/// more.
#[test]
fn tokens_skip_ahead_after_majority_loss() {
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

/// An owner that is suspended for an hour must not act as the owner when it resumes.
#[test]
fn lease_expires_during_suspension() {
    let mut simulation = run(config(5, 3, 10), [], 30_000);
    let former = (0..10)
        .map(|duty| owner(&simulation, duty))
        .find(|owner| *owner >= 3)
        .expect("some owner is not a voter");
    simulation.inject(&Stop(former, 3_600_000));
    advance(&mut simulation, 30_000 + 3_600_000 + 30_000);
    expect_owners(&simulation);
    assert!(simulation.invariants.receiver.rejected > 0);
}

#[test]
fn clock_drift_within_limit_allows_one_owner() {
    let config =
        SimulationConfig { max_clock_drift: loomflow_fleet::duty::MAX_CLOCK_DRIFT / 2.0, ..config(6, 3, 8) };
    let faults = (0..12).map(|n| {
        (30_000 + n * 9_000, if n % 2 == 0 { Isolate(vec![n as usize / 2 % 6]) } else { HealNetwork })
    });
    let simulation = run(config, faults, 180_000);
    expect_owners(&simulation);
}

#[test]
fn fence_keeps_effect_order_under_excessive_clock_drift() {
    let config = SimulationConfig { max_clock_drift: 0.4, ..config(6, 3, 8) };
    let mut simulation = Simulation::new(config, 7);
    // Two members may both consider themselves the owner of a duty; effects are still accepted in the
    // order of their tokens.
    simulation.invariants.expects_one_owner = false;
    let faults = (0..24).map(|n| {
        (30_000 + n * 5_000, if n % 2 == 0 { Isolate(vec![n as usize / 2 % 6]) } else { HealNetwork })
    });
    if let Err(violation) = simulation.run(&Scenario::new(faults), 200_000) {
        panic!("{violation}");
    }
    assert!(simulation.invariants.receiver.accepted > 1_000);
}

/// An overloaded member must not get duties back even while another member is overloaded and a third is down.
#[test]
fn overloaded_owner_hands_over_and_gets_no_new_duty() {
    let mut simulation = run(config(4, 3, 12), [], 40_000);
    let former = owner(&simulation, 0);
    simulation.inject(&SetShare(former, 0.2));
    advance(&mut simulation, 160_000);
    let after = expect_owners(&simulation);
    assert!(!after.contains(&former), "the overloaded member {former} owns a duty; owners: {after:?}");
    simulation.inject(&SetShare((former + 1) % 4, 0.2));
    simulation.inject(&Kill((former + 2) % 4));
    advance(&mut simulation, 300_000);
    assert!(!expect_owners(&simulation).contains(&former));
}

/// At most 1.2 times as many duties may move as the killed members owned.
#[test]
fn mass_failure_moves_few_other_duties() {
    let mut simulation = Simulation::new(config(30, 5, 300), 7);
    simulation.invariants.compares_states = false;
    advance(&mut simulation, 40_000);
    let before = expect_owners(&simulation);
    // None of the killed members is a voter.
    let killed: Vec<usize> = (10..20).collect();
    for member in &killed {
        simulation.inject(&Kill(*member));
    }
    advance(&mut simulation, 60_000);
    let after = expect_owners(&simulation);
    let lost = before.iter().filter(|member| killed.contains(member)).count();
    let moved = before.iter().zip(&after).filter(|(a, b)| a != b).count();
    assert!(moved * 10 <= lost * 12, "{moved} duties moved, {lost} were owned by killed members");
}

#[test]
fn duties_stay_owned_while_a_member_flaps() {
    let flaps = (0..20).flat_map(|n| [(30_000 + n * 2_000, Kill(4)), (31_000 + n * 2_000, Start(4))]);
    let simulation = run(config(5, 3, 10), flaps, 120_000);
    expect_owners(&simulation);
}

#[test]
fn duty_that_kills_its_owners_is_parked() {
    let mut simulation = run(config(7, 3, 3), [], 30_000);
    let mut last_killed = None;
    // The death of the first owner does not count towards parking the duty, because that owner has held
    // it for long.
    for _ in 0..6 {
        advance_until(&mut simulation, 10, "d1 has an owner", |simulation| {
            !simulation.owners("d1").is_empty()
        });
        let former = owner(&simulation, 1);
        simulation.inject(&Kill(former));
        if let Some(previous) = last_killed.replace(former) {
            simulation.inject(&Start(previous));
        }
    }
    advance(&mut simulation, 120_000);
    assert!(simulation.owners("d1").is_empty());
    let state = simulation.leader_state().unwrap();
    let parked = state.duties.duties()["d1"].parked.clone().unwrap();
    assert!(parked.contains("was lost while it owned it"), "reason for parking: {parked}");
    owner(&simulation, 0);
    owner(&simulation, 2);
}

#[test]
fn lossy_duplicating_slow_links_allow_one_owner() {
    let faults = [
        (20_000, SetLoss(0.2, 0.3)),
        (20_000, SetMaxDelay(1_500)),
        (80_000, SetLoss(0.0, 0.0)),
        (80_000, SetMaxDelay(5)),
    ];
    let simulation = run(config(5, 3, 10), faults, 120_000);
    expect_owners(&simulation);
}
