//! The transitions that follow from what the leader sees of servers that have places: down, back, ready, and a grant whose
//! conditions are no longer met.

use super::rules::Rules;
use super::scheduling::SchedulerView;
use super::ticket::{Ticket, TicketStage, Transition};
use crate::command::FleetCommand;
use crate::member::{Incarnation, MemberView};

/// The transitions that are called for, at most one for each ticket.
pub fn transitions(view: &SchedulerView) -> Vec<FleetCommand> {
    let rules = view.maintenance.rules().cloned().unwrap_or_default();
    let with_place = view.maintenance.tickets_with_place().keys().filter_map(|server| {
        let ticket = view.maintenance.ticket_with_place(server)?;
        Some((ticket, view.members.get(server)))
    });
    with_place
        .filter_map(|(ticket, member)| {
            let (transition, incarnation) = transition_of(view, &rules, ticket, member)?;
            Some(FleetCommand::Transition { ticket: ticket.id, transition, grant: ticket.grant, incarnation })
        })
        .collect()
}

/// The transition of one ticket, with the start of the server that it is about.
fn transition_of(
    view: &SchedulerView,
    rules: &Rules,
    ticket: &Ticket,
    member: Option<&MemberView>,
) -> Option<(Transition, Incarnation)> {
    if ticket.stage == TicketStage::Granted {
        return (!view.is_grant_still_valid(ticket)).then_some((Transition::Recall, ticket.incarnation));
    }
    let member = member?;
    let last = ticket.last_incarnation();
    let is_alive = member.is_alive();
    let is_later_start = is_alive && member.incarnation > last;
    let is_same_start = member.incarnation == last;
    let is_ready = is_ready(member, rules);
    match ticket.stage {
        TicketStage::Begun
        | TicketStage::Draining
        | TicketStage::Out
        | TicketStage::Overdue
        | TicketStage::Back
        | TicketStage::Ready
            if is_later_start =>
        {
            Some((Transition::Return, member.incarnation))
        }
        // It had come back and was wrongly declared dead.
        TicketStage::Out | TicketStage::Overdue
            if is_same_start && is_alive && ticket.returned_incarnation == last =>
        {
            Some((Transition::Return, last))
        }
        TicketStage::Begun | TicketStage::Draining | TicketStage::Back | TicketStage::Ready
            if is_same_start && !is_alive =>
        {
            Some((Transition::Depart, last))
        }
        TicketStage::Back if is_same_start && is_ready => {
            Some((Transition::Ready, ticket.returned_incarnation))
        }
        // One that is only suspect, or whose report is late, waits until the membership declares it down.
        TicketStage::Ready if is_same_start && member.load_report.is_some() && !is_ready => {
            Some((Transition::Unready, ticket.returned_incarnation))
        }
        TicketStage::Ready
            if is_same_start && is_ready && view.now >= ticket.since + rules.ready_for_millis =>
        {
            Some((Transition::Finish, ticket.returned_incarnation))
        }
        _ => None,
    }
}

/// Whether a server takes its part of the load, and requests its share of it.
fn is_ready(member: &MemberView, rules: &Rules) -> bool {
    member.is_serving()
        && member.load_report.is_some_and(|report| report.healthy && report.share >= rules.min_ready_share)
}

#[cfg(test)]
mod tests;
