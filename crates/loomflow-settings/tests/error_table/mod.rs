//! A table of the errors that a document yields when the value of one key is replaced, and its comparison with a recorded
//! table. Shared with the tests of `loomflow-adapter`.
//!
//! Each line holds a key, an error message and the values of the key that cause it, separated by tabs.

use std::collections::BTreeMap;
use std::fmt::Write as _;
use std::path::Path;

use serde_json::Value;

/// Takes the place of the error message of a document that is accepted.
pub const ACCEPTED: &str = "accepted";
/// Takes the place of the value of a key that is left out.
const ABSENT: &str = "absent";

/// Parses a list of JSON texts.
pub fn parse_values(texts: &[&str]) -> Vec<Value> {
    texts.iter().map(|text| serde_json::from_str(text).expect("the text is JSON")).collect()
}

/// Appends the lines of a key. `outcome` returns the error message, or [`ACCEPTED`], of the document with another value of
/// the key, or without the key.
pub fn write_lines(
    lines: &mut String,
    key: &str,
    values: &[Value],
    outcome: impl Fn(Option<&Value>) -> String,
) {
    let mut outcomes: BTreeMap<String, Vec<String>> = BTreeMap::new();
    outcomes.entry(outcome(None)).or_default().push(ABSENT.to_owned());
    for value in values {
        outcomes.entry(outcome(Some(value))).or_default().push(value.to_string());
    }
    for (outcome, values) in outcomes {
        writeln!(lines, "{key}\t{outcome}\t{}", values.join(" ")).expect("writing to a String");
    }
}

/// Asserts that the lines equal those of the recorded file.
pub fn assert_recorded(lines: &str, recorded: &Path) {
    let recorded = std::fs::read_to_string(recorded).expect("the recorded file can be read");
    for (line, recorded) in lines.lines().zip(recorded.lines()) {
        assert_eq!(line, recorded);
    }
    assert_eq!(lines.lines().count(), recorded.lines().count());
}
