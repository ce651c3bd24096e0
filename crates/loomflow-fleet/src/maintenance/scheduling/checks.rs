//! The conditions that a ticket has to meet before its server may go.

use std::fmt;

use serde::{Deserialize, Serialize};

use super::SchedulerView;
use crate::maintenance::Census;
use crate::maintenance::headroom::MAX_FILL;
use crate::maintenance::rules::voters_needed;
use crate::maintenance::ticket::{Rejection, Ticket};
use crate::member::MemberState;

/// One condition, in the order in which they are checked.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Check {
    /// Operators have not paused grants.
    Pause,
    /// Its window is open.
    Window,
    /// The server is known and does not have a place by another ticket.
    Server,
    /// All members that are alive send load reports.
    Evidence,
    /// The limits of fleet and zone.
    Budget,
    /// A majority of the voters stays, and does not depend on one machine.
    Voters,
    /// Those who stay can carry the fleet's load.
    Headroom,
    /// The leader has handed over.
    Leader,
    /// No other ticket comes before it.
    #[serde(rename = "Turn")]
    Queue,
}

/// The result of one check, with its figures.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Finding {
    /// Which check.
    pub check: Check,
    /// Whether the condition is met.
    #[serde(rename = "holds")]
    pub is_satisfied: bool,
    /// The figure that was found; its unit is the check's.
    #[serde(rename = "have")]
    pub actual: f64,
    /// The figure that it is compared with.
    #[serde(rename = "need")]
    pub required: f64,
    /// A reason, a zone or a server, as the check has it.
    #[serde(rename = "who")]
    pub detail: Option<String>,
}

impl Finding {
    fn new(check: Check, is_satisfied: bool, actual: f64, required: f64) -> Finding {
        Finding { check, is_satisfied, actual, required, detail: None }
    }
}

impl fmt::Display for Finding {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        let (actual, required) = (self.actual, self.required);
        let detail = self.detail.as_deref().unwrap_or_default();
        match self.check {
            Check::Pause if self.is_satisfied => write!(f, "work is not paused"),
            Check::Pause => write!(f, "work is paused: {detail}"),
            Check::Window if self.is_satisfied => write!(f, "its window is open"),
            Check::Window => write!(f, "its window opens in {:.0} s", actual / 1000.0),
            Check::Server if self.is_satisfied => write!(f, "the server is here"),
            Check::Server => write!(f, "{detail}"),
            Check::Evidence => write!(f, "{actual:.0} of {required:.0} members are seen by young digests"),
            Check::Budget if detail.is_empty() => {
                write!(f, "{actual:.0} would be out at once, {required:.0} may be")
            }
            Check::Budget => {
                write!(f, "{actual:.0} would be out at once in zone {detail}, {required:.0} may be")
            }
            Check::Voters => write!(f, "{actual:.0} voters would stay well, {required:.0} are needed"),
            Check::Headroom => {
                let fill = 100.0 * actual / required.max(f64::MIN_POSITIVE);
                write!(f, "those who stay would carry {actual:.1} runs at once, and bear {required:.1}: ")?;
                write!(f, "{fill:.0}% of the {:.0}% that may be", 100.0 * MAX_FILL)
            }
            Check::Leader if self.is_satisfied => write!(f, "it does not lead"),
            Check::Leader => write!(f, "it leads, and has to hand over first"),
            Check::Queue if self.is_satisfied => write!(f, "nobody is before it"),
            Check::Queue => write!(f, "{actual:.0} are before it, the next is {detail}"),
        }
    }
}

impl SchedulerView<'_> {
    /// Every check but that of the queue, one after the other; each is only made when it is needed.
    pub(super) fn checks<'a>(
        &'a self,
        ticket: &'a Ticket,
        census: &'a Census,
    ) -> impl Iterator<Item = Finding> + 'a {
        let checks: [Box<dyn Fn() -> Finding + 'a>; 8] = [
            Box::new(move || self.check_pause()),
            Box::new(move || self.check_window(ticket)),
            Box::new(move || self.check_server(&ticket.request.server)),
            Box::new(move || self.check_evidence()),
            Box::new(move || self.check_budget(ticket, census)),
            Box::new(move || self.check_voters(ticket, census)),
            Box::new(move || self.check_headroom(&ticket.request.server)),
            Box::new(move || Finding::new(Check::Leader, ticket.request.server != self.leader, 0.0, 0.0)),
        ];
        checks.into_iter().map(|check| check())
    }

    fn check_pause(&self) -> Finding {
        let reason = self.maintenance.paused().map(str::to_owned);
        Finding { detail: reason.clone(), ..Finding::new(Check::Pause, reason.is_none(), 0.0, 0.0) }
    }

    fn check_window(&self, ticket: &Ticket) -> Finding {
        let opens_in = ticket.opens_in(self.now);
        Finding::new(Check::Window, opens_in == 0, opens_in as f64, 0.0)
    }

    fn check_server(&self, server: &str) -> Finding {
        use MemberState::{Down, Left, Suspect};
        let obstacle = match (self.members.get(server), self.maintenance.tickets_with_place().get(server)) {
            (_, Some(other)) => Some(format!("it holds a place by ticket {other}")),
            (None, _) => Some("no server of that name was ever here".into()),
            // It could not receive the grant; one that is suspect may be back at once.
            (Some(member), _) if matches!(member.state, Down | Left | Suspect) => {
                Some(format!("the server is {}", member.state.as_str()))
            }
            _ => None,
        };
        Finding { detail: obstacle.clone(), ..Finding::new(Check::Server, obstacle.is_none(), 0.0, 0.0) }
    }

    /// Members that are alive and send no report may be overloaded, or be cut off from this one alone: nothing is known.
    pub(super) fn check_evidence(&self) -> Finding {
        let alive = self.members.values().filter(|member| member.is_alive());
        let total = alive.clone().count();
        let reporting = alive.filter(|member| member.load_report.is_some()).count();
        Finding::new(Check::Evidence, reporting == total, reporting as f64, total as f64)
    }

    fn check_budget(&self, ticket: &Ticket, census: &Census) -> Finding {
        let (server, zone) = (&ticket.request.server, &ticket.request.zone);
        if let Err(Rejection::NoPlace { out, limit, zone }) =
            self.maintenance.check_place(server, zone, census)
        {
            let finding = Finding::new(Check::Budget, false, f64::from(out) + 1.0, f64::from(limit));
            return Finding { detail: zone, ..finding };
        }
        let (out, limit) = self.maintenance.out_and_limit(server, zone, census);
        Finding::new(Check::Budget, true, out as f64, f64::from(limit))
    }

    fn check_voters(&self, ticket: &Ticket, census: &Census) -> Finding {
        let (server, zone) = (&ticket.request.server, &ticket.request.zone);
        if let Err(Rejection::Voters { stay, needed }) = self.maintenance.check_place(server, zone, census) {
            return Finding::new(Check::Voters, false, f64::from(stay), f64::from(needed));
        }
        let total = self.maintenance.voter_names().len() as u32;
        let needed = voters_needed(total);
        Finding::new(Check::Voters, true, f64::from(total.max(needed)), f64::from(needed))
    }

    fn check_headroom(&self, server: &str) -> Finding {
        let estimate = self.estimate(server);
        let (load, capacity) = (estimate.load(), estimate.remaining_capacity);
        Finding::new(Check::Headroom, estimate.is_sufficient(), load, capacity)
    }
}
