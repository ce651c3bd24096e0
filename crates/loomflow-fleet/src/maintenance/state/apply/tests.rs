use super::*;
use crate::fixtures::ticket_request;

#[test]
fn ticket_closes_after_third_lapsed_grant() {
    let availability = FleetAvailability { zone_sizes: vec![(String::new(), 3)], unavailable: Vec::new() };
    let mut maintenance = MaintenanceState::default();
    let mut apply = |id: u64, at, command| {
        let entry = Entry { id: u128::from(id), at, issuer: Issuer::Leader, command };
        let response = maintenance.apply_entry(&entry);
        assert!(matches!(response, FleetResponse::Done(_)), "{response:?}");
        maintenance.find(1).map(|ticket| (ticket.stage, ticket.lapses))
    };
    apply(1, 0, FleetCommand::CreateTickets(vec![ticket_request("a")]));
    for lapses in 1..=3 {
        let granted_at = u64::from(lapses) * 60_000;
        apply(
            2,
            granted_at,
            FleetCommand::Grant { ticket: 1, incarnation: 1, availability: availability.clone() },
        );
        let before_deadline = apply(3, granted_at + 29_999, FleetCommand::Clock);
        assert_eq!(before_deadline, Some((TicketStage::Granted, lapses - 1)));
        let expected = if lapses < 3 { TicketStage::Requested } else { TicketStage::Lapsed };
        assert_eq!(apply(4, granted_at + 30_000, FleetCommand::Clock), Some((expected, lapses)));
    }
}
