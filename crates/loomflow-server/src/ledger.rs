//! The connections to the ledger, and the calls on them.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use loomflow::interface::{Outcome, RequestId};
use loomflow::time::Millis;
use loomflow_protocol::AttemptId;
use loomflow_protocol::ledger::{self, Replies, ReplyStatus};

use crate::close_reason::CloseReason;
use crate::connection::{self, ConnectionHandle};
use crate::log;
use crate::mailbox::{LinkId, Mailbox, OwnerEvent};

#[cfg(test)]
mod tests;

/// A connection that has been idle for so long carries no further call and is closed: the ledger may have forgotten it.
/// Measured: 47 of 276 calls after 150 ms or more were reset, 24 of 2284 after less.
const MAX_IDLE_MS: Millis = 120.0;
/// A connection is retired after so many calls, so that a late copy of a reply never meets a later call of its request.
const MAX_CALLS_PER_CONNECTION: usize = 64;
/// How long after a call's deadline the ledger may still report that it expired.
const EXPIRY_GRACE_MS: Millis = 25.0;
/// Connections to a former address finish their calls within this time.
const OLD_ADDRESS_DRAIN_MS: Millis = 1_500.0;

/// A call in flight.
struct Call {
    attempt_id: AttemptId,
    link: LinkId,
    /// The position of its last byte among all bytes of the connection.
    end: u64,
    started_at: Millis,
    deadline: Millis,
}

/// A call to be made.
pub struct CallRequest<'a> {
    /// The request that calls.
    pub id: RequestId,
    /// Its name towards the ledger.
    pub attempt_id: AttemptId,
    /// The call may have an effect, so it must not be made twice.
    pub has_effect: bool,
    /// The body of the call.
    pub body: &'a [u8],
    /// When it is abandoned.
    pub deadline: Millis,
}

/// A call that has finished.
#[derive(Debug, PartialEq)]
pub struct FinishedCall {
    /// The request that called.
    pub id: RequestId,
    /// How it finished.
    pub outcome: Outcome,
    /// How long it took.
    pub duration: Millis,
    /// The reply of a call that succeeded.
    pub reply: Vec<u8>,
}

struct Connection {
    handle: Arc<ConnectionHandle>,
    last_used_at: Millis,
    calls_in_flight: usize,
    carried_calls: Vec<RequestId>,
    /// It carries no further call, and is aborted then.
    retire_at: Option<Millis>,
}

impl Connection {
    fn may_carry(&self, id: RequestId) -> bool {
        self.retire_at.is_none()
            && self.carried_calls.len() < MAX_CALLS_PER_CONNECTION
            && !self.carried_calls.contains(&id)
    }

    /// Whether it is closed at the next check: idle for too long, or retired and drained or out of time.
    fn is_due(&self, now: Millis) -> bool {
        let is_unused =
            self.calls_in_flight == 0 && (self.retire_at.is_some() || now - self.last_used_at >= MAX_IDLE_MS);
        is_unused || self.retire_at.is_some_and(|retire_at| now >= retire_at)
    }
}

/// The connections to the ledger. A fault on a connection fails every call on it, so each call has one to itself while
/// there are enough; beyond that calls share the least loaded.
pub struct Ledger {
    address: Option<SocketAddr>,
    mailbox: Arc<Mailbox>,
    max_connections: usize,
    last_link: LinkId,
    connections: BTreeMap<LinkId, Connection>,
    calls: BTreeMap<RequestId, Call>,
}

impl Ledger {
    /// No connection is opened before the first call, and at most `max_connections` at the same time.
    pub fn new(address: Option<SocketAddr>, max_connections: usize, mailbox: Arc<Mailbox>) -> Ledger {
        Ledger {
            address,
            mailbox,
            max_connections,
            last_link: 0,
            connections: BTreeMap::new(),
            calls: BTreeMap::new(),
        }
    }

    /// The connection for a call. One with an effect never goes on a connection that was idle: if the ledger had
    /// forgotten that, nothing would prove that the call never ran.
    fn connection_for(&mut self, call: &CallRequest, address: SocketAddr, now: Millis) -> Option<LinkId> {
        let is_reusable = |connection: &Connection| {
            connection.calls_in_flight == 0
                && !call.has_effect
                && now - connection.last_used_at < MAX_IDLE_MS
                && connection.may_carry(call.id)
        };
        let reusable = self.connections.iter().filter(|(_, connection)| is_reusable(connection));
        if let Some((link, _)) = reusable.max_by(|a, b| a.1.last_used_at.total_cmp(&b.1.last_used_at)) {
            return Some(*link);
        }
        if self.connections.len() < self.max_connections {
            return Some(self.connect(address, now));
        }
        let is_shareable =
            |connection: &Connection| connection.calls_in_flight > 0 && connection.may_carry(call.id);
        let shareable = self.connections.iter().filter(|(_, connection)| is_shareable(connection));
        shareable.min_by_key(|(_, connection)| connection.calls_in_flight).map(|(link, _)| *link)
    }

    fn connect(&mut self, address: SocketAddr, now: Millis) -> LinkId {
        self.last_link += 1;
        let handle = Arc::new(ConnectionHandle::new(None));
        let connection = Connection {
            handle: handle.clone(),
            last_used_at: now,
            calls_in_flight: 0,
            carried_calls: Vec::new(),
            retire_at: None,
        };
        self.connections.insert(self.last_link, connection);
        let (link, mailbox) = (self.last_link, self.mailbox.clone());
        may::go!(move || {
            let reason = match connection::connect_after(address, Duration::ZERO, &handle) {
                Err(reason) => reason,
                Ok(stream) => {
                    let deliver = |reply| mailbox.send(OwnerEvent::LedgerReply(link, reply));
                    connection::drive(stream, &handle, Replies::default(), deliver, |_| {}).1
                }
            };
            let bytes_written = handle.bytes_written();
            mailbox.send(OwnerEvent::LedgerDisconnected { link, reason, bytes_written });
        });
        link
    }

