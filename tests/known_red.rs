//! Tests of `scripts/known-red` with sample entries: a test with an open fault is tolerated only if its entry
//! is complete, and only while the test fails.

use std::path::PathBuf;
use std::process::{Command, Output};

/// The tests of a sample workspace, in the format of `cargo test -- --list`.
const TESTS: &str = "queue::drains: test\nqueue::fills: test\nlimit::rises: test\nlimit::rises: test\n";
/// An entry with all its fields.
const COMPLETE: &str = "\
test: queue::drains
command: printf 'test queue::drains ... FAILED\\n'; exit 101
seed: 7
seen: 3 of 40 requests get no response
issue: 12
";

/// Writes a file of entries and a list of tests; `name` keeps the files of each test apart.
fn write(name: &str, entries: &str) -> (PathBuf, PathBuf) {
    let directory = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join("known-red");
    std::fs::create_dir_all(&directory).expect("cannot create the directory of the sample files");
    let file = directory.join(format!("{name}.txt"));
    let tests = directory.join(format!("{name}-tests.txt"));
    std::fs::write(&file, entries).expect("cannot write the entries");
    std::fs::write(&tests, TESTS).expect("cannot write the list of tests");
    (file, tests)
}

fn known_red(arguments: &[&std::ffi::OsStr]) -> Output {
    let script = concat!(env!("CARGO_MANIFEST_DIR"), "/scripts/known-red");
    Command::new(script).args(arguments).output().expect("cannot start scripts/known-red")
}

/// Runs `known-red check` on the entries; returns the errors that the script prints.
fn check(name: &str, entries: &str) -> Result<(), String> {
    let (file, tests) = write(name, entries);
    let output = known_red(&["check".as_ref(), file.as_ref(), tests.as_ref()]);
    let errors = String::from_utf8(output.stderr).expect("scripts/known-red prints invalid UTF-8");
    if output.status.success() { Ok(()) } else { Err(errors) }
}

/// Runs `known-red run` on the entries; returns whether it succeeds, and its output.
fn run(name: &str, entries: &str) -> (bool, String) {
    let (file, _) = write(name, entries);
    let output = known_red(&["run".as_ref(), file.as_ref()]);
    let printed = [output.stdout, output.stderr].concat();
    (output.status.success(), String::from_utf8(printed).expect("scripts/known-red prints invalid UTF-8"))
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
        let lines: Vec<&str> = COMPLETE.lines().filter(|line| !line.starts_with(field)).collect();
        let without = lines.join("\n");
        let errors =
            check(&format!("without-{field}"), &without).expect_err("an entry without a field is accepted");
        assert!(errors.contains(&format!("has no {field}")), "{field}: {errors}");
    }
    let empty = COMPLETE.replace("seed: 7", "seed:");
    assert!(check("empty-seed", &empty).expect_err("an empty seed is accepted").contains("has no seed"));
}

#[test]
fn an_entry_must_name_exactly_one_test() {
    let unknown = COMPLETE.replace("queue::drains", "queue::overflows");
    assert!(
        check("unknown", &unknown).expect_err("an unknown test is accepted").contains("0 tests are named")
    );
    let partial = COMPLETE.replace("queue::drains", "queue");
    assert!(
        check("partial", &partial)
            .expect_err("a part of a test name is accepted")
            .contains("0 tests are named")
    );
    let ambiguous = COMPLETE.replace("queue::drains", "limit::rises");
    assert!(
        check("ambiguous", &ambiguous)
            .expect_err("a name of two tests is accepted")
            .contains("2 tests are named")
    );
}

#[test]
fn a_command_must_name_its_test() {
    let other = COMPLETE.replacen("'test queue::drains", "'test queue::fills", 1);
    assert!(
        check("other", &other)
            .expect_err("a command that names another test is accepted")
            .contains("does not name its test")
    );
}

#[test]
fn a_failing_test_is_printed_and_tolerated() {
    let (is_passed, printed) = run("failing", COMPLETE);
    assert!(is_passed, "{printed}");
    assert_eq!(printed, "known red: queue::drains fails (issue 12)\n");
}

#[test]
fn a_passing_test_fails_the_run() {
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
fn names_lists_every_test() {
    let second = COMPLETE.replace("queue::drains", "queue::fills");
    let (file, _) = write("names", &format!("{COMPLETE}\n{second}"));
    let output = known_red(&["names".as_ref(), file.as_ref()]);
    assert_eq!(output.stdout, b"queue::drains\nqueue::fills\n");
}
