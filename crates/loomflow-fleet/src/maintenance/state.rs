//! The replicated state machine for maintenance. It checks every transition against the table and the limits again, because
//! the leader's view may be outdated by the time its decision is committed.
//!
//! This file holds the state, its accessors and its snapshot; `apply` holds the changes to it, and `limits` the limits on
//! servers that are out of service.

mod apply;
mod limits;

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use serde::{Deserialize, Serialize};

use super::rules::Rules;
use super::ticket::{GrantNumber, Ticket, TicketId, TicketStage};
use crate::command::{Entry, FleetResponse};
use crate::consensus::{RECOVERY_ID_GAP, SnapshotError, StateMachine};
use crate::member::{FleetRequestId, ServerName, Zone};
use crate::time::FleetMillis;

/// Maximum number of open tickets; further ones are rejected.
pub const MAX_OPEN_TICKETS: usize = 12_000;
/// Number of closed tickets that are retained; the oldest are dropped.
pub const MAX_CLOSED_TICKETS: usize = 1_000;
/// Number of events that are retained; the oldest are dropped.
pub const MAX_EVENTS: usize = 2_000;
/// Number of responses that are retained, so that a retried request gets the response to its first attempt.
const MAX_REMEMBERED_RESPONSES: usize = 1_024;
/// Number of lapsed grants after which a ticket is closed.
const MAX_LAPSES: u8 = 3;

/// An event of the history: a ticket was created or changed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TicketEvent {
    /// Fleet time of the event, ms.
    pub at: FleetMillis,
    /// Number of the ticket.
    pub ticket: TicketId,
    /// The server that the ticket is for.
    pub server: ServerName,
    /// The ticket's stage after the event.
    pub stage: TicketStage,
    /// Number of the ticket's last grant; 0 before the first one.
    pub grant: GrantNumber,
}

/// The server of a grant, remembered so that voters and zones take turns.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct GrantedServer {
    /// Name of the server; empty before the first grant.
    pub name: ServerName,
    /// Zone of the server.
    pub zone: Zone,
}

/// The contents of a snapshot; the indexes of [`MaintenanceState`] are rebuilt from it.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
struct PersistentState {
    time: FleetMillis,
    last_ticket: TicketId,
    last_grant: GrantNumber,
    open: BTreeMap<TicketId, Ticket>,
    closed: VecDeque<Ticket>,
    rules: Option<Rules>,
    voters: Vec<ServerName>,
    paused: Option<String>,
    drains_without_ticket: u64,
    last_granted: GrantedServer,
    events: VecDeque<TicketEvent>,
    responses: VecDeque<(FleetRequestId, FleetResponse)>,
}

/// Tickets, rules and history, with indexes for lookup.
#[derive(Clone, Debug, Default)]
pub struct MaintenanceState {
    state: PersistentState,
    /// The ticket under which each server has a slot.
    tickets_with_slot: BTreeMap<ServerName, TicketId>,
    /// Deadlines of open tickets, earliest first.
    deadlines: BTreeSet<(FleetMillis, TicketId)>,
    /// Numbers of each server's open tickets.
    tickets_by_server: BTreeMap<ServerName, BTreeSet<TicketId>>,
}

impl MaintenanceState {
    /// Fleet time to which the state has advanced, ms.
    pub fn time(&self) -> FleetMillis {
        self.state.time
    }

    /// Open tickets by number.
    pub fn open(&self) -> &BTreeMap<TicketId, Ticket> {
        &self.state.open
    }

    /// Retained closed tickets, oldest first; at most [`MAX_CLOSED_TICKETS`].
    pub fn closed(&self) -> impl DoubleEndedIterator<Item = &Ticket> {
        self.state.closed.iter()
    }

    /// Retained events, oldest first; at most [`MAX_EVENTS`].
    pub fn events(&self) -> impl DoubleEndedIterator<Item = &TicketEvent> {
        self.state.events.iter()
    }

