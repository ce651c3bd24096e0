//! Several servers that settle among themselves who is out for work, with faults between them. Judged by their processes,
//! by their gateways' ports and by what the operators' commands print.

use std::io::{Read, Write};
use std::net::TcpStream;
use std::os::unix::fs::PermissionsExt;

use loomflow_test_servers::fleet::{Fleet, Plan};
use loomflow_test_servers::health;
use loomflow_test_servers::relay::LinkFault;

const CUT: LinkFault = LinkFault {
    is_cut: true,
    is_stalled: false,
    lost: 0.0,
    duplicated: 0.0,
    reordered: 0.0,
    delay: std::time::Duration::ZERO,
};
const STALLED: LinkFault = LinkFault { is_cut: false, is_stalled: true, ..CUT };
const NONE: LinkFault = LinkFault { is_cut: false, ..CUT };

/// Three voters and one more; one may be out.
const FOUR: Plan = Plan {
    members: 4,
    zones: 1,
    extra: "  begin_within_s: 2\n  warm_for_s: 1\n",
    cores: 4,
    work: std::time::Duration::from_millis(5),
    seed: 1,
};
/// Two may be out.
const FOUR_TWO: Plan = Plan { extra: "  begin_within_s: 2\n  warm_for_s: 1\n  out: {count: 2}\n", ..FOUR };

fn comes_to(fleet: &Fleet, by: usize, ticket: u64, stage: &str) {
    fleet.wait_until(&format!("ticket {ticket} is {stage}"), |fleet| fleet.stage(by, ticket) == stage);
}

/// A machine's turn from its end to its return.
fn goes_and_returns(fleet: &mut Fleet, one: usize, by: usize, ticket: u64) {
    assert_eq!(fleet.wait_for_exit(one), Some(0), "{}", fleet.diagnostics());
    fleet.start_member(one);
    comes_to(fleet, by, ticket, "Done");
}

fn is_up(fleet: &Fleet, one: usize) {
    let mut gateway = fleet.members[one].fixture.gateway();
    gateway.send(&health(1, false));
    assert_eq!(gateway.response().status, "UP");
}

#[test]
fn a_server_drains_for_maintenance_and_returns_and_a_script_can_wait_for_it() {
    let mut fleet = Fleet::start_bootstrapped(Plan::default());
    assert_eq!(fleet.run_command(0, &["work", "wait", "--server", "n2"]).0, 3, "it has no ticket");
    let ticket = fleet.request_ticket(0, 1);
    assert_eq!(fleet.run_command(0, &["work", "wait", "--server", "n2"]).0, 0);
    assert_eq!(fleet.wait_for_exit(1), Some(0));
    comes_to(&fleet, 0, ticket, "Out");
    fleet.start_member(1);
    comes_to(&fleet, 0, ticket, "Done");
    assert!(fleet.is_running(0) && fleet.is_running(1) && fleet.is_running(2));
    let socket = fleet.members[0].state.with_extension("sock");
    assert_eq!(std::fs::metadata(socket).unwrap().permissions().mode() & 0o777, 0o600);
}

#[test]
fn a_leader_killed_between_grant_and_notification_loses_nothing() {
    let mut fleet = Fleet::start_bootstrapped(FOUR);
    (0..3).for_each(|voter| fleet.set_link_fault(voter, 3, CUT));
    let ticket = fleet.request_ticket(0, 3);
    comes_to(&fleet, 0, ticket, "Granted");
    let leader = fleet.leader(0).unwrap();
    fleet.kill(leader);
    (0..3).for_each(|voter| fleet.set_link_fault(voter, 3, NONE));
    let by = (leader + 1) % 3;
    // The dead one takes the only place until it is back.
    fleet.wait_until("another leads", |fleet| fleet.leader(by).is_some_and(|now| now != leader));
    fleet.start_member(leader);
    goes_and_returns(&mut fleet, 3, by, ticket);
}

