//! Changes to the state: applies log entries, and deadlines as the fleet time advances.

use std::collections::BTreeSet;

use super::{
    GrantedServer, MAX_CLOSED_TICKETS, MAX_EVENTS, MAX_LAPSES, MAX_OPEN_TICKETS, MAX_REMEMBERED_RESPONSES,
    MaintenanceState, TicketEvent,
};
use crate::command::{Entry, FleetCommand, FleetResponse, Issuer};
use crate::maintenance::FleetAvailability;
use crate::maintenance::ticket::{
    Actor, GrantNumber, Rejection, Ticket, TicketId, TicketRequest, TicketStage, Transition, next_stage,
};
use crate::member::{FleetRequestId, Incarnation, ServerName};
use crate::time::FleetMillis;

impl MaintenanceState {
    /// Advances the fleet time, which never goes backwards, and applies the deadlines that have passed.
    pub fn advance_time(&mut self, time: FleetMillis) {
        self.state.time = self.state.time.max(time);
        self.apply_deadlines();
    }

    /// Applies one entry. A retry with the same request id gets the response to the first attempt and changes nothing.
    pub fn apply_entry(&mut self, entry: &Entry) -> FleetResponse {
        let remembered = self.state.responses.iter().rev().find(|(id, _)| *id == entry.id);
        if let Some((_, response)) = remembered {
            return response.clone();
        }
        self.advance_time(entry.at);
        let response = self.execute(entry).map_or_else(FleetResponse::Rejected, FleetResponse::Done);
        if !matches!(entry.issuer, Issuer::Leader) {
            self.state.responses.push_back((entry.id, response.clone()));
            if self.state.responses.len() > MAX_REMEMBERED_RESPONSES {
                self.state.responses.pop_front();
            }
        }
        response
    }

    fn execute(&mut self, entry: &Entry) -> Result<Vec<TicketId>, Rejection> {
        match &entry.command {
            FleetCommand::CreateTickets(requests) => {
                let requested_by = match &entry.issuer {
                    Issuer::Operator(operator) => operator,
                    Issuer::Server { name, .. } => name,
                    Issuer::Leader => "the leader",
                };
                return self.create_tickets(entry.id, requested_by, requests);
            }
            FleetCommand::Grant { ticket, incarnation, availability } => {
                return self.grant(&entry.issuer, *ticket, *incarnation, availability);
            }
            FleetCommand::Transition { ticket, transition, grant, incarnation } => {
                return self.transition(&entry.issuer, *ticket, *transition, *grant, *incarnation);
            }
            FleetCommand::Pause(reason) => {
                require_operator(&entry.issuer)?;
                self.state.paused = Some(reason.clone());
            }
            FleetCommand::Resume => {
                require_operator(&entry.issuer)?;
                self.state.paused = None;
            }
            // These three are accepted from any issuer: the leader restores rules that differ from its settings in every
            // round, drains without a ticket are only counted, and a clock entry has no effect but to advance the time.
            FleetCommand::Rules(rules) => self.state.rules = Some(rules.clone()),
            FleetCommand::DrainedWithoutTicket(_) => self.state.drains_without_ticket += 1,
            FleetCommand::Clock => {}
            FleetCommand::Duty(_) | FleetCommand::Campaign(_) => {
                return Err(Rejection::NotPermitted);
            }
        }
        Ok(Vec::new())
    }

    /// Creates one ticket for each request, or none if any request is rejected.
    ///
    /// # Errors
    /// More than [`MAX_OPEN_TICKETS`] would be open, a request is invalid, a server is named twice, or there is no request.
    pub fn create_tickets(
        &mut self,
        request_id: FleetRequestId,
        requested_by: &str,
        requests: &[TicketRequest],
    ) -> Result<Vec<TicketId>, Rejection> {
        if self.state.open.len() + requests.len() > MAX_OPEN_TICKETS {
            return Err(Rejection::TooMany(self.state.open.len() as u32));
        }
        let servers: BTreeSet<&ServerName> = requests.iter().map(|request| &request.server).collect();
        if requests.is_empty() || servers.len() < requests.len() {
            return Err(Rejection::Invalid("each server once, and at least one".into()));
        }
        requests.iter().try_for_each(TicketRequest::check)?;
        let now = self.state.time;
        let mut ids = Vec::with_capacity(requests.len());
        for request in requests {
            self.state.last_ticket += 1;
            let id = self.state.last_ticket;
            self.insert_ticket(Ticket {
                id,
                request_id,
                request: request.clone(),
                requested_by: requested_by.to_owned(),
                stage: TicketStage::Requested,
                requested_at: now,
                since: now,
                grant: 0,
                incarnation: 0,
                returned_incarnation: 0,
                lapses: 0,
                deadline: 0,
            });
            ids.push(id);
        }
        Ok(ids)
    }

