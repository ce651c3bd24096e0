//! What a server does about a ticket of its own. It drains only on a begin that it knows to be committed, by a response or a
//! notification that is recent by its own clock: what it receives after a long stop is requested again.

use rand::RngExt;

use super::requests::ReceivedResponse;
use super::{Effect, Node};
use crate::command::{FleetCommand, FleetRequest, FleetResponse};
use crate::consensus::storage::{ReplicaMetadata, Storage, StorageError, WriteBatch};
use crate::maintenance::ticket::{GrantNumber, Rejection, Ticket, TicketId, TicketStage, Transition};
use crate::member::{FleetRequestId, Incarnation, Phase};
use crate::time::IntegerMillis;

/// Maximum age of a response or notification that is relied on, from its request, ms. No timeout frees the place of a server
/// that has begun, but an operator may abandon its ticket: this bounds how long after that a server that was suspended may
/// still begin to drain.
const MAX_NOTIFICATION_AGE_MILLIS: IntegerMillis = 2_000;

/// Whether a response or notification to what was sent at `sent_at` is still relied on.
pub(super) fn is_notification_recent(sent_at: IntegerMillis, now: IntegerMillis) -> bool {
    now.saturating_sub(sent_at) <= MAX_NOTIFICATION_AGE_MILLIS
}

/// Counts this start in the data directory of a server that is not a voter.
///
/// # Errors
/// The data directory cannot be used.
pub(super) fn count_start(
    mut storage: Box<dyn Storage>,
    unix_millis: u64,
) -> Result<Incarnation, StorageError> {
    let metadata = storage.read()?.metadata;
    let incarnation = unix_millis.max(metadata.incarnation + 1);
    let metadata = ReplicaMetadata { incarnation, ..metadata };
    storage.write(&WriteBatch { metadata: Some(metadata), ..WriteBatch::default() })?;
    Ok(incarnation)
}

/// How far this server is with a ticket of its own.
#[derive(Default)]
pub(super) struct OwnTicket {
    /// The begin that has no response yet: its request, and the grant that it takes up.
    pending_begin: Option<(FleetRequestId, GrantNumber)>,
    /// The ticket by which the server drains.
    draining_by: Option<(TicketId, GrantNumber)>,
    /// The report that it has drained, while that has no response.
    pending_departure: Option<FleetRequestId>,
    /// That report is answered, or has timed out.
    pub is_departure_reported: bool,
    /// Every request that the server took is answered.
    pub has_drained: bool,
}

impl Node {
    /// The ticket by which this server has a place, as far as is known here.
    fn own_ticket(&self, now: IntegerMillis) -> Option<Ticket> {
        if let Some(consensus) = self.consensus.as_ref().filter(|consensus| consensus.is_leader()) {
            return consensus.machine().maintenance.ticket_with_slot(&self.config.name).cloned();
        }
        let (_, notification) = self.last_notification.as_ref()?;
        is_notification_recent(notification.sent_at, now).then(|| notification.ticket.clone())?
    }

    /// Takes up a grant, or drains on a begin that is committed.
    pub(super) fn follow_own_ticket(&mut self, now: IntegerMillis) {
        if self.phase == Phase::Draining {
            return;
        }
        let Some(ticket) = self.own_ticket(now) else { return };
        if ticket.incarnation != self.identity().incarnation {
            return;
        }
        let is_new_grant = self.own_ticket.pending_begin.is_none_or(|(_, grant)| grant != ticket.grant);
        match ticket.stage {
            TicketStage::Granted if is_new_grant => {
                let id = self.report_transition(ticket.id, ticket.grant, Transition::Accept, now);
                self.own_ticket.pending_begin = Some((id, ticket.grant));
            }
            // Committed, and the response was lost; or the server was declared dead before it received it.
            TicketStage::Accepted | TicketStage::Draining | TicketStage::Offline | TicketStage::Overdue => {
                self.drain_by_ticket(ticket.id, ticket.grant, now);
            }
            _ => {}
        }
    }