    /// The rules in force; `None` before the first were committed.
    pub fn rules(&self) -> Option<&Rules> {
        self.state.rules.as_ref()
    }

    /// Names of the servers that vote in the consensus group.
    pub fn voter_names(&self) -> &[ServerName] {
        &self.state.voters
    }

    /// The operator's reason for pausing grants; `None` while they are not paused.
    pub fn paused(&self) -> Option<&str> {
        self.state.paused.as_deref()
    }

    /// Number of shutdowns without a ticket since the fleet was created.
    pub fn drains_without_ticket(&self) -> u64 {
        self.state.drains_without_ticket
    }

    /// The server of the most recent grant; its name is empty before the first one.
    pub fn last_granted(&self) -> &GrantedServer {
        &self.state.last_granted
    }

    /// The ticket under which each server has a slot.
    pub fn tickets_with_slot(&self) -> &BTreeMap<ServerName, TicketId> {
        &self.tickets_with_slot
    }

    /// Whether a server has a slot: its ticket is granted and not done or abandoned yet, so that the server counts as out.
    pub fn has_slot(&self, server: &str) -> bool {
        self.tickets_with_slot.contains_key(server)
    }

    /// The ticket under which a server has a slot.
    pub fn ticket_with_slot(&self, server: &str) -> Option<&Ticket> {
        self.state.open.get(self.tickets_with_slot.get(server)?)
    }

    /// Open tickets of a server, oldest first.
    pub fn tickets_of(&self, server: &str) -> impl Iterator<Item = &Ticket> {
        let ids = self.tickets_by_server.get(server).into_iter().flatten();
        ids.filter_map(|id| self.state.open.get(id))
    }

    /// Finds a ticket by number among the open and the retained closed ones.
    pub fn find(&self, id: TicketId) -> Option<&Ticket> {
        self.state.open.get(&id).or_else(|| self.state.closed.iter().find(|ticket| ticket.id == id))
    }

    /// Fleet time of the earliest deadline of an open ticket, ms.
    pub fn next_deadline(&self) -> Option<FleetMillis> {
        self.deadlines.first().map(|(at, _)| *at)
    }
}

impl StateMachine for MaintenanceState {
    type Output = (FleetRequestId, FleetResponse);

    fn apply(&mut self, entry: &[u8]) -> Option<(FleetRequestId, FleetResponse)> {
        let entry: Entry = postcard::from_bytes(entry).ok()?;
        Some((entry.id, self.apply_entry(&entry)))
    }

    fn set_voters(&mut self, names: Vec<ServerName>) {
        self.state.voters = names;
    }

    fn reset_after_recovery(&mut self) {
        self.state.last_ticket += RECOVERY_ID_GAP;
        self.state.last_grant += RECOVERY_ID_GAP;
        // The lost part of the log may contain the acceptance of a grant. Grants that are not known to be accepted are
        // therefore revoked, and their tickets wait for a new one.
        let granted: Vec<TicketId> = self
            .state
            .open
            .values()
            .filter(|ticket| ticket.stage == TicketStage::Granted)
            .map(|ticket| ticket.id)
            .collect();
        for id in granted {
            self.update_ticket(id, |ticket| ticket.stage = TicketStage::Requested);
        }
    }

    fn save(&self) -> Vec<u8> {
        postcard::to_stdvec(&self.state).unwrap_or_default()
    }

    fn load(bytes: &[u8]) -> Result<MaintenanceState, SnapshotError> {
        let state: PersistentState =
            postcard::from_bytes(bytes).map_err(|source| SnapshotError { part: "state", source })?;
        let mut maintenance = MaintenanceState { state, ..MaintenanceState::default() };
        let open: Vec<Ticket> = maintenance.state.open.values().cloned().collect();
        for ticket in &open {
            maintenance.index(ticket);
        }
        Ok(maintenance)
    }
}