    fn grant(
        &mut self,
        issuer: &Issuer,
        id: TicketId,
        incarnation: Incarnation,
        availability: &FleetAvailability,
    ) -> Result<Vec<TicketId>, Rejection> {
        let ticket = self.open_ticket(id)?;
        let stage = next_stage(ticket.stage, Transition::Grant, actor(issuer, ticket)?)?;
        let (server, zone) = (ticket.request.server.clone(), ticket.request.zone.clone());
        if self.state.paused.is_some() {
            return Err(Rejection::Paused);
        }
        if ticket.opens_in(self.state.time) > 0 {
            return Err(Rejection::WindowNotOpen);
        }
        if let Some(other) = self.tickets_with_slot.get(&server) {
            return Err(Rejection::HasSlot(*other));
        }
        self.check_slot(&server, &zone, availability)?;
        self.state.last_grant += 1;
        self.state.last_granted = GrantedServer { name: server, zone };
        let grant = self.state.last_grant;
        let accept_timeout = self.state.rules.clone().unwrap_or_default().accept_timeout_millis;
        let deadline = self.state.time + accept_timeout;
        self.update_ticket(id, |ticket| {
            ticket.stage = stage;
            ticket.grant = grant;
            ticket.incarnation = incarnation;
            ticket.deadline = deadline;
        });
        Ok(vec![id])
    }

    fn transition(
        &mut self,
        issuer: &Issuer,
        id: TicketId,
        transition: Transition,
        grant: GrantNumber,
        incarnation: Incarnation,
    ) -> Result<Vec<TicketId>, Rejection> {
        use Transition::{Accept, Depart, Drain, Expire, Grant, Lapse, Overrun, Return, Revoke};
        let ticket = self.open_ticket(id)?;
        // Grants have a command of their own, which carries the fleet's availability, and deadlines are applied by the state
        // machine itself.
        if matches!(transition, Grant | Lapse | Expire | Overrun) {
            return Err(Rejection::NotPermitted);
        }
        let actor = actor(issuer, ticket)?;
        // Transitions under a grant are rejected once it has been superseded.
        if matches!(transition, Accept | Revoke | Drain | Depart) && grant != ticket.grant {
            return Err(Rejection::Superseded { grant, current: ticket.grant });
        }
        let stage = next_stage(ticket.stage, transition, actor)?;
        check_incarnation(ticket, transition, actor, incarnation)?;
        let now = self.state.time;
        self.update_ticket(id, |ticket| {
            ticket.stage = stage;
            match transition {
                Accept => ticket.deadline = now + ticket.request.duration_millis,
                Return => ticket.returned_incarnation = incarnation,
                _ => {}
            }
        });
        Ok(vec![id])
    }

    /// Applies the deadlines that have passed, earliest first.
    fn apply_deadlines(&mut self) {
        while let Some((at, id)) = self.deadlines.first().copied().filter(|(at, _)| *at <= self.state.time) {
            self.deadlines.remove(&(at, id));
            let Some(ticket) = self.state.open.get(&id) else { continue };
            let transition = match ticket.stage {
                TicketStage::Requested => Transition::Expire,
                TicketStage::Granted => Transition::Lapse,
                _ => Transition::Overrun,
            };
            let Ok(stage) = next_stage(ticket.stage, transition, Actor::Leader) else { continue };
            self.update_ticket(id, |ticket| {
                ticket.stage = stage;
                if transition == Transition::Lapse {
                    ticket.lapses += 1;
                    if ticket.lapses >= MAX_LAPSES {
                        ticket.stage = TicketStage::Lapsed;
                    }
                }
            });
        }
    }

    fn open_ticket(&self, id: TicketId) -> Result<&Ticket, Rejection> {
        match self.find(id) {
            Some(ticket) if ticket.stage.is_closed() => Err(Rejection::Closed(ticket.stage)),
            Some(ticket) => Ok(ticket),
            None => Err(Rejection::Unknown),
        }
    }

