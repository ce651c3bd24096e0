//! A server's handling of its own ticket. The server drains only when the start of its maintenance is known
//! to be committed, by a response or notification that is recent by its own clock. After a long pause of the
//! process it ignores older ones, and reports the start again.

use rand::RngExt;

use super::requests::ReceivedResponse;
use super::{Effect, Node};
use crate::command::{FleetCommand, FleetRequest, FleetResponse};
use crate::consensus::storage::{ReplicaMetadata, Storage, StorageError, WriteBatch};
use crate::maintenance::ticket::{GrantNumber, Rejection, Ticket, TicketId, TicketStage, Transition};
use crate::member::{FleetRequestId, Incarnation, Phase};
use crate::time::IntegerMillis;

/// Maximum age of a response or notification that is relied on, counted from the sending of its request, ms.
/// A maintenance slot in use has no timeout, but an operator may abandon its ticket: this bounds how long
/// after that a suspended server may still start to drain.
const MAX_NOTIFICATION_AGE_MILLIS: IntegerMillis = 2_000;

/// Whether a response to a request, or a notification after a load report, that was sent at `sent_at` is
/// still relied on.
pub(super) fn is_notification_recent(sent_at: IntegerMillis, now: IntegerMillis) -> bool {
    now.saturating_sub(sent_at) <= MAX_NOTIFICATION_AGE_MILLIS
}

/// Stores and returns the incarnation of this process, for a server that is not a voter.
///
/// # Errors
/// The storage cannot be read or written.
pub(super) fn record_start(
    mut storage: Box<dyn Storage>,
    unix_millis: u64,
) -> Result<Incarnation, StorageError> {
    let metadata = storage.read()?.metadata;
    let incarnation = unix_millis.max(metadata.incarnation + 1);
    let metadata = ReplicaMetadata { incarnation, ..metadata };
    storage.write(&WriteBatch { metadata: Some(metadata), ..WriteBatch::default() })?;
    Ok(incarnation)
}

/// The progress of this server's own ticket.
#[derive(Default)]
pub(super) struct OwnTicket {
    /// The report that maintenance starts, while it has no response: the id of its request, and its grant. It
    /// stays set after a rejection, so that the same grant is not reported again.
    pending_start: Option<(FleetRequestId, GrantNumber)>,
    /// The ticket and grant for which the server drains.
    draining_ticket: Option<(TicketId, GrantNumber)>,
    /// The report that the server has drained, while it has no response.
    pending_departure: Option<FleetRequestId>,
    /// Whether the report that the server has drained has a response or timed out, or none was needed.
    pub is_departure_reported: bool,
    /// Whether the server has responded to every accepted request.
    pub has_drained: bool,
}

impl Node {
    /// The ticket for which this server holds a maintenance slot: by its own state if it leads, otherwise by
    /// a recent notification.
    fn own_ticket(&self, now: IntegerMillis) -> Option<Ticket> {
        if let Some(consensus) = self.consensus.as_ref().filter(|consensus| consensus.is_leader()) {
            return consensus.machine().maintenance.ticket_with_slot(&self.config.name).cloned();
        }
        let (_, notification) = self.last_notification.as_ref()?;
        is_notification_recent(notification.sent_at, now).then(|| notification.ticket.clone())?
    }

    /// Reports the start of maintenance on a new grant, and drains once that is committed.
    pub(super) fn process_own_ticket(&mut self, now: IntegerMillis) {
        if self.phase == Phase::Draining {
            return;
        }
        let Some(ticket) = self.own_ticket(now) else { return };
        if ticket.incarnation != self.identity().incarnation {
            return;
        }
        let is_new_grant = self.own_ticket.pending_start.is_none_or(|(_, grant)| grant != ticket.grant);
        match ticket.stage {
            TicketStage::Granted if is_new_grant => {
                let id = self.report_transition(ticket.id, ticket.grant, Transition::Accept, now);
                self.own_ticket.pending_start = Some((id, ticket.grant));
            }
            // The start of maintenance is committed, but its response was lost, or the server was declared
            // down before it received the response.
            TicketStage::Accepted | TicketStage::Draining | TicketStage::Offline | TicketStage::Overdue => {
                self.drain_for_ticket(ticket.id, ticket.grant, now);
            }
            _ => {}
        }
    }

