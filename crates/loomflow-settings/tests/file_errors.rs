//! Error messages of the configuration file: for each key, those for an absent, null, mistyped or out-of-range value, and
//! which of two errors is reported.
//!
//! `file_errors/recorded.tsv` was recorded with the code that looked keys up in a tree of JSON values:
//!
//!     cargo test -p loomflow-settings --test file_errors -- --ignored record
//!
//! See `error_table` for its format.

mod error_table;

use std::path::{Path, PathBuf};

use error_table::{ACCEPTED, assert_recorded, parse_values, write_lines};
use loomflow_settings::Config;
use serde_json::{Value, json};

fn fixture() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/file_errors/recorded.tsv")
}

/// A valid file with every key.
fn complete() -> Value {
    json!({
        "name": "n1", "listen": "127.0.0.1:1", "engine": "127.0.0.1:2", "control": "127.0.0.1:3",
        "ledger": "127.0.0.1:4", "seed": "f00d", "stop_ms": 3000.0,
        "limits": {"sockets": 100, "memory_mb": 64, "cores": 1.5},
        "settings": {
            "Classes": [
                {"Name": "read", "Effect": "safe", "OnTime": 11.0, "AimStretch": 12.0, "HardLimit": 13.0,
                 "Points": 14.0, "LateShare": 0.15, "Window": 16.0},
                {"Name": "book", "Effect": "keyed", "OnTime": 1.0, "HardLimit": 2.0, "Points": 3.0},
            ],
            "Orgs": [{"Name": "a", "QuotaPerS": 21.0}, {"Name": "b"}],
            "OverShareWorth": 0.22, "ValueBy": "work", "Servers": 23, "Stage": 2, "Period": 24.0,
            "Domain": {
                "ClientsTotal": 31, "Cpus": 32, "HeapKb": 33.0, "RunMemFactor": 34.0, "KeyKb": 35.0,
                "Downstream": "shared", "CallShare": 36.0, "CallsOver": 37.0, "StaysFor": 38.0,
                "CallsByClass": [true, false], "DegradedWorth": [0.39, 0.0], "Fresh": 40.0, "Halt": "drop",
                "Say": "weight", "Heeded": 41.0, "Idle": 42.0, "PassesDeadline": true, "TellsGone": true,
                "Cold": true, "Gauges": ["links", "core_use"], "DeepChecks": true,
            },
            "Prices": {"Handshake": 51.0},
            "Limits": {"RetryAfter": true, "MaxRetryAfter": 52.0},
            "Rules": {"ColdShare": 0.61, "Cold": 62.0, "AnswerSlack": 63.0, "DrainGrace": 64.0,
                      "FallMultiple": 65.0, "TipAfter": 66.0},
        },
    })
}

/// Collects the JSON pointers of all values below `value`.
fn pointers(value: &Value, pointer: &str, found: &mut Vec<String>) {
    let children: Vec<(String, &Value)> = match value {
        Value::Object(keys) => keys.iter().map(|(key, value)| (key.clone(), value)).collect(),
        Value::Array(members) => {
            members.iter().enumerate().map(|(index, value)| (index.to_string(), value)).collect()
        }
        _ => Vec::new(),
    };
    for (name, child) in children {
        let pointer = format!("{pointer}/{name}");
        found.push(pointer.clone());
        pointers(child, &pointer, found);
    }
}

/// Values that each key is tested with.
fn values() -> Vec<Value> {
    let texts = [
        "null",
        "true",
        "\"\"",
        "\"x\"",
        "\"ü/\"",
        "\"ff\"",
        "\"10000000000000000\"",
        "\"127.0.0.1:9\"",
        "\"off\"",
        "-1",
        "-0.5",
        "0",
        "0.0",
        "0.5",
        "3",
        "3.0",
        "1e300",
        "4294967295",
        "4294967296",
        "18446744073709551615",
        "18446744073709551616",
        "[]",
        "[null]",
        "[1]",
        "[\"a\",null]",
        "[true,\"x\",0.5,{}]",
        "{}",
        "{\"x\":1}",
    ];
    parse_values(&texts)
}

