//! What an earlier build stored, the program reads and goes on with: the folders of a fleet's members, the record of its
//! duties and a fence file.
//!
//! `stored_data/` was written by the build of a2e1c2e:
//!
//!     PROGRAM=target/release/loomflow cargo test -p loomflow-server --test stored_data -- --ignored record

use std::path::{Path, PathBuf};

use loomflow_test_servers::fleet::{Fleet, Plan};
use serde_json::Value;

/// A duty that writes a line behind the fence again and again: the token.
const DUTY: &str = r#"
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

const PLAN: Plan =
    Plan { members: 3, zones: 1, extra: DUTY, cores: 4, work: std::time::Duration::from_millis(5), seed: 1 };
const FILES: [&str; 5] = ["n1/fleet.redb", "n2/fleet.redb", "n3/fleet.redb", "fence", "lines"];
const PAUSE_REASON: &str = "a release of a2e1c2e";
/// Lower than any token that wrote through the stored fence.
const STALE_TOKEN: &str = "1";

fn stored(name: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/stored_data").join(name)
}

fn copy(from: &Path, to: &Path) {
    std::fs::create_dir_all(to.parent().expect("a folder")).expect("a folder");
    std::fs::copy(from, to).expect("a copy");
}

/// A fleet of this build that starts with what was stored.
fn restored() -> Fleet {
    let restore = |folder: &Path| FILES.iter().for_each(|name| copy(&stored(name), &folder.join(name)));
    Fleet::start_from(PLAN, &loomflow_test_servers::program(), restore)
}

fn highest_token(folder: &Path) -> u64 {
    let lines = std::fs::read_to_string(folder.join("lines")).unwrap_or_default();
    lines.lines().filter_map(|line| line.parse().ok()).max().unwrap_or(0)
}

fn json(output: &str) -> Value {
    serde_json::from_str(output).unwrap_or(Value::Null)
}

/// Runs a command behind the fence that the fleet's duty writes through.
fn fence(fleet: &Fleet, token: &str) -> (i32, String, String) {
    let file = fleet.directory().join("fence");
    let file = file.to_str().expect("a path");
    let program = loomflow_test_servers::program();
    let words = ["fleet", "fence", file, "--duty", "writes", "--token", token, "--", "echo", "done"];
    let output = std::process::Command::new(program).args(words).output().expect("the program runs");
    let text = |bytes: &[u8]| String::from_utf8_lossy(bytes).into_owned();
    (output.status.code().unwrap_or(-1), text(&output.stdout), text(&output.stderr))
}

#[test]
#[ignore = "writes the fixture; see the head of this file"]
fn record() {
    let program = PathBuf::from(std::env::var("PROGRAM").expect("PROGRAM names the program that stores"));
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
        copy(&fleet.directory().join(name), &stored(name));
    }
}

fn duty(fleet: &Fleet) -> Value {
    json(&fleet.run_command(0, &["duty", "show", "writes", "--json"]).1)
}

#[test]
fn a_fleet_resumes_from_the_stored_data_of_an_earlier_build() {
    let mut fleet = restored();
    let before = highest_token(fleet.directory());
    fleet.wait_until("a leader is there", |fleet| fleet.status(0)["paused"] == PAUSE_REASON);
    assert_eq!(fleet.run_command(0, &["found"]).0, 1, "the fleet is not founded a second time");
    assert_eq!(fleet.stage(0, 1), "Asked");
    let row = duty(&fleet);
    assert_eq!(row["token"].as_u64(), Some(before), "{row}");
    assert_eq!(row["parked"], "looked at", "{row}");
    // The stored ticket is granted, and the next one has the next number.
    assert_eq!(fleet.run_command(0, &["work", "resume"]).0, 0);
    assert_eq!(fleet.wait_for_exit(2), Some(0));
    assert_eq!(fleet.request_ticket(0, 1), 2);
    // The duty has another owner, by a later token.
    assert_eq!(fleet.run_command(0, &["duty", "resume", "writes"]).0, 0);
    fleet.wait_until("a later owner writes", |fleet| highest_token(fleet.directory()) > before);
}

#[test]
fn a_stored_fence_rejects_what_the_earlier_build_rejected() {
    let fleet = restored();
    let highest = highest_token(fleet.directory());
    let (code, output, errors) = fence(&fleet, STALE_TOKEN);
    let message = format!("loomflow: writes: token {STALE_TOKEN} is of an old owner: {highest} was here\n");
    assert_eq!((code, output.as_str(), errors), (4, "", message));
    let (code, output, errors) = fence(&fleet, &highest.to_string());
    assert_eq!((code, output.as_str(), errors.as_str()), (0, "done\n", ""));
}
