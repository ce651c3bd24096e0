//! The conditions that a ticket has to meet before it is granted.

use std::fmt;

use serde::{Deserialize, Serialize};

use super::SchedulerView;
use crate::maintenance::FleetAvailability;
use crate::maintenance::headroom::MAX_UTILIZATION;
use crate::maintenance::rules::voters_needed;
use crate::maintenance::ticket::{Rejection, Ticket};
use crate::member::MemberState;

/// A condition for a grant: each variant is met if its description is true. Conditions are checked in this
/// order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Check {
    /// Grants are not paused by an operator.
    Pause,
    /// The ticket's window has opened.
    Window,
    /// The server is a reachable member and has no slot under another ticket.
    Server,
    /// All members that are alive have a recent load report.
    #[serde(rename = "Evidence")]
    LoadReports,
    /// The limits on servers out of service at once, for the fleet and for the zone, allow one more.
    Budget,
    /// Enough healthy voters remain, see [`voters_needed`].
    Voters,
    /// The remaining servers can carry the fleet's load.
    Headroom,
    /// The ticket's server is not the leader, which would have to transfer its leadership first.
    Leader,
    /// No other ticket is ahead in the queue.
    #[serde(rename = "Turn")]
    Queue,
}

/// The result of one check, with the figures that were compared.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Finding {
    /// The condition that was checked.
    pub check: Check,
    /// Whether the ticket meets the condition.
    #[serde(rename = "holds")]
    pub is_satisfied: bool,
    /// The measured figure: servers, voters, members or tickets, concurrent runs, or ms, depending on the check.
    #[serde(rename = "have")]
    pub actual: f64,
    /// The figure that `actual` is compared with, in the same unit.
    #[serde(rename = "need")]
    pub required: f64,
    /// Depending on the check: a reason, a zone, or the server next in the queue.
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
            Check::Pause if self.is_satisfied => write!(f, "grants are not paused"),
            Check::Pause => write!(f, "grants are paused: {detail}"),
            Check::Window if self.is_satisfied => write!(f, "the ticket's window is open"),
            Check::Window => write!(f, "the ticket's window opens in {:.0} s", actual / 1000.0),
            Check::Server if self.is_satisfied => {
                write!(f, "the server is a reachable member without a slot")
            }
            Check::Server => write!(f, "{detail}"),
            Check::LoadReports => {
                write!(f, "{actual:.0} of {required:.0} live members have a recent load report")
            }
            Check::Budget if detail.is_empty() => {
                write!(f, "{actual:.0} servers would be out at once, the limit is {required:.0}")
            }
            Check::Budget => {
                write!(
                    f,
                    "{actual:.0} servers would be out at once in zone {detail}, the limit is {required:.0}"
                )
            }
            Check::Voters => write!(f, "{actual:.0} healthy voters would remain, {required:.0} are required"),
            Check::Headroom => {
                let utilization = 100.0 * actual / required.max(f64::MIN_POSITIVE);
                write!(
                    f,
                    "the remaining servers would carry {actual:.1} concurrent runs with a capacity of {required:.1}: "
                )?;
                write!(f, "utilization {utilization:.0}%, the limit is {:.0}%", 100.0 * MAX_UTILIZATION)
            }
            Check::Leader if self.is_satisfied => write!(f, "the server is not the leader"),
            Check::Leader => write!(f, "the server is the leader and has to transfer leadership first"),
            Check::Queue if self.is_satisfied => write!(f, "no ticket is ahead in the queue"),
            Check::Queue => {
                write!(f, "{actual:.0} tickets are ahead in the queue, the first is for {detail}")
            }
        }
    }
}

impl SchedulerView<'_> {
    /// Results of all checks except [`Check::Queue`], in order. Each check is evaluated only when the iterator reaches it.
    pub(super) fn checks<'a>(
        &'a self,
        ticket: &'a Ticket,
        availability: &'a FleetAvailability,
    ) -> impl Iterator<Item = Finding> + 'a {
        let checks: [Box<dyn Fn() -> Finding + 'a>; 8] = [
            Box::new(move || self.check_pause()),
            Box::new(move || self.check_window(ticket)),
            Box::new(move || self.check_server(&ticket.request.server)),
            Box::new(move || self.check_load_reports()),
            Box::new(move || self.check_budget(ticket, availability)),
            Box::new(move || self.check_voters(ticket, availability)),
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
        let obstacle = match (self.members.get(server), self.maintenance.tickets_with_slot().get(server)) {
            (_, Some(other)) => {
                Some(format!("the server already has a maintenance slot under ticket {other}"))
            }
            (None, _) => Some("no server of that name has joined the fleet".into()),
            // Servers in these states cannot receive a grant. A suspect server may be reachable again
            // shortly.
            (Some(member), _) if matches!(member.state, Down | Left | Suspect) => {
                Some(format!("the server is {}", member.state.as_str()))
            }
            _ => None,
        };
        Finding { detail: obstacle.clone(), ..Finding::new(Check::Server, obstacle.is_none(), 0.0, 0.0) }
    }

    /// A live member without a recent load report may be overloaded, or unreachable from the leader only. Its load is
    /// unknown, so nothing is granted.
    pub(super) fn check_load_reports(&self) -> Finding {
        let alive = self.members.values().filter(|member| member.is_alive());
        let total = alive.clone().count();
        let reporting = alive.filter(|member| member.load_report.is_some()).count();
        Finding::new(Check::LoadReports, reporting == total, reporting as f64, total as f64)
    }

    fn check_budget(&self, ticket: &Ticket, availability: &FleetAvailability) -> Finding {
        let (server, zone) = (&ticket.request.server, &ticket.request.zone);
        if let Err(Rejection::NoSlot { out, limit, zone }) =
            self.maintenance.check_slot(server, zone, availability)
        {
            let finding = Finding::new(Check::Budget, false, f64::from(out) + 1.0, f64::from(limit));
            return Finding { detail: zone, ..finding };
        }
        let (out, limit) = self.maintenance.out_and_limit(server, zone, availability);
        Finding::new(Check::Budget, true, out as f64, f64::from(limit))
    }

    fn check_voters(&self, ticket: &Ticket, availability: &FleetAvailability) -> Finding {
        let (server, zone) = (&ticket.request.server, &ticket.request.zone);
        if let Err(Rejection::Voters { remaining, needed }) =
            self.maintenance.check_slot(server, zone, availability)
        {
            return Finding::new(Check::Voters, false, f64::from(remaining), f64::from(needed));
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
