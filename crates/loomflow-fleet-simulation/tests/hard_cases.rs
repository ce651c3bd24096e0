//! Maintenance tickets of a simulated fleet under faults, case by case, in virtual time. Each case is a script of faults and
//! requests; the invariants are checked after every event.

mod common;

use loomflow_fleet::maintenance::rules::{Limit, Rules};
use loomflow_fleet::maintenance::ticket::{TicketStage, Urgency::Routine};
use loomflow_fleet_simulation::Fault::*;
use loomflow_fleet_simulation::{Scenario, Simulation, SimulationConfig};

use common::{advance_until, run, timeline};

fn config(machines: usize, voters: usize) -> SimulationConfig {
    SimulationConfig { machines, voters, ..SimulationConfig::default() }
}

/// The stages of all tickets in the order of their numbers, as the leader has them.
fn stages(simulation: &Simulation) -> Vec<TicketStage> {
    assert!(simulation.leader().is_some(), "nobody leads\n{}", timeline(simulation));
    simulation.tickets().into_iter().map(|ticket| ticket.stage).collect()
}

fn expect_stages(simulation: &Simulation, expected: &[TicketStage]) {
    assert_eq!(stages(simulation), expected, "{}", timeline(simulation));
}

/// The machine and the moment of each departure.
fn departures(simulation: &Simulation) -> Vec<(usize, u64)> {
    simulation.invariants.departures.iter().map(|departure| (departure.machine, departure.at)).collect()
}

#[test]
fn servers_drain_one_after_the_other_and_the_leader_last() {
    let simulation = run(config(5, 3), [(12_000, RequestWork((0..5).collect(), Routine))], 200_000);
    expect_stages(&simulation, &[TicketStage::Done; 5]);
    let order: Vec<usize> = departures(&simulation).into_iter().map(|(machine, _)| machine).collect();
    // The first machine bootstrapped the fleet and led it.
    assert_eq!((order.len(), order.last()), (5, Some(&0)), "{}", timeline(&simulation));
}

#[test]
fn zones_take_turns() {
    let simulation = run(
        SimulationConfig { zones: 3, ..config(9, 3) },
        [(12_000, RequestWork((3..9).collect(), Routine))],
        250_000,
    );
    expect_stages(&simulation, &[TicketStage::Done; 6]);
    let zones: Vec<usize> = departures(&simulation).into_iter().map(|(machine, _)| machine % 3).collect();
    assert!(zones.windows(2).all(|pair| pair[0] != pair[1]), "{zones:?}");
}

#[test]
fn a_leader_killed_between_grant_and_notification_loses_nothing() {
    // The leader reaches only one other voter, so the grant is committed and its server is not notified.
    let cuts = (2..5).map(|to| (12_900, CutLink(0, to)));
    let steps = [
        (13_000, RequestWork(vec![3], Routine)),
        (13_600, Kill(0)),
        (14_000, HealNetwork),
        (60_000, Start(0)),
    ];
    let simulation = run(config(5, 3), cuts.chain(steps), 120_000);
    expect_stages(&simulation, &[TicketStage::Done]);
}

#[test]
fn a_grant_received_after_it_lapsed_has_no_effect() {
    // The server is paused before it can begin, and resumed when its grant has lapsed and another server is out.
    // Two may be out: the paused server counts as one of them.
    let rules = Rules { accept_timeout_millis: 4_000, max_out: Limit::Count(2), ..Rules::default() };
    let mut simulation =
        Simulation::new(SimulationConfig { rules, maintenance_millis: 20_000, ..config(5, 3) }, 7);
    simulation.run_until(12_000).unwrap();
    simulation.inject(&RequestWork(vec![4], Routine));
    // The grant is committed, and its server has not received it.
    advance_until(&mut simulation, 1, "it is granted", |simulation| {
        stages(simulation) == [TicketStage::Granted]
    });
    simulation.inject(&Stop(4, 12_000));
    let now = simulation.now;
    simulation.run_until(now + 8_000).unwrap();
    assert_ne!(stages(&simulation)[0], TicketStage::Granted, "{}", timeline(&simulation));
    simulation.inject(&Withdraw(1));
    simulation.inject(&RequestWork(vec![3], Routine));
    simulation.run_until(now + 11_900).unwrap();
    let before = departures(&simulation);
    assert_eq!(
        before.iter().map(|(machine, _)| *machine).collect::<Vec<_>>(),
        [3],
        "{}",
        timeline(&simulation)
    );
    // It is resumed, and receives the grant, or had received it before it was paused.
    simulation.run_until(now + 16_000).unwrap();
    assert_eq!(departures(&simulation), before, "{}", timeline(&simulation));
    simulation.run_until(now + 120_000).unwrap();
    expect_stages(&simulation, &[TicketStage::Withdrawn, TicketStage::Done]);
}

