use serde_json::json;

use super::*;

/// Converts a document back to one tree, for a comparison with the JSON that it was parsed from.
fn to_tree(document: &Document) -> Value {
    let mut tree = document.tree.clone();
    if document.tenants != Tenants::Absent {
        tree[SETTINGS][TENANTS] = document.tenants.to_value();
    }
    tree
}

#[test]
fn document_retains_every_key() {
    let lists = [
        json!([]),
        json!([{"Name": "a"}, {"Name": "", "QuotaPerS": 0}, {"Name": "b", "QuotaPerS": 2.50}, {"Name": "ü\"\n"}]),
        json!([{"Name": "a", "QuotaPerS": -3, "More": {"x": [1, null]}}, {"QuotaPerS": 1}, {"Name": "c", "QuotaPerS": "x"}]),
        json!([{"Name": 5}, {"Name": "d", "QuotaPerS": null}, 7, null, ["a", 1], "e"]),
        json!({"Name": "a"}),
        json!("none"),
        json!(true),
        json!(-1),
        json!(1.5),
    ];
    for list in lists {
        let file =
            json!({"name": "n", "x": [1, {"Orgs": []}], "settings": {"Orgs": list, "Rules": {"Cold": 1}}});
        let document: Document = serde_json::from_str(&file.to_string()).unwrap();
        assert_eq!(to_tree(&document), file);
        assert_eq!(document.tenants, Tenants::from_value(file.pointer("/settings/Orgs")));
    }
    for file in
        [json!({}), json!({"settings": "none"}), json!({"settings": [{"Orgs": []}]}), json!([1]), json!(null)]
    {
        let document: Document = serde_json::from_str(&file.to_string()).unwrap();
        assert_eq!((to_tree(&document), document.tenants), (file, Tenants::Absent));
    }
}

#[test]
fn last_value_of_a_duplicate_key_is_used() {
    let text = r#"{"settings": {"Orgs": [{"Name": "a"}]}, "settings": {"Orgs": 1, "Orgs": [{"Name": "b"}]}}"#;
    let document: Document = serde_json::from_str(text).unwrap();
    assert_eq!(to_tree(&document), json!({"settings": {"Orgs": [{"Name": "b"}]}}));
}
