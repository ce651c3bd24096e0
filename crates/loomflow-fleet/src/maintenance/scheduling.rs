//! Scheduling of grants: which server goes next, and why each of the others waits. Runs on the leader alone; the state
//! machine checks its decisions again when it applies them.
//!
//! This file orders the waiting tickets and decides; `checks` holds the conditions that a ticket has to meet.

mod checks;

use std::cmp::Reverse;
use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use super::FleetAvailability;
use super::headroom::{Estimate, Headroom};
use super::state::MaintenanceState;
use super::ticket::{Ticket, TicketId, TicketStage};
use crate::member::{Incarnation, MemberState, MemberView, ServerName, Zone};
use crate::time::FleetMillis;
pub use checks::{Check, Finding};

/// Waiting time that raises the priority of a ticket by one urgency, ms.
pub const AGEING_MILLIS: FleetMillis = 30 * 60 * 1000;
/// Waiting time after which a ticket is not overtaken, ms: while it fails the check of budget, voters or headroom, no ticket
/// behind it is granted, so that the next free slot is reserved for it.
pub const NO_OVERTAKING_AFTER_MILLIS: FleetMillis = 2 * AGEING_MILLIS;
/// Maximum number of tickets that are considered in one round.
const MAX_TICKETS_CONSIDERED: usize = 256;

/// The result of `explain`: why a server waits for its grant, if it does.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Explanation {
    /// Name of the server.
    pub server: ServerName,
    /// Membership state of the server; `None` if no member has that name.
    #[serde(rename = "standing")]
    pub state: Option<MemberState>,
    /// The ticket under which the server has a slot, or else its oldest open ticket, with the stage; `None`
    /// if the server has no open ticket.
    pub ticket: Option<(TicketId, TicketStage)>,
    /// Results of all checks; empty unless the ticket waits for its grant.
    pub findings: Vec<Finding>,
    /// The fleet's load, and the capacity that would remain without the server.
    pub estimate: Estimate,
}

/// The leader's view of the fleet on which its decisions are based.
pub struct SchedulerView<'a> {
    /// Replicated state: tickets, rules and voters.
    pub maintenance: &'a MaintenanceState,
    /// State and load report of every member, by name.
    pub members: &'a BTreeMap<ServerName, MemberView>,
    /// The fleet's load over the last minutes.
    pub headroom: &'a Headroom,
    /// Current fleet time, ms.
    pub now: FleetMillis,
    /// Name of the leader itself.
    pub leader: &'a str,
}

/// The action that the leader takes next.
#[derive(Clone, Debug, PartialEq)]
pub enum Decision {
    /// Grant a ticket a slot.
    Grant {
        /// Number of the ticket.
        ticket: TicketId,
        /// The incarnation of the server that the grant is valid for.
        incarnation: Incarnation,
    },
    /// Transfer leadership, because the next ticket is for the leader itself.
    TransferLeadership,
}

