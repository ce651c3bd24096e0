//! Answers and the connections they go out on; what every answer carries; idle connections and leaving ones.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use loomflow_protocol::gateway::{self, Advice, Word};

use crate::ending::Ending;
use crate::link::{self, Outbox};
use crate::mailbox::ConnectionId;

#[cfg(test)]
mod interleavings;
#[cfg(test)]
mod tests;

/// How long a gateway has to close a connection after it was told that no request is wanted there, ms.
const AFTER_BYE: f64 = 500.0;
/// The same where room is short; a request that crosses the close within 50 ms is sent again.
const AFTER_BYE_CROWDED: f64 = 80.0;
/// A connection on which no whole message ever came is closed after this, ms, and where room is short after that.
const SILENT: f64 = 1_500.0;
const SILENT_CROWDED: f64 = 100.0;
/// A connection that ends is broken off once its peer has read nothing of what it is still owed for so long, or not all
/// for so long, ms: who reads slowly is waited for, who does not read is not.
const UNREAD: f64 = 2_000.0;
const UNREAD_WHOLE: f64 = 10_000.0;
/// The rest of a message is waited for so long after its last byte, and so long in all: who is slow is heard, who
/// stands still is not.
const HALF: Duration = Duration::from_millis(1_500);
const WHOLE: Duration = Duration::from_secs(10);
/// The end of a process that is being told to leave comes so long before it would be killed, whatever is unwritten, ms.
const BEFORE_KILL: f64 = 50.0;

struct Connection {
    outbox: Arc<Outbox>,
    open: BTreeSet<u64>,
    idle_since: f64,
    bye_at: Option<f64>,
    /// A whole message has come on it.
    spoke: bool,
    /// Nothing more is taken from it.
    stopped: Option<Stopped>,
    /// It ends once all is written.
    ends: Option<Ends>,
}

/// A connection that is ending: since when, how much of it was written at the last look, and since when no more, ms.
#[derive(Clone, Copy)]
struct Ends {
    since: f64,
    written: u64,
    stands_since: f64,
}

/// Nothing more is taken from a connection; `heard`: somebody may still read answers on it.
#[derive(Clone, Copy)]
struct Stopped {
    heard: bool,
}

/// What becomes of a message's tag.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Tag {
    Opened,
    /// Nothing is taken from its connection any more, and somebody may still hear so.
    Late,
    /// It is open already.
    Reused,
    /// There is no such connection, or nobody hears an answer on it.
    Unheard,
}

/// The time that connections have for their end once the server has been told to leave.
#[derive(Clone, Copy, Debug)]
struct Leaving {
    /// How long a connection has after it was told that no request is wanted on it, ms.
    bye: f64,
    /// When the rest of a message is waited for no longer, so that its peer can still hear the end.
    ends_at: f64,
    by: f64,
    killed_at: f64,
}

#[derive(Default)]
pub struct Gateways {
    connections: BTreeMap<ConnectionId, Connection>,
    /// The free value, once there is one.
    pub signal: Option<f64>,
    /// Idle connections are closed after so long, once that is said, ms.
    pub close_idle_after: Option<f64>,
    /// Connections that are over, and whose last answers are still being read.
    closing: BTreeSet<ConnectionId>,
    leaving: Option<Leaving>,
    /// With more connections than this the longest idle are closed.
    crowded: usize,
    /// Connections that may be held at once: with so many, others wait to be accepted.
    most: usize,
    /// Bytes of answers that may wait to be read by gateways, all together.
    most_unwritten: usize,
}

impl Gateways {
    /// `idle`: idle connections are closed after so long, ms, until something else is said.
    pub fn new(idle: f64, crowded: usize, most_unwritten: usize) -> Gateways {
        let close_idle_after = (idle > 0.0).then_some(idle);
        Gateways { close_idle_after, crowded, most: usize::MAX, most_unwritten, ..Gateways::default() }
    }

    /// The same where no more than `most` connections are held at once.
    pub fn with_most(self, most: usize) -> Gateways {
        Gateways { most, ..self }
    }

    pub fn opened(&mut self, id: ConnectionId, outbox: Arc<Outbox>, now: f64) {
        let mut connection = Connection {
            outbox,
            open: BTreeSet::new(),
            idle_since: now,
            bye_at: None,
            spoke: false,
            stopped: None,
            ends: None,
        };
        if self.leaving.is_some() {
            connection.bye(now);
        }
        self.connections.insert(id, connection);
    }

