//! Maintenance tickets in fleets of server processes, with faults of processes, disks and links. The tests observe only the
//! processes, the gateway ports and the output of the operators' commands.

mod common;

use std::io::{Read, Write};
use std::net::TcpStream;
use std::os::unix::fs::PermissionsExt;

use common::fleet::*;
use loomflow_test_servers::RESPONSE_TIMEOUT;
use loomflow_test_servers::fleet::{Fleet, Plan};
use loomflow_test_servers::relay::LinkFault;

/// As [`FOUR_MEMBERS`], but two servers may be out of service at a time.
const TWO_OUT: Plan =
    Plan { extra: "  begin_within_s: 2\n  warm_for_s: 1\n  out: {count: 2}\n", ..FOUR_MEMBERS };

/// Requests a ticket for the non-voter and waits until it is granted; a link fault keeps the grant from reaching the
/// non-voter.
fn grant_behind_fault(fleet: &mut Fleet, fault: LinkFault) -> u64 {
    set_faults_from_voters(fleet, NON_VOTER, fault);
    let ticket = fleet.request_ticket(0, NON_VOTER);
    wait_for_stage(fleet, 0, ticket, "Granted");
    ticket
}

/// Whether a grant has lapsed: the history shows the ticket as requested again after it was granted. A ticket that has begun
/// has not lapsed, and an unreadable history counts as no lapse.
fn has_lapsed(fleet: &Fleet, ticket: u64) -> bool {
    let (_, output, _) = fleet.run_command(0, &["work", "history", "--json"]);
    let events = json(&output);
    let events = events.as_array().map(Vec::as_slice).unwrap_or_default();
    let mut stages = events.iter().filter(|event| event["ticket"] == ticket).map(|event| &event["stage"]);
    stages.any(|stage| stage == "Granted") && stages.any(|stage| stage == "Asked")
}

/// Waits until the grant of a ticket lapses, then withdraws the ticket.
fn withdraw_lapsed(fleet: &Fleet, ticket: u64) {
    fleet.wait_until("the grant lapses", |fleet| has_lapsed(fleet, ticket));
    expect_success(fleet, 0, &["work", "withdraw", &ticket.to_string()]);
}

#[test]
fn a_ticket_takes_a_server_through_maintenance() {
    let mut fleet = Fleet::start_bootstrapped(Plan::default());
    assert_eq!(fleet.run_command(0, &["work", "wait", "--server", "n2"]).0, 3, "n2 has no ticket");
    let ticket = fleet.request_ticket(0, 1);
    assert_eq!(fleet.run_command(0, &["work", "wait", "--server", "n2"]).0, 0);
    assert_eq!(fleet.wait_for_exit(1), Some(0));
    wait_for_stage(&fleet, 0, ticket, "Out");
    fleet.start_member(1);
    wait_for_stage(&fleet, 0, ticket, "Done");
    assert!(fleet.is_running(0) && fleet.is_running(1) && fleet.is_running(2));
    let socket = fleet.members[0].state.with_extension("sock");
    assert_eq!(std::fs::metadata(socket).unwrap().permissions().mode() & 0o777, 0o600);
}

#[test]
fn a_grant_survives_a_leader_killed_before_notification() {
    let mut fleet = Fleet::start_bootstrapped(FOUR_MEMBERS);
    let ticket = grant_behind_fault(&mut fleet, PARTITIONED);
    let leader = fleet.leader(0).unwrap();
    fleet.kill(leader);
    set_faults_from_voters(&mut fleet, NON_VOTER, NO_FAULT);
    let observer = (leader + 1) % 3;
    // The killed leader counts as the one server that may be out of service: nothing is granted until it is back.
    wait_for_new_leader(&fleet, observer, leader);
    fleet.start_member(leader);
    drain_and_restart(&mut fleet, NON_VOTER, observer, ticket);
}

