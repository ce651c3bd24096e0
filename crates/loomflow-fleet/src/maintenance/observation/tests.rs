use super::*;
use crate::fixtures;
use crate::maintenance::headroom::Headroom;
use crate::maintenance::state::MaintenanceState;
use crate::member::{LoadReport, MemberState, Zone};
use std::collections::BTreeMap;

/// Fleet time at which the ticket entered its stage, ms.
const SINCE: u64 = 1_000;

/// The ticket of a server that left as incarnation 1 and returned as incarnation 2.
fn ticket(stage: TicketStage) -> Ticket {
    let has_returned = matches!(stage, TicketStage::Returned | TicketStage::Ready);
    Ticket { since: SINCE, returned_incarnation: if has_returned { 2 } else { 0 }, ..fixtures::ticket(stage) }
}

fn member(state: MemberState, incarnation: Incarnation, share: f32, healthy: bool) -> MemberView {
    let report = LoadReport { share, healthy, limit: 8.0, ..LoadReport::default() };
    MemberView { zone: Zone::new(), state, incarnation, load_report: Some(report) }
}

/// The transition at fleet time `now`, in a fleet whose only member is the ticket's server.
fn transition_at(now: u64, stage: TicketStage, member: &MemberView) -> Option<(Transition, Incarnation)> {
    let members = BTreeMap::from([("a".to_owned(), member.clone())]);
    let view = SchedulerView {
        maintenance: &MaintenanceState::default(),
        members: &members,
        headroom: &Headroom::default(),
        now,
        leader: "leader",
    };
    transition_of(&view, &Rules::default(), &ticket(stage), Some(member))
}

#[test]
fn transition_follows_from_member_state_and_load_report() {
    use MemberState::{Down, Serving, Suspect};
    let (before_ready, after_ready) = (SINCE + 9_999, SINCE + 10_000);
    for (now, stage, member, expected) in [
        (before_ready, TicketStage::Accepted, member(Serving, 1, 1.0, true), None),
        (before_ready, TicketStage::Draining, member(Suspect, 1, 1.0, true), None),
        (before_ready, TicketStage::Draining, member(Down, 1, 1.0, true), Some((Transition::Depart, 1))),
        (before_ready, TicketStage::Offline, member(Down, 1, 1.0, true), None),
        (before_ready, TicketStage::Offline, member(Serving, 2, 1.0, true), Some((Transition::Return, 2))),
        (before_ready, TicketStage::Overdue, member(Serving, 2, 1.0, true), Some((Transition::Return, 2))),
        (before_ready, TicketStage::Returned, member(Serving, 2, 0.89, true), None),
        (before_ready, TicketStage::Returned, member(Serving, 2, 1.0, false), None),
        (before_ready, TicketStage::Returned, member(Serving, 2, 0.9, true), Some((Transition::Ready, 2))),
        (before_ready, TicketStage::Returned, member(Down, 2, 1.0, true), Some((Transition::Depart, 2))),
        (before_ready, TicketStage::Ready, member(Serving, 2, 0.89, true), Some((Transition::Unready, 2))),
        (before_ready, TicketStage::Ready, member(Serving, 2, 1.0, true), None),
        (after_ready, TicketStage::Ready, member(Serving, 2, 1.0, true), Some((Transition::Finish, 2))),
        (after_ready, TicketStage::Ready, member(Serving, 3, 1.0, true), Some((Transition::Return, 3))),
    ] {
        assert_eq!(transition_at(now, stage, &member), expected, "{stage:?} at {now}, {member:?}");
    }
}

#[test]
fn grant_is_revoked_without_headroom_or_load_report() {
    let revoke = Some((Transition::Revoke, 1));
    let idle = member(MemberState::Serving, 1, 1.0, true);
    assert_eq!(transition_at(SINCE, TicketStage::Granted, &idle), None, "the only server carries no load");
    let mut loaded = idle.clone();
    loaded.load_report.as_mut().unwrap().running = 1.0;
    assert_eq!(transition_at(SINCE, TicketStage::Granted, &loaded), revoke);
    assert_eq!(transition_at(SINCE, TicketStage::Granted, &MemberView { load_report: None, ..idle }), revoke);
}