#[test]
fn only_the_majority_side_of_a_partition_grants() {
    let mut simulation = Simulation::new(config(5, 3), 7);
    let cut = Scenario::new([(12_000, Isolate(vec![0, 4])), (12_100, RequestWork(vec![4], Routine))]);
    simulation.run(&cut, 20_000).unwrap();
    // The other side gets a request, too.
    simulation.inject(&Kill(0));
    simulation.inject(&RequestWork(vec![3], Routine));
    simulation.run_until(60_000).unwrap();
    assert!(departures(&simulation).iter().all(|(machine, _)| *machine != 4), "{}", timeline(&simulation));
    simulation.inject(&HealNetwork);
    simulation.inject(&Start(0));
    simulation.run_until(460_000).unwrap();
    assert!(stages(&simulation).iter().all(|stage| *stage == TicketStage::Done), "{}", timeline(&simulation));
}

#[test]
fn a_server_that_cannot_send_drains_only_once_it_is_received_again() {
    // It receives all messages, and the voters receive none of its own.
    let cuts = (0..3).map(|to| (12_000, CutLink(4, to)));
    let steps = [(16_000, RequestWork(vec![4, 3], Routine))];
    let mut simulation = Simulation::new(config(5, 3), 7);
    simulation.run(&Scenario::new(cuts.chain(steps)), 59_000).unwrap();
    assert!(departures(&simulation).iter().all(|(machine, _)| *machine != 4), "{}", timeline(&simulation));
    simulation.inject(&HealNetwork);
    simulation.run_until(400_000).unwrap();
    expect_stages(&simulation, &[TicketStage::Done, TicketStage::Done]);
}

#[test]
fn a_server_paused_while_draining_keeps_its_slot_until_it_is_back() {
    let mut simulation = Simulation::new(config(5, 3), 7);
    simulation.run_until(12_000).unwrap();
    simulation.inject(&RequestWork(vec![4, 3], Routine));
    advance_until(&mut simulation, 10, "a server departs", |simulation| !departures(simulation).is_empty());
    let first = departures(&simulation)[0].0;
    simulation.inject(&Stop(first, 30_000));
    let now = simulation.now;
    simulation.run_until(now + 29_000).unwrap();
    assert_eq!(departures(&simulation).len(), 1, "{}", timeline(&simulation));
    simulation.run_until(now + 200_000).unwrap();
    expect_stages(&simulation, &[TicketStage::Done, TicketStage::Done]);
}

#[test]
fn an_overdue_machine_frees_its_slot_once_it_is_abandoned_and_started() {
    let steps = [
        (11_000, SetMaintenance(4, None)),
        (12_000, RequestWork(vec![4], Routine)),
        (14_000, RequestWork(vec![3], Routine)),
    ];
    let mut simulation = Simulation::new(config(5, 3), 7);
    simulation.run(&Scenario::new(steps), 100_000).unwrap();
    expect_stages(&simulation, &[TicketStage::Overdue, TicketStage::Requested]);
    simulation.inject(&Abandon(1));
    // It counts as absent for an hour, unless it is started.
    simulation.run_until(140_000).unwrap();
    expect_stages(&simulation, &[TicketStage::Abandoned, TicketStage::Requested]);
    simulation.inject(&Start(4));
    simulation.run_until(240_000).unwrap();
    expect_stages(&simulation, &[TicketStage::Abandoned, TicketStage::Done]);
}

#[test]
fn a_second_ticket_of_a_server_drains_its_next_incarnation() {
    let steps = [(12_000, RequestWork(vec![4], Routine)), (14_500, RequestWork(vec![4], Routine))];
    let simulation = run(config(5, 3), steps, 200_000);
    expect_stages(&simulation, &[TicketStage::Done, TicketStage::Done]);
    assert_eq!(departures(&simulation).len(), 2);
}

