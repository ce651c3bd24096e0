//! The release of duties whose work takes long to end, in fleets of server processes. The tests observe the order of the lines
//! that the processes which do the work write.

mod common;

use std::process::Child;

use common::fleet::*;
use loomflow_test_servers::fleet::{Fleet, Plan};

/// A duty without a program, and one whose job goes on for 6 s after SIGTERM, less than half a lease. A process queries
/// ownership every 2.4 s, a tenth of the lease.
const LONG_LEASE: &str = r#"
  begin_within_s: 5
  warm_for_s: 1
  duties:
    lease_s: 24
    programs: true
    jobs:
      - {name: by-hand}
      - name: slow
        run:
          - sh
          - -c
          - |
            trap 'is_stopped=1' TERM
            echo "began $LOOMFLOW_TOKEN" >> "$LOOMFLOW_TEST_FOLDER/lines"
            until [ "$is_stopped" ]; do sleep 0.1; done
            sleep 6
            echo "ended $LOOMFLOW_TOKEN" >> "$LOOMFLOW_TEST_FOLDER/lines"
"#;

const PLAN: Plan = Plan { extra: LONG_LEASE, ..FOUR_MEMBERS };

fn lines(fleet: &Fleet) -> Vec<String> {
    let text = std::fs::read_to_string(fleet.directory().join("lines")).unwrap_or_default();
    text.lines().map(str::to_owned).collect()
}

fn wait_for_lines(fleet: &Fleet, count: usize) -> Vec<String> {
    fleet.wait_until(&format!("{count} lines are written"), |fleet| lines(fleet).len() >= count);
    lines(fleet)
}

/// Guards against a duty that is released while the process of its run is alive, because that process had not queried
/// ownership for 2 s.
#[test]
fn a_recalled_duty_is_kept_until_the_process_of_its_run_has_ended() {
    let fleet = Fleet::start_bootstrapped(PLAN);
    wait_for_owner(&fleet, 0, "slow");
    expect_success(&fleet, 0, &["duty", "start", "slow"]);
    let first = wait_for_lines(&fleet, 1).remove(0);
    expect_success(&fleet, 0, &["duty", "release", "slow"]);
    let lines = wait_for_lines(&fleet, 2);
    assert_eq!(lines[1], first.replace("began", "ended"), "{lines:?}\n{}", fleet.diagnostics());
}

/// Starts a process that does the work of `by-hand` and ends `seconds` after SIGTERM. Writes a line when it has begun and one
/// when it ends.
fn start_work(fleet: &Fleet, owner: usize, name: &str, seconds: u32) -> Child {
    let count = lines(fleet).len();
    let script = format!(
        "trap 'is_stopped=1' TERM; echo 'began {name}' >> {lines}; until [ \"$is_stopped\" ]; do sleep 0.1; done; \
         sleep {seconds}; echo 'ended {name}' >> {lines}",
        lines = fleet.directory().join("lines").display()
    );
    let process = fleet.spawn(owner, &["duty", "run", "by-hand"], &["sh", "-c", &script]);
    wait_for_lines(fleet, count + 1);
    process
}

/// Guards against a duty that is released when the first of two processes that do its work reports its end, or when the
/// second has not queried ownership for 2 s.
#[test]
fn a_recalled_duty_is_kept_until_all_processes_that_do_its_work_have_ended() {
    let fleet = Fleet::start_bootstrapped(PLAN);
    let former = wait_for_owner(&fleet, 0, "by-hand");
    let mut processes = [start_work(&fleet, former, "short", 0), start_work(&fleet, former, "long", 6)];
    expect_success(&fleet, 0, &["duty", "release", "by-hand"]);
    wait_for_new_owner(&fleet, 0, "by-hand", former);
    let lines = lines(&fleet);
    assert_eq!(lines[2..], ["ended short", "ended long"], "{}", fleet.diagnostics());
    let codes = processes.each_mut().map(|process| process.wait().expect("the process ends").code());
    assert_eq!(codes, [Some(0), Some(0)]);
}
