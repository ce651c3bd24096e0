//! Every key of the settings object, and where its value goes: a key that is read under another name, or into another
//! field, fails here.

use loomflow::interface::{Below, Effect, Signal, Stopping};
use loomflow_settings::{Node, Site};
use serde_json::{Value, json};

/// Every key with a value of its own.
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

fn read(settings: &Value) -> Site {
    Site::read(&Node::new("", settings).expect("an object")).expect("good settings")
}

fn with(path: &str, value: Value) -> Site {
    let mut settings = complete();
    *settings.pointer_mut(path).expect("a key") = value;
    read(&settings)
}

#[test]
fn classes_and_tenants() {
    let site = read(&complete());
    assert_eq!(site.classes, ["read", "book", "send"]);
    assert_eq!(site.tenants, ["a", "b"]);
    let effects: Vec<Effect> = site.settings.classes.iter().map(|class| class.effect).collect();
    assert_eq!(effects, [Effect::Safe, Effect::Keyed, Effect::Unsafe]);
    let class = &site.settings.classes[0];
    assert_eq!((class.aim, class.aim_stretch, class.give_up), (11.0, 12.0, 13.0));
    assert_eq!((class.worth, class.late_worth, class.window), (14.0, 0.15, 16.0));
    assert_eq!((class.calls, class.skip_worth), (true, 0.39));
    let quotas: Vec<f64> = site.settings.tenants.iter().map(|tenant| tenant.quota_per_s).collect();
    assert_eq!(quotas, [21.0, 0.0]);
}

#[test]
fn the_fleet_and_the_machine() {
    let site = read(&complete());
    assert_eq!(site.gauges, ["links", "core_use"]);
    assert!(site.deep_checks);
    let settings = site.settings;
    assert_eq!((settings.over_share_worth, settings.worth_by_work), (0.22, true));
    assert_eq!((settings.servers, settings.tier, settings.tick), (23.0, 2, 24.0));
    assert_eq!((settings.callers, settings.cores, settings.memory_kb), (31.0, 32.0, 33.0));
    assert_eq!((settings.run_memory, settings.entry_kb), (34.0, 35.0));
    assert_eq!((settings.call_share, settings.call_span, settings.call_lingers), (36.0, 37.0, 38.0));
    assert_eq!((settings.fresh, settings.heeded, settings.idle), (40.0, 41.0, 42.0));
    assert!(settings.tells_wait && settings.tells_gone && settings.cold);
    assert_eq!((settings.handshake_price, settings.longest_pause), (51.0, 52.0));
    assert_eq!((settings.cold_share, settings.cold_span), (0.61, 62.0));
    assert_eq!((settings.answer_slack, settings.drain_grace), (63.0, 64.0));
    assert_eq!((settings.crowd, settings.crowd_span), (65.0, 66.0));
}

#[test]
fn words() {
    for (word, below) in [("shared", Below::Shared), ("tier", Below::Tier), ("off", Below::Nothing)] {
        assert_eq!(with("/Domain/Downstream", json!(word)).settings.below, below);
    }
    let stopping =
        [("drop", Stopping::LosesWork), ("pause", Stopping::KeepsWork), ("off", Stopping::Impossible)];
    for (word, stopping) in stopping {
        assert_eq!(with("/Domain/Halt", json!(word)).settings.stopping, stopping);
    }
    let signals = [
        ("level", Signal::LowestRank),
        ("credit", Signal::Credit),
        ("weight", Signal::SendShare),
        ("off", Signal::Unused),
    ];
    for (word, signal) in signals {
        assert_eq!(with("/Domain/Say", json!(word)).settings.signal, signal);
    }
    assert!(!with("/ValueBy", json!("request")).settings.worth_by_work);
    assert_eq!(with("/Limits/RetryAfter", json!(false)).settings.longest_pause, 0.0);
}

#[test]
fn gauges_are_told_by_name() {
    let names = ["core_use", "on_cores", "heap_share", "links", "other"].map(str::to_owned);
    let gauges = Site::gauges(&names, [Some(0.1), Some(2.0), Some(0.3), Some(4.0), Some(5.0)].into_iter());
    assert_eq!((gauges.core_use, gauges.on_cores), (Some(0.1), Some(2.0)));
    assert_eq!((gauges.memory_share, gauges.connections), (Some(0.3), Some(4.0)));
}
