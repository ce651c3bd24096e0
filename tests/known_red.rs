//! `scripts/known-red` against made-up lists: a test with an open fault is passed over only with a complete entry, and only
//! while it fails.

use std::path::PathBuf;
use std::process::{Command, Output};

/// The tests that the workspace is taken to have, as the test runner lists them.
const TESTS: &str = "queue::drains: test\nqueue::fills: test\nlimit::rises: test\nlimit::rises: test\n";
const COMPLETE: &str = "\
test: queue::drains
command: printf 'test queue::drains ... FAILED\\n'; exit 101
seed: 7
seen: 3 of 40 requests are never answered
issue: 12
";

/// Writes an entry file and a list of tests, each test with files of its own.
fn write(name: &str, entries: &str) -> (PathBuf, PathBuf) {
    let folder = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join("known-red");
    std::fs::create_dir_all(&folder).expect("a folder for the files");
    let file = folder.join(format!("{name}.txt"));
    let tests = folder.join(format!("{name}-tests.txt"));
    std::fs::write(&file, entries).expect("the entries are written");
    std::fs::write(&tests, TESTS).expect("the list is written");
    (file, tests)
}

fn known_red(arguments: &[&std::ffi::OsStr]) -> Output {
    let script = concat!(env!("CARGO_MANIFEST_DIR"), "/scripts/known-red");
    Command::new(script).args(arguments).output().expect("the script is started")
}

/// Checks the entries; returns what the script complains about.
fn check(name: &str, entries: &str) -> Result<(), String> {
    let (file, tests) = write(name, entries);
    let output = known_red(&["check".as_ref(), file.as_ref(), tests.as_ref()]);
    let complaint = String::from_utf8(output.stderr).expect("text");
    if output.status.success() { Ok(()) } else { Err(complaint) }
}

/// Runs the tests of the entries; returns whether the run is passed, and all that was printed.
fn run(name: &str, entries: &str) -> (bool, String) {
    let (file, _) = write(name, entries);
    let output = known_red(&["run".as_ref(), file.as_ref()]);
    let printed = [output.stdout, output.stderr].concat();
    (output.status.success(), String::from_utf8(printed).expect("text"))
}

#[test]
fn a_complete_entry_is_accepted() {
    let commented = format!("# Faults that are open.\n\n{COMPLETE}");
    assert_eq!(check("complete", &commented), Ok(()));
    assert_eq!(check("empty", ""), Ok(()));
}

#[test]
fn an_entry_without_one_of_its_fields_is_rejected() {
    for field in ["command", "seed", "seen", "issue"] {
        let others: Vec<&str> = COMPLETE.lines().filter(|line| !line.starts_with(field)).collect();
        let without = others.join("\n");
        let complaint = check(&format!("without-{field}"), &without).expect_err("a field is missing");
        assert!(complaint.contains(&format!("has no {field}")), "{field}: {complaint}");
    }
    let empty = COMPLETE.replace("seed: 7", "seed:");
    assert!(check("empty-seed", &empty).expect_err("the seed is empty").contains("has no seed"));
}

#[test]
fn an_entry_has_to_name_exactly_one_test() {
    let unknown = COMPLETE.replace("queue::drains", "queue::overflows");
    assert!(check("unknown", &unknown).expect_err("no such test").contains("0 tests are named"));
    let partial = COMPLETE.replace("queue::drains", "queue");
    assert!(check("partial", &partial).expect_err("a part of a name").contains("0 tests are named"));
    let ambiguous = COMPLETE.replace("queue::drains", "limit::rises");
    assert!(check("ambiguous", &ambiguous).expect_err("two tests").contains("2 tests are named"));
}

#[test]
fn a_command_has_to_name_its_test() {
    let other = COMPLETE.replacen("'test queue::drains", "'test queue::fills", 1);
    assert!(check("other", &other).expect_err("another test").contains("does not name its test"));
}

#[test]
fn a_failing_test_is_printed_and_passed_over() {
    let (is_passed, printed) = run("failing", COMPLETE);
    assert!(is_passed, "{printed}");
    assert_eq!(printed, "known red: queue::drains fails (issue 12)\n");
}

#[test]
fn a_test_that_passes_fails_the_run() {
    let passing = COMPLETE.replace("FAILED\\n'; exit 101", "ok\\n'");
    let (is_passed, printed) = run("passing", &passing);
    assert!(!is_passed);
    assert!(printed.contains("queue::drains passes: remove its entry"), "{printed}");
}

#[test]
fn a_command_that_does_not_run_its_test_fails_the_run() {
    let broken = COMPLETE.replace("printf 'test queue::drains ... FAILED\\n'", ": queue::drains");
    let (is_passed, printed) = run("broken", &broken);
    assert!(!is_passed);
    assert!(printed.contains("was not run by its command"), "{printed}");
}

#[test]
fn all_names_are_listed() {
    let second = COMPLETE.replace("queue::drains", "queue::fills");
    let (file, _) = write("names", &format!("{COMPLETE}\n{second}"));
    let output = known_red(&["names".as_ref(), file.as_ref()]);
    assert_eq!(output.stdout, b"queue::drains\nqueue::fills\n");
}
