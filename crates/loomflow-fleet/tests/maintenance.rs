//! Invariants of the state machine of maintenance under generated entries, in any order, valid or not.

use loomflow_fleet::command::{Entry, FleetCommand, FleetResponse, Issuer};
use loomflow_fleet::consensus::StateMachine;
use loomflow_fleet::maintenance::Census;
use loomflow_fleet::maintenance::rules::{Limit, Rules};
use loomflow_fleet::maintenance::state::{
    MAX_CLOSED_TICKETS, MAX_EVENTS, MAX_OPEN_TICKETS, MaintenanceState,
};
use loomflow_fleet::maintenance::ticket::{Rejection, TicketRequest, TicketStage, Transition, Urgency};
use proptest::prelude::*;

const SERVERS: usize = 6;

fn ticket_request(server: usize) -> TicketRequest {
    TicketRequest {
        server: format!("n{server}"),
        zone: format!("z{}", server % 2),
        reason: "test".into(),
        urgency: Urgency::Routine,
        duration_millis: 20_000,
        window: (server == 5).then_some((1_000, 30_000)),
    }
}

fn census(away: &[usize]) -> Census {
    let zone = |server: usize| format!("z{}", server % 2);
    Census {
        zones: vec![("z0".into(), 3), ("z1".into(), 3)],
        away: away.iter().map(|server| (format!("n{server}"), zone(*server))).collect(),
    }
}

fn issuer() -> impl Strategy<Value = Issuer> {
    prop_oneof![
        Just(Issuer::Leader),
        Just(Issuer::Operator("ops".into())),
        (0..SERVERS, 1u64..4)
            .prop_map(|(n, incarnation)| Issuer::Server { name: format!("n{n}"), incarnation }),
    ]
}

fn command() -> impl Strategy<Value = FleetCommand> {
    let moves = (1u64..12, proptest::sample::select(Transition::ALL.to_vec()), 0u64..12, 1u64..4);
    let away = proptest::collection::vec(0..SERVERS, 0..2);
    prop_oneof![
        2 => (0..SERVERS).prop_map(|n| FleetCommand::CreateTickets(vec![ticket_request(n)])),
        8 => moves.prop_map(|(ticket, transition, grant, incarnation)| FleetCommand::Transition { ticket, transition, grant, incarnation }),
        4 => (1u64..12, 1u64..4, away).prop_map(|(ticket, incarnation, away)| {
            FleetCommand::Grant { ticket, incarnation, census: census(&away) }
        }),
        1 => Just(FleetCommand::Clock),
        1 => prop_oneof![Just(FleetCommand::Pause("x".into())), Just(FleetCommand::Resume)],
    ]
}

fn apply(maintenance: &mut MaintenanceState, entry: &Entry) -> Option<FleetResponse> {
    maintenance.apply(&postcard::to_stdvec(entry).unwrap()).map(|(_, response)| response)
}

/// A state with three voters that lets two servers be out, one of each zone.
fn initial_state() -> MaintenanceState {
    let mut maintenance = MaintenanceState::default();
    maintenance.set_voters(vec!["n0".into(), "n1".into(), "n2".into()]);
    let rules =
        Rules { max_out: Limit::Count(2), max_out_per_zone: Some(Limit::Count(1)), ..Rules::default() };
    apply(
        &mut maintenance,
        &Entry { id: u128::MAX, at: 0, issuer: Issuer::Leader, command: FleetCommand::Rules(rules) },
    );
    maintenance
}

