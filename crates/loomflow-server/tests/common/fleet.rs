//! Fleet plans, link faults and test steps for fleets of server processes.

use std::time::Duration;

use loomflow_test_servers::fleet::{Fleet, Plan};
use loomflow_test_servers::relay::LinkFault;
use serde_json::Value;

use super::idle_gateway;

/// Delivers every message at once and unchanged.
pub const NO_FAULT: LinkFault = LinkFault {
    is_cut: false,
    is_stalled: false,
    lost: 0.0,
    duplicated: 0.0,
    reordered: 0.0,
    delay: Duration::ZERO,
};
/// Drops every message.
pub const PARTITIONED: LinkFault = LinkFault { is_cut: true, ..NO_FAULT };
/// Holds every message back until the fault is removed.
pub const STALLED: LinkFault = LinkFault { is_stalled: true, ..NO_FAULT };
/// Delays every message by 20 ms; loses 10 %, duplicates 20 % and reorders 20 % of them.
pub const LOSSY: LinkFault =
    LinkFault { lost: 0.1, duplicated: 0.2, reordered: 0.2, delay: Duration::from_millis(20), ..NO_FAULT };

/// Three voters and one non-voter; one server may be out of service at a time.
pub const FOUR_MEMBERS: Plan = Plan {
    members: 4,
    zones: 1,
    extra: "  begin_within_s: 2\n  warm_for_s: 1\n",
    cores: 4,
    work: Duration::from_millis(5),
    seed: 1,
};
/// Indices of the voters.
pub const VOTERS: [usize; 3] = [0, 1, 2];
/// Index of the member that does not vote.
pub const NON_VOTER: usize = 3;

/// Parses the JSON output of a command; null if it is not JSON.
pub fn json(output: &str) -> Value {
    serde_json::from_str(output).unwrap_or(Value::Null)
}

/// Expects that an operator's command exits with 0.
pub fn expect_success(fleet: &Fleet, member: usize, args: &[&str]) {
    let (code, output, errors) = fleet.run_command(member, args);
    assert_eq!(code, 0, "{args:?}: {output}{errors}");
}

/// Expects that an operator's command exits with 1.
pub fn expect_rejection(fleet: &Fleet, member: usize, args: &[&str]) {
    let (code, output, errors) = fleet.run_command(member, args);
    assert_eq!(code, 1, "{args:?}: {output}{errors}");
}

/// Sets the fault on the links from all voters to a member.
pub fn set_faults_from_voters(fleet: &mut Fleet, member: usize, fault: LinkFault) {
    for voter in VOTERS {
        fleet.set_link_fault(voter, member, fault);
    }
}

/// Waits until `observer` reports that a ticket has reached a stage.
pub fn wait_for_stage(fleet: &Fleet, observer: usize, ticket: u64, stage: &str) {
    let condition = format!("ticket {ticket} is {stage}");
    fleet.wait_until(&condition, |fleet| fleet.stage(observer, ticket) == stage);
}

/// Waits until `observer` reports a leader other than `former`.
pub fn wait_for_new_leader(fleet: &Fleet, observer: usize, former: usize) {
    fleet.wait_until("another member leads", |fleet| {
        fleet.leader(observer).is_some_and(|leader| leader != former)
    });
}

/// Waits until a server exits for its ticket, restarts it, and waits until the ticket is done.
pub fn drain_and_restart(fleet: &mut Fleet, member: usize, observer: usize, ticket: u64) {
    assert_eq!(fleet.wait_for_exit(member), Some(0), "{}", fleet.diagnostics());
    fleet.start_member(member);
    wait_for_stage(fleet, observer, ticket, "Done");
}

/// Expects that a member serves gateways.
pub fn expect_serving(fleet: &Fleet, member: usize) {
    idle_gateway(&fleet.members[member].fixture);
}

/// The owner of a duty as `observer` reports it.
pub fn owner(fleet: &Fleet, observer: usize, duty: &str) -> Option<usize> {
    let (_, output, _) = fleet.run_command(observer, &["duty", "show", duty, "--json"]);
    let number: usize = json(&output)["owner"]["name"].as_str()?.strip_prefix('n')?.parse().ok()?;
    Some(number - 1)
}

/// Waits until `observer` reports an owner of a duty; returns the owner.
pub fn wait_for_owner(fleet: &Fleet, observer: usize, duty: &str) -> usize {
    fleet.wait_until("the duty has an owner", |fleet| owner(fleet, observer, duty).is_some());
    owner(fleet, observer, duty).expect("the duty still has an owner")
}

/// Waits until `observer` reports an owner of a duty other than `former`.
pub fn wait_for_new_owner(fleet: &Fleet, observer: usize, duty: &str, former: usize) {
    fleet.wait_until("another member owns the duty", |fleet| {
        owner(fleet, observer, duty).is_some_and(|owner| owner != former)
    });
}
