//! Gateways over RESP: accepts their connections, reads requests, words answers.

mod accept;
mod connections;
mod intake;

use std::sync::Arc;

use loomflow_protocol::gateway::{Advice, Call, Request, Word};
use loomflow_settings::{Config, Site};

use super::seam::{Answer, Ask, Failure, Ticket};
use crate::budget::Budget;
use crate::clock::Now;
use crate::ending::Ending;
use crate::log;
use crate::mailbox::{ConnectionId, FromGateway, Mailbox};
use accept::Accepting;
pub use accept::Listener;
use connections::{Gateways, Tag};

/// Least time between two looks at all connections, ms.
const SWEEP: f64 = 20.0;

pub struct Resp {
    site: Site,
    accepting: Accepting,
    /// The listening socket is open.
    listening: bool,
    gateways: Gateways,
    sweep_at: f64,
}

impl Resp {
    pub fn start(listener: Listener, config: &Config, budget: &Budget, mailbox: &Arc<Mailbox>) -> Resp {
        Resp {
            site: config.site.clone(),
            accepting: Accepting::start(listener, budget.gateways, mailbox.clone()),
            listening: true,
            gateways: Gateways::new(config.site.settings.idle, budget.crowded, budget.unwritten)
                .with_most(budget.gateways),
            sweep_at: 0.0,
        }
    }

    /// The listening socket is closed.
    pub fn not_listening(&mut self) {
        self.listening = false;
    }

    pub fn take_in(&mut self, id: ConnectionId, from: FromGateway, now: Now, asks: &mut Vec<Ask>) {
        match from {
            FromGateway::Opened(outbox) => self.gateways.opened(id, outbox, now.ms),
            FromGateway::Said(request) => self.said(id, request, now, asks),
            FromGateway::Stopped(ending) => self.over(id, ending, now.ms, asks),
            FromGateway::Ended(ending) => {
                self.over(id, ending, now.ms, asks);
                self.gateways.ended(id);
            }
            FromGateway::Closed => self.gateways.closed(id),
        }
    }

    fn said(&mut self, id: ConnectionId, request: Request, now: Now, asks: &mut Vec<Ask>) {
        let tag = request.tag();
        match self.gateways.opens(id, tag) {
            Tag::Opened => {}
            Tag::Late => return self.answer(id, tag, Answer::Refused { pause: 0.0, last: false }, now.ms),
            Tag::Reused => {
                let ending = Ending::Malformed("a tag is used again while it is open");
                return self.over(id, ending, now.ms, asks);
            }
            Tag::Unheard => return,
        }
        let ticket = Ticket::Tag(id, tag);
        asks.push(match request {
            Request::Health { real, .. } => Ask::Check(ticket, real),
            Request::Call(call) => self.offer(ticket, call, now),
            Request::Unreadable { why, .. } => {
                log!(why, "a request was not taken");
                return self.answer(id, tag, Answer::Failed(Failure::Unfit), now.ms);
            }
        });
    }

    fn offer(&self, ticket: Ticket, call: Call, now: Now) -> Ask {
        match intake::place(&self.site, &call, now) {
            Ok(place) => Ask::Take(Box::new(intake::offer(&self.site, ticket, call, place, now))),
            Err(why) => Ask::Unfit(ticket, why),
        }
    }

    /// Settles what is open on a connection that ends: it has failed, where somebody may hear so, and its caller is
    /// gone in any case.
    fn over(&mut self, id: ConnectionId, ending: Ending, now: f64, asks: &mut Vec<Ask>) {
        if let (Ending::Malformed(why), false) = (ending, self.gateways.is_stopped(id)) {
            log!(why, "a gateway's connection ends");
        }
        for tag in self.gateways.stop(id, ending, now) {
            asks.push(Ask::Gone(Ticket::Tag(id, tag)));
            if ending.is_answered() {
                self.gateways.answer(id, tag, Word::Failed, Advice::default(), &[], now);
            } else {
                self.gateways.drop_tag(id, tag);
            }
        }
    }

    pub fn sweep(&mut self, now: f64, asks: &mut Vec<Ask>) {
        if now < self.sweep_at {
            return;
        }
        self.sweep_at = now + SWEEP;
        for stuck in self.gateways.sweep(now) {
            self.over(stuck, Ending::Malformed("the rest of a message does not come"), now, asks);
        }
    }

    pub fn answer(&mut self, id: ConnectionId, tag: u64, answer: Answer, now: f64) {
        let none = Advice::default();
        let (word, advice, body) = match answer {
            Answer::Served(result) => (Word::Ok, none, result),
            Answer::Refused { pause, last } => {
                (Word::Busy, Advice { stay_away: pause, last, ..none }, &[][..])
            }
            Answer::Failed(_) => (Word::Failed, none, &[][..]),
            Answer::Well(true) => (Word::Up, none, &[][..]),
            Answer::Well(false) => (Word::Down, none, &[][..]),
        };
        if answer == Answer::Failed(Failure::Unfit) {
            self.gateways.strike(id);
        }
        self.gateways.answer(id, tag, word, advice, body, now);
    }

    pub fn tell(&mut self, signal: f64) {
        self.gateways.signal = Some(signal);
    }

    /// Names and figures as they stand from now on.
    pub fn settle(&mut self, site: &Site) {
        self.site = site.clone();
    }

    pub fn close_idle_after(&mut self, span: f64) {
        self.gateways.close_idle_after = Some(span);
    }

    /// No connection is taken any more, and no request is asked for. All is over `by` then, if it can be.
    pub fn close(&mut self, by: f64, killed_at: f64, now: f64) {
        self.accepting.stop();
        self.gateways.leave(by, killed_at, now);
    }

    /// Whether nobody can come any more, and all who came have been seen off.
    pub fn settled(&self, now: f64) -> bool {
        (!self.listening || self.gateways.is_out_of_time(now)) && self.gateways.settled(now)
    }
}
