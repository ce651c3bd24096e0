//! Invariants of the maintenance state machine under generated log entries, valid and invalid, in any order.

use loomflow_fleet::command::{Entry, FleetCommand, FleetResponse, Issuer};
use loomflow_fleet::consensus::StateMachine;
use loomflow_fleet::maintenance::FleetAvailability;
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

/// Availability of a fleet of six servers in two zones, with these ones unavailable.
fn availability(unavailable: &[usize]) -> FleetAvailability {
    let zone = |server: usize| format!("z{}", server % 2);
    FleetAvailability {
        zone_sizes: vec![("z0".into(), 3), ("z1".into(), 3)],
        unavailable: unavailable.iter().map(|server| (format!("n{server}"), zone(*server))).collect(),
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
    let transition = (1u64..12, proptest::sample::select(Transition::ALL.to_vec()), 0u64..12, 1u64..4);
    let unavailable = proptest::collection::vec(0..SERVERS, 0..2);
    prop_oneof![
        2 => (0..SERVERS).prop_map(|n| FleetCommand::CreateTickets(vec![ticket_request(n)])),
        8 => transition.prop_map(|(ticket, transition, grant, incarnation)| FleetCommand::Transition { ticket, transition, grant, incarnation }),
        4 => (1u64..12, 1u64..4, unavailable).prop_map(|(ticket, incarnation, unavailable)| {
            FleetCommand::Grant { ticket, incarnation, availability: availability(&unavailable) }
        }),
        1 => Just(FleetCommand::Clock),
        1 => prop_oneof![Just(FleetCommand::Pause("x".into())), Just(FleetCommand::Resume)],
    ]
}

fn apply(maintenance: &mut MaintenanceState, entry: &Entry) -> Option<FleetResponse> {
    maintenance.apply(&postcard::to_stdvec(entry).unwrap()).map(|(_, response)| response)
}

/// A state with three voters, whose rules allow two servers out at once and one per zone.
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
    fn limits_and_snapshots_hold_for_any_entries(
        entries in proptest::collection::vec((issuer(), command(), 0u64..8_000), 1..120),
    ) {
        let (mut maintenance, mut at) = (initial_state(), 0);
        for (number, (issuer, command, elapsed)) in entries.into_iter().enumerate() {
            at += elapsed;
            let time_before = maintenance.time();
            let entry = Entry { id: number as u128, at, issuer, command };
            let response = apply(&mut maintenance, &entry);
            prop_assert!(maintenance.time() >= time_before, "the fleet time went backwards");
            // At most two servers have a slot, each under one ticket only; at most one of each zone and one of the voters.
            let servers_out: Vec<&str> = maintenance.tickets_with_slot().keys().map(String::as_str).collect();
            prop_assert!(servers_out.len() <= 2, "more than two servers have a slot: {servers_out:?}");
            let slot_count = maintenance.open().values().filter(|ticket| ticket.stage.has_slot()).count();
            prop_assert_eq!(slot_count, servers_out.len());
            for zone in ["z0", "z1"] {
                let out_in_zone = maintenance.tickets_with_slot().values().filter(|id| maintenance.open()[*id].request.zone == zone).count();
                prop_assert!(out_in_zone <= 1, "{out_in_zone} servers of zone {zone} have a slot");
            }
            let voters_out = servers_out.iter().filter(|name| ["n0", "n1", "n2"].contains(name)).count();
            prop_assert!(voters_out <= 1, "more than one voter has a slot: {servers_out:?}");
            // A repeated entry gets the same response and changes nothing.
            if !matches!(entry.issuer, Issuer::Leader) {
                let before = maintenance.save();
                prop_assert_eq!(apply(&mut maintenance, &entry), response);
                prop_assert_eq!(before, maintenance.save());
            }
            // A state restored from its snapshot is equal, and still equal after later deadlines.
            let mut restored = MaintenanceState::load(&maintenance.save()).unwrap();
            prop_assert_eq!(restored.tickets_with_slot(), maintenance.tickets_with_slot());
            prop_assert_eq!(restored.next_deadline(), maintenance.next_deadline());
            let later = Entry { id: 1 << 100, at: at + 50_000, issuer: Issuer::Leader, command: FleetCommand::Clock };
            apply(&mut restored, &later);
            let mut original = maintenance.clone();
            apply(&mut original, &later);
            prop_assert_eq!(restored.save(), original.save());
        }
    }

    #[test]
    fn arbitrary_bytes_do_not_panic(bytes in proptest::collection::vec(any::<u8>(), 0..200)) {
        let mut maintenance = initial_state();
        let _ = maintenance.apply(&bytes);
        let _ = MaintenanceState::load(&bytes);
    }
}

#[test]
fn ten_thousand_tickets_are_accepted_and_a_request_over_the_maximum_creates_none() {
    let create_tickets = |from: usize, count: usize| {
        FleetCommand::CreateTickets((from..from + count).map(ticket_request).collect())
    };
    let operator_entry = |id, command| Entry { id, at: 0, issuer: Issuer::Operator("ops".into()), command };
    let mut maintenance = initial_state();
    match apply(&mut maintenance, &operator_entry(1, create_tickets(0, 10_000))) {
        Some(FleetResponse::Done(tickets)) => assert_eq!(tickets.len(), 10_000),
        other => panic!("10,000 tickets were not created: {other:?}"),
    }
    let rejected = apply(&mut maintenance, &operator_entry(2, create_tickets(20_000, 3_000)));
    assert_eq!(rejected, Some(FleetResponse::Rejected(Rejection::TooMany(10_000))));
    assert_eq!(maintenance.open().len(), 10_000);
    assert!(maintenance.events().count() <= MAX_EVENTS && MAX_OPEN_TICKETS >= 10_000);
    let restored = MaintenanceState::load(&maintenance.save()).unwrap();
    assert_eq!(restored.open(), maintenance.open());
    // After all tickets are withdrawn, the number of closed tickets and the size of the snapshot are bounded.
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
    assert!(maintenance.save().len() < 1 << 20, "the snapshot has {} bytes", maintenance.save().len());
}
