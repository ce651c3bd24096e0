//! Scripted fault scenarios for the maintenance tickets of a simulated fleet. The invariants are checked
//! after every event.

mod common;

use loomflow_fleet::maintenance::rules::{Limit, Rules};
use loomflow_fleet::maintenance::ticket::{TicketStage, Urgency::Routine};
use loomflow_fleet_simulation::Fault::*;
use loomflow_fleet_simulation::{Scenario, Simulation, SimulationConfig};

use common::{advance_until, run, timeline};

fn config(machines: usize, voters: usize) -> SimulationConfig {
    SimulationConfig { machines, voters, ..SimulationConfig::default() }
}

/// The stages of all tickets in the leader's state, in the order of their numbers.
fn stages(simulation: &Simulation) -> Vec<TicketStage> {
    assert!(simulation.leader().is_some(), "the fleet has no leader\n{}", timeline(simulation));
    simulation.tickets().into_iter().map(|ticket| ticket.stage).collect()
}

fn expect_stages(simulation: &Simulation, expected: &[TicketStage]) {
    assert_eq!(stages(simulation), expected, "{}", timeline(simulation));
}

/// The machine and the time of each departure.
fn departures(simulation: &Simulation) -> Vec<(usize, u64)> {
    simulation.invariants.departures.iter().map(|departure| (departure.machine, departure.at)).collect()
}

#[test]
fn servers_drain_in_turn_with_the_leader_last() {
    let simulation = run(config(5, 3), [(12_000, RequestWork((0..5).collect(), Routine))], 200_000);
    expect_stages(&simulation, &[TicketStage::Done; 5]);
    let order: Vec<usize> = departures(&simulation).into_iter().map(|(machine, _)| machine).collect();
    // Machine 0 bootstrapped the fleet and led it, so it must drain last.
    assert_eq!((order.len(), order.last()), (5, Some(&0)), "{}", timeline(&simulation));
}

#[test]
fn consecutive_drains_are_in_different_zones() {
    let simulation = run(
        SimulationConfig { zones: 3, ..config(9, 3) },
        [(12_000, RequestWork((3..9).collect(), Routine))],
        250_000,
    );
    expect_stages(&simulation, &[TicketStage::Done; 6]);
    let zones: Vec<usize> = departures(&simulation).into_iter().map(|(machine, _)| machine % 3).collect();
    assert!(zones.windows(2).all(|pair| pair[0] != pair[1]), "zones of the drains in order: {zones:?}");
}

