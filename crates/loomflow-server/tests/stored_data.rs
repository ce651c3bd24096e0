//! The program reads the data that an earlier build stored, and continues from it: the state directories of a fleet's
//! members, with their duties, and a fence file.
//!
//! `stored_data/` was written by the build of commit a2e1c2e:
//!
//!     PROGRAM=target/release/loomflow cargo test -p loomflow-server --test stored_data -- --ignored record

use std::path::{Path, PathBuf};

use loomflow_test_servers::fleet::{Fleet, Plan};
use serde_json::Value;

/// Options with a duty whose job appends its token to the file `lines` every 50 ms, behind the fence.
const WRITER_DUTY: &str = r#"
  begin_within_s: 5
  warm_for_s: 1
  duties:
    lease_s: 2
    programs: true
    jobs:
      - name: writes
        every: 1s
        run:
          - sh
          - -c
          - |
            while :; do
              "$LOOMFLOW_TEST_PROGRAM" fleet fence "$LOOMFLOW_TEST_FOLDER/fence" --duty $LOOMFLOW_DUTY \
                --token $LOOMFLOW_TOKEN -- sh -c 'echo $LOOMFLOW_TOKEN >> "$LOOMFLOW_TEST_FOLDER/lines"' || exit 9
              sleep 0.05
            done
"#;

const PLAN: Plan = Plan {
    members: 3,
    zones: 1,
    extra: WRITER_DUTY,
    cores: 4,
    work: std::time::Duration::from_millis(5),
    seed: 1,
};
const FILES: [&str; 5] = ["n1/fleet.redb", "n2/fleet.redb", "n3/fleet.redb", "fence", "lines"];
const PAUSE_REASON: &str = "a release of a2e1c2e";
/// A token below every one that the stored fence has let pass.
const STALE_TOKEN: &str = "1";

fn stored_path(name: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/stored_data").join(name)
}

fn copy(from: &Path, to: &Path) {
    std::fs::create_dir_all(to.parent().expect("the path has a parent")).expect("the directory is created");
    std::fs::copy(from, to).expect("the file is copied");
}

/// Starts a fleet of this build from the stored data.
fn start_restored() -> Fleet {
    let restore =
        |directory: &Path| FILES.iter().for_each(|name| copy(&stored_path(name), &directory.join(name)));
    Fleet::start_from(PLAN, &loomflow_test_servers::program(), restore)
}

/// The highest token that was written to `lines`.
fn highest_token(directory: &Path) -> u64 {
    let lines = std::fs::read_to_string(directory.join("lines")).unwrap_or_default();
    lines.lines().filter_map(|line| line.parse().ok()).max().unwrap_or(0)
}

fn json(output: &str) -> Value {
    serde_json::from_str(output).unwrap_or(Value::Null)
}

/// Runs `echo done` behind the duty's fence; returns the exit code, standard output and standard error.
fn fence(fleet: &Fleet, token: &str) -> (i32, String, String) {
    let file = fleet.directory().join("fence");
    let file = file.to_str().expect("the path is UTF-8");
    let program = loomflow_test_servers::program();
    let args = ["fleet", "fence", file, "--duty", "writes", "--token", token, "--", "echo", "done"];
    let output = std::process::Command::new(program).args(args).output().expect("the program runs");
    let text = |bytes: &[u8]| String::from_utf8_lossy(bytes).into_owned();
    (output.status.code().unwrap_or(-1), text(&output.stdout), text(&output.stderr))
}

#[test]
#[ignore = "writes the fixture; see the head of this file"]
fn record() {
    let program = PathBuf::from(
        std::env::var("PROGRAM").expect("PROGRAM is the path of the program that stores the data"),
    );
    let mut fleet = Fleet::start_with(PLAN, &program).bootstrap(PLAN);
    fleet.wait_until("the duty writes", |fleet| highest_token(fleet.directory()) > 0);
    let first = highest_token(fleet.directory());
    assert_eq!(fleet.run_command(0, &["duty", "release", "writes"]).0, 0);
    fleet.wait_until("a second owner writes", |fleet| highest_token(fleet.directory()) > first);
    assert_eq!(fleet.run_command(0, &["work", "pause", PAUSE_REASON]).0, 0);
    assert_eq!(fleet.request_ticket(0, 2), 1);
    assert_eq!(fleet.run_command(0, &["duty", "park", "writes", "looked at"]).0, 0);
    fleet.wait_until("the duty is parked", |fleet| duty(fleet)["owner"].is_null());
    (0..3).for_each(|member| fleet.kill(member));
    for name in FILES {
        copy(&fleet.directory().join(name), &stored_path(name));
    }
}

/// The row of the duty in `duty show`, as JSON.
fn duty(fleet: &Fleet) -> Value {
    json(&fleet.run_command(0, &["duty", "show", "writes", "--json"]).1)
}

#[test]
fn a_fleet_resumes_from_data_of_an_earlier_build() {
    let mut fleet = start_restored();
    let before = highest_token(fleet.directory());
    fleet.wait_until("the fleet has a leader", |fleet| fleet.status(0)["paused"] == PAUSE_REASON);
    assert_eq!(fleet.run_command(0, &["found"]).0, 1, "`found` succeeded although the fleet exists");
    assert_eq!(fleet.stage(0, 1), "Asked");
    let row = duty(&fleet);
    assert_eq!(row["token"].as_u64(), Some(before), "{row}");
    assert_eq!(row["parked"], "looked at", "{row}");
    // The stored ticket, number 1, is granted, and the next ticket gets number 2.
    assert_eq!(fleet.run_command(0, &["work", "resume"]).0, 0);
    assert_eq!(fleet.wait_for_exit(2), Some(0));
    assert_eq!(fleet.request_ticket(0, 1), 2);
    // The duty gets an owner under a later token.
    assert_eq!(fleet.run_command(0, &["duty", "resume", "writes"]).0, 0);
    fleet.wait_until("a later owner writes", |fleet| highest_token(fleet.directory()) > before);
}

#[test]
fn a_stored_fence_rejects_a_stale_token() {
    let fleet = start_restored();
    let highest = highest_token(fleet.directory());
    let (code, output, errors) = fence(&fleet, STALE_TOKEN);
    let message =
        format!("loomflow: writes: token {STALE_TOKEN} is stale: the fence has admitted token {highest}\n");
    assert_eq!((code, output.as_str(), errors), (4, "", message));
    let (code, output, errors) = fence(&fleet, &highest.to_string());
    assert_eq!((code, output.as_str(), errors.as_str()), (0, "done\n", ""));
}
