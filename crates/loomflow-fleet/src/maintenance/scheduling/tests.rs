use super::*;
use crate::command::{Entry, FleetCommand, Issuer};
use crate::consensus::StateMachine;
use crate::fixtures::ticket_request;
use crate::maintenance::rules::{Limit, Rules};
use crate::maintenance::ticket::{TicketRequest, Urgency};
use crate::member::LoadReport;

/// A fleet of servers that serve, some of which request maintenance.
struct Fleet {
    maintenance: MaintenanceState,
    members: BTreeMap<ServerName, MemberView>,
    headroom: Headroom,
    entries: u128,
}

impl Fleet {
    /// Servers by name and zone; one may be out.
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

    /// The first check that the oldest ticket does not pass.
    fn first_failed_check(&self) -> Option<Check> {
        let (view, ticket) = (self.view(0), &self.maintenance.open()[&1]);
        let census = view.census();
        view.checks(ticket, &census).find(|finding| !finding.is_satisfied).map(|finding| finding.check)
    }

    /// The server that may go now.
    fn granted(&self, now: FleetMillis) -> Option<String> {
        match self.view(now).decide()? {
            Decision::Grant { ticket, .. } => Some(self.maintenance.open()[&ticket].request.server.clone()),
            Decision::TransferLeadership => Some("after a transfer".into()),
        }
    }
}

const SERVERS: [(&str, &str); 6] =
    [("a", "z1"), ("b", "z1"), ("c", "z2"), ("d", "z2"), ("e", "z3"), ("leader", "z3")];

#[test]
fn a_ticket_rises_by_one_urgency_for_each_half_hour_and_the_leader_goes_last_for_an_hour() {
    let mut fleet = Fleet::new(&SERVERS);
    fleet.request(0, "leader", Urgency::Broken);
    fleet.request(0, "a", Urgency::Routine);
    fleet.request(1_000, "b", Urgency::Urgent);
    assert_eq!(fleet.queue(1_000), ["b", "a", "leader"]);
    assert_eq!(fleet.queue(1_799_999), ["b", "a", "leader"]);
    assert_eq!(fleet.queue(1_800_000), ["a", "b", "leader"], "as urgent now, and older");
    assert_eq!(fleet.queue(3_600_000), ["leader", "a", "b"]);
}

#[test]
fn voters_and_zones_alternate() {
    let mut fleet = Fleet::new(&SERVERS);
    fleet.maintenance.set_voters(vec!["a".into(), "c".into(), "e".into()]);
    for server in ["a", "b", "c", "d"] {
        fleet.request(0, server, Urgency::Routine);
    }
    let census = fleet.view(0).census();
    fleet.apply(0, FleetCommand::Grant { ticket: 1, incarnation: 1, census });
    assert_eq!(fleet.queue(0), ["d", "b", "c"], "not the voter, not the zone that was last");
}

#[test]
fn a_ticket_that_waited_an_hour_for_a_place_is_not_overtaken() {
    let mut fleet = Fleet::new(&SERVERS);
    fleet.maintenance.set_voters(vec!["a".into(), "leader".into()]);
    fleet.request(0, "a", Urgency::Urgent);
    fleet.request(3_500_000, "b", Urgency::Routine);
    assert_eq!(fleet.granted(3_599_999).as_deref(), Some("b"), "of two voters none can go");
    assert_eq!(fleet.granted(3_600_000), None, "the place is kept");
}

#[test]
fn each_condition_holds_a_ticket_back() {
    type Case = (&'static str, Option<Check>, fn(&mut Fleet));
    let cases: [Case; 7] = [
        ("all is well", None, |_| {}),
        ("operators paused grants", Some(Check::Pause), |fleet| {
            fleet.apply(0, FleetCommand::Pause("incident".into()));
        }),
        ("its server is suspect", Some(Check::Server), |fleet| {
            fleet.member("a").state = MemberState::Suspect;
        }),
        ("a member that is alive sends no report", Some(Check::Evidence), |fleet| {
            fleet.member("b").load_report = None;
        }),
        ("another one is out", Some(Check::Budget), |fleet| fleet.member("b").state = MemberState::Down),
        ("a majority of the voters would depend on one", Some(Check::Voters), |fleet| {
            fleet.maintenance.set_voters(vec!["a".into(), "b".into()]);
        }),
        ("the others could not carry the load", Some(Check::Headroom), |fleet| {
            for member in fleet.members.values_mut() {
                member.load_report.as_mut().unwrap().running = 5.7;
            }
        }),
    ];
    for (reason, expected, change) in cases {
        let mut fleet = Fleet::new(&SERVERS);
        fleet.request(0, "a", Urgency::Routine);
        change(&mut fleet);
        assert_eq!(fleet.first_failed_check(), expected, "{reason}");
        assert_eq!(fleet.granted(0).is_some(), expected.is_none(), "{reason}");
    }
}

#[test]
fn a_leader_hands_over_before_it_goes() {
    let mut fleet = Fleet::new(&SERVERS);
    fleet.request(0, "leader", Urgency::Routine);
    assert_eq!(fleet.view(0).decide(), Some(Decision::TransferLeadership));
}
