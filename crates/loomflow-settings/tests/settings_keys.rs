//! Checks that each key of the settings object is read under its outer name and into its field. Every numeric key has a
//! distinct value, so that swapped fields are detected.

use loomflow::interface::{Downstream, FeedbackSignal, Idempotency, Preemption};
use loomflow_settings::{JsonObject, Site};
use serde_json::{Value, json};

/// Settings with every key.
fn complete() -> Value {
    json!({
        "Classes": [
            {"Name": "read", "Effect": "safe", "OnTime": 11.0, "AimStretch": 12.0, "HardLimit": 13.0, "Points": 14.0,
             "LateShare": 0.15, "Window": 16.0},
            {"Name": "book", "Effect": "keyed", "OnTime": 1.0, "HardLimit": 2.0, "Points": 3.0},
            {"Name": "send", "Effect": "unsafe", "OnTime": 1.0, "HardLimit": 2.0, "Points": 3.0},
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
        "Rules": {"ColdShare": 0.61, "Cold": 62.0, "AnswerSlack": 63.0, "DrainGrace": 64.0, "FallMultiple": 65.0,
                  "TipAfter": 66.0},
    })
}

/// Parses settings that must be valid.
fn parse(settings: &Value) -> Site {
    Site::parse(&JsonObject::new("", settings).expect("the settings are an object"))
        .expect("the settings are valid")
}

/// The site of the complete settings with another value at a JSON pointer.
fn with(path: &str, value: Value) -> Site {
    let mut settings = complete();
    *settings.pointer_mut(path).expect("the key exists") = value;
    parse(&settings)
}

#[test]
fn class_and_tenant_keys_map_to_their_fields() {
    let site = parse(&complete());
    assert_eq!(site.classes, ["read", "book", "send"]);
    assert_eq!(site.tenants, ["a", "b"]);
    let effects: Vec<Idempotency> = site.settings.classes.iter().map(|class| class.idempotency).collect();
    assert_eq!(effects, [Idempotency::Always, Idempotency::ByKey, Idempotency::Never]);
    let class = &site.settings.classes[0];
    assert_eq!((class.latency_objective, class.objective_per_work, class.timeout), (11.0, 12.0, 13.0));
    assert_eq!((class.priority_weight, class.late_weight, class.idempotency_window), (14.0, 0.15, 16.0));
    assert_eq!((class.makes_calls, class.degraded_weight), (true, 0.39));
    let quotas: Vec<f64> = site.settings.tenants.iter().map(|tenant| tenant.quota_per_s).collect();
    assert_eq!(quotas, [21.0, 0.0]);
}

#[test]
fn other_keys_map_to_their_fields() {
    let site = parse(&complete());
    assert_eq!(site.gauges, ["links", "core_use"]);
    assert!(site.deep_checks);
    let settings = site.settings;
    assert_eq!((settings.over_quota_weight, settings.is_weight_per_work), (0.22, true));
    assert_eq!((settings.server_count, settings.tier, settings.batch_interval), (23.0, 2, 24.0));
    assert_eq!((settings.caller_count, settings.cores, settings.memory_kb), (31.0, 32.0, 33.0));
    assert_eq!((settings.run_memory_factor, settings.key_kb), (34.0, 35.0));
    assert_eq!((settings.call_quota, settings.call_quota_window, settings.call_linger), (36.0, 37.0, 38.0));
    assert_eq!((settings.result_cache_ttl, settings.signal_ttl, settings.idle_timeout), (40.0, 41.0, 42.0));
    assert!(settings.has_caller_deadlines && settings.has_cancellations && settings.is_slow_start);
    assert_eq!((settings.handshake_price, settings.max_retry_after), (51.0, 52.0));
    assert_eq!((settings.slow_start_share, settings.slow_start_duration), (0.61, 62.0));
    assert_eq!((settings.response_slack, settings.drain_grace), (63.0, 64.0));
    assert_eq!((settings.core_concurrency, settings.concurrency_window), (65.0, 66.0));
}

#[test]
fn enumeration_keys_map_to_their_variants() {
    for (text, downstream) in
        [("shared", Downstream::Shared), ("tier", Downstream::Tier), ("off", Downstream::None)]
    {
        assert_eq!(with("/Domain/Downstream", json!(text)).settings.downstream, downstream);
    }
    let preemptions = [
        ("drop", Preemption::DiscardsProgress),
        ("pause", Preemption::KeepsProgress),
        ("off", Preemption::Unsupported),
    ];
    for (text, preemption) in preemptions {
        assert_eq!(with("/Domain/Halt", json!(text)).settings.preemption, preemption);
    }
    let signals = [
        ("level", FeedbackSignal::LowestRank),
        ("credit", FeedbackSignal::Credit),
        ("weight", FeedbackSignal::SendShare),
        ("off", FeedbackSignal::Unused),
    ];
    for (text, signal) in signals {
        assert_eq!(with("/Domain/Say", json!(text)).settings.feedback_signal, signal);
    }
    assert!(!with("/ValueBy", json!("request")).settings.is_weight_per_work);
    assert_eq!(with("/Limits/RetryAfter", json!(false)).settings.max_retry_after, 0.0);
}

#[test]
fn gauges_are_mapped_by_name() {
    let names = ["core_use", "on_cores", "heap_share", "links", "other"].map(str::to_owned);
    let gauges = Site::gauges(&names, [Some(0.1), Some(2.0), Some(0.3), Some(4.0), Some(5.0)].into_iter());
    assert_eq!((gauges.core_utilization, gauges.runnable), (Some(0.1), Some(2.0)));
    assert_eq!((gauges.memory_utilization, gauges.connections), (Some(0.3), Some(4.0)));
}
