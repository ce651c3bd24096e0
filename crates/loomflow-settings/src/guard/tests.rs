use super::*;
use serde_json::json;

fn base_config() -> Value {
    json!({"name": "n", "listen": "127.0.0.1:1", "engine": "127.0.0.1:2", "seed": "1", "stop_ms": 3000,
        "settings": {
            "Classes": [
                {"Name": "book", "Effect": "keyed", "HardLimit": 900, "OnTime": 300, "Points": 1, "Window": 5000},
                {"Name": "read", "Effect": "safe", "HardLimit": 900, "OnTime": 300, "Points": 1}],
            "Orgs": [{"Name": "acme", "QuotaPerS": 10}],
            "Domain": {"Cpus": 2, "HeapKb": 100, "RunMemFactor": 8},
            "Rules": {"FallMultiple": 5, "DrainGrace": 1000}}})
}

/// Checks a reload of the base configuration after `change`; the class at index 0 is in use.
fn reload_with(change: impl FnOnce(&mut Value)) -> Result<Vec<Change>, Vec<RuleViolation>> {
    let mut new = base_config();
    change(&mut new);
    let (old, new) = (base_config().to_string(), new.to_string());
    let (old, new) = (Config::parse(&old).unwrap(), Config::parse(&new).unwrap());
    check_reload(&ReloadCheck { current: &old, new: &new, is_class_in_use: &|at| at == 0 })
}

/// The message of the only rule violation that `change` causes.
fn violation(change: impl FnOnce(&mut Value)) -> String {
    let violations = reload_with(change).expect_err("the change violates a rule");
    assert_eq!(violations.len(), 1, "{violations:?}");
    violations[0].to_string()
}

#[test]
fn each_change_is_reported_with_its_time_of_effect() {
    assert_eq!(reload_with(|_| {}), Ok(Vec::new()));
    let changes = reload_with(|new| {
        new["engine"] = json!("127.0.0.1:9");
        new["limits"] = json!({"sockets": 99});
        // Classes and tenants are matched by name, regardless of their order.
        new["settings"]["Classes"].as_array_mut().unwrap().reverse();
        new["settings"]["Classes"][0]["OnTime"] = json!(200);
        new["settings"]["Orgs"] = json!([{"Name": "new", "QuotaPerS": 1}, {"Name": "acme", "QuotaPerS": 20}]);
        new["settings"]["Domain"]["Cpus"] = json!(4);
    });
    let effects: Vec<(String, TakesEffect)> =
        changes.unwrap().into_iter().map(|change| (change.key, change.takes_effect)).collect();
    let immediate = |key: &str| (key.to_owned(), TakesEffect::Immediately);
    let at_next_start = |key: &str| (key.to_owned(), TakesEffect::AtNextStart);
    assert_eq!(
        effects,
        [
            immediate("engine"),
            at_next_start("limits"),
            immediate("settings.Classes[read].OnTime"),
            at_next_start("settings.Domain.Cpus"),
            immediate("settings.Orgs[acme].QuotaPerS"),
            immediate("settings.Orgs[new]"),
        ]
    );
}

#[test]
fn the_file_must_be_for_this_server() {
    let text = violation(|new| new["name"] = json!("m"));
    assert!(text.starts_with("name: m ") && text.contains("another server"), "{text}");
    let text = violation(|new| new["listen"] = json!("127.0.0.1:7"));
    assert!(text.starts_with("listen: 127.0.0.1:7 ") && text.contains("another server"), "{text}");
}

#[test]
fn at_least_one_class_must_be_retained() {
    let mut new = base_config();
    new["settings"]["Classes"] =
        json!([{"Name": "scan", "Effect": "safe", "HardLimit": 900, "OnTime": 300, "Points": 1}]);
    let (old, new) = (base_config().to_string(), new.to_string());
    let (old, new) = (Config::parse(&old).unwrap(), Config::parse(&new).unwrap());
    let violations = check_reload(&ReloadCheck { current: &old, new: &new, is_class_in_use: &|_| false })
        .expect_err("no class is retained");
    assert_eq!(violations.len(), 1, "{violations:?}");
    let text = violations[0].to_string();
    assert!(text.starts_with("settings.Classes: scan ") && text.contains("another site"), "{text}");
}

#[test]
fn at_least_one_tenant_must_be_retained() {
    let text = violation(|new| new["settings"]["Orgs"] = json!([{"Name": "stranger", "QuotaPerS": 10}]));
    assert!(text.starts_with("settings.Orgs: stranger ") && text.contains("another site"), "{text}");
    // Removing other tenants is allowed as long as one current tenant is retained.
    let both = json!([{"Name": "stranger", "QuotaPerS": 10}, {"Name": "acme", "QuotaPerS": 10}]);
    assert!(reload_with(|new| new["settings"]["Orgs"] = both).is_ok());
}

#[test]
fn a_class_in_use_must_be_retained() {
    let text = violation(|new| drop(new["settings"]["Classes"].as_array_mut().unwrap().remove(0)));
    assert!(
        text.contains("settings.Classes[book]") && text.contains("open or remembered requests"),
        "{text}"
    );
    let unused = reload_with(|new| drop(new["settings"]["Classes"].as_array_mut().unwrap().remove(1)));
    assert_eq!(unused.unwrap()[0].takes_effect, TakesEffect::AtNextStart);
}

#[test]
fn a_class_with_an_effect_must_keep_its_idempotency() {
    for effect in ["safe", "unsafe"] {
        let text = violation(|new| new["settings"]["Classes"][0]["Effect"] = json!(effect));
        assert!(text.contains("[book].Effect") && text.contains(effect), "{text}");
    }
    assert!(reload_with(|new| new["settings"]["Classes"][1]["Effect"] = json!("keyed")).is_ok());
}

#[test]
fn an_idempotency_window_must_not_shrink() {
    let text = violation(|new| new["settings"]["Classes"][0]["Window"] = json!(4999));
    assert!(text.contains("[book].Window: 4999"), "{text}");
    assert!(reload_with(|new| new["settings"]["Classes"][0]["Window"] = json!(6000)).is_ok());
}

#[test]
fn an_objective_must_be_within_the_timeout() {
    let text = violation(|new| new["settings"]["Classes"][1]["OnTime"] = json!(901));
    assert!(text.contains("[read].OnTime: 901"), "{text}");
    let text = violation(|new| new["settings"]["Classes"][1]["HardLimit"] = json!(299));
    assert!(text.contains("[read].OnTime: 300"), "{text}");
}

#[test]
fn quotas_must_have_a_positive_sum() {
    let text = violation(|new| new["settings"]["Orgs"][0]["QuotaPerS"] = json!(0));
    assert!(text.contains("settings.Orgs: a sum of 0"), "{text}");
}

#[test]
fn the_drain_grace_must_end_before_the_kill() {
    let text = violation(|new| new["settings"]["Rules"]["DrainGrace"] = json!(3000));
    assert!(text.contains("settings.Rules.DrainGrace: 3000"), "{text}");
}

#[test]
fn all_violations_are_reported_at_once() {
    let violations = reload_with(|new| {
        new["settings"]["Rules"]["DrainGrace"] = json!(3000);
        new["settings"]["Orgs"][0]["QuotaPerS"] = json!(0);
    });
    assert_eq!(violations.unwrap_err().len(), 2);
}
