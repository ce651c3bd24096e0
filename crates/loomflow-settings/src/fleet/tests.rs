use super::*;
use crate::options::Options;

/// Options of a fleet with the required keys only.
pub(crate) const GOOD: &str = "
fleet:
  name: riga
  listen: 127.0.0.1:7401
  state: n1
  voters:
    - {name: n1, address: 127.0.0.1:7401}
    - {name: n2, address: 127.0.0.1:7402}
    - {name: n3, address: 127.0.0.1:7403}
";

/// Parses an options file that must be valid, and returns its fleet.
pub(crate) fn parse(text: &str) -> Fleet {
    Options::parse(text).unwrap().fleet.unwrap()
}

/// Asserts that the parser rejects each text with an error that contains `key`.
pub(crate) fn assert_parse_errors(cases: &[(String, &str)]) {
    for (text, key) in cases {
        let error = Options::parse(text).unwrap_err().to_string();
        assert!(error.contains(key), "{key}: {error}");
    }
}

/// Asserts that each text parses and that its fleet has a fault that contains `part`.
pub(crate) fn assert_faults(cases: &[(String, &str)]) {
    for (text, part) in cases {
        let faults = parse(text).faults("n1");
        assert!(faults.iter().any(|fault| fault.to_string().contains(part)), "{part}: {faults:?}");
    }
}

#[test]
fn minimal_options_are_valid() {
    let fleet = parse(GOOD);
    assert!(fleet.faults("n1").is_empty() && fleet.faults("n9").is_empty());
    assert_eq!(fleet.socket().to_str(), Some("n1.sock"));
}

#[test]
fn errors_and_faults_contain_the_key() {
    let parsed = [
        (GOOD.replace("name: riga", "name: ''"), "fleet.name"),
        (GOOD.replace("state: n1", "state: n1\n  out: {share: 2}"), "out"),
        (GOOD.replace("state: n1", "state: n1\n  out: {count: 0}"), "out"),
        (GOOD.replace("state: n1", "state: n1\n  begin_within_s: 0"), "begin_within_s"),
        (GOOD.replace("  listen: 127.0.0.1:7401\n", ""), "listen"),
        (GOOD.replace("listen:", "listens:"), "listens"),
    ];
    assert_parse_errors(&parsed);
    let checked = [
        (GOOD.replace("    - {name: n3, address: 127.0.0.1:7403}\n", ""), "3 or 5"),
        (GOOD.replace("name: n3", "name: n2"), "names and addresses must be unique"),
        (GOOD.replace("listen: 127.0.0.1:7401", "listen: 127.0.0.1:7409"), "is this server"),
        (GOOD.replace("listen: 127.0.0.1:7401", "listen: 0.0.0.0:7401"), "fleet.advertise"),
    ];
    assert_faults(&checked);
}
