//! What goes wrong in a fleet, case by case, in virtual time. Each case is a scenario; the invariants are checked
//! after every event.

mod common;

use loomflow_fleet::maintenance::rules::{Limit, Rules};
use loomflow_fleet::maintenance::ticket::{TicketStage, Urgency::Routine};
use loomflow_fleet_simulation::Fault::*;
use loomflow_fleet_simulation::{Scenario, Simulation, SimulationConfig};

use common::{run, timeline};

fn config(machines: usize, voters: usize) -> SimulationConfig {
    SimulationConfig { machines, voters, ..SimulationConfig::default() }
}

/// The stages of all tickets in the order of their numbers, by the leader's state.
fn stages(simulation: &Simulation) -> Vec<TicketStage> {
    assert!(simulation.leader().is_some(), "nobody leads\n{}", timeline(simulation));
    simulation.tickets().into_iter().map(|ticket| ticket.stage).collect()
}

/// As soon as the grant of the only ticket is committed, before its server is notified.
fn run_until_granted(simulation: &mut Simulation) {
    while stages(simulation) != [TicketStage::Granted] {
        let next = simulation.now + 1;
        simulation.run_until(next).unwrap();
    }
}

fn ends(simulation: &Simulation, stages_wanted: &[TicketStage]) {
    assert_eq!(stages(simulation), stages_wanted, "{}", timeline(simulation));
}

/// Machine and time of each departure.
fn departures(simulation: &Simulation) -> Vec<(usize, u64)> {
    simulation.invariants.departures.iter().map(|departure| (departure.machine, departure.at)).collect()
}

#[test]
fn a_fleet_forms_and_each_server_is_maintained_the_leader_last() {
    let simulation = run(config(5, 3), [(12_000, RequestWork((0..5).collect(), Routine))], 200_000);
    ends(&simulation, &[TicketStage::Done; 5]);
    let order: Vec<usize> = departures(&simulation).into_iter().map(|(one, _)| one).collect();
    // The first machine founded the fleet and led it.
    assert_eq!((order.len(), order.last()), (5, Some(&0)), "{}", timeline(&simulation));
}

#[test]
fn zones_are_maintained_one_after_the_other() {
    let simulation = run(
        SimulationConfig { zones: 3, ..config(9, 3) },
        [(12_000, RequestWork((3..9).collect(), Routine))],
        250_000,
    );
    ends(&simulation, &[TicketStage::Done; 6]);
    let zones: Vec<usize> = departures(&simulation).into_iter().map(|(one, _)| one % 3).collect();
    assert!(zones.windows(2).all(|pair| pair[0] != pair[1]), "{zones:?}");
}

#[test]
fn a_leader_killed_between_grant_and_notification_loses_nothing() {
    // The leader's messages reach only one other voter, so the grant is committed and its server is not notified.
    let cuts = (2..5).map(|to| (12_900, CutLink(0, to)));
    let steps = [
        (13_000, RequestWork(vec![3], Routine)),
        (13_600, Kill(0)),
        (14_000, HealNetwork),
        (60_000, Start(0)),
    ];
    let simulation = run(config(5, 3), cuts.chain(steps), 120_000);
    ends(&simulation, &[TicketStage::Done]);
}

#[test]
fn a_grant_received_after_it_lapsed_has_no_effect() {
    // Stopped before it can begin, woken when its grant is long void and another is out.
    // Two may be out: the one that is stopped counts as one of them.
    let rules = Rules { begin_within_millis: 4_000, max_out: Limit::Count(2), ..Rules::default() };
    let mut simulation =
        Simulation::new(SimulationConfig { rules, maintenance_millis: 20_000, ..config(5, 3) }, 7);
    simulation.run_until(12_000).unwrap();
    simulation.inject(&RequestWork(vec![4], Routine));
    run_until_granted(&mut simulation);
    simulation.inject(&Stop(4, 12_000));
    let now = simulation.now;
    simulation.run_until(now + 8_000).unwrap();
    assert_ne!(stages(&simulation)[0], TicketStage::Granted, "{}", timeline(&simulation));
    simulation.inject(&Withdraw(1));
    simulation.inject(&RequestWork(vec![3], Routine));
    simulation.run_until(now + 11_900).unwrap();
    let before = departures(&simulation);
    assert_eq!(before.iter().map(|(one, _)| *one).collect::<Vec<_>>(), [3], "{}", timeline(&simulation));
    // It continues, and finds the grant that it was never notified of, or was notified of before it stopped.
    simulation.run_until(now + 16_000).unwrap();
    assert_eq!(departures(&simulation), before, "{}", timeline(&simulation));
    simulation.run_until(now + 120_000).unwrap();
    ends(&simulation, &[TicketStage::Withdrawn, TicketStage::Done]);
}

