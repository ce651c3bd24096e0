use crate::fleet::tests::{assert_faults, assert_parse_errors};
use crate::options::Options;

const GOOD: &str = "
fleet:
  name: riga
  listen: 127.0.0.1:7401
  state: n1
  voters:
    - {name: n1, address: 127.0.0.1:7401}
    - {name: n2, address: 127.0.0.1:7402}
    - {name: n3, address: 127.0.0.1:7403}
  duties:
    programs: true
    jobs:
      - {name: nightly, cron: '0 3 * * *', run: [/bin/true], missed: once, longest: 30m}
      - {name: by-hand}
";

#[test]
fn duties_and_programs_are_off_by_default() {
    let duties = Options::parse(GOOD).unwrap().fleet.unwrap().duties.unwrap();
    assert!(duties.faults().is_empty(), "{:?}", duties.faults());
    assert_eq!((duties.lease_s, duties.jobs[0].max_duration().as_secs()), (10, 1_800));
    let none = GOOD.split("  duties:").next().unwrap();
    assert!(Options::parse(none).unwrap().fleet.unwrap().duties.is_none());
    let bare = Options::parse(&format!("{none}  duties: {{}}\n")).unwrap().fleet.unwrap().duties.unwrap();
    assert!(!bare.programs && bare.jobs.is_empty());
}

#[test]
fn errors_and_faults_name_the_key() {
    let parsed = [
        (GOOD.replace("longest: 30m", "longest: soon"), "longest"),
        (GOOD.replace("missed: once", "missed: twice"), "skip, once"),
        (GOOD.replace("programs: true", "lease_s: 0"), "lease_s"),
        (GOOD.replace("programs:", "program:"), "program"),
    ];
    assert_parse_errors(&parsed);
    let checked = [
        (GOOD.replace("programs: true", "programs: false"), "fleet.duties.programs"),
        (GOOD.replace("run: [/bin/true], ", ""), "jobs[0].run"),
        (GOOD.replace("cron:", "every: 1h, cron:"), "jobs[0].every"),
        (GOOD.replace("0 3 *", "0 33 *"), "jobs[0].cron"),
        (GOOD.replace("by-hand", "nightly"), "each name once"),
        (GOOD.replace("by-hand", "summary"), "from the start"),
    ];
    assert_faults(&checked);
}