    pub fn ended(&mut self, id: ConnectionId) {
        if self.connections.remove(&id).is_some() {
            self.closing.insert(id);
        }
    }

    pub fn closed(&mut self, id: ConnectionId) {
        self.closing.remove(&id);
    }

    /// Takes note of a message's tag. What was read is answered: one that was on its way to us as we stopped taking
    /// more is open until its refusal is said.
    pub fn opens(&mut self, id: ConnectionId, tag: u64) -> Tag {
        let Some(connection) = self.connections.get_mut(&id) else { return Tag::Unheard };
        connection.spoke = true;
        match connection.stopped {
            Some(Stopped { heard: false, .. }) => {
                connection.outbox.answer(|_| {});
                Tag::Unheard
            }
            _ if !connection.open.insert(tag) => {
                connection.outbox.answer(|_| {});
                Tag::Reused
            }
            Some(_) => Tag::Late,
            None => Tag::Opened,
        }
    }

    /// Nothing more is taken from a connection, which ends once what is open on it is settled. The answer is the
    /// tags that are open.
    pub fn stop(&mut self, id: ConnectionId, ending: Ending, now: f64) -> Vec<u64> {
        let Some(connection) = self.connections.get_mut(&id) else { return Vec::new() };
        connection.stopped.get_or_insert(Stopped { heard: ending.is_answered() });
        connection.end(ending, now);
        connection.open.iter().copied().collect()
    }

    pub fn is_stopped(&self, id: ConnectionId) -> bool {
        self.connections.get(&id).is_some_and(|connection| connection.stopped.is_some())
    }

    /// Nobody waits for an answer to this tag.
    pub fn drop_tag(&mut self, id: ConnectionId, tag: u64) {
        let Some(connection) = self.connections.get_mut(&id) else { return };
        if connection.open.remove(&tag) {
            connection.outbox.answer(|_| {});
        }
    }

    /// A message on it could not be taken.
    pub fn strike(&mut self, id: ConnectionId) {
        if let Some(connection) = self.connections.get(&id) {
            connection.outbox.strike();
        }
    }

    /// Answers a tag on its own connection, if that is still there.
    pub fn answer(&mut self, id: ConnectionId, tag: u64, word: Word, advice: Advice, body: &[u8], now: f64) {
        let Some(connection) = self.connections.get_mut(&id) else { return };
        if !connection.open.remove(&tag) {
            return;
        }
        connection.idle_since = now;
        let advice = Advice { signal: self.signal, ..advice };
        connection.outbox.answer(|out| gateway::answer(out, tag, word, advice, body));
    }

    /// Closes what has been idle, or silent from the first, for long enough, and where room is short the longest
    /// idle. The answer is the connections on which half a message has been stuck.
    pub fn sweep(&mut self, now: f64) -> Vec<ConnectionId> {
        let after = self.close_idle_after.unwrap_or(f64::INFINITY);
        self.make_room(now);
        self.shed_unread();
        let crowded = self.connections.len() > self.crowded;
        let bye = if crowded { AFTER_BYE_CROWDED } else { AFTER_BYE };
        let bye = self.leaving.map_or(bye, |leaving| bye.min(leaving.bye));
        let waited_for = self.leaving.is_none_or(|leaving| now < leaving.ends_at);
        let mut stuck = Vec::new();
        for (id, connection) in &mut self.connections {
            // Its peer had spoken before the close.
            if connection.stopped.is_none() && !connection.outbox.is_ending() {
                connection.ends = None;
            }
            // Whether we or its peer made an end to it: who does not read its answers does not hold it for good.
            if let Some(ends) = connection.ends.as_mut().filter(|_| connection.open.is_empty()) {
                if ends.is_unread(connection.outbox.written(), connection.idle_since, now) {
                    connection.outbox.abort();
                }
                continue;
            }
            if connection.stopped.is_some() {
                continue;
            }
            let half = connection.outbox.half();
            match half {
                Some(half) if half.is_stuck(HALF, WHOLE) => {
                    stuck.push(*id);
                    continue;
                }
                // A message is on its way: it is slow, and not idle.
                Some(_) if waited_for => continue,
                _ => {}
            }
            let ending = if half.is_some() { Ending::GivenUp } else { Ending::Idle };
            if !connection.open.is_empty() {
                continue;
            }
            let idle = now - connection.idle_since;
            match connection.bye_at {
                _ if !connection.spoke && idle >= SILENT => connection.end(ending, now),
                None if idle >= after => connection.bye(now),
                Some(at) if now - at.max(connection.idle_since) >= bye => connection.end(ending, now),
                _ => {}
            }
        }
        stuck
    }

