//! The state machine that the log is applied to, for maintenance. It checks every transition against the table and the limits
//! by itself: what the leader saw may be outdated when it is committed, and the limits are enforced again.
//!
//! This file has the state, what can be read of it, and its snapshot; `apply` changes it.

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
/// Closed tickets that are retained.
pub const MAX_CLOSED_TICKETS: usize = 1_000;
/// Events that are retained.
pub const MAX_EVENTS: usize = 2_000;
/// Responses that are retained for retries.
const MAX_REMEMBERED_RESPONSES: usize = 1_024;
/// A ticket whose grants lapsed this many times is closed.
const MAX_LAPSES: u8 = 3;

/// A ticket came to a stage.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TicketEvent {
    /// When.
    pub at: FleetMillis,
    /// Which ticket.
    pub ticket: TicketId,
    /// Its server.
    pub server: ServerName,
    /// The stage.
    pub stage: TicketStage,
    /// The last grant; 0 before there is one.
    pub grant: GrantNumber,
}

/// A server that was let go.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct GrantedServer {
    /// The server.
    pub name: ServerName,
    /// Its zone.
    pub zone: Zone,
}

/// The contents of a snapshot; the indexes follow from it.
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

/// Tickets, rules and what has happened.
#[derive(Clone, Debug, Default)]
pub struct MaintenanceState {
    state: PersistentState,
    /// Servers that have a place, with the ticket by which.
    tickets_with_place: BTreeMap<ServerName, TicketId>,
    /// Tickets with a deadline, the next first.
    deadlines: BTreeSet<(FleetMillis, TicketId)>,
    /// Open tickets of each server.
    tickets_by_server: BTreeMap<ServerName, BTreeSet<TicketId>>,
}

impl MaintenanceState {
    /// The fleet's time at the last entry.
    pub fn time(&self) -> FleetMillis {
        self.state.time
    }

    /// Open tickets.
    pub fn open(&self) -> &BTreeMap<TicketId, Ticket> {
        &self.state.open
    }

    /// The last closed tickets, the oldest first.
    pub fn closed(&self) -> impl DoubleEndedIterator<Item = &Ticket> {
        self.state.closed.iter()
    }

    /// The last events, the oldest first.
    pub fn events(&self) -> impl DoubleEndedIterator<Item = &TicketEvent> {
        self.state.events.iter()
    }

    /// The rules in force; none before any were committed.
    pub fn rules(&self) -> Option<&Rules> {
        self.state.rules.as_ref()
    }

    /// Who has a vote.
    pub fn voter_names(&self) -> &[ServerName] {
        &self.state.voters
    }

    /// Why grants are paused; none where they are not.
    pub fn paused(&self) -> Option<&str> {
        self.state.paused.as_deref()
    }

    /// Servers that were shut down without a ticket, since the fleet began.
    pub fn drains_without_ticket(&self) -> u64 {
        self.state.drains_without_ticket
    }

    /// The server that was granted last; its name is empty before any was.
    pub fn last_granted(&self) -> &GrantedServer {
        &self.state.last_granted
    }

    /// Servers that have a place, with the ticket by which.
    pub fn tickets_with_place(&self) -> &BTreeMap<ServerName, TicketId> {
        &self.tickets_with_place
    }

    /// Whether a server has a place: it is about to shut down, out, overdue, or back and not yet done.
    pub fn has_place(&self, server: &str) -> bool {
        self.tickets_with_place.contains_key(server)
    }

    /// The ticket by which a server has a place.
    pub fn ticket_with_place(&self, server: &str) -> Option<&Ticket> {
        self.state.open.get(self.tickets_with_place.get(server)?)
    }

    /// A server's open tickets, oldest first.
    pub fn tickets_of(&self, server: &str) -> impl Iterator<Item = &Ticket> {
        let ids = self.tickets_by_server.get(server).into_iter().flatten();
        ids.filter_map(|id| self.state.open.get(id))
    }

    /// Any ticket that is open or still retained.
    pub fn find(&self, id: TicketId) -> Option<&Ticket> {
        self.state.open.get(&id).or_else(|| self.state.closed.iter().find(|ticket| ticket.id == id))
    }

    /// The next deadline.
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
        // The lost part of the log may say that a granted server has begun. Such grants are revoked, and their tickets wait
        // for another one.
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