#[test]
fn ticket_completes_if_the_leader_dies_before_notifying_the_grant() {
    // The leader reaches only one other voter: the grant is committed, but the server is not notified.
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

/// A server that receives a grant after it lapsed, while another server is out, must not drain.
#[test]
fn lapsed_grant_has_no_effect() {
    // Server 4 is paused before it begins its maintenance, and resumes after its grant has lapsed and
    // while another server is out of service. The rules allow two machines out of service, because the
    // paused server counts as one.
    let rules = Rules { accept_timeout_millis: 4_000, max_out: Limit::Count(2), ..Rules::default() };
    let mut simulation =
        Simulation::new(SimulationConfig { rules, maintenance_millis: 20_000, ..config(5, 3) }, 7);
    simulation.run_until(12_000).unwrap();
    simulation.inject(&RequestWork(vec![4], Routine));
    // The grant is committed, and the server has not received it yet.
    advance_until(&mut simulation, 1, "the ticket is granted", |simulation| {
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
    // The resumed server receives the lapsed grant, unless it had received it before the pause.
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
    // Requests go to the first machine that serves: without machine 0, to one on the majority side.
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
fn server_with_cut_outbound_links_drains_only_after_heal() {
    // Server 4 receives all messages, but the voters receive none from it.
    let cuts = (0..3).map(|to| (12_000, CutLink(4, to)));
    let steps = [(16_000, RequestWork(vec![4, 3], Routine))];
    let mut simulation = Simulation::new(config(5, 3), 7);
    simulation.run(&Scenario::new(cuts.chain(steps)), 59_000).unwrap();
    assert!(departures(&simulation).iter().all(|(machine, _)| *machine != 4), "{}", timeline(&simulation));
    simulation.inject(&HealNetwork);
    simulation.run_until(400_000).unwrap();
    expect_stages(&simulation, &[TicketStage::Done, TicketStage::Done]);
}

/// No other server may drain while a draining server is paused.
#[test]
fn server_paused_while_draining_keeps_its_slot() {
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
fn abandoned_overdue_machine_frees_its_slot_on_restart() {
    let steps = [
        (11_000, SetMaintenance(4, None)),
        (12_000, RequestWork(vec![4], Routine)),
        (14_000, RequestWork(vec![3], Routine)),
    ];
    let mut simulation = Simulation::new(config(5, 3), 7);
    simulation.run(&Scenario::new(steps), 100_000).unwrap();
    expect_stages(&simulation, &[TicketStage::Overdue, TicketStage::Requested]);
    simulation.inject(&Abandon(1));
    // An abandoned machine counts as out for an hour, unless it is restarted.
    simulation.run_until(140_000).unwrap();
    expect_stages(&simulation, &[TicketStage::Abandoned, TicketStage::Requested]);
    simulation.inject(&Start(4));
    simulation.run_until(240_000).unwrap();
    expect_stages(&simulation, &[TicketStage::Abandoned, TicketStage::Done]);
}

#[test]
fn second_ticket_drains_the_next_incarnation() {
    let steps = [(12_000, RequestWork(vec![4], Routine)), (14_500, RequestWork(vec![4], Routine))];
    let simulation = run(config(5, 3), steps, 200_000);
    expect_stages(&simulation, &[TicketStage::Done, TicketStage::Done]);
    assert_eq!(departures(&simulation).len(), 2);
}

#[test]
fn voter_with_empty_state_directory_rejoins_as_new_replica() {
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
    assert_eq!(consensus.voters().len(), 3, "the former replica of machine 1 must not be a voter");
}

#[test]
fn voter_with_full_disk_does_not_lead_and_rejoins_the_majority() {
    let faults = [(12_000, FillDisk(0, true)), (14_000, RequestWork(vec![4], Routine))];
    let mut simulation = Simulation::new(config(5, 3), 7);
    simulation.run(&Scenario::new(faults), 60_000).unwrap();
    assert_ne!(simulation.leader(), Some(0), "{}", timeline(&simulation));
    expect_stages(&simulation, &[TicketStage::Done]);
    simulation.inject(&FillDisk(0, false));
    simulation.inject(&Kill(1));
    simulation.inject(&RequestWork(vec![3], Routine));
    // The killed voter takes the only maintenance slot, but the voter whose disk has free space again
    // completes the majority.
    simulation.run_until(90_000).unwrap();
    assert!(simulation.leader().is_some(), "{}", timeline(&simulation));
}

#[test]
fn tickets_complete_after_simultaneous_restart_of_all_voters() {
    let kills = (0..3).map(|machine| (13_500, Kill(machine)));
    let starts = (0..3).map(|machine| (20_000, Start(machine)));
    let simulation =
        run(config(5, 3), kills.chain(starts).chain([(12_000, RequestWork(vec![4, 3], Routine))]), 400_000);
    expect_stages(&simulation, &[TicketStage::Done, TicketStage::Done]);
}

#[test]
fn no_drain_starts_while_a_zone_is_down() {
    let kills = [2, 5].map(|machine| (16_000, Kill(machine)));
    let starts = [2, 5].map(|machine| (80_000, Start(machine)));
    let config = SimulationConfig {
        zones: 3,
        rules: Rules { max_out: Limit::Count(2), ..Rules::default() },
        ..config(9, 3)
    };
    let mut simulation = Simulation::new(config, 7);
    let requests = [(12_000, RequestWork(vec![3, 4, 6, 7], Routine))];
    simulation.run(&Scenario::new(kills.into_iter().chain(requests)), 75_000).unwrap();
    let departed_after_loss = departures(&simulation).iter().filter(|(_, at)| *at > 18_000).count();
    assert_eq!(departed_after_loss, 0, "{}", timeline(&simulation));
    simulation.run(&Scenario::new(starts), 400_000).unwrap();
    expect_stages(&simulation, &[TicketStage::Done; 4]);
}

#[test]
fn grant_is_recalled_under_overload() {
    let mut simulation = Simulation::new(config(5, 3), 7);
    simulation.run_until(12_000).unwrap();
    // The server is paused as soon as its ticket is granted, so that it cannot begin its maintenance.
    simulation.inject(&RequestWork(vec![4], Routine));
    advance_until(&mut simulation, 1, "the ticket is granted", |simulation| {
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
fn drains_wait_until_overload_ends() {
    let steps = [(12_000, SetLoad(7.0)), (16_000, RequestWork(vec![3, 4], Routine))];
    let mut simulation = Simulation::new(config(5, 3), 7);
    simulation.run(&Scenario::new(steps), 60_000).unwrap();
    assert_eq!(departures(&simulation), [], "{}", timeline(&simulation));
    simulation.inject(&SetLoad(3.0));
    simulation.run_until(600_000).unwrap();
    expect_stages(&simulation, &[TicketStage::Done, TicketStage::Done]);
}

#[test]
fn racing_withdrawal_either_cancels_or_completes_the_ticket() {
    // Withdraws at 50 ms intervals around the grant and the begin, with message delays of up to 500 ms.
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
fn tickets_complete_with_a_flapping_member() {
    let flaps = (0..20).flat_map(|n| {
        let at = 12_000 + n * 3_000;
        [(at, Kill(4)), (at + 1_500, Start(4))]
    });
    let simulation = run(config(5, 3), flaps.chain([(13_000, RequestWork(vec![3, 4], Routine))]), 500_000);
    expect_stages(&simulation, &[TicketStage::Done, TicketStage::Done]);
}

#[test]
fn sigterm_without_ticket_drains_and_counts_as_out() {
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
fn members_joining_within_seconds_reach_all_and_tickets_complete() {
    let config =
        SimulationConfig { rules: Rules { max_out: Limit::Share(0.1), ..Rules::default() }, ..config(50, 5) };
    let joining: Vec<usize> = (30..50).collect();
    let kills = joining.iter().map(|machine| (4_000, Kill(*machine)));
    let starts = joining.iter().map(|machine| (30_000 + 100 * *machine as u64, Start(*machine)));
    let mut simulation = Simulation::new(config, 7);
    simulation.invariants.compares_states = false;
    simulation
        .run(&Scenario::new(kills.chain(starts).chain([(45_000, RequestWork(vec![7, 8], Routine))])), 120_000)
        .unwrap();
    expect_stages(&simulation, &[TicketStage::Done, TicketStage::Done]);
    for machine in &simulation.machines {
        let known = machine.node.as_ref().unwrap().membership().known();
        assert_eq!(known.len(), 49, "{}", timeline(&simulation));
    }
}

#[test]
fn fleet_recovers_from_one_state_directory_and_skips_ticket_numbers() {
    let mut simulation = Simulation::new(config(5, 3), 7);
    simulation.run(&Scenario::new([(12_000, RequestWork(vec![4], Routine))]), 60_000).unwrap();
    for machine in [0, 1] {
        simulation.inject(&Kill(machine));
        simulation.inject(&LoseDisk(machine));
        simulation.inject(&Start(machine));
    }
    simulation.run_until(80_000).unwrap();
    assert_eq!(simulation.leader(), None, "there must be no leader without a majority of the voters");
    let now = simulation.now;
    let node = simulation.machines[2].node.as_mut().unwrap();
    // Virtual time instead of the machine's local time: the difference does not matter here.
    node.recover(now).unwrap();
    simulation.run_until(140_000).unwrap();
    assert_eq!(
        stages(&simulation)[0],
        TicketStage::Done,
        "the closed ticket must be recovered from the state directory"
    );
    simulation.inject(&RequestWork(vec![4], Routine));
    simulation.run_until(260_000).unwrap();
    let last = simulation.tickets().last().cloned().unwrap();
    assert!(last.ticket > 1 << 20 && last.stage == TicketStage::Done, "{last:?}\n{}", timeline(&simulation));
}
