//! The adapter as a process: what it answers, and what it says of input that it cannot read.

mod common;

use std::process::Output;

use serde_json::{Value, json};

use common::play;

fn batch(number: u64, at: f64, items: &[Value]) -> String {
    json!({"Ts": at, "batch": number, "items": items}).to_string()
}

fn boot() -> Value {
    json!({"msg": "BOOT", "ServerId": 3, "Seed": 5, "Settings": {
        "Classes": [{"Effect": "safe", "HardLimit": 9000.0, "Name": "a", "OnTime": 3000.0, "Points": 1.0}],
        "Domain": {"Cpus": 2, "HeapKb": 10000.0, "RunMemFactor": 8.0, "Downstream": "off", "Halt": "off",
            "Say": "weight", "Gauges": ["core_use", "on_cores"]},
        "Rules": {"FallMultiple": 5.0}, "Unheard": [1, 2]}})
}

fn item() -> Value {
    json!({"msg": "WORK_ITEM", "ServerId": 3, "Ref": 9, "Service": 0, "Kb": 5.0, "WeightHint": null, "Age": 1.0})
}

fn replies(output: &Output) -> Vec<Value> {
    let text = String::from_utf8_lossy(&output.stdout);
    text.lines().map(|l| serde_json::from_str(l).expect("a reply is JSON")).collect()
}

fn has(reply: &Value, name: &str) -> bool {
    reply["outbox"].as_array().expect("an outbox").iter().any(|a| a["msg"] == name)
}

#[test]
fn every_batch_has_one_reply_and_the_end_of_input_is_no_error() {
    let news = json!({"msg": "NEWS", "Odd": 1});
    let output = play(&[batch(1, 1.0, &[]), batch(2, 1000.0, &[boot()]), batch(3, 1005.0, &[item(), news])]);
    assert!(output.status.success());
    let replies = replies(&output);
    assert_eq!(replies.len(), 3);
    assert_eq!(replies[0], json!({"batch": 1, "outbox": []}));
    assert!(has(&replies[1], "SET_TIMER"));
    assert!(has(&replies[2], "TAKE"));
}

#[test]
fn a_new_life_knows_nothing_of_the_last() {
    let stop = json!({"msg": "TEARDOWN", "ServerId": 3});
    let alarm = json!({"msg": "ALARM", "ServerId": 3, "Cookie": "t", "Load": [0.1, 0]});
    let output = play(&[
        batch(1, 1000.0, &[boot()]),
        batch(2, 1005.0, &[item()]),
        batch(3, 1010.0, &[stop, boot()]),
        batch(4, 30_000.0, &[alarm]),
    ]);
    assert!(output.status.success(), "{}", String::from_utf8_lossy(&output.stderr));
    let replies = replies(&output);
    assert!(has(&replies[2], "STATUS"), "it starts afresh");
    assert!(
        !has(&replies[3], "FINISH_ERROR") && !has(&replies[3], "SHED"),
        "the first life's request is void"
    );
}

#[test]
fn what_cannot_be_read_is_named_on_one_line_with_a_non_zero_code() {
    let one = |event: Value| batch(8, 1010.0, &[event]);
    let cases: [(String, &[&str]); 8] = [
        ("nonsense".into(), &["JSON"]),
        (json!({"Ts": 1.0, "items": []}).to_string(), &["batch"]),
        (json!({"Ts": "x", "batch": 8, "items": []}).to_string(), &["batch 8", "Ts"]),
        (json!({"Ts": 1.0, "batch": 8, "items": 5}).to_string(), &["batch 8", "items"]),
        (one(json!({"msg": "ALARM", "ServerId": 99, "Load": []})), &["batch 8", "ALARM", "ServerId"]),
        (one(json!({"msg": "FINISHED", "ServerId": 3, "Ref": "a"})), &["batch 8", "FINISHED", "Ref"]),
        (
            one(json!({"msg": "WORK_ITEM", "ServerId": 3, "Ref": 1, "Service": 4})),
            &["batch 8", "WORK_ITEM", "Service"],
        ),
        (
            one(json!({"msg": "BOOT", "ServerId": 4, "Seed": 1, "Settings": {"Domain": {}, "Rules": {}}})),
            &["batch 8", "BOOT", "Classes"],
        ),
    ];
    for (line, words) in cases {
        let output = play(&[batch(7, 1000.0, &[boot()]), line.clone()]);
        let said = String::from_utf8_lossy(&output.stderr);
        assert!(!output.status.success(), "{line}");
        assert_eq!(said.lines().count(), 1, "{said}");
        assert!(!said.contains("panicked"), "{said}");
        for word in words {
            assert!(said.contains(word), "{word} is not in: {said}");
        }
    }
}
