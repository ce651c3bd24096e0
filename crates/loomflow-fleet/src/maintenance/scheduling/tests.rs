use super::*;
use crate::command::{Entry, FleetCommand, Issuer};
use crate::consensus::StateMachine;
use crate::fixtures::ticket_request;
use crate::maintenance::rules::{Limit, Rules};
use crate::maintenance::ticket::{TicketRequest, Urgency};
use crate::member::LoadReport;

/// The leader's view of a fleet in which all servers are serving.
struct Fleet {
    maintenance: MaintenanceState,
    members: BTreeMap<ServerName, MemberView>,
    headroom: Headroom,
    entries: u128,
}

impl Fleet {
    /// Creates a fleet of servers, given by name and zone, of which one may be out at a time.
    fn new(servers: &[(&str, &str)]) -> Fleet {
        let report =
            LoadReport { share: 1.0, limit: 8.0, running: 2.0, healthy: true, ..LoadReport::default() };
        let view = |zone: &str| MemberView {
            zone: zone.to_owned(),
            state: MemberState::Serving,
            incarnation: 1,
            load_report: Some(report),
        };
        let members = servers.iter().map(|(name, zone)| ((*name).to_owned(), view(zone))).collect();
        let (maintenance, headroom) = (MaintenanceState::default(), Headroom::default());
        let mut fleet = Fleet { maintenance, members, headroom, entries: 0 };
        fleet.apply(0, FleetCommand::Rules(Rules { max_out: Limit::Count(1), ..Rules::default() }));
        fleet
    }

    fn apply(&mut self, at: FleetMillis, command: FleetCommand) {
        self.entries += 1;
        let issuer = match command {
            FleetCommand::Pause(_) | FleetCommand::Resume => Issuer::Operator("ops".into()),
            _ => Issuer::Leader,
        };
        let entry = Entry { id: self.entries, at, issuer, command };
        self.maintenance.apply(&postcard::to_stdvec(&entry).unwrap());
    }

    fn request(&mut self, at: FleetMillis, server: &str, urgency: Urgency) {
        let zone = self.members[server].zone.clone();
        let request = TicketRequest { zone, urgency, ..ticket_request(server) };
        self.apply(at, FleetCommand::CreateTickets(vec![request]));
    }

    fn member(&mut self, name: &str) -> &mut MemberView {
        self.members.get_mut(name).unwrap()
    }

    fn view(&self, now: FleetMillis) -> SchedulerView<'_> {
        SchedulerView {
            maintenance: &self.maintenance,
            members: &self.members,
            headroom: &self.headroom,
            now,
            leader: "leader",
        }
    }

    fn queue(&self, now: FleetMillis) -> Vec<String> {
        let view = self.view(now);
        view.waiting_tickets().iter().map(|ticket| ticket.request.server.clone()).collect()
    }

    /// The first check that ticket 1 fails.
    fn first_failed_check(&self) -> Option<Check> {
        let (view, ticket) = (self.view(0), &self.maintenance.open()[&1]);
        let availability = view.availability();
        view.checks(ticket, &availability).find(|finding| !finding.is_satisfied).map(|finding| finding.check)
    }

    /// The server that is granted next, or "after a transfer" where leadership has to be transferred first.
    fn next_granted(&self, now: FleetMillis) -> Option<String> {
        match self.view(now).decide()? {
            Decision::Grant { ticket, .. } => Some(self.maintenance.open()[&ticket].request.server.clone()),
            Decision::TransferLeadership => Some("after a transfer".into()),
        }
    }
}

const SERVERS: [(&str, &str); 6] =
    [("a", "z1"), ("b", "z1"), ("c", "z2"), ("d", "z2"), ("e", "z3"), ("leader", "z3")];

#[test]
fn urgency_rises_each_half_hour_and_leader_goes_last_for_an_hour() {
    let mut fleet = Fleet::new(&SERVERS);
    fleet.request(0, "leader", Urgency::Broken);
    fleet.request(0, "a", Urgency::Routine);
    fleet.request(1_000, "b", Urgency::Urgent);
    assert_eq!(fleet.queue(1_000), ["b", "a", "leader"]);
    assert_eq!(fleet.queue(1_799_999), ["b", "a", "leader"]);
    assert_eq!(
        fleet.queue(1_800_000),
        ["a", "b", "leader"],
        "a is as urgent as b after half an hour, and older"
    );
    assert_eq!(fleet.queue(3_600_000), ["leader", "a", "b"]);
}

#[test]
fn consecutive_grants_alternate_voters_and_zones() {
    let mut fleet = Fleet::new(&SERVERS);
    fleet.maintenance.set_voters(vec!["a".into(), "c".into(), "e".into()]);
    for server in ["a", "b", "c", "d"] {
        fleet.request(0, server, Urgency::Routine);
    }
    let availability = fleet.view(0).availability();
    fleet.apply(0, FleetCommand::Grant { ticket: 1, incarnation: 1, availability });
    assert_eq!(fleet.queue(0), ["d", "b", "c"], "d is neither a voter nor in the zone of the last grant");
}

#[test]
fn ticket_that_waited_an_hour_is_not_overtaken() {
    let mut fleet = Fleet::new(&SERVERS);
    fleet.maintenance.set_voters(vec!["a".into(), "leader".into()]);
    fleet.request(0, "a", Urgency::Urgent);
    fleet.request(3_500_000, "b", Urgency::Routine);
    assert_eq!(fleet.next_granted(3_599_999).as_deref(), Some("b"), "neither of two voters can be granted");
    assert_eq!(fleet.next_granted(3_600_000), None, "the slot is reserved for a");
}

#[test]
fn each_unmet_condition_blocks_the_grant() {
    type Case = (&'static str, Option<Check>, fn(&mut Fleet));
    let cases: [Case; 7] = [
        ("all conditions are met", None, |_| {}),
        ("grants are paused", Some(Check::Pause), |fleet| {
            fleet.apply(0, FleetCommand::Pause("incident".into()));
        }),
        ("the server is suspect", Some(Check::Server), |fleet| {
            fleet.member("a").state = MemberState::Suspect;
        }),
        ("a live member has no load report", Some(Check::LoadReports), |fleet| {
            fleet.member("b").load_report = None;
        }),
        ("another server is down", Some(Check::Budget), |fleet| fleet.member("b").state = MemberState::Down),
        ("too few voters would remain", Some(Check::Voters), |fleet| {
            fleet.maintenance.set_voters(vec!["a".into(), "b".into()]);
        }),
        ("the remaining servers could not carry the load", Some(Check::Headroom), |fleet| {
            for member in fleet.members.values_mut() {
                member.load_report.as_mut().unwrap().running = 5.7;
            }
        }),
    ];
    for (condition, expected, change) in cases {
        let mut fleet = Fleet::new(&SERVERS);
        fleet.request(0, "a", Urgency::Routine);
        change(&mut fleet);
        assert_eq!(fleet.first_failed_check(), expected, "{condition}");
        assert_eq!(fleet.next_granted(0).is_some(), expected.is_none(), "{condition}");
    }
}

#[test]
fn leader_transfers_leadership_before_its_grant() {
    let mut fleet = Fleet::new(&SERVERS);
    fleet.request(0, "leader", Urgency::Routine);
    assert_eq!(fleet.view(0).decide(), Some(Decision::TransferLeadership));
}