#[test]
fn a_voter_with_an_empty_state_directory_rejoins_as_a_new_replica() {
    let steps = [
        (14_000, Kill(1)),
        (14_000, LoseDisk(1)),
        (16_000, Start(1)),
        (30_000, RequestWork(vec![1, 2], Routine)),
    ];
    let simulation = run(config(4, 3), steps, 300_000);
    expect_stages(&simulation, &[TicketStage::Done, TicketStage::Done]);
    let leader = simulation.leader().unwrap();
    let consensus = simulation.machines[leader].node.as_ref().unwrap().consensus().unwrap();
    assert_eq!(consensus.voters().len(), 3, "the former replica has no vote");
}

#[test]
fn a_voter_with_a_full_disk_does_not_lead_and_votes_again_once_it_can_write() {
    let full = [(12_000, FillDisk(0, true)), (14_000, RequestWork(vec![4], Routine))];
    let mut simulation = Simulation::new(config(5, 3), 7);
    simulation.run(&Scenario::new(full), 60_000).unwrap();
    assert_ne!(simulation.leader(), Some(0), "{}", timeline(&simulation));
    expect_stages(&simulation, &[TicketStage::Done]);
    simulation.inject(&FillDisk(0, false));
    simulation.inject(&Kill(1));
    simulation.inject(&RequestWork(vec![3], Routine));
    // The killed voter takes the only slot, but there is a majority again, with the voter that can write.
    simulation.run_until(90_000).unwrap();
    assert!(simulation.leader().is_some(), "{}", timeline(&simulation));
}

#[test]
fn all_voters_resume_after_a_simultaneous_restart() {
    let kill = (0..3).map(|machine| (13_500, Kill(machine)));
    let start = (0..3).map(|machine| (20_000, Start(machine)));
    let simulation =
        run(config(5, 3), kill.chain(start).chain([(12_000, RequestWork(vec![4, 3], Routine))]), 400_000);
    expect_stages(&simulation, &[TicketStage::Done, TicketStage::Done]);
}

#[test]
fn no_server_drains_while_a_zone_is_lost() {
    let lost = [2, 5].map(|machine| (16_000, Kill(machine)));
    let back = [2, 5].map(|machine| (80_000, Start(machine)));
    let config = SimulationConfig {
        zones: 3,
        rules: Rules { max_out: Limit::Count(2), ..Rules::default() },
        ..config(9, 3)
    };
    let mut simulation = Simulation::new(config, 7);
    let requests = [(12_000, RequestWork(vec![3, 4, 6, 7], Routine))];
    simulation.run(&Scenario::new(lost.into_iter().chain(requests)), 75_000).unwrap();
    let late = departures(&simulation).iter().filter(|(_, at)| *at > 18_000).count();
    assert_eq!(late, 0, "{}", timeline(&simulation));
    simulation.run(&Scenario::new(back), 400_000).unwrap();
    expect_stages(&simulation, &[TicketStage::Done; 4]);
}

#[test]
fn a_grant_is_recalled_if_overload_rises() {
    let mut simulation = Simulation::new(config(5, 3), 7);
    simulation.run_until(12_000).unwrap();
    // It is paused, so that it cannot take the grant up.
    simulation.inject(&RequestWork(vec![4], Routine));
    advance_until(&mut simulation, 1, "it is granted", |simulation| {
        stages(simulation) == [TicketStage::Granted]
    });
    simulation.inject(&Stop(4, 3_300));
    simulation.inject(&SetLoad(7.5));
    let now = simulation.now;
    simulation.run_until(now + 30_000).unwrap();
    assert_eq!(
        (stages(&simulation), departures(&simulation)),
        (vec![TicketStage::Requested], vec![]),
        "{}",
        timeline(&simulation)
    );
    simulation.inject(&SetLoad(3.0));
    simulation.run_until(now + 420_000).unwrap();
    expect_stages(&simulation, &[TicketStage::Done]);
}

#[test]
fn no_server_drains_in_overload_and_all_drain_after_it() {
    let steps = [(12_000, SetLoad(7.0)), (16_000, RequestWork(vec![3, 4], Routine))];
    let mut simulation = Simulation::new(config(5, 3), 7);
    simulation.run(&Scenario::new(steps), 60_000).unwrap();
    assert_eq!(departures(&simulation), [], "{}", timeline(&simulation));
    simulation.inject(&SetLoad(3.0));
    simulation.run_until(600_000).unwrap();
    expect_stages(&simulation, &[TicketStage::Done, TicketStage::Done]);
}

