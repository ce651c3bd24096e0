use super::*;
use crate::fixtures;
use crate::maintenance::headroom::Headroom;
use crate::maintenance::state::MaintenanceState;
use crate::member::{LoadReport, MemberState, Zone};
use std::collections::BTreeMap;

/// When the ticket came to its stage.
const SINCE: u64 = 1_000;

/// The ticket of a server that left as start 1 and came back as start 2.
fn ticket(stage: TicketStage) -> Ticket {
    let has_returned = matches!(stage, TicketStage::Back | TicketStage::Ready);
    Ticket { since: SINCE, returned_incarnation: if has_returned { 2 } else { 0 }, ..fixtures::ticket(stage) }
}

fn member(state: MemberState, incarnation: Incarnation, share: f32, healthy: bool) -> MemberView {
    let report = LoadReport { share, healthy, limit: 8.0, ..LoadReport::default() };
    MemberView { zone: Zone::new(), state, incarnation, load_report: Some(report) }
}

/// The transition at a time; `members` beside the ticket's server are none.
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
fn each_transition_follows_from_what_is_seen_of_the_server() {
    use MemberState::{Down, Serving, Suspect};
    let (soon, settled) = (SINCE + 9_999, SINCE + 10_000);
    for (now, stage, member, expected) in [
        (soon, TicketStage::Begun, member(Serving, 1, 1.0, true), None),
        (soon, TicketStage::Draining, member(Suspect, 1, 1.0, true), None),
        (soon, TicketStage::Draining, member(Down, 1, 1.0, true), Some((Transition::Depart, 1))),
        (soon, TicketStage::Out, member(Down, 1, 1.0, true), None),
        (soon, TicketStage::Out, member(Serving, 2, 1.0, true), Some((Transition::Return, 2))),
        (soon, TicketStage::Overdue, member(Serving, 2, 1.0, true), Some((Transition::Return, 2))),
        (soon, TicketStage::Back, member(Serving, 2, 0.89, true), None),
        (soon, TicketStage::Back, member(Serving, 2, 1.0, false), None),
        (soon, TicketStage::Back, member(Serving, 2, 0.9, true), Some((Transition::Ready, 2))),
        (soon, TicketStage::Back, member(Down, 2, 1.0, true), Some((Transition::Depart, 2))),
        (soon, TicketStage::Ready, member(Serving, 2, 0.89, true), Some((Transition::Unready, 2))),
        (soon, TicketStage::Ready, member(Serving, 2, 1.0, true), None),
        (settled, TicketStage::Ready, member(Serving, 2, 1.0, true), Some((Transition::Finish, 2))),
        (settled, TicketStage::Ready, member(Serving, 3, 1.0, true), Some((Transition::Return, 3))),
    ] {
        assert_eq!(transition_at(now, stage, &member), expected, "{stage:?} at {now}, {member:?}");
    }
}

#[test]
fn a_grant_is_recalled_when_the_others_can_no_longer_carry_the_load() {
    let recall = Some((Transition::Recall, 1));
    let alone = member(MemberState::Serving, 1, 1.0, true);
    assert_eq!(transition_at(SINCE, TicketStage::Granted, &alone), None, "there is no load");
    let mut loaded = alone.clone();
    loaded.load_report.as_mut().unwrap().running = 1.0;
    assert_eq!(transition_at(SINCE, TicketStage::Granted, &loaded), recall);
    assert_eq!(
        transition_at(SINCE, TicketStage::Granted, &MemberView { load_report: None, ..alone }),
        recall
    );
}