#[test]
fn of_two_sides_of_a_partition_only_the_one_with_a_majority_grants() {
    let mut simulation = Simulation::new(config(5, 3), 7);
    let cut = Scenario::new([(12_000, Isolate(vec![0, 4])), (12_100, RequestWork(vec![4], Routine))]);
    simulation.run(&cut, 20_000).unwrap();
    // The other side requests maintenance as well, from a voter there.
    simulation.inject(&Kill(0));
    simulation.inject(&RequestWork(vec![3], Routine));
    simulation.run_until(60_000).unwrap();
    assert!(departures(&simulation).iter().all(|(one, _)| *one != 4), "{}", timeline(&simulation));
    simulation.inject(&HealNetwork);
    simulation.inject(&Start(0));
    simulation.run_until(460_000).unwrap();
    assert!(stages(&simulation).iter().all(|stage| *stage == TicketStage::Done), "{}", timeline(&simulation));
}

#[test]
fn a_server_that_cannot_send_is_granted_only_after_the_link_is_healed() {
    // It receives from the voters, which do not receive from it.
    let cuts = (0..3).map(|to| (12_000, CutLink(4, to)));
    let steps = [(16_000, RequestWork(vec![4, 3], Routine))];
    let mut simulation = Simulation::new(config(5, 3), 7);
    simulation.run(&Scenario::new(cuts.chain(steps)), 59_000).unwrap();
    assert!(departures(&simulation).iter().all(|(one, _)| *one != 4), "{}", timeline(&simulation));
    simulation.inject(&HealNetwork);
    simulation.run_until(400_000).unwrap();
    ends(&simulation, &[TicketStage::Done, TicketStage::Done]);
}

#[test]
fn a_server_stopped_while_it_drains_keeps_its_place_until_it_is_back() {
    let mut simulation = Simulation::new(config(5, 3), 7);
    simulation.run_until(12_000).unwrap();
    simulation.inject(&RequestWork(vec![4, 3], Routine));
    while departures(&simulation).is_empty() {
        let next = simulation.now + 10;
        simulation.run_until(next).unwrap();
    }
    let first = departures(&simulation)[0].0;
    simulation.inject(&Stop(first, 30_000));
    let now = simulation.now;
    simulation.run_until(now + 29_000).unwrap();
    assert_eq!(departures(&simulation).len(), 1, "{}", timeline(&simulation));
    simulation.run_until(now + 200_000).unwrap();
    ends(&simulation, &[TicketStage::Done, TicketStage::Done]);
}

#[test]
fn a_server_that_never_returns_is_overdue_and_frees_its_place_when_it_is_abandoned() {
    let steps = [
        (11_000, SetMaintenance(4, None)),
        (12_000, RequestWork(vec![4], Routine)),
        (14_000, RequestWork(vec![3], Routine)),
    ];
    let mut simulation = Simulation::new(config(5, 3), 7);
    simulation.run(&Scenario::new(steps), 100_000).unwrap();
    ends(&simulation, &[TicketStage::Overdue, TicketStage::Requested]);
    simulation.inject(&Abandon(1));
    // It still counts as one that is gone, for an hour, unless it is started again.
    simulation.run_until(140_000).unwrap();
    ends(&simulation, &[TicketStage::Abandoned, TicketStage::Requested]);
    simulation.inject(&Start(4));
    simulation.run_until(240_000).unwrap();
    ends(&simulation, &[TicketStage::Abandoned, TicketStage::Done]);
}

