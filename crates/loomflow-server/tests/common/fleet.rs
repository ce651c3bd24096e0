//! Plans, link faults and steps of the tests with a fleet of server processes.

use std::time::Duration;

use loomflow_test_servers::fleet::{Fleet, Plan};
use loomflow_test_servers::relay::LinkFault;
use serde_json::Value;

use super::idle_gateway;

/// Messages pass unchanged.
pub const NO_FAULT: LinkFault = LinkFault {
    is_cut: false,
    is_stalled: false,
    lost: 0.0,
    duplicated: 0.0,
    reordered: 0.0,
    delay: Duration::ZERO,
};
/// Messages are dropped.
pub const PARTITIONED: LinkFault = LinkFault { is_cut: true, ..NO_FAULT };
/// Messages are held back.
pub const STALLED: LinkFault = LinkFault { is_stalled: true, ..NO_FAULT };
/// Messages are late, and some are lost, duplicated or reordered.
pub const LOSSY: LinkFault =
    LinkFault { lost: 0.1, duplicated: 0.2, reordered: 0.2, delay: Duration::from_millis(20), ..NO_FAULT };

/// Three voters and one more server; one may be out.
pub const FOUR_MEMBERS: Plan = Plan {
    members: 4,
    zones: 1,
    extra: "  begin_within_s: 2\n  warm_for_s: 1\n",
    cores: 4,
    work: Duration::from_millis(5),
    seed: 1,
};
/// The members that vote.
pub const VOTERS: [usize; 3] = [0, 1, 2];
/// The member that does not vote.
pub const NON_VOTER: usize = 3;

/// The JSON that a command printed; null if it printed none.
pub fn json(output: &str) -> Value {
    serde_json::from_str(output).unwrap_or(Value::Null)
}

/// Expects that a command of the operators succeeds.
pub fn expect_success(fleet: &Fleet, member: usize, words: &[&str]) {
    let (code, output, errors) = fleet.run_command(member, words);
    assert_eq!(code, 0, "{words:?}: {output}{errors}");
}

/// Expects that a command of the operators fails.
pub fn expect_rejection(fleet: &Fleet, member: usize, words: &[&str]) {
    let (code, output, errors) = fleet.run_command(member, words);
    assert_eq!(code, 1, "{words:?}: {output}{errors}");
}

/// Sets the fault of the links from each voter to a member.
pub fn set_faults_from_voters(fleet: &mut Fleet, member: usize, fault: LinkFault) {
    for voter in VOTERS {
        fleet.set_link_fault(voter, member, fault);
    }
}

/// Waits until a ticket has a stage, as a member reports it.
pub fn wait_for_stage(fleet: &Fleet, observer: usize, ticket: u64, stage: &str) {
    let condition = format!("ticket {ticket} is {stage}");
    fleet.wait_until(&condition, |fleet| fleet.stage(observer, ticket) == stage);
}

/// Waits until a member reports another leader than the former one.
pub fn wait_for_new_leader(fleet: &Fleet, observer: usize, former: usize) {
    fleet.wait_until("another member leads", |fleet| {
        fleet.leader(observer).is_some_and(|leader| leader != former)
    });
}

/// Waits until a server has drained for its ticket, restarts it, and waits until the ticket is done.
pub fn drain_and_restart(fleet: &mut Fleet, member: usize, observer: usize, ticket: u64) {
    assert_eq!(fleet.wait_for_exit(member), Some(0), "{}", fleet.diagnostics());
    fleet.start_member(member);
    wait_for_stage(fleet, observer, ticket, "Done");
}

/// Expects that a member serves gateways.
pub fn expect_serving(fleet: &Fleet, member: usize) {
    idle_gateway(&fleet.members[member].fixture);
}
