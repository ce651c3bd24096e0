//! A table of what is said of each key of a document when its value is replaced, and its comparison with a recorded one.
//!
//! A line has a key, what is said, and the values that it is said of. The tests of `loomflow-adapter` use it, too.

use std::collections::BTreeMap;
use std::fmt::Write as _;
use std::path::Path;

use serde_json::Value;

/// Stands for a document that is accepted.
pub const ACCEPTED: &str = "accepted";
/// Stands for a key that is left out.
const ABSENT: &str = "absent";

/// The values of a list of JSON texts.
pub fn parse_values(texts: &[&str]) -> Vec<Value> {
    texts.iter().map(|text| serde_json::from_str(text).expect("a value")).collect()
}

/// Adds the lines of a key: what `verdict` says where the key is left out, and where it has each of the values.
pub fn write_lines(
    lines: &mut String,
    key: &str,
    values: &[Value],
    verdict: impl Fn(Option<&Value>) -> String,
) {
    let mut verdicts: BTreeMap<String, Vec<String>> = BTreeMap::new();
    verdicts.entry(verdict(None)).or_default().push(ABSENT.to_owned());
    for value in values {
        verdicts.entry(verdict(Some(value))).or_default().push(value.to_string());
    }
    for (verdict, values) in verdicts {
        writeln!(lines, "{key}\t{verdict}\t{}", values.join(" ")).expect("a line");
    }
}

/// Asserts that the lines are those of the recorded file.
pub fn assert_recorded(lines: &str, recorded: &Path) {
    let recorded = std::fs::read_to_string(recorded).expect("the fixture");
    for (line, recorded) in lines.lines().zip(recorded.lines()) {
        assert_eq!(line, recorded);
    }
    assert_eq!(lines.lines().count(), recorded.lines().count());
}