#[test]
fn a_server_that_returned_is_maintained_once_more_by_a_new_ticket() {
    let steps = [(12_000, RequestWork(vec![4], Routine)), (14_500, RequestWork(vec![4], Routine))];
    let simulation = run(config(5, 3), steps, 200_000);
    ends(&simulation, &[TicketStage::Done, TicketStage::Done]);
    assert_eq!(departures(&simulation).len(), 2);
}

#[test]
fn a_voter_with_an_empty_data_directory_rejoins_as_a_new_replica() {
    let steps = [
        (14_000, Kill(1)),
        (14_000, LoseDisk(1)),
        (16_000, Start(1)),
        (30_000, RequestWork(vec![1, 2], Routine)),
    ];
    let simulation = run(config(4, 3), steps, 300_000);
    ends(&simulation, &[TicketStage::Done, TicketStage::Done]);
    let leader = simulation.leader().unwrap();
    let consensus = simulation.machines[leader].node.as_ref().unwrap().consensus().unwrap();
    assert_eq!(consensus.voters().len(), 3, "its former self has no vote any more");
}

#[test]
fn a_voter_whose_disk_is_full_neither_votes_nor_dies_and_comes_back_by_itself() {
    let full = [(12_000, FillDisk(0, true)), (14_000, RequestWork(vec![4], Routine))];
    let mut simulation = Simulation::new(config(5, 3), 7);
    simulation.run(&Scenario::new(full), 60_000).unwrap();
    assert_ne!(simulation.leader(), Some(0), "{}", timeline(&simulation));
    ends(&simulation, &[TicketStage::Done]);
    simulation.inject(&FillDisk(0, false));
    simulation.inject(&Kill(1));
    simulation.inject(&RequestWork(vec![3], Routine));
    // The budget of one is taken by the dead voter, but there is a majority again, with the mended one.
    simulation.run_until(90_000).unwrap();
    assert!(simulation.leader().is_some(), "{}", timeline(&simulation));
}

#[test]
fn all_voters_resume_after_a_simultaneous_restart() {
    let kill = (0..3).map(|one| (13_500, Kill(one)));
    let start = (0..3).map(|one| (20_000, Start(one)));
    let simulation =
        run(config(5, 3), kill.chain(start).chain([(12_000, RequestWork(vec![4, 3], Routine))]), 400_000);
    ends(&simulation, &[TicketStage::Done, TicketStage::Done]);
}

#[test]
fn nothing_is_granted_while_a_zone_is_lost() {
    let lost = [2, 5].map(|one| (16_000, Kill(one)));
    let back = [2, 5].map(|one| (80_000, Start(one)));
    let config = SimulationConfig {
        zones: 3,
        rules: Rules { max_out: Limit::Count(2), ..Rules::default() },
        ..config(9, 3)
    };
    let mut simulation = Simulation::new(config, 7);
    let asked = [(12_000, RequestWork(vec![3, 4, 6, 7], Routine))];
    simulation.run(&Scenario::new(lost.into_iter().chain(asked)), 75_000).unwrap();
    let late = departures(&simulation).iter().filter(|(_, at)| *at > 18_000).count();
    assert_eq!(late, 0, "{}", timeline(&simulation));
    simulation.run(&Scenario::new(back), 400_000).unwrap();
    ends(&simulation, &[TicketStage::Done; 4]);
}

#[test]
fn overload_that_rises_after_the_grant_recalls_it() {
    let mut simulation = Simulation::new(config(5, 3), 7);
    simulation.run_until(12_000).unwrap();
    // It cannot take the grant up at once.
    simulation.inject(&RequestWork(vec![4], Routine));
    run_until_granted(&mut simulation);
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
    ends(&simulation, &[TicketStage::Done]);
}

