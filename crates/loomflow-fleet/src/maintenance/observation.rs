//! Transitions that the leader derives from its view of the servers that have a slot: down, returned, ready, and the
//! revocation of grants whose conditions are no longer met.

use super::rules::Rules;
use super::scheduling::SchedulerView;
use super::ticket::{Ticket, TicketStage, Transition};
use crate::command::FleetCommand;
use crate::member::{Incarnation, MemberView};

/// The transitions to write to the log now, at most one for each ticket that has a slot.
pub fn transitions(view: &SchedulerView) -> Vec<FleetCommand> {
    let rules = view.maintenance.rules().cloned().unwrap_or_default();
    let with_slot = view.maintenance.tickets_with_slot().keys().filter_map(|server| {
        let ticket = view.maintenance.ticket_with_slot(server)?;
        Some((ticket, view.members.get(server)))
    });
    with_slot
        .filter_map(|(ticket, member)| {
            let (transition, incarnation) = transition_of(view, &rules, ticket, member)?;
            Some(FleetCommand::Transition { ticket: ticket.id, transition, grant: ticket.grant, incarnation })
        })
        .collect()
}

/// The transition of one ticket, with the incarnation of the server that it refers to; `None` if nothing has changed.
fn transition_of(
    view: &SchedulerView,
    rules: &Rules,
    ticket: &Ticket,
    member: Option<&MemberView>,
) -> Option<(Transition, Incarnation)> {
    if ticket.stage == TicketStage::Granted {
        return (!view.is_grant_still_valid(ticket)).then_some((Transition::Revoke, ticket.incarnation));
    }
    let member = member?;
    let last = ticket.last_incarnation();
    let is_alive = member.is_alive();
    let is_later_incarnation = is_alive && member.incarnation > last;
    let is_same_incarnation = member.incarnation == last;
    let is_ready = is_ready(member, rules);
    match ticket.stage {
        TicketStage::Accepted
        | TicketStage::Draining
        | TicketStage::Offline
        | TicketStage::Overdue
        | TicketStage::Returned
        | TicketStage::Ready
            if is_later_incarnation =>
        {
            Some((Transition::Return, member.incarnation))
        }
        // The server had returned and was then wrongly declared down.
        TicketStage::Offline | TicketStage::Overdue
            if is_same_incarnation && is_alive && ticket.returned_incarnation == last =>
        {
            Some((Transition::Return, last))
        }
        TicketStage::Accepted | TicketStage::Draining | TicketStage::Returned | TicketStage::Ready
            if is_same_incarnation && !is_alive =>
        {
            Some((Transition::Depart, last))
        }
        TicketStage::Returned if is_same_incarnation && is_ready => {
            Some((Transition::Ready, ticket.returned_incarnation))
        }
        // Without a recent report the ticket stays ready until one arrives or the membership declares the server down.
        TicketStage::Ready if is_same_incarnation && member.load_report.is_some() && !is_ready => {
            Some((Transition::Unready, ticket.returned_incarnation))
        }
        TicketStage::Ready
            if is_same_incarnation && is_ready && view.now >= ticket.since + rules.ready_for_millis =>
        {
            Some((Transition::Finish, ticket.returned_incarnation))
        }
        _ => None,
    }
}

/// Whether a server is serving and healthy, and requests at least the minimum send share of the rules.
fn is_ready(member: &MemberView, rules: &Rules) -> bool {
    member.is_serving()
        && member.load_report.is_some_and(|report| report.healthy && report.share >= rules.min_ready_share)
}

#[cfg(test)]
mod tests;
