//! Calls below: the connections to the ledger and the calls on them.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use loomflow::interface::{Outcome, RequestId};
use loomflow_protocol::TryId;
use loomflow_protocol::ledger::{self, Answer, Replies};

use crate::ending::Ending;
use crate::link::{self, Outbox};
use crate::log;
use crate::mailbox::{Input, LinkNumber, Mailbox};

#[cfg(test)]
mod tests;

/// A connection that has been idle for so long carries no further call, and is closed: the ledger may have
/// forgotten it. Measured: 47 of 276 calls after 150 ms or more were reset, 24 of 2284 after less, ms.
const IDLE: f64 = 120.0;
/// Calls after which a connection is given up, so that a late copy of a reply never meets a call of its request.
const MOST_CARRIED: usize = 64;
/// How long after a call's time the ledger may still say that it expired, ms.
const GRACE: f64 = 25.0;
/// A connection to an address that is left finishes what it carries within this, ms.
const LEFT: f64 = 1_500.0;

struct Call {
    try_id: TryId,
    link: LinkNumber,
    /// Where it ends among the bytes of its link.
    end: u64,
    since: f64,
    until: f64,
}

/// A call to be made.
pub struct NewCall<'a> {
    pub id: RequestId,
    pub try_id: TryId,
    pub effect: bool,
    pub body: &'a [u8],
    pub until: f64,
}

/// A call that is over.
#[derive(Debug, PartialEq)]
pub struct Ended {
    pub id: RequestId,
    pub outcome: Outcome,
    pub took: f64,
    /// The reply, where it went well.
    pub reply: Vec<u8>,
}

struct Link {
    outbox: Arc<Outbox>,
    used_at: f64,
    /// Calls in hand on it.
    open: usize,
    carried: Vec<RequestId>,
    /// No further call goes on it, and it is broken off by then.
    until: Option<f64>,
}

impl Link {
    fn may_carry(&self, id: RequestId) -> bool {
        self.until.is_none() && self.carried.len() < MOST_CARRIED && !self.carried.contains(&id)
    }
}

/// The connections to the ledger. What goes wrong on one costs every call on it, so each call has one to itself
/// while there are enough; calls share the least loaded beyond that.
pub struct Ledger {
    to: Option<SocketAddr>,
    mailbox: Arc<Mailbox>,
    most: usize,
    number: LinkNumber,
    links: BTreeMap<LinkNumber, Link>,
    calls: BTreeMap<RequestId, Call>,
}

impl Ledger {
    /// `most`: connections held at the same time.
    pub fn new(to: Option<SocketAddr>, most: usize, mailbox: Arc<Mailbox>) -> Ledger {
        Ledger { to, mailbox, most, number: 0, links: BTreeMap::new(), calls: BTreeMap::new() }
    }

    /// The connection for a call. One with an effect never goes on a connection that was idle: if that turned out
    /// to be forgotten, nothing would prove that the call never ran.
    fn link_for(&mut self, id: RequestId, effect: bool, to: SocketAddr, now: f64) -> Option<LinkNumber> {
        let idle = |link: &Link| link.open == 0 && !effect && now - link.used_at < IDLE && link.may_carry(id);
        let free = self.links.iter().filter(|(_, link)| idle(link));
        if let Some((number, _)) = free.max_by(|a, b| a.1.used_at.total_cmp(&b.1.used_at)) {
            return Some(*number);
        }
        if self.links.len() < self.most {
            return Some(self.open(to, now));
        }
        let busy = self.links.iter().filter(|(_, link)| link.open > 0 && link.may_carry(id));
        busy.min_by_key(|(_, link)| link.open).map(|(number, _)| *number)
    }

    fn open(&mut self, to: SocketAddr, now: f64) -> LinkNumber {
        self.number += 1;
        let outbox = Arc::new(Outbox::new(None));
        let link = Link { outbox: outbox.clone(), used_at: now, open: 0, carried: Vec::new(), until: None };
        self.links.insert(self.number, link);
        let (number, mailbox) = (self.number, self.mailbox.clone());
        may::go!(move || {
            let ending = match link::open(to, Duration::ZERO, &outbox) {
                Err(ending) => ending,
                Ok(stream) => {
                    let deliver = |reply| mailbox.put(Input::Reply(number, reply));
                    link::drive(stream, &outbox, Replies::default(), deliver, |_| {}).1
                }
            };
            mailbox.put(Input::LedgerEnded(number, ending, outbox.written()));
        });
        number
    }