#[test]
fn nothing_is_granted_in_overload_and_all_are_maintained_after_it() {
    let steps = [(12_000, SetLoad(7.0)), (16_000, RequestWork(vec![3, 4], Routine))];
    let mut simulation = Simulation::new(config(5, 3), 7);
    simulation.run(&Scenario::new(steps), 60_000).unwrap();
    assert_eq!(departures(&simulation), [], "{}", timeline(&simulation));
    simulation.inject(&SetLoad(3.0));
    simulation.run_until(600_000).unwrap();
    ends(&simulation, &[TicketStage::Done, TicketStage::Done]);
}

#[test]
fn a_withdrawn_ticket_is_either_withdrawn_or_done() {
    // Withdrawn at each moment around its grant and begin, with messages that take up to half a second.
    for at in (12_050..13_500).step_by(50) {
        let steps = [(11_000, SetMaxDelay(500)), (12_000, RequestWork(vec![4], Routine)), (at, Withdraw(1))];
        let simulation = run(config(5, 3), steps, 200_000);
        let stage = stages(&simulation)[0];
        let went = !departures(&simulation).is_empty();
        let agreed = matches!((stage, went), (TicketStage::Withdrawn, false) | (TicketStage::Done, true));
        assert!(agreed, "withdrawn at {at}: {stage:?}, went {went}\n{}", timeline(&simulation));
    }
}

#[test]
fn a_member_that_flaps_delays_the_others_and_breaks_no_invariant() {
    let flap = (0..20).flat_map(|n| {
        let at = 12_000 + n * 3_000;
        [(at, Kill(4)), (at + 1_500, Start(4))]
    });
    let simulation = run(config(5, 3), flap.chain([(13_000, RequestWork(vec![3, 4], Routine))]), 500_000);
    ends(&simulation, &[TicketStage::Done, TicketStage::Done]);
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
    ends(&simulation, &[TicketStage::Done]);
}

#[test]
fn four_in_ten_that_join_within_seconds_are_known_to_all_and_delay_maintenance_briefly() {
    let config =
        SimulationConfig { rules: Rules { max_out: Limit::Share(0.1), ..Rules::default() }, ..config(50, 5) };
    let late: Vec<usize> = (30..50).collect();
    let gone = late.iter().map(|one| (4_000, Kill(*one)));
    let back = late.iter().map(|one| (30_000 + 100 * *one as u64, Start(*one)));
    let mut simulation = Simulation::new(config, 7);
    simulation.invariants.compares_states = false;
    simulation
        .run(&Scenario::new(gone.chain(back).chain([(45_000, RequestWork(vec![7, 8], Routine))])), 120_000)
        .unwrap();
    ends(&simulation, &[TicketStage::Done, TicketStage::Done]);
    for machine in &simulation.machines {
        let known = machine.node.as_ref().unwrap().membership().known();
        assert_eq!(known.len(), 49, "{}", timeline(&simulation));
    }
}

#[test]
fn a_fleet_that_lost_a_majority_of_its_data_directories_is_recovered_from_one_with_a_gap_in_its_numbers() {
    let mut simulation = Simulation::new(config(5, 3), 7);
    simulation.run(&Scenario::new([(12_000, RequestWork(vec![4], Routine))]), 60_000).unwrap();
    for one in [0, 1] {
        simulation.inject(&Kill(one));
        simulation.inject(&LoseDisk(one));
        simulation.inject(&Start(one));
    }
    simulation.run_until(80_000).unwrap();
    assert_eq!(simulation.leader(), None, "a majority is lost");
    let now = simulation.now;
    let node = simulation.machines[2].node.as_mut().unwrap();
    // Its own clock does not matter here.
    node.recover(now).unwrap();
    simulation.run_until(140_000).unwrap();
    assert_eq!(stages(&simulation)[0], TicketStage::Done, "what the folder held is there");
    simulation.inject(&RequestWork(vec![4], Routine));
    simulation.run_until(260_000).unwrap();
    let last = simulation.tickets().last().cloned().unwrap();
    assert!(last.ticket > 1 << 20 && last.stage == TicketStage::Done, "{last:?}\n{}", timeline(&simulation));
}