#[test]
fn a_late_or_repeated_grant_has_no_effect_once_it_lapsed() {
    let mut fleet = Fleet::start_bootstrapped(FOUR_TWO);
    (0..3).for_each(|voter| fleet.set_link_fault(voter, 3, STALLED));
    let ticket = fleet.request_ticket(0, 3);
    comes_to(&fleet, 0, ticket, "Granted");
    fleet.wait_until("the grant lapses", |fleet| fleet.stage(0, ticket) != "Granted");
    assert_eq!(fleet.run_command(0, &["work", "withdraw", &ticket.to_string()]).0, 0);
    let other = fleet.request_ticket(0, 2);
    assert_eq!(fleet.wait_for_exit(2), Some(0));
    // Everything that was held back arrives, and then arrives once more.
    (0..3).for_each(|voter| fleet.set_link_fault(voter, 3, NONE));
    (0..2).for_each(|voter| fleet.replay_messages(voter, 3));
    fleet.wait_until("it is seen to serve", |fleet| {
        let status = fleet.status(0);
        let members = status["members"].as_array().cloned().unwrap_or_default();
        members.iter().any(|member| member["name"] == "n4" && member["standing"] == "Serving")
    });
    assert!(fleet.is_running(3), "{}", fleet.diagnostics());
    is_up(&fleet, 3);
    fleet.start_member(2);
    comes_to(&fleet, 0, other, "Done");
    assert!(fleet.is_running(3) && fleet.stage(0, ticket) == "Withdrawn", "{}", fleet.diagnostics());
}

#[test]
fn a_server_paused_past_its_grant_keeps_serving() {
    let mut fleet = Fleet::start_bootstrapped(FOUR_TWO);
    (0..3).for_each(|voter| fleet.set_link_fault(voter, 3, STALLED));
    let ticket = fleet.request_ticket(0, 3);
    comes_to(&fleet, 0, ticket, "Granted");
    fleet.pause(3);
    // The grant lies in its sockets while it stands still.
    (0..3).for_each(|voter| fleet.set_link_fault(voter, 3, NONE));
    fleet.wait_until("the grant lapses", |fleet| fleet.stage(0, ticket) != "Granted");
    assert_eq!(fleet.run_command(0, &["work", "withdraw", &ticket.to_string()]).0, 0);
    fleet.resume(3);
    let other = fleet.request_ticket(0, 2);
    goes_and_returns(&mut fleet, 2, 0, other);
    assert!(fleet.is_running(3), "{}", fleet.diagnostics());
    is_up(&fleet, 3);
}

#[test]
fn a_server_paused_while_draining_keeps_its_slot_until_it_is_back() {
    let mut fleet = Fleet::start_bootstrapped(FOUR);
    let first = fleet.request_ticket(0, 3);
    fleet.wait_until("it begins", |fleet| {
        matches!(fleet.stage(0, first).as_str(), "Begun" | "Draining" | "Out")
    });
    if fleet.is_running(3) {
        fleet.pause(3);
        let second = fleet.request_ticket(0, 2);
        fleet.wait_until("it is seen to be gone", |fleet| fleet.stage(0, first) == "Out");
        assert!(fleet.is_running(2), "{}", fleet.diagnostics());
        fleet.resume(3);
        goes_and_returns(&mut fleet, 3, 0, first);
        goes_and_returns(&mut fleet, 2, 0, second);
    } else {
        goes_and_returns(&mut fleet, 3, 0, first);
    }
}

#[test]
fn a_minority_partition_serves_and_grants_nothing() {
    let mut fleet = Fleet::start_bootstrapped(FOUR_TWO);
    let leader = fleet.leader(0).unwrap();
    let others: Vec<usize> = (0..3).filter(|voter| *voter != leader).collect();
    fleet.isolate(&[leader, 3], CUT);
    fleet.wait_until("the majority has another leader", |fleet| {
        fleet.leader(others[0]).is_some_and(|now| now != leader)
    });
    // Asked on the wrong side: no leader is there.
    assert_eq!(fleet.run_command(leader, &["work", "ask", "--server", "n4"]).0, 1);
    is_up(&fleet, leader);
    is_up(&fleet, 3);
    assert!(fleet.is_running(3));
    fleet.isolate(&[leader, 3], NONE);
    let ticket = fleet.request_ticket(leader, 3);
    goes_and_returns(&mut fleet, 3, others[0], ticket);
}

