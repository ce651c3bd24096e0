//! What a server does about a ticket of its own. It leaves only on a begin that it knows to be agreed on, by an answer or a
//! notice that is fresh by its own clock: what it hears after a long stop is asked anew.

use super::{Effect, Node};
use crate::agreement::disk::{Disk, Stamp, Write};
use crate::member::{Ms, Phase, RequestId};
use crate::order::ticket::{GrantNumber, Move, Stage, Ticket, TicketId};
use crate::order::{Answer, Ask, By, Command};

/// An answer or notice is fresh so long after its question, ms. A place is not freed by time once it has begun, so this
/// only bounds how an operator's writing off may cross a stopped server's leaving.
pub const FRESH: Ms = 2_000;

/// Counts this start in the folder of a server that is no voter. Errors: the folder cannot be used.
pub(super) fn count_start(disk: &mut dyn Disk, wall: u64) -> Result<u64, String> {
    let stamp = disk.read()?.stamp;
    let incarnation = wall.max(stamp.incarnation + 1);
    disk.write(&Write { stamp: Some(Stamp { incarnation, ..stamp }), ..Write::default() })?;
    Ok(incarnation)
}

#[derive(Default)]
pub(super) struct Own {
    /// The begin that is under way: its request and the grant that it takes up.
    begin: Option<(RequestId, GrantNumber)>,
    /// The ticket that the server leaves by.
    leaving: Option<(TicketId, GrantNumber)>,
    /// The word that it has drained, under way.
    left: Option<RequestId>,
    /// It has been said, or given up.
    pub said_left: bool,
    /// All that it owed is answered.
    pub drained: bool,
}

impl Node {
    /// The ticket by which this server holds a place, as far as is known here.
    fn own_ticket(&self, now: Ms) -> Option<Ticket> {
        if let Some(agreement) = self.agreement.as_ref().filter(|a| a.leads()) {
            let order = &agreement.machine().order;
            return order.holders().get(&self.setup.name).and_then(|id| order.open().get(id)).cloned();
        }
        let (_, notice) = self.heard.as_ref()?;
        (now.saturating_sub(notice.sent) <= FRESH).then(|| notice.ticket.clone())?
    }

    /// Takes up a grant, or leaves on a begin that is agreed on.
    pub(super) fn see_to_own(&mut self, now: Ms) {
        if self.phase == Phase::Leaving {
            return;
        }
        let Some(ticket) = self.own_ticket(now) else { return };
        if ticket.incarnation != self.me().incarnation {
            return;
        }
        match ticket.stage {
            Stage::Granted if self.own.begin.is_none_or(|(_, grant)| grant != ticket.grant) => {
                let id = self.say_move(ticket.id, ticket.grant, Move::Begin, now);
                self.own.begin = Some((id, ticket.grant));
            }
            // Agreed on, and the answer was lost; or it was taken for gone before it heard.
            Stage::Begun | Stage::Draining | Stage::Out | Stage::Overdue => {
                self.leave_by(ticket.id, ticket.grant, now)
            }
            _ => {}
        }
    }

    /// An answer to one of this server's own moves; true where it was one.
    pub(super) fn own_answered(&mut self, id: RequestId, answer: &Answer, asked_at: Ms, now: Ms) -> bool {
        if self.own.left == Some(id) {
            self.own.left = None;
            self.own.said_left = true;
            return true;
        }
        let Some((_, grant)) = self.own.begin.filter(|(begin, _)| *begin == id) else { return false };
        match answer {
            Answer::Done(tickets) if now.saturating_sub(asked_at) <= FRESH => {
                if let Some(ticket) = tickets.first() {
                    self.leave_by(*ticket, grant, now);
                }
            }
            // Late, or nothing is known: what a fresh notice shows is asked about anew.
            Answer::Done(_) | Answer::Refused(crate::order::ticket::Refusal::NoLeader) => {
                self.own.begin = None
            }
            Answer::Refused(why) => self.note(format!("a grant was not taken up: {why:?}")),
            _ => {}
        }
        true
    }

    fn leave_by(&mut self, ticket: TicketId, grant: GrantNumber, now: Ms) {
        self.phase = Phase::Leaving;
        self.own.leaving = Some((ticket, grant));
        self.effects.push(Effect::Leave(ticket));
        self.note(format!("ticket {ticket}: begun, this server leaves for work"));
        self.say_move(ticket, grant, Move::Drain, now);
        self.hand_over_all(now);
        self.give_up_lead();
        self.say_digest(now);
    }

    /// The server was told to leave from outside, and obeys. Counted where it has no ticket for it.
    pub fn leaving(&mut self, now: Ms) {
        if self.phase == Phase::Leaving {
            return;
        }
        self.phase = Phase::Leaving;
        let name = self.setup.name.clone();
        let by = By::Server { name: name.clone(), incarnation: self.me().incarnation };
        self.submit(Ask::Do { by, command: Command::Unasked(name) }, now);
        self.hand_over_all(now);
        self.give_up_lead();
        self.say_digest(now);
        self.settle(now);
    }

    /// All that it owed is answered. Says that it is out, and goes; [`Node::is_over`] tells when that is said.
    pub fn drained(&mut self, now: Ms) {
        self.phase = Phase::Leaving;
        self.own.drained = true;
        self.say_digest(now);
        self.end_session(now);
        match self.own.leaving {
            Some((ticket, grant)) => self.own.left = Some(self.say_move(ticket, grant, Move::Leave, now)),
            None => self.own.said_left = true,
        }
        self.settle(now);
    }

    /// Whether the process may end without anything left to say.
    pub fn is_over(&self) -> bool {
        self.own.said_left && self.duties.is_over()
    }

    /// The last word to the membership.
    pub fn end(&mut self, now: Ms) {
        self.membership.leave(now);
        self.settle(now);
    }

    fn say_move(&mut self, ticket: TicketId, grant: GrantNumber, by: Move, now: Ms) -> RequestId {
        use rand::RngExt;
        let me = self.me();
        let (name, incarnation) = (me.name.clone(), me.incarnation);
        let command = Command::Move { ticket, by, grant, incarnation };
        let id = self.rng.random();
        self.submit_as(id, Ask::Do { by: By::Server { name, incarnation }, command }, now);
        id
    }
}
