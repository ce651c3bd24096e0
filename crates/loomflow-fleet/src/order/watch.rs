//! What the leader sees of servers that hold places, and the moves it makes of it: gone, back, warm, and a grant that no
//! longer rests on anything.

use super::Command;
use super::choose::View;
use super::headroom::Seen;
use super::rules::Rules;
use super::ticket::{Move, Stage, Ticket};
use crate::member::Standing;

/// The moves that what is seen calls for, at most one for each ticket.
pub fn moves(view: &View) -> Vec<Command> {
    let rules = view.order.rules().cloned().unwrap_or_default();
    let held = view
        .order
        .holders()
        .iter()
        .filter_map(|(name, id)| Some((view.order.open().get(id)?, view.members.get(name))));
    held.filter_map(|(ticket, seen)| {
        let (by, incarnation) = one(view, &rules, ticket, seen)?;
        Some(Command::Move { ticket: ticket.id, by, grant: ticket.grant, incarnation })
    })
    .collect()
}

fn one(view: &View, rules: &Rules, ticket: &Ticket, seen: Option<&Seen>) -> Option<(Move, u64)> {
    if ticket.stage == Stage::Granted {
        return (!view.still_holds(ticket)).then_some((Move::Recall, ticket.incarnation));
    }
    let seen = seen?;
    let alive = !matches!(seen.standing, Standing::Down | Standing::Gone);
    let last = ticket.incarnation.max(ticket.returned);
    let next = alive && seen.incarnation > last;
    let same = seen.incarnation == last;
    let bears =
        seen.serves() && seen.digest.is_some_and(|digest| digest.healthy && digest.share >= rules.warm_share);
    match ticket.stage {
        Stage::Begun | Stage::Draining | Stage::Out | Stage::Overdue | Stage::Back | Stage::Warm if next => {
            Some((Move::Return, seen.incarnation))
        }
        // It had come back and was only taken for dead.
        Stage::Out | Stage::Overdue if same && alive && ticket.returned == last => Some((Move::Return, last)),
        Stage::Begun | Stage::Draining | Stage::Back | Stage::Warm if same && !alive => {
            Some((Move::Leave, last))
        }
        Stage::Back if same && bears => Some((Move::Warm, ticket.returned)),
        // One that is only suspect, or whose digest is late, is given the time that the membership gives it.
        Stage::Warm if same && seen.digest.is_some() && !bears => Some((Move::Cool, ticket.returned)),
        Stage::Warm if same && bears && view.now >= ticket.since + rules.warm_for => {
            Some((Move::Finish, ticket.returned))
        }
        _ => None,
    }
}