    /// Where room is short: those that never said anything go at once, then the longest idle are asked to go. Where there
    /// is none, others stand in the queue of the system, and up to half of all go: gateways with work may stand behind many
    /// that have none.
    fn make_room(&mut self, now: f64) {
        let is_full = self.connections.len() + self.closing.len() >= self.most;
        let least = if is_full { self.connections.len() / 2 } else { 0 };
        let over = self.connections.len().saturating_sub(self.crowded).max(least);
        if over == 0 {
            return;
        }
        let idle = self.connections.values_mut().filter(|c| {
            let speaks = c.spoke && c.outbox.half().is_some();
            c.stopped.is_none() && c.ends.is_none() && c.open.is_empty() && !speaks
        });
        let mut going: Vec<&mut Connection> = idle.collect();
        let rank = |c: &Connection| (c.spoke, c.outbox.half().is_some());
        going.sort_by(|a, b| rank(a).cmp(&rank(b)).then(a.idle_since.total_cmp(&b.idle_since)));
        for connection in going.into_iter().take(over) {
            if connection.spoke {
                connection.bye(now);
            } else if now - connection.idle_since >= SILENT_CROWDED {
                let speaks = connection.outbox.half().is_some();
                connection.end(if speaks { Ending::GivenUp } else { Ending::Idle }, now);
            }
        }
    }

    /// Where more answers wait than memory is set aside for, who reads least is broken off.
    fn shed_unread(&mut self) {
        let mut unread: Vec<(usize, &Connection)> = self
            .connections
            .values()
            .map(|c| (c.outbox.unwritten(), c))
            .filter(|(bytes, _)| *bytes > 0)
            .collect();
        let mut total: usize = unread.iter().map(|(bytes, _)| bytes).sum();
        unread.sort_by_key(|(bytes, _)| *bytes);
        while total > self.most_unwritten {
            let Some((bytes, connection)) = unread.pop() else { return };
            crate::log!("a gateway does not read its answers: its connection is broken off");
            connection.outbox.abort();
            total -= bytes;
        }
    }

    /// Asks for no more requests on any connection, and on those that still come. All is over `by` then, if it can
    /// be: half of the time that is left is the peers' to close, the rest is ours.
    pub fn leave(&mut self, by: f64, killed_at: f64, now: f64) {
        let bye = AFTER_BYE.min((by - now).max(0.0) / 2.0);
        let ends_at = (by - link::LINGER.as_secs_f64() * 1000.0).max(now + bye);
        self.leaving = Some(Leaving { bye, ends_at, by, killed_at });
        self.connections.values_mut().for_each(|c| c.bye(now));
    }

    /// Whether the server is about to be killed.
    pub fn is_out_of_time(&self, now: f64) -> bool {
        self.leaving.is_some_and(|leaving| now >= leaving.killed_at - BEFORE_KILL)
    }

    /// Whether the process may end: each connection has been closed in order, its last answers read or given the time
    /// to be. The end of a process is a close, too: over unread bytes it would take back answers.
    pub fn settled(&self, now: f64) -> bool {
        let Some(leaving) = self.leaving else { return false };
        let written = || self.connections.values().all(|c| c.open.is_empty() && c.outbox.all_written());
        (self.connections.is_empty() && self.closing.is_empty())
            || (now >= leaving.by && written())
            || self.is_out_of_time(now)
    }
}

impl Ends {
    /// Whether its peer is no longer to be waited for. `owed_since`: when the last answer was added.
    fn is_unread(&mut self, written: u64, owed_since: f64, now: f64) -> bool {
        if written != self.written {
            (self.written, self.stands_since) = (written, now);
        }
        let since = self.since.max(owed_since);
        now - since.max(self.stands_since) >= UNREAD || now - since >= UNREAD_WHOLE
    }
}

impl Connection {
    /// Ends it once nothing is open on it and all is written.
    fn end(&mut self, ending: Ending, now: f64) {
        let written = self.outbox.written();
        self.ends.get_or_insert(Ends { since: now, written, stands_since: now });
        self.outbox.end(ending);
    }

    fn bye(&mut self, now: f64) {
        if self.bye_at.is_none() {
            self.bye_at = Some(now);
            self.outbox.add(gateway::bye);
        }
    }
}
