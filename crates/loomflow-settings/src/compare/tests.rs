use std::cell::Cell;

use serde_json::json;

use super::*;

/// Length of the long lists.
const MEMBERS: usize = 2_000;

/// A file whose settings consist of one list.
fn document(list: &str, members: Value) -> Document {
    let mut file = json!({"settings": {}});
    file["settings"][list] = members;
    serde_json::from_str(&file.to_string()).unwrap()
}

/// A list that counts how often its names are read.
struct CountingList {
    names: Vec<String>,
    reads: Cell<usize>,
}

impl CountingList {
    fn new(names: impl Iterator<Item = usize>) -> CountingList {
        CountingList { names: names.map(|number| format!("t{number}")).collect(), reads: Cell::new(0) }
    }
}

impl NamedList for CountingList {
    fn len(&self) -> usize {
        self.names.len()
    }

    fn name(&self, index: usize) -> Option<&str> {
        self.reads.set(self.reads.get() + 1);
        Some(&self.names[index])
    }
}

#[test]
fn comparison_takes_linear_time() {
    let all = || CountingList::new(0..MEMBERS);
    let half = || CountingList::new((0..MEMBERS).filter(|number| number % 2 == 0));
    let cases = [
        ("same order", all(), all(), MEMBERS),
        ("reversed", all(), CountingList::new((0..MEMBERS).rev()), MEMBERS),
        ("first member moved to the end", all(), CountingList::new((1..MEMBERS).chain([0])), MEMBERS),
        (
            "one member inserted in front",
            all(),
            CountingList::new([MEMBERS].into_iter().chain(0..MEMBERS)),
            MEMBERS + 1,
        ),
        ("half removed", all(), half(), MEMBERS),
        ("half added", half(), all(), MEMBERS),
        ("no common member", all(), CountingList::new(MEMBERS..2 * MEMBERS), 2 * MEMBERS),
        ("current list empty", CountingList::new(0..0), all(), MEMBERS),
    ];
    for (case, before, after, pairs) in cases {
        let mut visited = 0;
        pair_members(&before, &after, |_| visited += 1);
        assert_eq!(visited, pairs, "{case}");
        // Scans read at most nine times the names of a list: MAX_SCANS times, plus the scan that exceeds this limit. After
        // that, each name is read once each for the lookup, for the index and for the visit.
        let reads = before.reads.get() + after.reads.get();
        let members = before.len() + after.len();
        assert!(reads <= 12 * members, "{case}: {reads} reads of the names of {members} members");
    }
}

#[test]
fn one_difference_is_found_in_reversed_lists() {
    let tenants = |names: &mut dyn Iterator<Item = usize>| -> Value {
        names.map(|number| json!({"Name": format!("t{number}"), "QuotaPerS": number})).collect()
    };
    let (all, reversed) = (tenants(&mut (0..MEMBERS)), tenants(&mut (0..MEMBERS).rev()));
    let mut changed = reversed.clone();
    changed[7]["QuotaPerS"] = json!(0.5);
    for list in [TENANTS, "Classes"] {
        let before = document(list, all.clone());
        assert!(compare(&before, &document(list, reversed.clone())).is_empty());
        let found = compare(&before, &document(list, changed.clone()));
        assert_eq!(found.len(), 1);
        assert_eq!(found[0].key, format!("settings.{list}[t{}].QuotaPerS", MEMBERS - 8));
    }
}

#[test]
fn new_members_follow_current_ones_in_current_order() {
    let old = json!([{"Name": "a"}, {"Name": "b", "QuotaPerS": 1}, {"Name": "c"}]);
    let new = json!([{"Name": "d"}, {"Name": "b", "QuotaPerS": 2, "Note": [1]}, {"Name": "a"}]);
    for list in [TENANTS, "Classes"] {
        let found = compare(&document(list, old.clone()), &document(list, new.clone()));
        let differences: Vec<(String, String, String)> = found
            .into_iter()
            .map(|found| (found.key, found.current.to_string(), found.new.to_string()))
            .collect();
        let row =
            |key: &str, old: &str, new: &str| (format!("settings.{list}[{key}"), old.into(), new.into());
        assert_eq!(
            differences,
            [
                row("b].Note", "null", "[1]"),
                row("b].QuotaPerS", "1", "2"),
                row("c]", r#"{"Name":"c"}"#, "null"),
                row("d]", "null", r#"{"Name":"d"}"#),
            ]
        );
    }
}

#[test]
fn list_with_a_nameless_member_counts_as_one_value() {
    let (current, new) = (json!([{"QuotaPerS": 1}]), json!([{"Name": "a", "QuotaPerS": 1}]));
    let found = compare(&document(TENANTS, current.clone()), &document(TENANTS, new.clone()));
    assert_eq!(found, [Difference { key: "settings.Orgs".into(), current, new }]);
}

#[test]
fn absent_and_null_lists_are_equal() {
    assert!(compare(&document("Limits", json!({})), &document(TENANTS, Value::Null)).len() == 1);
    assert!(compare(&document(TENANTS, Value::Null), &document("Rules", Value::Null)).is_empty());
    let found = compare(&document(TENANTS, Value::Null), &document(TENANTS, json!([])));
    assert_eq!(found, [Difference { key: "settings.Orgs".into(), current: Value::Null, new: json!([]) }]);
}