#[test]
fn a_lapsed_grant_has_no_effect() {
    let mut fleet = Fleet::start_bootstrapped(TWO_OUT);
    let ticket = grant_behind_fault(&mut fleet, STALLED);
    withdraw_lapsed(&fleet, ticket);
    let other = fleet.request_ticket(0, 2);
    assert_eq!(fleet.wait_for_exit(2), Some(0));
    // All messages that were held back arrive, and then arrive a second time.
    set_faults_from_voters(&mut fleet, NON_VOTER, NO_FAULT);
    (0..2).for_each(|voter| fleet.replay_messages(voter, NON_VOTER));
    fleet.wait_until("the leader reports that n4 serves", |fleet| {
        let status = fleet.status(0);
        let members = status["members"].as_array().cloned().unwrap_or_default();
        members.iter().any(|member| member["name"] == "n4" && member["standing"] == "Serving")
    });
    assert!(fleet.is_running(NON_VOTER), "{}", fleet.diagnostics());
    expect_serving(&fleet, NON_VOTER);
    fleet.start_member(2);
    wait_for_stage(&fleet, 0, other, "Done");
    assert!(fleet.is_running(NON_VOTER) && fleet.stage(0, ticket) == "Withdrawn", "{}", fleet.diagnostics());
}

#[test]
fn a_server_paused_past_its_grant_keeps_serving() {
    let mut fleet = Fleet::start_bootstrapped(TWO_OUT);
    let ticket = grant_behind_fault(&mut fleet, STALLED);
    // All threads of the server are paused before the grant reaches its sockets; otherwise it could accept the grant.
    let paused = fleet.pause_process_tree(NON_VOTER);
    set_faults_from_voters(&mut fleet, NON_VOTER, NO_FAULT);
    withdraw_lapsed(&fleet, ticket);
    fleet.resume_processes(&paused);
    let other = fleet.request_ticket(0, 2);
    drain_and_restart(&mut fleet, 2, 0, other);
    assert!(fleet.is_running(NON_VOTER), "{}", fleet.diagnostics());
    expect_serving(&fleet, NON_VOTER);
}

#[test]
fn a_server_paused_while_draining_keeps_its_slot() {
    let mut fleet = Fleet::start_bootstrapped(FOUR_MEMBERS);
    let first = fleet.request_ticket(0, NON_VOTER);
    fleet.wait_until("the drain begins", |fleet| {
        matches!(fleet.stage(0, first).as_str(), "Begun" | "Draining" | "Out")
    });
    if fleet.is_running(NON_VOTER) {
        fleet.pause(NON_VOTER);
        let second = fleet.request_ticket(0, 2);
        fleet.wait_until("the fleet reports that n4 is out", |fleet| fleet.stage(0, first) == "Out");
        assert!(fleet.is_running(2), "{}", fleet.diagnostics());
        fleet.resume(NON_VOTER);
        drain_and_restart(&mut fleet, NON_VOTER, 0, first);
        drain_and_restart(&mut fleet, 2, 0, second);
    } else {
        drain_and_restart(&mut fleet, NON_VOTER, 0, first);
    }
}

#[test]
fn a_minority_partition_serves_and_grants_nothing() {
    let mut fleet = Fleet::start_bootstrapped(TWO_OUT);
    let leader = fleet.leader(0).unwrap();
    let majority: Vec<usize> = VOTERS.into_iter().filter(|voter| *voter != leader).collect();
    fleet.isolate(&[leader, NON_VOTER], PARTITIONED);
    wait_for_new_leader(&fleet, majority[0], leader);
    // The minority has no leader.
    expect_rejection(&fleet, leader, &["work", "ask", "--server", "n4"]);
    expect_serving(&fleet, leader);
    expect_serving(&fleet, NON_VOTER);
    assert!(fleet.is_running(NON_VOTER));
    fleet.isolate(&[leader, NON_VOTER], NO_FAULT);
    let ticket = fleet.request_ticket(leader, NON_VOTER);
    drain_and_restart(&mut fleet, NON_VOTER, majority[0], ticket);
}