    /// Handles the response to a transition of this server's own ticket; true where it was one.
    pub(super) fn handle_ticket_response(&mut self, received: &ReceivedResponse, now: IntegerMillis) -> bool {
        let ReceivedResponse { id, response, sent_at } = *received;
        if self.own_ticket.pending_departure == Some(id) {
            self.own_ticket.pending_departure = None;
            self.own_ticket.is_departure_reported = true;
            return true;
        }
        let pending = self.own_ticket.pending_begin.filter(|(begin, _)| *begin == id);
        let Some((_, grant)) = pending else { return false };
        match response {
            FleetResponse::Done(tickets) if is_notification_recent(sent_at, now) => {
                if let Some(ticket) = tickets.first() {
                    self.drain_by_ticket(*ticket, grant, now);
                }
            }
            // Late, or nothing is known: what a recent notification shows is requested again.
            FleetResponse::Done(_) | FleetResponse::Rejected(Rejection::NoLeader) => {
                self.own_ticket.pending_begin = None;
            }
            FleetResponse::Rejected(rejection) => self.log(format!("a grant was not taken up: {rejection}")),
            _ => {}
        }
        true
    }

    fn drain_by_ticket(&mut self, ticket: TicketId, grant: GrantNumber, now: IntegerMillis) {
        self.phase = Phase::Draining;
        self.own_ticket.draining_by = Some((ticket, grant));
        self.effects.push(Effect::Drain(ticket));
        self.log(format!("ticket {ticket}: begun, this server leaves for work"));
        self.report_transition(ticket, grant, Transition::Drain, now);
        self.hand_everything_over(now);
    }

    /// The server received SIGTERM from outside, and shuts down. Counted where it has no ticket for it.
    pub fn begin_drain(&mut self, now: IntegerMillis) {
        if self.phase == Phase::Draining {
            return;
        }
        self.phase = Phase::Draining;
        let command = FleetCommand::DrainedWithoutTicket(self.config.name.clone());
        let request = FleetRequest::Execute { issuer: self.issuer(), command };
        self.submit(request, now);
        self.hand_everything_over(now);
        self.process_outputs(now);
    }

    /// Duties and leadership go to others, who learn at once that this server drains.
    fn hand_everything_over(&mut self, now: IntegerMillis) {
        self.release_all_duties(now);
        self.transfer_leadership();
        self.send_load_report(now);
    }

    /// Every request that the server took is answered. Reports that it is out; see [`Node::is_finished`].
    pub fn drained(&mut self, now: IntegerMillis) {
        self.phase = Phase::Draining;
        self.own_ticket.has_drained = true;
        self.send_load_report(now);
        self.end_session_when_idle(now);
        match self.own_ticket.draining_by {
            Some((ticket, grant)) => {
                let id = self.report_transition(ticket, grant, Transition::Depart, now);
                self.own_ticket.pending_departure = Some(id);
            }
            None => self.own_ticket.is_departure_reported = true,
        }
        self.process_outputs(now);
    }

    /// Whether the process may exit with nothing left to report.
    pub fn is_finished(&self) -> bool {
        self.own_ticket.is_departure_reported && self.duties.is_session_ended()
    }

    /// Leaves the membership; the last thing before the process exits.
    pub fn leave(&mut self, now: IntegerMillis) {
        self.membership.leave(now);
        self.process_outputs(now);
    }

    fn report_transition(
        &mut self,
        ticket: TicketId,
        grant: GrantNumber,
        transition: Transition,
        now: IntegerMillis,
    ) -> FleetRequestId {
        let incarnation = self.identity().incarnation;
        let command = FleetCommand::Transition { ticket, transition, grant, incarnation };
        let request = FleetRequest::Execute { issuer: self.issuer(), command };
        let id = self.rng.random();
        self.submit_as(id, request, now);
        id
    }
}
