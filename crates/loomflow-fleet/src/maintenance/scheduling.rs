//! Which server is next, and why each of the others waits. Used by the leader alone; its decision is checked again when it is
//! applied.
//!
//! This file puts the tickets in their order and decides; `checks` has the conditions that a ticket has to meet.

mod checks;

use std::cmp::Reverse;
use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use super::Census;
use super::headroom::{Estimate, Headroom};
use super::state::MaintenanceState;
use super::ticket::{Ticket, TicketId, TicketStage};
use crate::member::{Incarnation, MemberState, MemberView, ServerName, Zone};
use crate::time::FleetMillis;
pub use checks::{Check, Finding};

/// A ticket rises by one urgency each time that it has waited this long, ms.
pub const AGEING_MILLIS: FleetMillis = 30 * 60 * 1000;
/// One that has waited this long for a place is not overtaken, ms: a place that becomes available is reserved for it.
pub const NO_OVERTAKING_AFTER_MILLIS: FleetMillis = 2 * AGEING_MILLIS;
/// Tickets that are considered in one round.
const MAX_TICKETS_CONSIDERED: usize = 256;

/// Why a server waits, or that it does not.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Explanation {
    /// The server.
    pub server: ServerName,
    /// What it is doing; none where the fleet does not know it.
    #[serde(rename = "standing")]
    pub state: Option<MemberState>,
    /// The ticket that this is about, with its stage; none where none is open.
    pub ticket: Option<(TicketId, TicketStage)>,
    /// Every check, where the ticket waits.
    pub findings: Vec<Finding>,
    /// Load and capacity if this one left.
    pub estimate: Estimate,
}

/// What the leader decides by.
pub struct SchedulerView<'a> {
    /// Tickets and rules.
    pub maintenance: &'a MaintenanceState,
    /// All members.
    pub members: &'a BTreeMap<ServerName, MemberView>,
    /// The recent load.
    pub headroom: &'a Headroom,
    /// The fleet's time.
    pub now: FleetMillis,
    /// The leader's own name.
    pub leader: &'a str,
}

/// What to do about the ticket that comes next.
#[derive(Clone, Debug, PartialEq)]
pub enum Decision {
    /// Its server may go.
    Grant {
        /// The ticket.
        ticket: TicketId,
        /// The start of its server that may go.
        incarnation: Incarnation,
    },
    /// Its server leads: another has to lead before it leaves.
    TransferLeadership,
}

impl SchedulerView<'_> {
    /// The members by zone, and who counts as out whatever their tickets.
    pub fn census(&self) -> Census {
        let mut zones: BTreeMap<Zone, u32> = BTreeMap::new();
        for member in self.members.values() {
            *zones.entry(member.zone.clone()).or_default() += 1;
        }
        let away = self.members.iter().filter(|(_, member)| !member.is_serving());
        Census {
            zones: zones.into_iter().collect(),
            away: away.map(|(name, member)| (name.clone(), member.zone.clone())).collect(),
        }
    }

    /// What to do now; none where all tickets wait.
    pub fn decide(&self) -> Option<Decision> {
        let census = self.census();
        for ticket in self.waiting_tickets().into_iter().take(MAX_TICKETS_CONSIDERED) {
            let failed = self.checks(ticket, &census).find(|finding| !finding.is_satisfied);
            match failed.map(|finding| finding.check) {
                None => {
                    let incarnation = self.members.get(&ticket.request.server)?.incarnation;
                    return Some(Decision::Grant { ticket: ticket.id, incarnation });
                }
                Some(Check::Leader) => return Some(Decision::TransferLeadership),
                // These concern all tickets alike.
                Some(Check::Pause | Check::Evidence) => return None,
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

    /// Whether the conditions of a grant that was not taken up yet are still met. What has been committed since is in the
    /// limits already.
    pub fn is_grant_still_valid(&self, ticket: &Ticket) -> bool {
        self.check_evidence().is_satisfied && self.estimate(&ticket.request.server).is_sufficient()
    }

    /// Why a server waits, check by check.
    pub fn explain(&self, server: &str) -> Explanation {
        let ticket = self.maintenance.ticket_with_place(server);
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

    /// Every check of a waiting ticket, its place in the queue included.
    fn findings(&self, ticket: &Ticket) -> Vec<Finding> {
        let mut findings: Vec<Finding> = self.checks(ticket, &self.census()).collect();
        let queue = self.waiting_tickets();
        let before: Vec<&&Ticket> = queue.iter().take_while(|other| other.id != ticket.id).collect();
        findings.push(Finding {
            check: Check::Queue,
            is_satisfied: before.is_empty(),
            actual: before.len() as f64,
            required: 0.0,
            detail: before.first().map(|first| first.request.server.clone()),
        });
        findings
    }

    fn waiting_millis(&self, ticket: &Ticket) -> FleetMillis {
        self.now.saturating_sub(ticket.requested_at)
    }

    /// Waiting tickets in the order in which they are considered: the leader last; urgency with age; a voter not right after
    /// another; a zone not right after itself, nor while it is busy; then the oldest first.
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

    /// Load and capacity if this server left, beside those that are out.
    fn estimate(&self, server: &str) -> Estimate {
        let stays = |name: &str| name != server && !self.maintenance.has_place(name);
        self.headroom.estimate(self.members, &stays)
    }
}

#[cfg(test)]
mod tests;
