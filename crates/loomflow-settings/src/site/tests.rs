use serde_json::json;

use super::*;

/// A site with these tenants.
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
fn reload_keeps_tenant_indices_and_appends_new_tenants() {
    let mut current =
        site(json!([{"Name": "a", "QuotaPerS": 1}, {"Name": "b", "QuotaPerS": 2}, {"Name": "c"}]));
    let new = site(json!([
        {"Name": "new", "QuotaPerS": 9}, {"Name": "c", "QuotaPerS": 3}, {"Name": "newer"}, {"Name": "a", "QuotaPerS": 4}]));
    let reloaded = current.reload(&new);
    assert_eq!(
        tenants_and_quotas(&current),
        [("a", 4.0), ("b", 2.0), ("c", 3.0), ("new", 9.0), ("newer", 0.0)]
    );
    let quotas: Vec<f64> = reloaded.tenants.iter().map(|tenant| tenant.quota_per_s).collect();
    assert_eq!(quotas, [4.0, 2.0, 3.0, 9.0, 0.0]);
}

#[test]
fn reload_adds_no_tenants_to_a_site_without_tenants() {
    let mut current = site(json!([]));
    current.reload(&site(json!([{"Name": "a", "QuotaPerS": 1}])));
    assert!(tenants_and_quotas(&current).is_empty());
}
