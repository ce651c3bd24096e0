use super::*;

/// The largest number of an instance, which must be written exactly.
const SERVER: u64 = 18_446_744_073_709_551_615;

/// The message of an action as it is written.
fn to_json(action: Action) -> String {
    serde_json::to_string(&ActionMessage::new(SERVER, action)).unwrap()
}

/// Asserts the message of an action, in which `SERVER` stands for the number of the instance.
fn assert_json(action: Action, message: &str) {
    let description = format!("{action:?}");
    assert_eq!(to_json(action), message.replace("SERVER", &SERVER.to_string()), "{description}");
}

#[test]
fn keys_are_in_alphabetical_order() {
    let cases = [
        (Action::Run(1), r#"{"Ref":1,"ServerId":SERVER,"msg":"TAKE"}"#),
        (Action::ReuseResult(0), r#"{"Ref":0,"ServerId":SERVER,"msg":"REPLAY"}"#),
        (
            Action::Reject { id: 2, retry_after: 40.5, is_final: true },
            r#"{"Final":true,"Pause":40.5,"Ref":2,"ServerId":SERVER,"msg":"SHED"}"#,
        ),
        (Action::Fail(4_294_967_295), r#"{"Ref":4294967295,"ServerId":SERVER,"msg":"FINISH_ERROR"}"#),
        (Action::Preempt(3), r#"{"Ref":3,"ServerId":SERVER,"msg":"ABORT_WORK"}"#),
        (
            Action::Call { id: 4, deadline: 2414.0 },
            r#"{"AbandonAt":2414.0,"Ref":4,"ServerId":SERVER,"msg":"GO_CALL"}"#,
        ),
        (Action::SkipCall(5), r#"{"Ref":5,"ServerId":SERVER,"msg":"DEGRADE"}"#),
        (
            Action::RetainKey { id: 6, ttl: 3009.0 },
            r#"{"Ref":6,"ServerId":SERVER,"Ttl":3009.0,"msg":"RETAIN"}"#,
        ),
        (Action::ReleaseKey(7), r#"{"Ref":7,"ServerId":SERVER,"msg":"ERASE"}"#),
        (
            Action::SetHealth { is_healthy: true, is_cached: false },
            r#"{"ServerId":SERVER,"Stored":false,"Want":true,"msg":"STATUS"}"#,
        ),
        (Action::SetSignal(0.7), r#"{"ServerId":SERVER,"X":0.7,"msg":"STAMP"}"#),
        (Action::SetIdleTimeout(20_000.0), r#"{"ServerId":SERVER,"Ttl":20000.0,"msg":"REAP_AFTER"}"#),
        (Action::SetTimer(150.0), r#"{"AlarmTime":150.0,"Cookie":"t","ServerId":SERVER,"msg":"SET_TIMER"}"#),
    ];
    for (action, message) in cases {
        assert_json(action, message);
    }
}

#[test]
fn numbers_are_written_with_the_shortest_round_trip_digits() {
    let cases = [
        (0.0, "0.0"),
        (-0.0, "-0.0"),
        (1.0, "1.0"),
        (0.1 + 0.2, "0.30000000000000004"),
        (1e15, "1000000000000000.0"),
        (1e16, "1e+16"),
        (123_456_789_012_345_680.0, "1.2345678901234568e+17"),
        (1e-5, "0.00001"),
        (1e-7, "1e-7"),
        (f64::MAX, "1.7976931348623157e+308"),
        (f64::MIN_POSITIVE, "2.2250738585072014e-308"),
        (f64::INFINITY, "null"),
        (f64::NEG_INFINITY, "null"),
        (f64::NAN, "null"),
    ];
    for (number, digits) in cases {
        assert_json(
            Action::Reject { id: 1, retry_after: number, is_final: false },
            &format!(r#"{{"Final":false,"Pause":{digits},"Ref":1,"ServerId":SERVER,"msg":"SHED"}}"#),
        );
        assert_json(
            Action::Call { id: 1, deadline: number },
            &format!(r#"{{"AbandonAt":{digits},"Ref":1,"ServerId":SERVER,"msg":"GO_CALL"}}"#),
        );
        assert_json(
            Action::RetainKey { id: 1, ttl: number },
            &format!(r#"{{"Ref":1,"ServerId":SERVER,"Ttl":{digits},"msg":"RETAIN"}}"#),
        );
        assert_json(
            Action::SetSignal(number),
            &format!(r#"{{"ServerId":SERVER,"X":{digits},"msg":"STAMP"}}"#),
        );
        assert_json(
            Action::SetIdleTimeout(number),
            &format!(r#"{{"ServerId":SERVER,"Ttl":{digits},"msg":"REAP_AFTER"}}"#),
        );
        assert_json(
            Action::SetTimer(number),
            &format!(r#"{{"AlarmTime":{digits},"Cookie":"t","ServerId":SERVER,"msg":"SET_TIMER"}}"#),
        );
    }
}