    /// Makes a call that is given up at `until`; false where there is nothing to call, or no room for it.
    pub fn call(&mut self, call: NewCall, now: f64) -> bool {
        let NewCall { id, try_id, effect, body, until } = call;
        let number = self.to.and_then(|to| self.link_for(id, effect, to, now));
        let Some((number, link)) = number.and_then(|n| Some((n, self.links.get_mut(&n)?))) else {
            return false;
        };
        let wait = (until - now).ceil().max(1.0) as u64;
        let end = link.outbox.add(|out| ledger::post(out, try_id, wait, body));
        (link.used_at, link.open) = (now, link.open + 1);
        link.carried.push(id);
        self.calls.insert(id, Call { try_id, link: number, end, since: now, until });
        true
    }

    /// The ledger is reached elsewhere: later calls go there. What the old connections carry is finished.
    pub fn moved(&mut self, to: Option<SocketAddr>, now: f64) {
        if to != self.to {
            self.to = to;
            self.links.values_mut().for_each(|link| link.until = Some(now + LEFT));
        }
    }

    /// Nobody waits for this call any more. Its connection may be one that is of no further use.
    pub fn give_up(&mut self, id: RequestId, now: f64) {
        let Some(call) = self.calls.remove(&id) else { return };
        let Some(link) = self.links.get_mut(&call.link) else { return };
        link.open -= 1;
        if link.open > 0 {
            link.outbox.add(|out| ledger::abandon(out, call.try_id));
            link.until.get_or_insert(now + LEFT);
        } else if let Some(link) = self.links.remove(&call.link) {
            // That gives up its call as well.
            link.outbox.abort();
        }
    }

    pub fn replied(
        &mut self,
        link: LinkNumber,
        id: Option<RequestId>,
        answer: Answer,
        now: f64,
    ) -> Option<Ended> {
        let id = id.filter(|id| self.calls.get(id).is_some_and(|call| call.link == link))?;
        let call = self.calls.remove(&id)?;
        if let Some(link) = self.links.get_mut(&link) {
            (link.used_at, link.open) = (now, link.open - 1);
        }
        let (outcome, reply) = match answer {
            Answer::Posted(reply) => (Outcome::Ok, reply),
            Answer::QueueFull => (Outcome::Rejected, Vec::new()),
            Answer::Error => (Outcome::Error, Vec::new()),
            Answer::Expired => (Outcome::TimedOut, Vec::new()),
            Answer::Moot => (Outcome::Moot, Vec::new()),
        };
        Some(Ended { id, outcome, took: now - call.since, reply })
    }

    /// A connection is over, and every call on it.
    pub fn ended(&mut self, link: LinkNumber, ending: Ending, written: u64, now: f64) -> Vec<Ended> {
        self.links.remove(&link);
        if matches!(ending, Ending::Malformed(_)) {
            log!(part = "ledger", ?ending, "a connection ended");
        }
        self.end_where(now, |call| (call.link == link).then(|| ending.outcome(call.end <= written)))
    }

    /// Ends calls whose time is up without a word, with their connections and all that is on them; and
    /// connections that are idle, or whose time is up.
    pub fn sweep(&mut self, now: f64) -> Vec<Ended> {
        let silent = |call: &Call| now >= call.until + GRACE;
        let mut over: BTreeSet<LinkNumber> =
            self.calls.values().filter(|c| silent(c)).map(|c| c.link).collect();
        for (number, link) in &self.links {
            let idle = link.open == 0 && (link.until.is_some() || now - link.used_at >= IDLE);
            if idle || link.until.is_some_and(|until| now >= until) {
                over.insert(*number);
            }
        }
        let mut ended = Vec::new();
        for number in over {
            // What was never written must not be: it ends here and now.
            let written = self.links.remove(&number).map_or(0, |link| link.outbox.abort());
            ended.extend(self.end_where(now, |call| match call.end <= written {
                _ if call.link != number => None,
                true if silent(call) => Some(Outcome::TimedOut),
                sent => Some(Ending::GivenUp.outcome(sent)),
            }));
        }
        ended
    }

    fn end_where(&mut self, now: f64, over: impl Fn(&Call) -> Option<Outcome>) -> Vec<Ended> {
        let ended: Vec<Ended> = self
            .calls
            .iter()
            .filter_map(|(id, call)| {
                let outcome = over(call)?;
                Some(Ended { id: *id, outcome, took: now - call.since, reply: Vec::new() })
            })
            .collect();
        for call in &ended {
            self.calls.remove(&call.id);
        }
        ended
    }

    /// The connection that carries a request's call.
    #[cfg(test)]
    pub fn link_of(&self, id: RequestId) -> Option<LinkNumber> {
        self.calls.get(&id).map(|call| call.link)
    }

    /// When the next call's time is up.
    pub fn next_limit(&self) -> Option<f64> {
        self.calls.values().map(|call| call.until + GRACE).reduce(f64::min)
    }
}
