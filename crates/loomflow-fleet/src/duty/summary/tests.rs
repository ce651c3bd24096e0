use super::*;

/// Summarizes members of this name, zone, state and number of running requests.
fn summary_of(rows: &[(&str, &str, MemberState, f32)]) -> Summary {
    let names: Vec<(ServerName, Zone)> = rows.iter().map(|row| (row.0.into(), row.1.into())).collect();
    summarize(rows.iter().zip(&names).map(|(row, (name, zone))| MemberLoad {
        name,
        zone,
        state: row.2,
        load_report: Some(LoadReport { share: 0.5, limit: 8.0, running: row.3, ..LoadReport::default() }),
    }))
}

#[test]
fn only_serving_members_count_and_the_fullest_zone_is_first() {
    let summary = summary_of(&[
        ("a", "x", MemberState::Serving, 1.0),
        ("b", "y", MemberState::Serving, 3.0),
        ("c", "y", MemberState::Down, 9.0),
    ]);
    assert_eq!(
        (summary.members, summary.serving, summary.carried_load, summary.capacity, summary.share),
        (3, 2, 4.0, 8.0, 0.5)
    );
    assert_eq!(summary.fullest_zones, [("y".to_owned(), 0.75), ("x".to_owned(), 0.25)]);
    assert_eq!(summary.not_serving, ["c"]);
}

#[test]
fn fleet_without_serving_members_has_share_1_and_no_zones() {
    assert_eq!(summary_of(&[]).share, 1.0);
    assert_eq!(summary_of(&[("a", "x", MemberState::Cold, 1.0)]).fullest_zones, []);
}
