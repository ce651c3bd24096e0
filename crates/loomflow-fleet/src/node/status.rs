//! Responses to queries: the fleet's status, tickets, explanations, duties and campaigns.

use super::Node;
use crate::command::{FleetRequest, FleetResponse};
use crate::consensus::Consensus;
use crate::duty::DutyResponse;
use crate::maintenance::scheduling::{Explanation, SchedulerView};
use crate::maintenance::state::MaintenanceState;
use crate::maintenance::ticket::TicketStage;
use crate::member::{MemberState, MemberView, ServerName};
use crate::status::{FleetStatus, MemberRow};
use crate::time::IntegerMillis;

/// Maximum number of open tickets in one response.
const MAX_OPEN_IN_RESPONSE: usize = 12_000;
/// Maximum number of closed tickets, and of events, in one response.
const MAX_HISTORY_IN_RESPONSE: usize = 500;

impl Node {
    /// Responds to a query from this member's state. Returns `None` for commands, and for queries of the
    /// replicated state if this member is not a voter.
    pub fn respond_to_query(&self, request: &FleetRequest, now: IntegerMillis) -> Option<FleetResponse> {
        match request {
            FleetRequest::Execute { .. } => None,
            FleetRequest::Status => Some(FleetResponse::Status(Box::new(self.status(now)))),
            FleetRequest::Tickets => {
                let maintenance = self.maintenance()?;
                let closed = maintenance.closed().rev().take(MAX_HISTORY_IN_RESPONSE);
                let events = maintenance.events().rev().take(MAX_HISTORY_IN_RESPONSE);
                Some(FleetResponse::Tickets {
                    open: maintenance.open().values().take(MAX_OPEN_IN_RESPONSE).cloned().collect(),
                    closed: closed.cloned().collect(),
                    events: events.cloned().collect(),
                })
            }
            FleetRequest::Duties => {
                let list = self.fleet_state()?.duties.list();
                Some(FleetResponse::Duty(DutyResponse::List(Box::new(list))))
            }
            FleetRequest::Campaigns => {
                let state = self.fleet_state()?;
                let views = state.campaigns.views(&state.maintenance, &self.member_views(now));
                Some(FleetResponse::Campaigns(views))
            }
            FleetRequest::Explain(server) => Some(FleetResponse::Explanation(self.explain(server, now)?)),
        }
    }

    fn explain(&self, server: &str, now: IntegerMillis) -> Option<Explanation> {
        let view = SchedulerView {
            maintenance: self.maintenance()?,
            members: &self.member_views(now),
            headroom: &self.headroom,
            now: self.fleet_time(now),
            leader: &self.config.name,
        };
        Some(view.explain(server))
    }

    /// The fleet's status as this member sees it; it may be outdated unless this member leads.
    pub fn status(&self, now: IntegerMillis) -> FleetStatus {
        let empty = MaintenanceState::default();
        let maintenance = self.maintenance().unwrap_or(&empty);
        let voters = self.consensus.as_ref().map(Consensus::voters).unwrap_or_default();
        let members = self.member_views(now).into_iter();
        let members = members.map(|(name, view)| self.member_row(name, view, maintenance, &voters, now));
        FleetStatus {
            fleet: self.config.fleet.clone(),
            leader: self.leader().cloned(),
            term: self.consensus.as_ref().map_or(0, Consensus::term),
            index: self.consensus.as_ref().map_or(0, Consensus::applied_index),
            members: members.collect(),
            voters: voters.clone(),
            is_from_leader: self.is_leader(),
            rules: maintenance.rules().cloned().unwrap_or_else(|| self.config.rules.clone()),
            paused: maintenance.paused().map(str::to_owned),
            open: maintenance.open().len() as u32,
            out: maintenance.tickets_with_slot().len() as u32,
            drains_without_ticket: maintenance.drains_without_ticket(),
            time: maintenance.time(),
            storage_error: self.storage_error.clone(),
            summary: self.summary_report(now),
            rejected_messages: self.rejected_messages(),
        }
    }

    fn member_row(
        &self,
        name: ServerName,
        view: MemberView,
        maintenance: &MaintenanceState,
        voters: &[ServerName],
        now: IntegerMillis,
    ) -> MemberRow {
        let known = self.membership.get(&name);
        let last_report = known.map_or(self.load, |known| known.load_report);
        let ticket = maintenance.ticket_with_slot(&name).map(|ticket| (ticket.id, ticket.stage));
        let has_started = ticket.is_some_and(|(_, stage)| stage != TicketStage::Granted);
        let is_out = has_started && !view.is_alive();
        MemberRow {
            zone: view.zone,
            address: known.map_or(self.config.address, |known| known.identity.address).to_string(),
            incarnation: view.incarnation,
            state: if is_out { MemberState::Out } else { view.state },
            is_voter: voters.contains(&name),
            load_report: last_report.map(|received| received.report),
            report_age_millis: last_report.map(|received| now.saturating_sub(received.at)),
            ticket,
            name,
        }
    }
}
