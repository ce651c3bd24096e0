//! Makes downstream calls to the ledger on a pool of connections, and determines the outcome of each.

mod connection;
mod placement;

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use loomflow::interface::{AttemptOutcome, RequestId};
use loomflow::time::Millis;
use loomflow_protocol::AttemptId;
use loomflow_protocol::ledger::{self, ReplyDecoder, ReplyStatus};

use crate::close_reason::CloseReason;
use crate::connection::{ConnectionHandle, connect_after, drive};
use crate::log;
use crate::mailbox::{LinkId, LinkSender, Mailbox, OwnerEvent};
use connection::LedgerConnection;
use placement::{Placement, PlacementRequest};

/// Extra time after the deadline of a call in which the ledger may still report that the call expired.
const EXPIRY_GRACE_MS: Millis = 25.0;

/// A call in flight.
struct Call {
    attempt_id: AttemptId,
    /// Id of the connection that carries the call.
    link: LinkId,
    /// Position of the end of the call among all bytes that were queued on the connection.
    end: u64,
    started_at: Millis,
    deadline: Millis,
}

/// Arguments of [`Ledger::call`].
pub struct CallRequest<'a> {
    /// The request whose run makes the call.
    pub id: RequestId,
    /// Id of the request's attempt, which identifies the call to the ledger.
    pub attempt_id: AttemptId,
    /// Whether the call may have an effect, so that it must not be made twice.
    pub has_effect: bool,
    /// Body of the call.
    pub body: &'a [u8],
    /// When the call times out.
    pub deadline: Millis,
}

/// A call that has finished.
#[derive(Debug, PartialEq)]
pub struct FinishedCall {
    /// The request whose run made the call.
    pub id: RequestId,
    /// Outcome of the call, for the controller.
    pub outcome: AttemptOutcome,
    /// Time since the call was made.
    pub duration: Millis,
    /// Body of the reply if the call succeeded; otherwise empty.
    pub reply: Vec<u8>,
}

/// The ledger's address, the connections to it, and the calls in flight.
pub struct Ledger {
    /// Where new connections go; none if the site has no ledger.
    address: Option<SocketAddr>,
    mailbox: Arc<Mailbox>,
    max_connections: usize,
    last_link: LinkId,
    connections: BTreeMap<LinkId, LedgerConnection>,
    calls: BTreeMap<RequestId, Call>,
}

impl Ledger {
    /// Creates a ledger without connections; calls open them, up to `max_connections` at the same time.
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

    /// Chooses the connection for a call, and opens a new one if the [`Placement`] is `New`.
    fn connection_for(&mut self, call: &CallRequest, address: SocketAddr, now: Millis) -> Option<LinkId> {
        let call = PlacementRequest { id: call.id, has_effect: call.has_effect };
        match Placement::choose(&self.connections, self.max_connections, call, now) {
            Placement::Existing(link) => Some(link),
            Placement::New => Some(self.connect(address, now)),
            Placement::Unavailable => None,
        }
    }

    fn connect(&mut self, address: SocketAddr, now: Millis) -> LinkId {
        self.last_link += 1;
        let handle = Arc::new(ConnectionHandle::new(None));
        let connection = LedgerConnection::new(handle.clone(), now);
        self.connections.insert(self.last_link, connection);
        let (link, mailbox) = (self.last_link, self.mailbox.clone());
        may::go!(move || {
            let reason = match connect_after(address, Duration::ZERO, &handle) {
                Err(reason) => reason,
                Ok(stream) => {
                    let mut sender = LinkSender::new(mailbox.clone());
                    let deliver = |reply| sender.send(OwnerEvent::LedgerReply(link, reply), 1);
                    drive(stream, &handle, ReplyDecoder::default(), deliver, |_| {}).1
                }
            };
            let bytes_written = handle.bytes_written();
            mailbox.send(OwnerEvent::LedgerDisconnected { link, reason, bytes_written });
        });
        link
    }

    /// Makes a call. Returns false if there is no ledger, or no connection that may carry the call.
    pub fn call(&mut self, call: CallRequest, now: Millis) -> bool {
        let link = self.address.and_then(|address| self.connection_for(&call, address, now));
        let Some((link, connection)) = link.and_then(|link| Some((link, self.connections.get_mut(&link)?)))
        else {
            return false;
        };
        let CallRequest { id, attempt_id, body, deadline, .. } = call;
        let timeout_ms = (deadline - now).ceil().max(1.0) as u64;
        let end = connection.handle.enqueue(|out| ledger::write_post(out, attempt_id, timeout_ms, body));
        connection.call_started(id, now);
        self.calls.insert(id, Call { attempt_id, link, end, started_at: now, deadline });
        true
    }