    /// Handles the response to a transition of this server's own ticket. Returns false if the request was not
    /// one.
    pub(super) fn handle_ticket_response(&mut self, received: &ReceivedResponse, now: IntegerMillis) -> bool {
        let ReceivedResponse { id, response, sent_at } = *received;
        if self.own_ticket.pending_departure == Some(id) {
            self.own_ticket.pending_departure = None;
            self.own_ticket.is_departure_reported = true;
            return true;
        }
        let pending = self.own_ticket.pending_start.filter(|(request_id, _)| *request_id == id);
        let Some((_, grant)) = pending else { return false };
        match response {
            FleetResponse::Done(tickets) if is_notification_recent(sent_at, now) => {
                if let Some(ticket) = tickets.first() {
                    self.drain_for_ticket(*ticket, grant, now);
                }
            }
            // The response is late or there is no leader: the transition is reported again if a recent
            // notification still shows the grant.
            FleetResponse::Done(_) | FleetResponse::Rejected(Rejection::NoLeader) => {
                self.own_ticket.pending_start = None;
            }
            FleetResponse::Rejected(rejection) => {
                self.log(format!("maintenance under grant {grant} was not started: {rejection}"));
            }
            _ => {}
        }
        true
    }

    fn drain_for_ticket(&mut self, ticket: TicketId, grant: GrantNumber, now: IntegerMillis) {
        self.phase = Phase::Draining;
        self.own_ticket.draining_ticket = Some((ticket, grant));
        self.effects.push(Effect::Drain(ticket));
        self.log(format!("ticket {ticket}: maintenance started, draining this server"));
        self.report_transition(ticket, grant, Transition::Drain, now);
        self.transfer_duties_and_leadership(now);
    }

    /// Handles a SIGTERM from outside. Unless the server already drains, the shutdown is counted as one
    /// without a ticket.
    pub fn begin_drain(&mut self, now: IntegerMillis) {
        if self.phase == Phase::Draining {
            return;
        }
        self.phase = Phase::Draining;
        let command = FleetCommand::DrainedWithoutTicket(self.config.name.clone());
        let request = FleetRequest::Execute { issuer: self.issuer(), command };
        self.submit(request, now);
        self.transfer_duties_and_leadership(now);
        self.process_outputs(now);
    }

    /// Releases all duties, transfers leadership, and reports at once that this server drains.
    fn transfer_duties_and_leadership(&mut self, now: IntegerMillis) {
        self.release_all_duties(now);
        self.transfer_leadership();
        self.send_load_report(now);
    }

    /// Records that the server has responded to every accepted request, and reports that it shuts down if it
    /// has a ticket. The process may exit once [`Node::is_finished`].
    pub fn drained(&mut self, now: IntegerMillis) {
        self.phase = Phase::Draining;
        self.own_ticket.has_drained = true;
        self.send_load_report(now);
        self.end_session_when_idle(now);
        match self.own_ticket.draining_ticket {
            Some((ticket, grant)) => {
                let id = self.report_transition(ticket, grant, Transition::Depart, now);
                self.own_ticket.pending_departure = Some(id);
            }
            None => self.own_ticket.is_departure_reported = true,
        }
        self.process_outputs(now);
    }

    /// Whether a drained server has nothing left to report, so that the process may exit.
    pub fn is_finished(&self) -> bool {
        self.own_ticket.is_departure_reported && self.duties.is_session_ended()
    }

    /// Leaves the membership. Must be the last call before the process exits.
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