#[test]
fn a_server_that_cannot_send_is_not_granted() {
    let mut fleet = Fleet::start_bootstrapped(FOUR_TWO);
    (0..3).for_each(|voter| fleet.set_link_fault(3, voter, CUT));
    fleet.wait_until("it is not seen", |fleet| {
        let (_, told, _) = fleet.run_command(0, &["explain", "n4", "--json"]);
        !told.contains("Serving") || fleet.status(0)["members"][3]["age"].as_u64() > Some(4_000)
    });
    let ticket = fleet.request_ticket(0, 3);
    let (code, told, _) = fleet.run_command(0, &["explain", "n4"]);
    assert!(code == 0 && told.contains("WAITS"), "{told}");
    assert!(fleet.is_running(3) && fleet.stage(0, ticket) == "Asked", "{}", fleet.diagnostics());
    (0..3).for_each(|voter| fleet.set_link_fault(3, voter, NONE));
    goes_and_returns(&mut fleet, 3, 0, ticket);
}

#[test]
fn an_overdue_server_frees_its_slot_when_it_is_abandoned() {
    let mut fleet = Fleet::start_bootstrapped(FOUR);
    let (code, told, errors) =
        fleet.run_command(0, &["work", "ask", "--server", "n4", "--for", "1s", "--json"]);
    assert_eq!(code, 0, "{errors}");
    assert_eq!(told.split_whitespace().collect::<String>(), "[1]");
    assert_eq!(fleet.wait_for_exit(3), Some(0));
    comes_to(&fleet, 0, 1, "Overdue");
    let second = fleet.request_ticket(0, 2);
    assert!(fleet.run_command(0, &["explain", "n3"]).1.contains("2 would be out at once, 1 may be"));
    assert_eq!(fleet.run_command(0, &["work", "write-off", "1"]).0, 0);
    assert_eq!(fleet.run_command(0, &["work", "write-off", "1"]).0, 1, "once");
    assert!(fleet.is_running(2));
    // Back under no ticket, it counts no more.
    fleet.start_member(3);
    goes_and_returns(&mut fleet, 2, 0, second);
}

#[test]
fn a_voter_with_an_empty_state_directory_rejoins_as_a_new_replica() {
    let mut fleet = Fleet::start_bootstrapped(FOUR);
    let index = fleet.status(0)["index"].as_u64();
    fleet.kill(1);
    fleet.delete_data_directory(1);
    fleet.start_member(1);
    fleet.wait_until("it is let in", |fleet| {
        let status = fleet.status(1);
        let votes =
            status["members"][1]["voter"] == true && status["voters"].as_array().map(Vec::len) == Some(3);
        votes && status["index"].as_u64() > index
    });
    let ticket = fleet.request_ticket(1, 3);
    goes_and_returns(&mut fleet, 3, 0, ticket);
}

#[test]
fn a_voter_with_a_full_disk_serves_and_votes_again_once_it_can_write() {
    let mut fleet = Fleet::start_bootstrapped(FOUR);
    let leader = fleet.leader(0).unwrap();
    let by = (leader + 1) % 3;
    fleet.fill_disk(leader, true);
    let ticket = fleet.request_ticket(by, 3);
    fleet.wait_until("another leads", |fleet| fleet.leader(by).is_some_and(|now| now != leader));
    is_up(&fleet, leader);
    goes_and_returns(&mut fleet, 3, by, ticket);
    fleet.fill_disk(leader, false);
    fleet.wait_until("it takes part again", |fleet| {
        fleet.local_status(leader)["fault"].is_null() && fleet.local_status(leader)["leader"].is_string()
    });
}