#[test]
fn a_server_that_cannot_send_gets_no_grant() {
    let mut fleet = Fleet::start_bootstrapped(TWO_OUT);
    for voter in VOTERS {
        fleet.set_link_fault(NON_VOTER, voter, PARTITIONED);
    }
    fleet.wait_until("the fleet reports that n4 is silent", |fleet| {
        let (_, output, _) = fleet.run_command(0, &["explain", "n4", "--json"]);
        !output.contains("Serving") || fleet.status(0)["members"][3]["age"].as_u64() > Some(4_000)
    });
    let ticket = fleet.request_ticket(0, NON_VOTER);
    let (code, output, _) = fleet.run_command(0, &["explain", "n4"]);
    assert!(code == 0 && output.contains("WAITS"), "{output}");
    assert!(fleet.is_running(NON_VOTER) && fleet.stage(0, ticket) == "Asked", "{}", fleet.diagnostics());
    for voter in VOTERS {
        fleet.set_link_fault(NON_VOTER, voter, NO_FAULT);
    }
    drain_and_restart(&mut fleet, NON_VOTER, 0, ticket);
}

#[test]
fn abandoning_an_overdue_ticket_frees_its_slot() {
    let mut fleet = Fleet::start_bootstrapped(FOUR_MEMBERS);
    let (code, output, errors) =
        fleet.run_command(0, &["work", "ask", "--server", "n4", "--for", "1s", "--json"]);
    assert_eq!(code, 0, "{errors}");
    assert_eq!(output.split_whitespace().collect::<String>(), "[1]");
    assert_eq!(fleet.wait_for_exit(NON_VOTER), Some(0));
    wait_for_stage(&fleet, 0, 1, "Overdue");
    let second = fleet.request_ticket(0, 2);
    assert!(
        fleet.run_command(0, &["explain", "n3"]).1.contains("2 servers would be out at once, the limit is 1")
    );
    expect_success(&fleet, 0, &["work", "write-off", "1"]);
    // The ticket can be abandoned only once.
    expect_rejection(&fleet, 0, &["work", "write-off", "1"]);
    assert!(fleet.is_running(2));
    // A server that returns after its ticket was abandoned has no ticket and takes no slot.
    fleet.start_member(NON_VOTER);
    drain_and_restart(&mut fleet, 2, 0, second);
}

#[test]
fn a_voter_with_an_empty_state_directory_rejoins_as_a_new_replica() {
    let mut fleet = Fleet::start_bootstrapped(FOUR_MEMBERS);
    let index = fleet.status(0)["index"].as_u64();
    fleet.kill(1);
    fleet.delete_data_directory(1);
    fleet.start_member(1);
    fleet.wait_until("n2 is a voter again", |fleet| {
        let status = fleet.status(1);
        let votes =
            status["members"][1]["voter"] == true && status["voters"].as_array().map(Vec::len) == Some(3);
        votes && status["index"].as_u64() > index
    });
    let ticket = fleet.request_ticket(1, NON_VOTER);
    drain_and_restart(&mut fleet, NON_VOTER, 0, ticket);
}

#[test]
fn a_voter_with_a_full_disk_serves_and_later_rejoins() {
    let mut fleet = Fleet::start_bootstrapped(FOUR_MEMBERS);
    let leader = fleet.leader(0).unwrap();
    let observer = (leader + 1) % 3;
    fleet.set_disk_full(leader, true);
    let ticket = fleet.request_ticket(observer, NON_VOTER);
    wait_for_new_leader(&fleet, observer, leader);
    expect_serving(&fleet, leader);
    drain_and_restart(&mut fleet, NON_VOTER, observer, ticket);
    fleet.set_disk_full(leader, false);
    fleet.wait_until("the former leader follows a leader again", |fleet| {
        fleet.local_status(leader)["fault"].is_null() && fleet.local_status(leader)["leader"].is_string()
    });
}