    /// Changes the address of the ledger. New calls go there; the former connections only finish the calls in flight.
    pub fn set_address(&mut self, address: Option<SocketAddr>, now: Millis) {
        if address == self.address {
            return;
        }
        self.address = address;
        for connection in self.connections.values_mut() {
            connection.retire(now);
        }
    }

    /// Cancels the call of a request, if there is one. The connection may be broken, so it carries no further call.
    pub fn cancel(&mut self, id: RequestId, now: Millis) {
        let Some(call) = self.calls.remove(&id) else { return };
        let Some(connection) = self.connections.get_mut(&call.link) else { return };
        connection.calls_in_flight -= 1;
        if connection.calls_in_flight > 0 {
            connection.handle.enqueue(|out| ledger::write_abandon(out, call.attempt_id));
            connection.retire_once(now);
        } else if let Some(connection) = self.connections.remove(&call.link) {
            // Closing the connection cancels the call, too.
            connection.handle.abort();
        }
    }

    /// Handles a reply; returns the call that it finishes. A reply on another connection than its call is ignored.
    pub fn reply_received(
        &mut self,
        link: LinkId,
        id: Option<RequestId>,
        status: ReplyStatus,
        now: Millis,
    ) -> Option<FinishedCall> {
        let id = id.filter(|id| self.calls.get(id).is_some_and(|call| call.link == link))?;
        let call = self.calls.remove(&id)?;
        if let Some(connection) = self.connections.get_mut(&link) {
            connection.last_used_at = now;
            connection.calls_in_flight -= 1;
        }
        let (outcome, reply) = match status {
            ReplyStatus::Posted(reply) => (AttemptOutcome::Ok, reply),
            ReplyStatus::QueueFull => (AttemptOutcome::Rejected, Vec::new()),
            ReplyStatus::Error => (AttemptOutcome::Error, Vec::new()),
            ReplyStatus::Expired => (AttemptOutcome::TimedOut, Vec::new()),
            ReplyStatus::NotStarted => (AttemptOutcome::NotStarted, Vec::new()),
        };
        Some(FinishedCall { id, outcome, duration: now - call.started_at, reply })
    }

    /// Handles the close of a connection; returns the calls that were in flight on it.
    pub fn disconnected(
        &mut self,
        link: LinkId,
        reason: CloseReason,
        bytes_written: u64,
        now: Millis,
    ) -> Vec<FinishedCall> {
        self.connections.remove(&link);
        if matches!(reason, CloseReason::ProtocolViolation(_)) {
            log!(part = "ledger", ending = %reason, "a connection to the ledger was closed");
        }
        self.finish_where(now, |call| (call.link == link).then(|| reason.outcome(call.end <= bytes_written)))
    }

    /// Closes connections with an overdue call, and those that [`LedgerConnection::should_close`] selects. Returns
    /// the calls that were in flight on them.
    pub fn expire(&mut self, now: Millis) -> Vec<FinishedCall> {
        let is_overdue = |call: &Call| now >= call.deadline + EXPIRY_GRACE_MS;
        let mut closing: BTreeSet<LinkId> =
            self.calls.values().filter(|call| is_overdue(call)).map(|call| call.link).collect();
        let unneeded = self.connections.iter().filter(|(_, connection)| connection.should_close(now));
        closing.extend(unneeded.map(|(link, _)| *link));
        let mut finished = Vec::new();
        for link in closing {
            // Bytes that have not been written by now never will be, so the outcome of each call is final.
            let bytes_written =
                self.connections.remove(&link).map_or(0, |connection| connection.handle.abort());
            finished.extend(self.finish_where(now, |call| {
                if call.link != link {
                    return None;
                }
                let is_sent = call.end <= bytes_written;
                let has_timed_out = is_sent && is_overdue(call);
                Some(if has_timed_out {
                    AttemptOutcome::TimedOut
                } else {
                    CloseReason::Aborted.outcome(is_sent)
                })
            }));
        }
        finished
    }

    /// Finishes the calls for which `outcome` returns one.
    fn finish_where(
        &mut self,
        now: Millis,
        outcome: impl Fn(&Call) -> Option<AttemptOutcome>,
    ) -> Vec<FinishedCall> {
        let mut finished = Vec::new();
        self.calls.retain(|id, call| {
            let Some(outcome) = outcome(call) else { return true };
            let duration = now - call.started_at;
            finished.push(FinishedCall { id: *id, outcome, duration, reply: Vec::new() });
            false
        });
        finished
    }

    /// Returns the connection that carries the call of a request.
    #[cfg(test)]
    pub fn link_of(&self, id: RequestId) -> Option<LinkId> {
        self.calls.get(&id).map(|call| call.link)
    }

    /// Returns when the next call becomes overdue.
    pub fn next_deadline(&self) -> Option<Millis> {
        self.calls.values().map(|call| call.deadline + EXPIRY_GRACE_MS).reduce(f64::min)
    }
}

#[cfg(test)]
mod tests;
