use serde_json::json;

use super::*;

fn site(tenants: serde_json::Value) -> Site {
    let settings = json!({
        "Classes": [{"Name": "read", "Effect": "safe", "HardLimit": 9, "OnTime": 3, "Points": 1}],
        "Orgs": tenants,
        "Domain": {"Cpus": 2, "HeapKb": 100, "RunMemFactor": 8}, "Rules": {"FallMultiple": 5}});
    Site::parse(&JsonObject::new("", &settings).unwrap()).unwrap()
}

fn tenants_and_quotas(site: &Site) -> Vec<(&str, f64)> {
    let quotas = site.settings.tenants.iter().map(|tenant| tenant.quota_per_s);
    site.tenants.iter().map(String::as_str).zip(quotas).collect()
}

#[test]
fn a_reload_keeps_the_indices_of_tenants_and_appends_new_ones() {
    let mut serving =
        site(json!([{"Name": "a", "QuotaPerS": 1}, {"Name": "b", "QuotaPerS": 2}, {"Name": "c"}]));
    let later = site(json!([
        {"Name": "new", "QuotaPerS": 9}, {"Name": "c", "QuotaPerS": 3}, {"Name": "newer"}, {"Name": "a", "QuotaPerS": 4}]));
    let terms = serving.reload(&later);
    assert_eq!(
        tenants_and_quotas(&serving),
        [("a", 4.0), ("b", 2.0), ("c", 3.0), ("new", 9.0), ("newer", 0.0)]
    );
    let told: Vec<f64> = terms.tenants.iter().map(|tenant| tenant.quota_per_s).collect();
    assert_eq!(told, [4.0, 2.0, 3.0, 9.0, 0.0]);
}

#[test]
fn a_site_without_tenants_stays_without_tenants() {
    let mut serving = site(json!([]));
    serving.reload(&site(json!([{"Name": "a", "QuotaPerS": 1}])));
    assert!(tenants_and_quotas(&serving).is_empty());
}
