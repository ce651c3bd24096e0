use super::*;
use crate::member::{LoadReport, MemberState};

fn fleet(count: usize, running: f32, share: f32, hold_time_ratio: f32) -> BTreeMap<ServerName, MemberView> {
    let load_report =
        LoadReport { share, hold_time_ratio, limit: 8.0, running, cores: 8.0, ..LoadReport::default() };
    let member = MemberView {
        zone: "a".into(),
        state: MemberState::Serving,
        incarnation: 1,
        load_report: Some(load_report),
    };
    (0..count).map(|n| (format!("n{n}"), member.clone())).collect()
}

/// Whether the servers that remain without the first `removed` ones can carry the load.
fn is_sufficient_without(
    members: &BTreeMap<ServerName, MemberView>,
    headroom: &Headroom,
    removed: usize,
) -> bool {
    let removed: Vec<ServerName> = (0..removed).map(|n| format!("n{n}")).collect();
    headroom.estimate(members, &|name| !removed.iter().any(|other| other == name)).is_sufficient()
}

#[test]
fn at_70_percent_load_one_of_nine_may_leave_but_not_three() {
    let (members, headroom) = (fleet(9, 5.6, 1.0, 0.8), Headroom::default());
    assert!(is_sufficient_without(&members, &headroom, 1));
    assert!(!is_sufficient_without(&members, &headroom, 3));
}

#[test]
fn reduced_share_or_queueing_above_setpoint_leaves_no_headroom() {
    let headroom = Headroom::default();
    assert!(!is_sufficient_without(&fleet(9, 5.6, 0.7, 0.8), &headroom, 1));
    assert!(!is_sufficient_without(&fleet(9, 5.6, 1.0, 1.5), &headroom, 1));
}

#[test]
fn burst_counts_until_the_window_has_passed() {
    let (mut headroom, calm) = (Headroom::default(), fleet(9, 3.0, 1.0, 0.5));
    headroom.observe(0, &fleet(9, 8.0, 1.0, 0.9));
    headroom.observe(BUCKET_MILLIS, &calm);
    assert!(!is_sufficient_without(&calm, &headroom, 1));
    headroom.observe(BURST_WINDOW_MILLIS + BUCKET_MILLIS + 1, &calm);
    assert!(is_sufficient_without(&calm, &headroom, 1));
    assert!(headroom.buckets.len() <= (BURST_WINDOW_MILLIS / BUCKET_MILLIS + 2) as usize);
}

#[test]
fn member_without_load_report_has_no_capacity() {
    let mut members = fleet(3, 4.0, 1.0, 0.5);
    assert!(is_sufficient_without(&members, &Headroom::default(), 1));
    members.get_mut("n2").unwrap().load_report = None;
    assert!(!is_sufficient_without(&members, &Headroom::default(), 1) || MAX_UTILIZATION > 1.0);
}

#[test]
fn zone_is_busy_near_its_peak_if_load_varies() {
    let (mut headroom, calm, full) = (Headroom::default(), fleet(3, 2.0, 1.0, 0.5), fleet(3, 7.0, 1.0, 0.5));
    headroom.observe(0, &calm);
    assert!(!headroom.is_busy("a", &calm));
    headroom.observe(BUCKET_MILLIS, &full);
    assert!(headroom.is_busy("a", &full) && !headroom.is_busy("a", &calm));
    assert!(!headroom.is_busy("b", &full));
}
