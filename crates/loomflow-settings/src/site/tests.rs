use serde_json::json;

use super::*;

fn site(tenants: serde_json::Value) -> Site {
    let settings = json!({
        "Classes": [{"Name": "read", "Effect": "safe", "HardLimit": 9, "OnTime": 3, "Points": 1}],
        "Orgs": tenants,
        "Domain": {"Cpus": 2, "HeapKb": 100, "RunMemFactor": 8}, "Rules": {"FallMultiple": 5}});
    Site::read(&Node::new("", &settings).unwrap()).unwrap()
}

fn named(site: &Site) -> Vec<(&str, f64)> {
    let quotas = site.settings.tenants.iter().map(|tenant| tenant.quota_per_s);
    site.tenants.iter().map(String::as_str).zip(quotas).collect()
}

#[test]
fn tenants_keep_their_places_and_new_ones_come_last() {
    let mut serving =
        site(json!([{"Name": "a", "QuotaPerS": 1}, {"Name": "b", "QuotaPerS": 2}, {"Name": "c"}]));
    let later = site(json!([
        {"Name": "new", "QuotaPerS": 9}, {"Name": "c", "QuotaPerS": 3}, {"Name": "newer"}, {"Name": "a", "QuotaPerS": 4}]));
    let terms = serving.reload(&later);
    assert_eq!(named(&serving), [("a", 4.0), ("b", 2.0), ("c", 3.0), ("new", 9.0), ("newer", 0.0)]);
    let told: Vec<f64> = terms.tenants.iter().map(|tenant| tenant.quota_per_s).collect();
    assert_eq!(told, [4.0, 2.0, 3.0, 9.0, 0.0]);
}

#[test]
fn where_there_were_no_tenants_none_are_taken_up() {
    let mut serving = site(json!([]));
    serving.reload(&site(json!([{"Name": "a", "QuotaPerS": 1}])));
    assert!(named(&serving).is_empty());
}