#[test]
fn all_voters_resume_after_a_simultaneous_restart() {
    let mut fleet = Fleet::start_bootstrapped(FOUR);
    assert_eq!(fleet.run_command(0, &["work", "pause", "a", "release"]).0, 0);
    let ticket = fleet.request_ticket(0, 3);
    (0..3).for_each(|voter| fleet.kill(voter));
    is_up(&fleet, 3);
    (0..3).for_each(|voter| fleet.start_member(voter));
    fleet.wait_until("it is known again", |fleet| fleet.stage(1, ticket) == "Asked");
    assert_eq!(fleet.status(1)["paused"], "a release");
    assert_eq!(fleet.run_command(2, &["work", "resume"]).0, 0);
    goes_and_returns(&mut fleet, 3, 1, ticket);
}

#[test]
fn the_leader_transfers_leadership_before_its_own_maintenance() {
    let mut fleet = Fleet::start_bootstrapped(FOUR);
    let leader = fleet.leader(0).unwrap();
    let by = (leader + 1) % 3;
    let ticket = fleet.request_ticket(by, leader);
    goes_and_returns(&mut fleet, leader, by, ticket);
    assert_ne!(fleet.leader(by), Some(leader));
}

#[test]
fn malformed_or_foreign_messages_close_only_their_connection() {
    let mut fleet = Fleet::start_bootstrapped(Plan::default());
    let mut other = fleet.members[1].fixture.config.clone();
    other["name"] = "n9".into();
    let said: [Vec<u8>; 3] = [
        [&9u32.to_be_bytes()[..], &[0xFF; 9]].concat(),
        [&u32::MAX.to_be_bytes()[..], &[0; 64]].concat(),
        // A message of a fleet of another name, by its first field.
        [&6u32.to_be_bytes()[..], &[5], b"other"].concat(),
    ];
    for bytes in said {
        let mut link = TcpStream::connect(fleet.members[0].address).unwrap();
        link.set_read_timeout(Some(loomflow_test_servers::RESPONSE_TIMEOUT)).unwrap();
        link.write_all(&bytes).unwrap();
        assert_eq!(link.read(&mut [0; 1]).unwrap_or(0), 0, "the link is ended");
    }
    // Half a message and silence hold nobody up.
    let mut half = TcpStream::connect(fleet.members[0].address).unwrap();
    half.write_all(&[0, 0]).unwrap();
    let ticket = fleet.request_ticket(0, 1);
    goes_and_returns(&mut fleet, 1, 0, ticket);
}

#[test]
fn sigterm_without_a_ticket_is_obeyed_and_a_second_bootstrap_is_rejected() {
    let mut fleet = Fleet::start_bootstrapped(FOUR);
    assert_eq!(fleet.run_command(0, &["found"]).0, 1);
    assert_eq!(fleet.run_command(1, &["found"]).0, 1);
    assert_eq!(fleet.run_command(3, &["found"]).0, 1, "not a voter");
    fleet.members[3].fixture.terminate();
    assert_eq!(fleet.wait_for_exit(3), Some(0));
    fleet.wait_until("it is counted", |fleet| fleet.status(0)["unasked"] == 1);
    let ticket = fleet.request_ticket(0, 2);
    assert!(fleet.is_running(2) && fleet.stage(0, ticket) == "Asked");
    fleet.start_member(3);
    goes_and_returns(&mut fleet, 2, 0, ticket);
}

#[test]
fn every_server_is_maintained_once_over_lossy_duplicating_reordering_links() {
    let mut fleet = Fleet::start_bootstrapped(FOUR);
    let bad = LinkFault {
        lost: 0.1,
        duplicated: 0.2,
        reordered: 0.2,
        delay: std::time::Duration::from_millis(20),
        ..NONE
    };
    fleet.set_fault_on_all_links(bad);
    for server in [3, 1] {
        let ticket = fleet.request_ticket(0, server);
        goes_and_returns(&mut fleet, server, 0, ticket);
    }
}
