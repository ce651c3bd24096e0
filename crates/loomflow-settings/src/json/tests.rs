use serde::Deserialize;
use serde_json::{Value, json};

use super::JsonObject;
use super::fields::{ValidOrNone, non_negative, or_default, positive, required_text, texts};

#[derive(Debug, Deserialize, PartialEq)]
struct Document<'a> {
    #[serde(deserialize_with = "required_text")]
    name: &'a str,
    #[serde(rename = "Size", deserialize_with = "positive")]
    size: f64,
    #[serde(rename = "More.Depth", deserialize_with = "non_negative")]
    depth: f64,
    #[serde(rename = "More.Marked", deserialize_with = "or_default")]
    is_marked: bool,
    limit: Option<u64>,
    #[serde(deserialize_with = "or_default")]
    members: Vec<Entry>,
    #[serde(deserialize_with = "texts")]
    notes: Vec<String>,
}

#[derive(Debug, Deserialize, PartialEq)]
struct Entry {
    count: u64,
}

/// The error of deserializing `value` as a [`Document`] at the path `at[3]`.
fn error(value: &Value) -> String {
    let object = JsonObject::new("at[3]", value).unwrap();
    object.deserialize::<Document>().unwrap_err().to_string()
}

#[test]
fn null_counts_as_absent_and_unknown_keys_are_ignored() {
    let expected = Document {
        name: "n",
        size: 2.0,
        depth: 0.0,
        is_marked: false,
        limit: None,
        members: Vec::new(),
        notes: Vec::new(),
    };
    let absent = json!({"name": "n", "Size": 2, "other": [1]});
    let null = json!({"name": "n", "Size": 2, "More": null, "limit": null, "members": null, "notes": null});
    let null_in_section = json!({"name": "n", "Size": 2, "More": {"Depth": null, "Marked": null}});
    for value in [absent, null, null_in_section] {
        assert_eq!(
            JsonObject::new("", &value).unwrap().deserialize::<Document>().unwrap(),
            expected,
            "{value}"
        );
    }
}

#[test]
fn errors_contain_the_full_path_of_the_key() {
    let file = |key: &str, value: Value| {
        let mut file = json!({"name": "n", "Size": 2, "More": {"Depth": 1}});
        file[key] = value;
        file
    };
    let cases = [
        (file("name", Value::Null), "at[3].name: missing"),
        (file("name", json!("")), "at[3].name: missing"),
        (file("name", json!(1)), "at[3].name: not a text"),
        (file("Size", json!("2")), "at[3].Size: not a number"),
        (file("Size", json!(0)), "at[3].Size: not above 0"),
        (file("More", json!([])), "at[3].More: not an object"),
        (file("More", json!({"Depth": -1})), "at[3].More.Depth: below 0"),
        (file("More", json!({"Marked": 1})), "at[3].More.Marked: not true or false"),
        (file("limit", json!(1.0)), "at[3].limit: not a whole number"),
        (file("members", json!({})), "at[3].members: not an array"),
        (file("members", json!([{"count": 1}, null])), "at[3].members[1]: not an object"),
        (file("members", json!([{"count": 1}, {}])), "at[3].members[1].count: missing"),
        (file("notes", json!(["a", null])), "at[3].notes: not all texts"),
    ];
    for (value, message) in cases {
        assert_eq!(error(&value), message);
    }
}

#[test]
fn first_error_in_field_order_is_reported() {
    assert_eq!(error(&json!({})), "at[3].name: missing");
    assert_eq!(error(&json!({"name": "n", "More": 1, "members": 1})), "at[3].Size: missing");
    assert_eq!(
        error(&json!({"members": 1, "name": "n", "Size": 1, "limit": -1})),
        "at[3].limit: not a whole number"
    );
}

#[test]
fn elements_of_another_type_become_none() {
    #[derive(Deserialize)]
    struct Lists {
        numbers: Vec<ValidOrNone<f64>>,
        flags: Vec<ValidOrNone<bool>>,
    }
    let value = json!({
        "numbers": [1, -2, 0.5, 18_446_744_073_709_551_615_u64, null, "1", [1], {"x": 1}, true],
        "flags": [true, false, null, 1, "true"],
    });
    let lists: Lists = JsonObject::new("", &value).unwrap().deserialize().unwrap();
    let numbers: Vec<Option<f64>> = lists.numbers.into_iter().map(|number| number.0).collect();
    let large = 18_446_744_073_709_551_615_u64 as f64;
    assert_eq!(numbers[..4], [Some(1.0), Some(-2.0), Some(0.5), Some(large)]);
    assert_eq!(numbers[4..], [None; 5]);
    let flags: Vec<Option<bool>> = lists.flags.into_iter().map(|flag| flag.0).collect();
    assert_eq!(flags, [Some(true), Some(false), None, None, None]);
}