proptest! {
    #[test]
    fn no_entries_break_the_limits_or_the_saved_state(
        entries in proptest::collection::vec((issuer(), command(), 0u64..8_000), 1..120),
    ) {
        let (mut maintenance, mut at) = (initial_state(), 0);
        for (number, (issuer, command, passed)) in entries.into_iter().enumerate() {
            at += passed;
            let time = maintenance.time();
            let entry = Entry { id: number as u128, at, issuer, command };
            let response = apply(&mut maintenance, &entry);
            prop_assert!(maintenance.time() >= time, "time never decreases");
            // Each server holds at most one place; of each zone at most one is out, of the voters at most one.
            let servers_out: Vec<&str> = maintenance.tickets_with_place().keys().map(String::as_str).collect();
            prop_assert!(servers_out.len() <= 2, "{servers_out:?}");
            let held = maintenance.open().values().filter(|ticket| ticket.stage.has_place()).count();
            prop_assert_eq!(held, servers_out.len());
            for zone in ["z0", "z1"] {
                let here = maintenance.tickets_with_place().values().filter(|id| maintenance.open()[*id].request.zone == zone).count();
                prop_assert!(here <= 1, "{zone}");
            }
            let voters = servers_out.iter().filter(|name| ["n0", "n1", "n2"].contains(name)).count();
            prop_assert!(voters <= 1, "{servers_out:?}");
            // A repeated entry gets the same response and changes nothing.
            if !matches!(entry.issuer, Issuer::Leader) {
                let before = maintenance.save();
                prop_assert_eq!(apply(&mut maintenance, &entry), response);
                prop_assert_eq!(before, maintenance.save());
            }
            // A state that was saved and loaded is the same, and stays so.
            let mut back = MaintenanceState::load(&maintenance.save()).unwrap();
            prop_assert_eq!(back.tickets_with_place(), maintenance.tickets_with_place());
            prop_assert_eq!(back.next_deadline(), maintenance.next_deadline());
            let later = Entry { id: 1 << 100, at: at + 50_000, issuer: Issuer::Leader, command: FleetCommand::Clock };
            apply(&mut back, &later);
            let mut same = maintenance.clone();
            apply(&mut same, &later);
            prop_assert_eq!(back.save(), same.save());
        }
    }

    #[test]
    fn no_bytes_make_it_panic(bytes in proptest::collection::vec(any::<u8>(), 0..200)) {
        let mut maintenance = initial_state();
        let _ = maintenance.apply(&bytes);
        let _ = MaintenanceState::load(&bytes);
    }
}

#[test]
fn ten_thousand_tickets_at_once_are_accepted_and_a_request_beyond_the_bound_is_rejected_entirely() {
    let many = |from: usize, count: usize| {
        FleetCommand::CreateTickets((from..from + count).map(ticket_request).collect())
    };
    let operator_entry = |id, command| Entry { id, at: 0, issuer: Issuer::Operator("ops".into()), command };
    let mut maintenance = initial_state();
    match apply(&mut maintenance, &operator_entry(1, many(0, 10_000))) {
        Some(FleetResponse::Done(tickets)) => assert_eq!(tickets.len(), 10_000),
        other => panic!("{other:?}"),
    }
    let rejected = apply(&mut maintenance, &operator_entry(2, many(20_000, 3_000)));
    assert_eq!(rejected, Some(FleetResponse::Rejected(Rejection::TooMany(10_000))));
    assert_eq!(maintenance.open().len(), 10_000);
    assert!(maintenance.events().count() <= MAX_EVENTS && MAX_OPEN_TICKETS >= 10_000);
    let back = MaintenanceState::load(&maintenance.save()).unwrap();
    assert_eq!(back.open(), maintenance.open());
    // All withdrawn: the history is bounded.
    for id in 1..=10_000u64 {
        let withdraw = FleetCommand::Transition {
            ticket: id,
            transition: Transition::Withdraw,
            grant: 0,
            incarnation: 0,
        };
        apply(&mut maintenance, &operator_entry(u128::from(id) + 10, withdraw));
    }
    assert_eq!((maintenance.open().len(), maintenance.closed().count()), (0, MAX_CLOSED_TICKETS));
    assert!(maintenance.closed().all(|ticket| ticket.stage == TicketStage::Withdrawn));
    assert!(maintenance.save().len() < 1 << 20, "{}", maintenance.save().len());
}
