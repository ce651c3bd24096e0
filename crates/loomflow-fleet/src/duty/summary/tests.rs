use super::*;

/// Sums up members by their name, zone, state and running requests.
fn summed(rows: &[(&str, &str, MemberState, f32)]) -> Summary {
    let names: Vec<(ServerName, Zone)> = rows.iter().map(|row| (row.0.into(), row.1.into())).collect();
    summarize(rows.iter().zip(&names).map(|(row, (name, zone))| MemberLoad {
        name,
        zone,
        state: row.2,
        load_report: Some(LoadReport { share: 0.5, limit: 8.0, running: row.3, ..LoadReport::default() }),
    }))
}

#[test]
fn members_that_serve_are_summed_and_the_fullest_zone_comes_first() {
    let summary = summed(&[
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
fn a_fleet_in_which_nobody_serves_has_a_summary() {
    assert_eq!(summed(&[]).share, 1.0);
    assert_eq!(summed(&[("a", "x", MemberState::Cold, 1.0)]).fullest_zones, []);
}
