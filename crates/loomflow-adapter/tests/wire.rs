//! The adapter as a process: its replies, its exit code and its error messages.

mod common;

use std::process::Output;

use serde_json::{Value, json};

use common::run_adapter;

fn batch(number: u64, at: f64, items: &[Value]) -> String {
    json!({"Ts": at, "batch": number, "items": items}).to_string()
}

/// The start of instance 3.
fn boot() -> Value {
    json!({"msg": "BOOT", "ServerId": 3, "Seed": 5, "Settings": {
        "Classes": [{"Effect": "safe", "HardLimit": 9000.0, "Name": "a", "OnTime": 3000.0, "Points": 1.0}],
        "Domain": {"Cpus": 2, "HeapKb": 10000.0, "RunMemFactor": 8.0, "Downstream": "off", "Halt": "off",
            "Say": "weight", "Gauges": ["core_use", "on_cores"]},
        "Rules": {"FallMultiple": 5.0}, "Unheard": [1, 2]}})
}

/// A request that arrives at instance 3.
fn item() -> Value {
    json!({"msg": "WORK_ITEM", "ServerId": 3, "Ref": 9, "Service": 0, "Kb": 5.0, "WeightHint": null, "Age": 1.0})
}

/// The lines of output, parsed.
fn replies(output: &Output) -> Vec<Value> {
    let text = String::from_utf8_lossy(&output.stdout);
    text.lines().map(|line| serde_json::from_str(line).expect("a reply is JSON")).collect()
}

/// Whether a reply has an action of this name.
fn has_action(reply: &Value, name: &str) -> bool {
    reply["outbox"].as_array().expect("outbox is an array").iter().any(|action| action["msg"] == name)
}

#[test]
fn each_batch_has_one_reply_and_end_of_input_is_success() {
    let unknown = json!({"msg": "NEWS", "Odd": 1});
    let output =
        run_adapter(&[batch(1, 1.0, &[]), batch(2, 1000.0, &[boot()]), batch(3, 1005.0, &[item(), unknown])]);
    assert!(output.status.success());
    let replies = replies(&output);
    assert_eq!(replies.len(), 3);
    assert_eq!(replies[0], json!({"batch": 1, "outbox": []}));
    assert!(has_action(&replies[1], "SET_TIMER"));
    assert!(has_action(&replies[2], "TAKE"));
}

#[test]
fn restarted_instance_has_no_state_of_the_previous_one() {
    let stop = json!({"msg": "TEARDOWN", "ServerId": 3});
    let alarm = json!({"msg": "ALARM", "ServerId": 3, "Cookie": "t", "Load": [0.1, 0]});
    let output = run_adapter(&[
        batch(1, 1000.0, &[boot()]),
        batch(2, 1005.0, &[item()]),
        batch(3, 1010.0, &[stop, boot()]),
        batch(4, 30_000.0, &[alarm]),
    ]);
    assert!(output.status.success(), "{}", String::from_utf8_lossy(&output.stderr));
    let replies = replies(&output);
    assert!(has_action(&replies[2], "STATUS"), "the restarted instance sets its health");
    assert!(
        !has_action(&replies[3], "FINISH_ERROR") && !has_action(&replies[3], "SHED"),
        "the restarted instance does not respond to the previous one's request"
    );
}

#[test]
fn invalid_input_yields_a_one_line_error_and_a_failure_code() {
    let single = |event: Value| batch(8, 1010.0, &[event]);
    let cases: [(String, &[&str]); 8] = [
        ("nonsense".into(), &["JSON"]),
        (json!({"Ts": 1.0, "items": []}).to_string(), &["batch"]),
        (json!({"Ts": "x", "batch": 8, "items": []}).to_string(), &["batch 8", "Ts"]),
        (json!({"Ts": 1.0, "batch": 8, "items": 5}).to_string(), &["batch 8", "items"]),
        (single(json!({"msg": "ALARM", "ServerId": 99, "Load": []})), &["batch 8", "ALARM", "ServerId"]),
        (single(json!({"msg": "FINISHED", "ServerId": 3, "Ref": "a"})), &["batch 8", "FINISHED", "Ref"]),
        (
            single(json!({"msg": "WORK_ITEM", "ServerId": 3, "Ref": 1, "Service": 4})),
            &["batch 8", "WORK_ITEM", "Service"],
        ),
        (
            single(json!({"msg": "BOOT", "ServerId": 4, "Seed": 1, "Settings": {"Domain": {}, "Rules": {}}})),
            &["batch 8", "BOOT", "Classes"],
        ),
    ];
    for (line, parts) in cases {
        let output = run_adapter(&[batch(7, 1000.0, &[boot()]), line.clone()]);
        let errors = String::from_utf8_lossy(&output.stderr);
        assert!(!output.status.success(), "the adapter accepts {line}");
        assert_eq!(errors.lines().count(), 1, "{errors}");
        assert!(!errors.contains("panicked"), "{errors}");
        for part in parts {
            assert!(errors.contains(part), "the error message lacks {part}: {errors}");
        }
    }
}
