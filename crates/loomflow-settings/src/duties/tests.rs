use crate::fleet::tests::{self, assert_faults, assert_parse_errors};

/// Options of duties, to be appended to those of a fleet.
const DUTIES: &str = "  duties:
    programs: true
    jobs:
      - {name: nightly, cron: '0 3 * * *', run: [/bin/true], missed: once, longest: 30m}
      - {name: by-hand}
";

/// Valid options with duties.
fn good() -> String {
    format!("{}{DUTIES}", tests::GOOD)
}

/// The valid options with `from` replaced by `to`.
fn with(from: &str, to: &str) -> String {
    good().replace(from, to)
}

#[test]
fn duties_and_programs_are_off_by_default() {
    let duties = |text: &str| tests::parse(text).duties;
    let full = duties(&good()).unwrap();
    assert!(full.faults().is_empty(), "{:?}", full.faults());
    assert_eq!((full.lease_s, full.jobs[0].max_duration().as_secs()), (10, 1_800));
    assert_eq!(full.jobs[1].max_duration().as_secs(), 3_600);
    assert!(duties(tests::GOOD).is_none());
    let bare = duties(&format!("{}  duties: {{}}\n", tests::GOOD)).unwrap();
    assert!(!bare.programs && bare.jobs.is_empty());
}

#[test]
fn errors_and_faults_contain_the_key() {
    let parsed = [
        (with("longest: 30m", "longest: soon"), "longest"),
        (with("longest: 30m", "longest: 999ms"), "must be at least 1s"),
        (with("missed: once", "missed: twice"), "skip, once"),
        (with("programs: true", "lease_s: 0"), "lease_s"),
        (with("programs:", "program:"), "program"),
    ];
    assert_parse_errors(&parsed);
    let checked = [
        (with("programs: true", "programs: false"), "fleet.duties.programs"),
        (with("run: [/bin/true], ", ""), "jobs[0].run"),
        (with("cron:", "every: 1h, cron:"), "jobs[0].every"),
        (with("0 3 *", "0 33 *"), "jobs[0].cron"),
        (with("by-hand", "nightly"), "names must be unique"),
        (with("by-hand", "summary"), "are built in"),
    ];
    assert_faults(&checked);
}