#[test]
fn all_voters_resume_after_a_simultaneous_restart() {
    let mut fleet = Fleet::start_bootstrapped(FOUR_MEMBERS);
    expect_success(&fleet, 0, &["work", "pause", "a", "release"]);
    let ticket = fleet.request_ticket(0, NON_VOTER);
    for voter in VOTERS {
        fleet.kill(voter);
    }
    expect_serving(&fleet, NON_VOTER);
    for voter in VOTERS {
        fleet.start_member(voter);
    }
    wait_for_stage(&fleet, 1, ticket, "Asked");
    assert_eq!(fleet.status(1)["paused"], "a release");
    expect_success(&fleet, 2, &["work", "resume"]);
    drain_and_restart(&mut fleet, NON_VOTER, 1, ticket);
}

#[test]
fn the_leader_transfers_leadership_before_its_own_maintenance() {
    let mut fleet = Fleet::start_bootstrapped(FOUR_MEMBERS);
    let leader = fleet.leader(0).unwrap();
    let observer = (leader + 1) % 3;
    let ticket = fleet.request_ticket(observer, leader);
    drain_and_restart(&mut fleet, leader, observer, ticket);
    assert_ne!(fleet.leader(observer), Some(leader));
}

#[test]
fn malformed_or_foreign_messages_close_only_their_connection() {
    let mut fleet = Fleet::start_bootstrapped(Plan::default());
    let mut other = fleet.members[1].fixture.config.clone();
    other["name"] = "n9".into();
    let messages: [Vec<u8>; 3] = [
        [&9u32.to_be_bytes()[..], &[0xFF; 9]].concat(),
        [&u32::MAX.to_be_bytes()[..], &[0; 64]].concat(),
        // The first field, the fleet name, is that of another fleet.
        [&6u32.to_be_bytes()[..], &[5], b"other"].concat(),
    ];
    for bytes in messages {
        let mut connection = TcpStream::connect(fleet.members[0].address).unwrap();
        connection.set_read_timeout(Some(RESPONSE_TIMEOUT)).unwrap();
        connection.write_all(&bytes).unwrap();
        assert_eq!(connection.read(&mut [0; 1]).unwrap_or(0), 0, "the server closes the connection");
    }
    // An incomplete message does not delay other connections.
    let mut incomplete = TcpStream::connect(fleet.members[0].address).unwrap();
    incomplete.write_all(&[0, 0]).unwrap();
    let ticket = fleet.request_ticket(0, 1);
    drain_and_restart(&mut fleet, 1, 0, ticket);
}

#[test]
fn sigterm_needs_no_ticket_and_bootstrap_runs_once() {
    let mut fleet = Fleet::start_bootstrapped(FOUR_MEMBERS);
    for member in [0, 1, NON_VOTER] {
        expect_rejection(&fleet, member, &["found"]);
    }
    fleet.members[NON_VOTER].fixture.terminate();
    assert_eq!(fleet.wait_for_exit(NON_VOTER), Some(0));
    fleet.wait_until("the exit is counted", |fleet| fleet.status(0)["unasked"] == 1);
    let ticket = fleet.request_ticket(0, 2);
    assert!(fleet.is_running(2) && fleet.stage(0, ticket) == "Asked");
    fleet.start_member(NON_VOTER);
    drain_and_restart(&mut fleet, 2, 0, ticket);
}

#[test]
fn tickets_complete_over_faulty_links() {
    let mut fleet = Fleet::start_bootstrapped(FOUR_MEMBERS);
    fleet.set_fault_on_all_links(LOSSY);
    for server in [NON_VOTER, 1] {
        let ticket = fleet.request_ticket(0, server);
        drain_and_restart(&mut fleet, server, 0, ticket);
    }
}