/// Returns `file` with another value at a pointer; with `None`, the key or the array element is removed.
fn with(file: &Value, pointer: &str, value: Option<&Value>) -> Value {
    let mut file = file.clone();
    let (parent, name) = pointer.rsplit_once('/').expect("the pointer starts with a slash");
    match (file.pointer_mut(parent).expect("the parent exists"), value) {
        (Value::Object(keys), Some(value)) => drop(keys.insert(name.to_owned(), value.clone())),
        (Value::Object(keys), None) => drop(keys.remove(name)),
        (Value::Array(members), Some(value)) => {
            members[name.parse::<usize>().expect("the pointer ends in an index")] = value.clone();
        }
        (Value::Array(members), None) => {
            drop(members.remove(name.parse().expect("the pointer ends in an index")));
        }
        (other, _) => panic!("{pointer}: the parent {other} is neither an object nor an array"),
    }
    file
}

/// The error message of parsing `file`, or [`ACCEPTED`].
fn outcome(file: &Value) -> String {
    Config::parse(&file.to_string()).map_or_else(|error| error.to_string(), |_| ACCEPTED.to_owned())
}

fn all_lines() -> String {
    let (file, mut keys) = (complete(), Vec::new());
    pointers(&file, "", &mut keys);
    let (mut lines, values) = (String::new(), values());
    for pointer in keys {
        write_lines(&mut lines, &pointer, &values, |value| outcome(&with(&file, &pointer, value)));
    }
    // MaxRetryAfter is read only if RetryAfter is true.
    let without_retry_after = with(&file, "/settings/Limits/RetryAfter", Some(&json!(false)));
    write_lines(&mut lines, "without RetryAfter: MaxRetryAfter", &values, |value| {
        outcome(&with(&without_retry_after, "/settings/Limits/MaxRetryAfter", value))
    });
    lines
}

#[test]
fn errors_of_each_key_match_the_recorded_ones() {
    assert_recorded(&all_lines(), &fixture());
}

#[test]
#[ignore = "writes the recorded file; see the module documentation"]
fn record() {
    std::fs::write(fixture(), all_lines()).expect("the recorded file can be written");
}

/// The keys in the order in which they are checked.
const CHECKS: [(Expected, &str); 65] = [
    (Expected::Text, "/seed"),
    (Expected::Text, "/name"),
    (Expected::Text, "/listen"),
    (Expected::Text, "/engine"),
    (Expected::Text, "/control"),
    (Expected::Text, "/ledger"),
    (Expected::OtherThanText, "/stop_ms"),
    (Expected::OtherThanText, "/limits/sockets"),
    (Expected::OtherThanText, "/limits/memory_mb"),
    (Expected::OtherThanText, "/limits/cores"),
    (Expected::OtherThanText, "/settings"),
    (Expected::OtherThanText, "/settings/Domain"),
    (Expected::OtherThanText, "/settings/Rules"),
    (Expected::OtherThanText, "/settings/Limits"),
    (Expected::OtherThanText, "/settings/Prices"),
    (Expected::OtherThanText, "/settings/Domain/CallsByClass"),
    (Expected::OtherThanText, "/settings/Domain/DegradedWorth"),
    (Expected::OtherThanText, "/settings/Classes"),
    (Expected::OtherThanText, "/settings/Classes/1"),
    (Expected::OtherThanText, "/settings/Classes/0/Effect"),
    (Expected::OtherThanText, "/settings/Classes/0/OnTime"),
    (Expected::OtherThanText, "/settings/Classes/0/AimStretch"),
    (Expected::OtherThanText, "/settings/Classes/0/HardLimit"),
    (Expected::OtherThanText, "/settings/Classes/0/Points"),
    (Expected::OtherThanText, "/settings/Classes/0/LateShare"),
    (Expected::OtherThanText, "/settings/Classes/0/Window"),
    (Expected::OtherThanText, "/settings/Classes/1/Effect"),
    (Expected::OtherThanText, "/settings/Orgs"),
    (Expected::OtherThanText, "/settings/Orgs/0"),
    (Expected::OtherThanText, "/settings/Orgs/1/QuotaPerS"),
    (Expected::OtherThanText, "/settings/OverShareWorth"),
    (Expected::Text, "/settings/ValueBy"),
    (Expected::OtherThanText, "/settings/Servers"),
    (Expected::OtherThanText, "/settings/Domain/ClientsTotal"),
    (Expected::OtherThanText, "/settings/Stage"),
    (Expected::OtherThanText, "/settings/Domain/Cpus"),
    (Expected::OtherThanText, "/settings/Domain/HeapKb"),
    (Expected::OtherThanText, "/settings/Domain/RunMemFactor"),
    (Expected::OtherThanText, "/settings/Domain/KeyKb"),
    (Expected::Text, "/settings/Domain/Downstream"),
    (Expected::OtherThanText, "/settings/Domain/CallShare"),
    (Expected::OtherThanText, "/settings/Domain/CallsOver"),
    (Expected::OtherThanText, "/settings/Domain/StaysFor"),
    (Expected::OtherThanText, "/settings/Domain/Fresh"),
    (Expected::Text, "/settings/Domain/Halt"),
    (Expected::Text, "/settings/Domain/Say"),
    (Expected::OtherThanText, "/settings/Domain/Heeded"),
    (Expected::OtherThanText, "/settings/Domain/Idle"),
    (Expected::OtherThanText, "/settings/Prices/Handshake"),
    (Expected::OtherThanText, "/settings/Domain/PassesDeadline"),
    (Expected::OtherThanText, "/settings/Domain/TellsGone"),
    (Expected::OtherThanText, "/settings/Domain/Cold"),
    (Expected::OtherThanText, "/settings/Rules/ColdShare"),
    (Expected::OtherThanText, "/settings/Rules/Cold"),
    (Expected::OtherThanText, "/settings/Rules/AnswerSlack"),
    (Expected::OtherThanText, "/settings/Rules/DrainGrace"),
    (Expected::OtherThanText, "/settings/Rules/FallMultiple"),
    (Expected::OtherThanText, "/settings/Rules/TipAfter"),
    (Expected::OtherThanText, "/settings/Limits/RetryAfter"),
    (Expected::OtherThanText, "/settings/Limits/MaxRetryAfter"),
    (Expected::OtherThanText, "/settings/Period"),
    (Expected::Text, "/settings/Classes/0/Name"),
    (Expected::Text, "/settings/Orgs/1/Name"),
    (Expected::Text, "/settings/Domain/Gauges"),
    (Expected::OtherThanText, "/settings/Domain/DeepChecks"),
];