    /// Makes a call. Returns false where there is no ledger, or no connection for it.
    pub fn call(&mut self, call: CallRequest, now: Millis) -> bool {
        let link = self.address.and_then(|address| self.connection_for(&call, address, now));
        let Some((link, connection)) = link.and_then(|link| Some((link, self.connections.get_mut(&link)?)))
        else {
            return false;
        };
        let CallRequest { id, attempt_id, body, deadline, .. } = call;
        let max_wait = (deadline - now).ceil().max(1.0) as u64;
        let end = connection.handle.enqueue(|out| ledger::write_post(out, attempt_id, max_wait, body));
        connection.last_used_at = now;
        connection.calls_in_flight += 1;
        connection.carried_calls.push(id);
        self.calls.insert(id, Call { attempt_id, link, end, started_at: now, deadline });
        true
    }

    /// The ledger has another address: further calls go there, and the old connections finish theirs.
    pub fn set_address(&mut self, address: Option<SocketAddr>, now: Millis) {
        if address == self.address {
            return;
        }
        self.address = address;
        for connection in self.connections.values_mut() {
            connection.retire_at = Some(now + OLD_ADDRESS_DRAIN_MS);
        }
    }

    /// Nobody waits for a call any more: its connection, which may be broken, carries no further one.
    pub fn cancel(&mut self, id: RequestId, now: Millis) {
        let Some(call) = self.calls.remove(&id) else { return };
        let Some(connection) = self.connections.get_mut(&call.link) else { return };
        connection.calls_in_flight -= 1;
        if connection.calls_in_flight > 0 {
            connection.handle.enqueue(|out| ledger::write_abandon(out, call.attempt_id));
            connection.retire_at.get_or_insert(now + OLD_ADDRESS_DRAIN_MS);
        } else if let Some(connection) = self.connections.remove(&call.link) {
            // The close cancels the call as well.
            connection.handle.abort();
        }
    }

    /// A reply was received; returns the call that it finishes.
    pub fn reply_received(
        &mut self,
        link: LinkId,
        id: Option<RequestId>,
        answer: ReplyStatus,
        now: Millis,
    ) -> Option<FinishedCall> {
        let id = id.filter(|id| self.calls.get(id).is_some_and(|call| call.link == link))?;
        let call = self.calls.remove(&id)?;
        if let Some(connection) = self.connections.get_mut(&link) {
            connection.last_used_at = now;
            connection.calls_in_flight -= 1;
        }
        let (outcome, reply) = match answer {
            ReplyStatus::Posted(reply) => (Outcome::Ok, reply),
            ReplyStatus::QueueFull => (Outcome::Rejected, Vec::new()),
            ReplyStatus::Error => (Outcome::Error, Vec::new()),
            ReplyStatus::Expired => (Outcome::TimedOut, Vec::new()),
            ReplyStatus::NotStarted => (Outcome::NotStarted, Vec::new()),
        };
        Some(FinishedCall { id, outcome, duration: now - call.started_at, reply })
    }

    /// A connection was closed; returns the calls that were on it.
    pub fn disconnected(
        &mut self,
        link: LinkId,
        reason: CloseReason,
        bytes_written: u64,
        now: Millis,
    ) -> Vec<FinishedCall> {
        self.connections.remove(&link);
        if matches!(reason, CloseReason::ProtocolViolation(_)) {
            log!(part = "ledger", ending = %reason, "a connection was closed");
        }
        self.finish_where(now, |call| (call.link == link).then(|| reason.outcome(call.end <= bytes_written)))
    }

    /// Closes connections with a call that is overdue, and those that are idle or retired; returns the calls on them.
    pub fn expire(&mut self, now: Millis) -> Vec<FinishedCall> {
        let is_overdue = |call: &Call| now >= call.deadline + EXPIRY_GRACE_MS;
        let mut closing: BTreeSet<LinkId> =
            self.calls.values().filter(|call| is_overdue(call)).map(|call| call.link).collect();
        let due = self.connections.iter().filter(|(_, connection)| connection.is_due(now));
        closing.extend(due.map(|(link, _)| *link));
        let mut finished = Vec::new();
        for link in closing {
            // What has not been written by now never will be: those calls finish here.
            let bytes_written =
                self.connections.remove(&link).map_or(0, |connection| connection.handle.abort());
            finished.extend(self.finish_where(now, |call| match call.end <= bytes_written {
                _ if call.link != link => None,
                true if is_overdue(call) => Some(Outcome::TimedOut),
                is_sent => Some(CloseReason::Aborted.outcome(is_sent)),
            }));
        }
        finished
    }

    /// Finishes the calls for which there is an outcome.
    fn finish_where(&mut self, now: Millis, outcome: impl Fn(&Call) -> Option<Outcome>) -> Vec<FinishedCall> {
        let mut finished = Vec::new();
        self.calls.retain(|id, call| {
            let Some(outcome) = outcome(call) else { return true };
            let duration = now - call.started_at;
            finished.push(FinishedCall { id: *id, outcome, duration, reply: Vec::new() });
            false
        });
        finished
    }

    /// The connection that carries a request's call.
    #[cfg(test)]
    pub fn link_of(&self, id: RequestId) -> Option<LinkId> {
        self.calls.get(&id).map(|call| call.link)
    }

    /// When the next call is overdue.
    pub fn next_deadline(&self) -> Option<Millis> {
        self.calls.values().map(|call| call.deadline + EXPIRY_GRACE_MS).reduce(f64::min)
    }
}