impl SchedulerView<'_> {
    /// The number of members in each zone, and the members that count as out even without a ticket.
    pub fn availability(&self) -> FleetAvailability {
        let mut zone_sizes: BTreeMap<Zone, u32> = BTreeMap::new();
        for member in self.members.values() {
            *zone_sizes.entry(member.zone.clone()).or_default() += 1;
        }
        let unavailable = self.members.iter().filter(|(_, member)| !member.is_serving());
        FleetAvailability {
            zone_sizes: zone_sizes.into_iter().collect(),
            unavailable: unavailable.map(|(name, member)| (name.clone(), member.zone.clone())).collect(),
        }
    }

    /// The next action; `None` while every ticket has to wait.
    pub fn decide(&self) -> Option<Decision> {
        let availability = self.availability();
        for ticket in self.waiting_tickets().into_iter().take(MAX_TICKETS_CONSIDERED) {
            let failed = self.checks(ticket, &availability).find(|finding| !finding.is_satisfied);
            match failed.map(|finding| finding.check) {
                None => {
                    let incarnation = self.members.get(&ticket.request.server)?.incarnation;
                    return Some(Decision::Grant { ticket: ticket.id, incarnation });
                }
                Some(Check::Leader) => return Some(Decision::TransferLeadership),
                // These conditions do not depend on the ticket: no other ticket meets them either.
                Some(Check::Pause | Check::LoadReports) => return None,
                Some(Check::Budget | Check::Voters | Check::Headroom)
                    if self.waiting_millis(ticket) >= NO_OVERTAKING_AFTER_MILLIS =>
                {
                    return None;
                }
                Some(_) => {}
            }
        }
        None
    }

    /// Whether the conditions of a grant that was not accepted yet are still met: load reports and headroom. The limits need
    /// no second check, because grants committed later already count this server as out.
    pub fn is_grant_still_valid(&self, ticket: &Ticket) -> bool {
        self.check_load_reports().is_satisfied && self.estimate(&ticket.request.server).is_sufficient()
    }

    /// Explains why a server waits, with the result of each check.
    pub fn explain(&self, server: &str) -> Explanation {
        let ticket = self.maintenance.ticket_with_slot(server);
        let ticket = ticket.or_else(|| self.maintenance.tickets_of(server).next());
        let findings = match ticket {
            Some(ticket) if ticket.stage == TicketStage::Requested => self.findings(ticket),
            _ => Vec::new(),
        };
        Explanation {
            server: server.to_owned(),
            state: self.members.get(server).map(|member| member.state),
            ticket: ticket.map(|ticket| (ticket.id, ticket.stage)),
            findings,
            estimate: self.estimate(server),
        }
    }

    /// Results of all checks of a waiting ticket, including its position in the queue.
    fn findings(&self, ticket: &Ticket) -> Vec<Finding> {
        let mut findings: Vec<Finding> = self.checks(ticket, &self.availability()).collect();
        let queue = self.waiting_tickets();
        let ahead: Vec<&&Ticket> = queue.iter().take_while(|other| other.id != ticket.id).collect();
        findings.push(Finding {
            check: Check::Queue,
            is_satisfied: ahead.is_empty(),
            actual: ahead.len() as f64,
            required: 0.0,
            detail: ahead.first().map(|first| first.request.server.clone()),
        });
        findings
    }

    fn waiting_millis(&self, ticket: &Ticket) -> FleetMillis {
        self.now.saturating_sub(ticket.requested_at)
    }

    /// Waiting tickets in the order in which they are considered: the leader's own last, until it has waited for
    /// [`NO_OVERTAKING_AFTER_MILLIS`]; then by urgency, raised with age; voters later if the last grant was for a voter;
    /// zones later if the last grant was for the same zone, or while they are busy; then the oldest first.
    fn waiting_tickets(&self) -> Vec<&Ticket> {
        let open = self.maintenance.open().values();
        let mut waiting: Vec<&Ticket> =
            open.filter(|ticket| ticket.stage == TicketStage::Requested).collect();
        let last_granted = self.maintenance.last_granted();
        let is_voter = |name: &str| self.maintenance.voter_names().iter().any(|voter| voter == name);
        let was_voter_last = is_voter(&last_granted.name);
        let mut busy_zones: BTreeMap<&str, bool> = BTreeMap::new();
        for ticket in &waiting {
            let zone = ticket.request.zone.as_str();
            busy_zones.entry(zone).or_insert_with(|| self.headroom.is_busy(zone, self.members));
        }
        waiting.sort_by_cached_key(|ticket| {
            let (server, zone) = (ticket.request.server.as_str(), ticket.request.zone.as_str());
            let age = self.waiting_millis(ticket);
            (
                server == self.leader && age < NO_OVERTAKING_AFTER_MILLIS,
                Reverse(ticket.request.urgency as u64 + age / AGEING_MILLIS),
                was_voter_last && is_voter(server),
                zone == last_granted.zone,
                busy_zones.get(zone).copied().unwrap_or(false),
                ticket.id,
            )
        });
        waiting
    }

    /// The fleet's load, and the capacity that would remain without this server and those that have a slot.
    fn estimate(&self, server: &str) -> Estimate {
        let remains = |name: &str| name != server && !self.maintenance.has_slot(name);
        self.headroom.estimate(self.members, &remains)
    }
}

#[cfg(test)]
mod tests;