/// The type that a key requires, which determines the invalid value that it is tested with.
#[derive(Clone, Copy)]
enum Expected {
    Text,
    OtherThanText,
}

/// The keys in the order of [`CHECKS`], each with a value of a type that is invalid for it.
fn checks() -> Vec<(&'static str, Value)> {
    let invalid_value = |expected| match expected {
        Expected::Text => json!(false),
        Expected::OtherThanText => json!("x"),
    };
    CHECKS.iter().map(|(expected, key)| (*key, invalid_value(*expected))).collect()
}

#[test]
fn first_of_two_errors_is_reported() {
    let (file, checks) = (complete(), checks());
    for (index, (first, value)) in checks.iter().enumerate() {
        let faulty = with(&file, first, Some(value));
        let message = outcome(&faulty);
        assert_ne!(message, ACCEPTED, "an invalid value of {first} is accepted");
        for (second, value) in &checks[index + 1..] {
            let is_same_branch = second.starts_with(&format!("{first}/"));
            if !is_same_branch {
                assert_eq!(
                    outcome(&with(&faulty, second, Some(value))),
                    message,
                    "{first} and {second} are invalid: the first is reported"
                );
            }
        }
    }
}

#[test]
fn missing_key_is_reported_before_a_later_invalid_one() {
    let (file, checks) = (complete(), checks());
    let required = checks.iter().enumerate().filter_map(|(index, (key, _))| {
        let faulty = with(&file, key, None);
        let message = outcome(&faulty);
        (message != ACCEPTED).then_some((index, *key, faulty, message))
    });
    let mut count = 0;
    for (index, key, faulty, message) in required {
        count += 1;
        for (second, value) in &checks[index + 1..] {
            let is_same_branch = second.starts_with(&format!("{key}/"));
            if !is_same_branch && faulty.pointer(second).is_some() {
                assert_eq!(
                    outcome(&with(&faulty, second, Some(value))),
                    message,
                    "{key} is missing and {second} is invalid: the first is reported"
                );
            }
        }
    }
    assert_eq!(count, 18, "number of required keys");
}
