use std::cell::Cell;

use serde_json::json;

use super::*;

const MEMBERS: usize = 2_000;

fn document(list: &str, members: Value) -> Document {
    let mut file = json!({"settings": {}});
    file["settings"][list] = members;
    serde_json::from_str(&file.to_string()).unwrap()
}

/// A list that counts how often a name of it is looked at.
struct Counting {
    names: Vec<String>,
    looks: Cell<usize>,
}

impl Counting {
    fn new(names: impl Iterator<Item = usize>) -> Counting {
        Counting { names: names.map(|at| format!("t{at}")).collect(), looks: Cell::new(0) }
    }
}

impl NamedList for Counting {
    fn len(&self) -> usize {
        self.names.len()
    }

    fn name(&self, at: usize) -> Option<&str> {
        self.looks.set(self.looks.get() + 1);
        Some(&self.names[at])
    }
}

#[test]
fn the_work_of_a_comparison_is_linear() {
    let all = || Counting::new(0..MEMBERS);
    let half = || Counting::new((0..MEMBERS).filter(|at| at % 2 == 0));
    let cases = [
        ("the same", all(), all(), MEMBERS),
        ("reversed", all(), Counting::new((0..MEMBERS).rev()), MEMBERS),
        ("first one last", all(), Counting::new((1..MEMBERS).chain([0])), MEMBERS),
        ("one more in front", all(), Counting::new([MEMBERS].into_iter().chain(0..MEMBERS)), MEMBERS + 1),
        ("half gone", all(), half(), MEMBERS),
        ("half new", half(), all(), MEMBERS),
        ("none in common", all(), Counting::new(MEMBERS..2 * MEMBERS), 2 * MEMBERS),
        ("none before", Counting::new(0..0), all(), MEMBERS),
    ];
    for (what, before, after, pairs) in cases {
        let mut visited = 0;
        pair_members(&before, &after, |_| visited += 1);
        assert_eq!(visited, pairs, "{what}");
        // Scans look at eight times a list and once more at most, and then each member is named, indexed and visited.
        let looks = before.looks.get() + after.looks.get();
        let members = before.len() + after.len();
        assert!(looks <= 12 * members, "{what}: {looks} looks at {members} members");
    }
}

#[test]
fn every_difference_is_found_whatever_the_order() {
    let tenants = |names: &mut dyn Iterator<Item = usize>| -> Value {
        names.map(|at| json!({"Name": format!("t{at}"), "QuotaPerS": at})).collect()
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
fn members_of_both_lists_come_first_in_the_old_order_and_new_ones_last() {
    let old = json!([{"Name": "a"}, {"Name": "b", "QuotaPerS": 1}, {"Name": "c"}]);
    let new = json!([{"Name": "d"}, {"Name": "b", "QuotaPerS": 2, "Note": [1]}, {"Name": "a"}]);
    for list in [TENANTS, "Classes"] {
        let found = compare(&document(list, old.clone()), &document(list, new.clone()));
        let named: Vec<(String, String, String)> =
            found.into_iter().map(|one| (one.key, one.current.to_string(), one.new.to_string())).collect();
        let row =
            |key: &str, old: &str, new: &str| (format!("settings.{list}[{key}"), old.into(), new.into());
        assert_eq!(
            named,
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
fn a_list_without_names_counts_as_one_value() {
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
