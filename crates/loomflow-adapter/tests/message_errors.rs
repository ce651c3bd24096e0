//! Error messages of the adapter: for each key of each message, those for an absent, null, mistyped or out-of-range
//! value, and which of two errors is reported.
//!
//! `message_errors/recorded.tsv` was recorded with the adapter that looked keys up in a tree of JSON values:
//!
//!     cargo test -p loomflow-adapter --test message_errors -- --ignored record
//!
//! See `error_table` for its format.

mod common;
#[path = "../../loomflow-settings/tests/error_table/mod.rs"]
mod error_table;

use std::collections::BTreeMap;
use std::path::{Path, PathBuf};

use error_table::{ACCEPTED, assert_recorded, parse_values, write_lines};
use serde_json::{Value, json};

fn fixture() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/message_errors/recorded.tsv")
}

/// The error message of the adapter for this input without the program name, or [`ACCEPTED`].
fn outcome(lines: &[String]) -> String {
    let output = common::run_adapter(lines);
    let errors = String::from_utf8(output.stderr).expect("the error message is UTF-8");
    assert_eq!(output.status.success(), errors.is_empty(), "{errors}");
    match errors.strip_prefix("loomflow-adapter: ") {
        Some(message) => message.trim_end().to_owned(),
        None => ACCEPTED.to_owned(),
    }
}

/// A batch with these messages.
fn batch(items: &[Value]) -> Value {
    json!({"batch": 8, "Ts": 1000.0, "items": items})
}

/// The start of instance 3.
fn boot() -> Value {
    json!({"msg": "BOOT", "ServerId": 3, "Seed": 5, "Settings": {
        "Classes": [{"Effect": "safe", "HardLimit": 9000.0, "Name": "a", "OnTime": 3000.0, "Points": 1.0}],
        "Domain": {"Cpus": 2, "HeapKb": 10000.0, "RunMemFactor": 8.0, "Gauges": ["core_use", "on_cores"]},
        "Rules": {"FallMultiple": 5.0}}})
}

/// Each message: its name, its keys in the order in which they are checked, and a valid example. `NEWS` is unknown to
/// the adapter.
fn messages() -> Vec<(&'static str, Vec<&'static str>, Value)> {
    let arrival = json!({
        "msg": "WORK_ITEM", "ServerId": 3, "Ref": 10, "Service": 0, "Account": 0, "Remaining": 600.0,
        "WeightHint": 40.0, "Kb": 20.0, "Prio": 0.5, "Resent": false, "From": 1, "Age": 2.0, "SameAs": 0,
    });
    let ended = |name: &str| json!({"msg": name, "ServerId": 3, "Ref": 9, "Disposition": 10, "Spent": 5.0});
    let about = |name: &str| json!({"msg": name, "ServerId": 3, "Ref": 9});
    let arrival_keys = vec![
        "msg",
        "ServerId",
        "Service",
        "Account",
        "Ref",
        "Remaining",
        "WeightHint",
        "Kb",
        "Prio",
        "Resent",
        "From",
        "Age",
        "SameAs",
    ];
    let ended_keys = vec!["msg", "ServerId", "Ref", "Disposition", "Spent"];
    vec![
        ("BOOT", vec!["msg", "ServerId", "Seed", "Settings"], boot()),
        ("TEARDOWN", vec!["msg", "ServerId"], json!({"msg": "TEARDOWN", "ServerId": 3})),
        ("WORK_ITEM", arrival_keys, arrival),
        ("WITHDRAWN", vec!["msg", "ServerId", "Ref"], about("WITHDRAWN")),
        ("ALARM", vec!["msg", "ServerId", "Load"], json!({"msg": "ALARM", "ServerId": 3, "Load": [0.1, 0]})),
        ("BLOCKED", vec!["msg", "ServerId", "Ref"], about("BLOCKED")),
        (
            "TERMINATE_SOON",
            vec!["msg", "ServerId", "Remaining"],
            json!({"msg": "TERMINATE_SOON", "ServerId": 3, "Remaining": 900.0}),
        ),
        ("CAME_BACK", ended_keys.clone(), ended("CAME_BACK")),
        ("FINISHED", ended_keys, ended("FINISHED")),
        ("NEWS", vec!["msg", "ServerId", "Ref"], about("NEWS")),
    ]
}

/// Values that each key is tested with.
fn values() -> Vec<Value> {
    let texts = [
        "null",
        "true",
        "\"\"",
        "\"x\"",
        "\"3\"",
        "-1",
        "0",
        "3",
        "3.0",
        "0.5",
        "10",
        "99",
        "1e300",
        "4294967295",
        "4294967296",
        "18446744073709551615",
        "18446744073709551616",
        "[]",
        "[null]",
        "[1]",
        "[1,\"x\",null,true]",
        "{}",
        "{\"Domain\":{}}",
        "{\"Domain\":{},\"Rules\":{}}",
        "{\"Domain\":[]}",
    ];
    parse_values(&texts)
}