#[test]
fn a_ticket_is_either_withdrawn_or_carried_out() {
    // Withdrawn at each moment around its grant and its begin, with message delays of up to half a second.
    for at in (12_050..13_500).step_by(50) {
        let steps = [(11_000, SetMaxDelay(500)), (12_000, RequestWork(vec![4], Routine)), (at, Withdraw(1))];
        let simulation = run(config(5, 3), steps, 200_000);
        let stage = stages(&simulation)[0];
        let has_departed = !departures(&simulation).is_empty();
        let is_consistent =
            matches!((stage, has_departed), (TicketStage::Withdrawn, false) | (TicketStage::Done, true));
        assert!(
            is_consistent,
            "withdrawn at {at}: {stage:?}, departed {has_departed}\n{}",
            timeline(&simulation)
        );
    }
}

#[test]
fn tickets_are_done_after_a_member_has_flapped() {
    let flap = (0..20).flat_map(|n| {
        let at = 12_000 + n * 3_000;
        [(at, Kill(4)), (at + 1_500, Start(4))]
    });
    let simulation = run(config(5, 3), flap.chain([(13_000, RequestWork(vec![3, 4], Routine))]), 500_000);
    expect_stages(&simulation, &[TicketStage::Done, TicketStage::Done]);
}

#[test]
fn sigterm_without_a_ticket_is_obeyed_and_counts_as_out() {
    let steps = [(12_000, Terminate(4)), (13_000, RequestWork(vec![3], Routine))];
    let mut simulation = Simulation::new(config(5, 3), 7);
    simulation.run(&Scenario::new(steps), 59_000).unwrap();
    assert!(
        simulation.machines[4].node.is_none() && departures(&simulation).is_empty(),
        "{}",
        timeline(&simulation)
    );
    let leader = simulation.leader().unwrap();
    assert_eq!(
        simulation.machines[leader].node.as_ref().unwrap().maintenance().unwrap().drains_without_ticket(),
        1
    );
    simulation.inject(&Start(4));
    simulation.run_until(200_000).unwrap();
    expect_stages(&simulation, &[TicketStage::Done]);
}

#[test]
fn members_that_join_within_seconds_become_known_to_all_and_delay_tickets_briefly() {
    let config =
        SimulationConfig { rules: Rules { max_out: Limit::Share(0.1), ..Rules::default() }, ..config(50, 5) };
    let late: Vec<usize> = (30..50).collect();
    let gone = late.iter().map(|machine| (4_000, Kill(*machine)));
    let back = late.iter().map(|machine| (30_000 + 100 * *machine as u64, Start(*machine)));
    let mut simulation = Simulation::new(config, 7);
    simulation.invariants.compares_states = false;
    simulation
        .run(&Scenario::new(gone.chain(back).chain([(45_000, RequestWork(vec![7, 8], Routine))])), 120_000)
        .unwrap();
    expect_stages(&simulation, &[TicketStage::Done, TicketStage::Done]);
    for machine in &simulation.machines {
        let known = machine.node.as_ref().unwrap().membership().known();
        assert_eq!(known.len(), 49, "{}", timeline(&simulation));
    }
}

#[test]
fn a_fleet_recovers_from_one_state_directory_with_skipped_ticket_numbers() {
    let mut simulation = Simulation::new(config(5, 3), 7);
    simulation.run(&Scenario::new([(12_000, RequestWork(vec![4], Routine))]), 60_000).unwrap();
    for machine in [0, 1] {
        simulation.inject(&Kill(machine));
        simulation.inject(&LoseDisk(machine));
        simulation.inject(&Start(machine));
    }
    simulation.run_until(80_000).unwrap();
    assert_eq!(simulation.leader(), None, "a majority is lost");
    let now = simulation.now;
    let node = simulation.machines[2].node.as_mut().unwrap();
    // The time of its own clock does not matter here.
    node.recover(now).unwrap();
    simulation.run_until(140_000).unwrap();
    assert_eq!(stages(&simulation)[0], TicketStage::Done, "the stored ticket is recovered");
    simulation.inject(&RequestWork(vec![4], Routine));
    simulation.run_until(260_000).unwrap();
    let last = simulation.tickets().last().cloned().unwrap();
    assert!(last.ticket > 1 << 20 && last.stage == TicketStage::Done, "{last:?}\n{}", timeline(&simulation));
}
