use super::*;
use crate::command::{Entry, FleetCommand, Issuer};
use crate::consensus::StateMachine;
use crate::fixtures::ticket_request;
use crate::maintenance::FleetAvailability;
use crate::member::{LoadReport, MemberIdentity, ReceivedReport, Zone};
use foca::State::{Alive, Down, Suspect};

/// A state in which the server "a" holds a maintenance slot.
fn maintenance() -> MaintenanceState {
    let availability = FleetAvailability { zone_sizes: vec![(Zone::new(), 3)], unavailable: Vec::new() };
    let commands = [
        FleetCommand::CreateTickets(vec![ticket_request("a")]),
        FleetCommand::Grant { ticket: 1, incarnation: 1, availability },
    ];
    let mut maintenance = MaintenanceState::default();
    for (id, command) in (1..).zip(commands) {
        let entry = Entry { id, at: 0, issuer: Issuer::Leader, command };
        maintenance.apply(&postcard::to_stdvec(&entry).unwrap());
    }
    assert!(maintenance.has_slot("a"));
    maintenance
}

fn known(name: &str, swim_state: foca::State, phase: Phase) -> KnownMember {
    KnownMember {
        identity: MemberIdentity::new(name.into(), Zone::new(), ([127, 0, 0, 1], 1).into(), 1),
        swim_state,
        load_report: Some(ReceivedReport { at: 0, report: LoadReport { phase, ..LoadReport::default() } }),
        replica: None,
        since: 0,
    }
}

#[test]
fn a_member_may_lead_if_it_is_alive_and_not_about_to_shut_down() {
    let maintenance = maintenance();
    for (name, swim_state, phase, expected) in [
        ("b", Alive, Phase::Serving, true),
        ("b", Alive, Phase::Cold, true),
        ("b", Alive, Phase::Draining, false),
        ("b", Suspect, Phase::Serving, false),
        ("b", Down, Phase::Serving, false),
        ("a", Alive, Phase::Serving, false),
    ] {
        let known = known(name, swim_state, phase);
        assert_eq!(may_lead(&known, &maintenance), expected, "{name} {swim_state:?} {phase:?}");
    }
}
