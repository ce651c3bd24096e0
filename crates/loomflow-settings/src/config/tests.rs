use serde_json::{Value, json};

use super::*;

/// A minimal configuration file with this value of `settings.Orgs`.
fn file(tenants: Value) -> Value {
    json!({"name": "n", "listen": "127.0.0.1:1", "engine": "127.0.0.1:2", "seed": "1", "stop_ms": 3000,
        "settings": {
            "Classes": [{"Name": "read", "Effect": "safe", "HardLimit": 900, "OnTime": 300, "Points": 1}],
            "Orgs": tenants,
            "Domain": {"Cpus": 2, "HeapKb": 100, "RunMemFactor": 8},
            "Rules": {"FallMultiple": 5}}})
}

/// The error of parsing an invalid file.
fn error_message(file: &Value) -> String {
    Config::parse(&file.to_string()).unwrap_err().to_string()
}

#[test]
fn tenants_are_parsed_with_names_and_quotas() {
    let list =
        json!([{"Name": "a", "QuotaPerS": 2}, {"Name": "b"}, {"Name": "c", "QuotaPerS": 0.5, "Note": "x"}]);
    let site = Config::parse(&file(list).to_string()).unwrap().site;
    let quotas: Vec<f64> = site.settings.tenants.iter().map(|tenant| tenant.quota_per_s).collect();
    assert_eq!((site.tenants, quotas), (["a", "b", "c"].map(String::from).to_vec(), vec![2.0, 0.0, 0.5]));
    assert!(Config::parse(&file(Value::Null).to_string()).unwrap().site.tenants.is_empty());
}

#[test]
fn tenant_errors_contain_index_and_key() {
    let good = || json!({"Name": "a", "QuotaPerS": 1});
    let cases = [
        (json!("many"), "settings.Orgs: not an array"),
        (json!({"a": good()}), "settings.Orgs: not an array"),
        (json!([good(), 7]), "settings.Orgs[1]: not an object"),
        (json!([good(), ["a", 1]]), "settings.Orgs[1]: not an object"),
        (
            json!([good(), good(), {"Name": "b", "QuotaPerS": "x"}]),
            "settings.Orgs[2].QuotaPerS: not a number",
        ),
        (json!([{"Name": "b", "QuotaPerS": -1}]), "settings.Orgs[0].QuotaPerS: below 0"),
        (json!([{"Name": "b", "QuotaPerS": -1, "Note": 1}]), "settings.Orgs[0].QuotaPerS: below 0"),
        (json!([good(), {"Name": 5}]), "settings.Orgs[1].Name: not a text"),
    ];
    for (tenants, message) in cases {
        assert_eq!(error_message(&file(tenants)), message);
    }
}

#[test]
fn structural_errors_contain_the_key() {
    for (text, message) in [
        ("[]", "not an object"),
        ("null", "not an object"),
        ("{", "not JSON: EOF while parsing an object at line 1 column 1"),
        ("{} {}", "not JSON: trailing characters at line 1 column 4"),
    ] {
        assert_eq!(Config::parse(text).unwrap_err().to_string(), message);
    }
    let mut config = file(json!([]));
    config["settings"] = json!(["Orgs"]);
    assert_eq!(error_message(&config), "settings: not an object");
    config["settings"] = Value::Null;
    assert_eq!(error_message(&config), "settings: missing");
}

#[test]
fn reload_keeps_values_that_take_effect_at_next_start() {
    let first = Config::parse(&file(json!([])).to_string()).unwrap();
    let mut changed = file(json!([{"Name": "a", "QuotaPerS": 1}]));
    (changed["name"], changed["engine"], changed["stop_ms"]) = (json!("m"), json!("127.0.0.1:9"), json!(1));
    let new = Config::parse(&changed.to_string()).unwrap();
    let (engine, document) = (new.engine, new.document.clone());
    let reloaded = first.reloaded(new, first.site.clone());
    assert_eq!((reloaded.name, reloaded.stop_ms, reloaded.engine), ("n".to_owned(), 3000.0, engine));
    assert!(reloaded.site.tenants.is_empty() && reloaded.document == document);
}

#[test]
fn files_over_the_size_limit_are_rejected() {
    let path = std::env::temp_dir().join(format!("loomflow-config-{}", std::process::id()));
    let load = |len: u64| {
        std::fs::write(&path, " ".repeat(len as usize)).unwrap();
        Config::load(&path).expect_err("a blank file is not JSON").to_string()
    };
    let (at_limit, over_limit) = (load(MAX_BYTES), load(MAX_BYTES + 1));
    let _ = std::fs::remove_file(&path);
    assert!(at_limit.contains("not JSON"), "{at_limit}");
    assert!(over_limit.contains("longer than 4 MiB"), "{over_limit}");
}