    /// Applies `update` to an open ticket, then updates the indexes and the history.
    pub(super) fn update_ticket(&mut self, id: TicketId, update: impl FnOnce(&mut Ticket)) {
        let Some(mut ticket) = self.state.open.remove(&id) else { return };
        self.unindex(&ticket);
        let stage_before = ticket.stage;
        update(&mut ticket);
        if ticket.stage != stage_before {
            ticket.since = self.state.time;
        }
        self.insert_ticket(ticket);
    }

    fn insert_ticket(&mut self, ticket: Ticket) {
        self.state.events.push_back(TicketEvent {
            at: self.state.time,
            ticket: ticket.id,
            server: ticket.request.server.clone(),
            stage: ticket.stage,
            grant: ticket.grant,
        });
        if self.state.events.len() > MAX_EVENTS {
            self.state.events.pop_front();
        }
        if ticket.stage.is_closed() {
            self.state.closed.push_back(ticket);
            if self.state.closed.len() > MAX_CLOSED_TICKETS {
                self.state.closed.pop_front();
            }
            return;
        }
        self.index(&ticket);
        self.state.open.insert(ticket.id, ticket);
    }

    /// Adds an open ticket to the indexes.
    pub(super) fn index(&mut self, ticket: &Ticket) {
        let server = &ticket.request.server;
        if let Some(at) = deadline(ticket) {
            self.deadlines.insert((at, ticket.id));
        }
        if ticket.stage.has_slot() {
            self.tickets_with_slot.insert(server.clone(), ticket.id);
        }
        self.tickets_by_server.entry(server.clone()).or_default().insert(ticket.id);
    }

    fn unindex(&mut self, ticket: &Ticket) {
        let server = &ticket.request.server;
        if let Some(at) = deadline(ticket) {
            self.deadlines.remove(&(at, ticket.id));
        }
        if ticket.stage.has_slot() {
            self.tickets_with_slot.remove(server);
        }
        if let Some(ids) = self.tickets_by_server.get_mut(server) {
            ids.remove(&ticket.id);
            if ids.is_empty() {
                self.tickets_by_server.remove(server);
            }
        }
    }
}

/// The fleet time at which a ticket in its present stage expires, lapses or becomes overdue, ms; `None` where it does not.
fn deadline(ticket: &Ticket) -> Option<FleetMillis> {
    match ticket.stage {
        TicketStage::Requested => ticket.closes_at(),
        TicketStage::Granted | TicketStage::Accepted | TicketStage::Draining | TicketStage::Offline => {
            Some(ticket.deadline)
        }
        _ => None,
    }
}

fn require_operator(issuer: &Issuer) -> Result<(), Rejection> {
    if matches!(issuer, Issuer::Operator(_)) { Ok(()) } else { Err(Rejection::NotPermitted) }
}

/// The role in which an issuer acts on a ticket. A server acts on its own tickets only.
fn actor(issuer: &Issuer, ticket: &Ticket) -> Result<Actor, Rejection> {
    match issuer {
        Issuer::Leader => Ok(Actor::Leader),
        Issuer::Operator(_) => Ok(Actor::Operator),
        Issuer::Server { name, .. } if *name == ticket.request.server => Ok(Actor::Server),
        Issuer::Server { .. } => Err(Rejection::NotPermitted),
    }
}

/// Checks that a transition names the incarnation of the server that the ticket expects.
fn check_incarnation(
    ticket: &Ticket,
    transition: Transition,
    actor: Actor,
    incarnation: Incarnation,
) -> Result<(), Rejection> {
    let expected = match transition {
        // A returned server has to be a later incarnation than the one that left.
        Transition::Return
            if incarnation <= ticket.incarnation || incarnation < ticket.returned_incarnation =>
        {
            return Err(Rejection::OtherIncarnation);
        }
        Transition::Accept | Transition::Drain => ticket.incarnation,
        Transition::Depart if actor == Actor::Server => ticket.last_incarnation(),
        Transition::Ready | Transition::Unready | Transition::Finish => ticket.returned_incarnation,
        _ => incarnation,
    };
    if expected == incarnation { Ok(()) } else { Err(Rejection::OtherIncarnation) }
}

#[cfg(test)]
mod tests;