/// Returns `object` with another value of a key; with `None`, the key is removed.
fn with(object: &Value, key: &str, value: Option<&Value>) -> Value {
    let mut object = object.clone();
    let keys = object.as_object_mut().expect("a message is an object");
    match value {
        Some(value) => drop(keys.insert(key.to_owned(), value.clone())),
        None => drop(keys.remove(key)),
    }
    object
}

/// The outcome of a message to an instance with a running request.
fn message_outcome(message: &Value) -> String {
    let request = json!({"msg": "WORK_ITEM", "ServerId": 3, "Ref": 9, "Service": 0, "Kb": 5.0});
    let first_batch = json!({"batch": 7, "Ts": 990.0, "items": [boot(), request]});
    // The message is the second of its batch, so that errors that contain its index differ from those of the first.
    let news = json!({"msg": "NEWS"});
    outcome(&[first_batch.to_string(), batch(&[news, message.clone()]).to_string()])
}

fn all_lines() -> String {
    let (mut lines, values) = (String::new(), values());
    for key in ["batch", "Ts", "items"] {
        write_lines(&mut lines, key, &values, |value| outcome(&[with(&batch(&[]), key, value).to_string()]));
    }
    for (name, keys, message) in messages() {
        for key in keys {
            write_lines(&mut lines, &format!("{name}.{key}"), &values, |value| {
                message_outcome(&with(&message, key, value))
            });
        }
    }
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

/// A value that `key` rejects: settings without classes, or an object in place of a simple value.
fn invalid_value(key: &str) -> Value {
    if key == "Settings" { json!({"Domain": {}, "Rules": {}}) } else { json!({"x": -1}) }
}

#[test]
fn first_of_two_errors_in_a_message_is_reported() {
    for (name, keys, message) in messages() {
        for (index, first) in keys.iter().enumerate() {
            let one_error = with(&message, first, Some(&invalid_value(first)));
            for second in &keys[index + 1..] {
                let two_errors = with(&one_error, second, Some(&invalid_value(second)));
                assert_eq!(
                    message_outcome(&two_errors),
                    message_outcome(&one_error),
                    "{name}: {first}, {second}"
                );
            }
        }
    }
}

#[test]
fn unknown_values_are_reported_before_errors_of_later_keys() {
    let messages: BTreeMap<&str, Value> =
        messages().into_iter().map(|(name, _, message)| (name, message)).collect();
    let cases = [
        ("WORK_ITEM", "ServerId", 4, "Service", "WORK_ITEM: ServerId: instance 4 is unknown"),
        ("WORK_ITEM", "Service", 4, "Ref", "WORK_ITEM: Service: class 4 is unknown"),
        ("CAME_BACK", "Disposition", 90, "Spent", "CAME_BACK: Disposition: 90 is not known"),
        ("FINISHED", "Disposition", 0, "Spent", "FINISHED: Disposition: 0 is not known"),
    ];
    for (name, key, unknown, later, message) in cases {
        let one_error = with(&messages[name], key, Some(&json!(unknown)));
        let two_errors = with(&one_error, later, Some(&json!("x")));
        for event in [one_error, two_errors] {
            assert_eq!(message_outcome(&event), format!("batch 8: {message}"));
        }
    }
}

#[test]
fn messages_before_an_invalid_one_are_handled_first() {
    let unknown = json!({"msg": "TERMINATE_SOON", "ServerId": 4, "Remaining": 1.0});
    let invalid = json!({"msg": "TERMINATE_SOON", "ServerId": 3});
    let error = outcome(&[batch(&[boot(), unknown, invalid.clone()]).to_string()]);
    assert_eq!(error, "batch 8: TERMINATE_SOON: ServerId: instance 4 is unknown");
    let error = outcome(&[batch(&[boot(), invalid, json!(5)]).to_string()]);
    assert_eq!(error, "batch 8: items[2]: not an object");
}

#[test]
fn last_value_of_a_duplicate_key_is_used() {
    let line = r#"{"batch": "x", "Ts": 1, "batch": 8, "items": [], "Ts": 2, "items": 5}"#;
    assert_eq!(outcome(&[line.to_owned()]), "batch 8: items: not an array");
}

#[test]
fn invalid_lines_are_reported_with_their_position() {
    let cases = [
        ("", "batch: not JSON: EOF while parsing a value at line 1 column 0"),
        ("{\"batch\": 8", "batch: not JSON: EOF while parsing an object at line 1 column 11"),
        ("{} {}", "batch: not JSON: trailing characters at line 1 column 4"),
        ("{\"Ts\": 1e400}", "batch: not JSON: number out of range at line 1 column 12"),
        ("[]", "batch: not an object"),
        ("null", "batch: not an object"),
        ("5", "batch: not an object"),
    ];
    for (line, message) in cases {
        assert_eq!(outcome(&[line.to_owned()]), message, "{line}");
    }
}
