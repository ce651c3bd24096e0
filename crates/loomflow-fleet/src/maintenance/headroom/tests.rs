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

fn holds(members: &BTreeMap<ServerName, MemberView>, headroom: &Headroom, without: usize) -> bool {
    let gone: Vec<ServerName> = (0..without).map(|n| format!("n{n}")).collect();
    headroom.estimate(members, &|name| !gone.iter().any(|g| g == name)).is_sufficient()
}

#[test]
fn at_seven_tenths_one_of_nine_may_go_and_a_third_may_not() {
    let (members, headroom) = (fleet(9, 5.6, 1.0, 0.8), Headroom::default());
    assert!(holds(&members, &headroom, 1));
    assert!(!holds(&members, &headroom, 3));
}

#[test]
fn a_share_below_one_or_holds_over_the_aim_leave_no_room() {
    let headroom = Headroom::default();
    assert!(!holds(&fleet(9, 5.6, 0.7, 0.8), &headroom, 1));
    assert!(!holds(&fleet(9, 5.6, 1.0, 1.5), &headroom, 1));
}

#[test]
fn a_burst_of_the_last_minutes_counts_and_is_forgotten() {
    let (mut headroom, calm) = (Headroom::default(), fleet(9, 3.0, 1.0, 0.5));
    headroom.observe(0, &fleet(9, 8.0, 1.0, 0.9));
    headroom.observe(BUCKET_MILLIS, &calm);
    assert!(!holds(&calm, &headroom, 1));
    headroom.observe(BURST_WINDOW_MILLIS + BUCKET_MILLIS + 1, &calm);
    assert!(holds(&calm, &headroom, 1));
    assert!(headroom.buckets.len() <= (BURST_WINDOW_MILLIS / BUCKET_MILLIS + 2) as usize);
}

#[test]
fn a_member_without_a_recent_load_report_has_no_capacity() {
    let mut members = fleet(3, 4.0, 1.0, 0.5);
    assert!(holds(&members, &Headroom::default(), 1));
    members.get_mut("n2").unwrap().load_report = None;
    assert!(!holds(&members, &Headroom::default(), 1) || MAX_FILL > 1.0);
}

#[test]
fn a_zone_is_busy_near_its_most_where_it_moves_at_all() {
    let (mut headroom, calm, full) = (Headroom::default(), fleet(3, 2.0, 1.0, 0.5), fleet(3, 7.0, 1.0, 0.5));
    headroom.observe(0, &calm);
    assert!(!headroom.is_busy("a", &calm));
    headroom.observe(BUCKET_MILLIS, &full);
    assert!(headroom.is_busy("a", &full) && !headroom.is_busy("a", &calm));
    assert!(!headroom.is_busy("b", &full));
}
