//! The connections of gateways: responses and what each carries, idle connections, and the end of all of them.

mod connection;
#[cfg(test)]
mod interleavings;
#[cfg(test)]
mod tests;

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use loomflow::time::Millis;
use loomflow_protocol::gateway::{self, ResponseFields, ResponseStatus};

use crate::close_reason::CloseReason;
use crate::connection::{ConnectionHandle, LINGER_TIMEOUT};
use crate::log;
use crate::mailbox::ConnectionId;
use connection::{Connection, InputClosed, Timeouts};

/// How long a gateway has to close a connection after a goodbye.
const GOODBYE_TIMEOUT_MS: Millis = 500.0;
/// The same where there are too many connections; a request that crosses the close within 50 ms is sent again.
const GOODBYE_TIMEOUT_NEAR_CAPACITY_MS: Millis = 80.0;
/// Where there are too many connections, one on which no complete message was ever received is closed after this.
const FIRST_MESSAGE_TIMEOUT_NEAR_CAPACITY_MS: Millis = 100.0;
/// The process ends so long before it would be killed, whatever is unwritten.
const KILL_MARGIN_MS: Millis = 50.0;

/// The state of a request's tag.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TagState {
    /// It is open from now on.
    Opened,
    /// It is open, on a connection of which nothing more is read and whose peer may still read a response.
    InputClosed,
    /// It was open already.
    Duplicate,
    /// There is no such connection, or its peer reads no response.
    Unreachable,
}

/// Bounds on the connections.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// With more connections than this the longest idle are closed.
    pub near_capacity: usize,
    /// With so many connections, others wait to be accepted.
    pub max_connections: usize,
    /// Bytes of responses that gateways have not read, in all.
    pub max_unwritten_bytes: usize,
}

/// The deadlines of a graceful shutdown.
#[derive(Clone, Copy, Debug)]
struct Shutdown {
    /// How long a connection is kept after its goodbye.
    goodbye_timeout: Millis,
    /// When the rest of a message is waited for no longer, so that its peer can still read the end.
    partial_message_deadline: Millis,
    /// When all connections have to be closed.
    deadline: Millis,
    /// When the process will be killed.
    kill_deadline: Millis,
}

/// All connections of gateways.
pub struct GatewayConnections {
    connections: BTreeMap<ConnectionId, Connection>,
    /// Connections that are closed for writing and whose peers are still reading.
    lingering: BTreeSet<ConnectionId>,
    limits: Limits,
    /// The feedback signal of every response, once there is one.
    signal: Option<f64>,
    idle_timeout: Option<Millis>,
    shutdown: Option<Shutdown>,
}

impl GatewayConnections {
    /// No connections. They may be idle for `idle_timeout` until it is set anew, without end where it is 0.
    pub fn new(idle_timeout: Millis, limits: Limits) -> GatewayConnections {
        GatewayConnections {
            connections: BTreeMap::new(),
            lingering: BTreeSet::new(),
            limits,
            signal: None,
            idle_timeout: (idle_timeout > 0.0).then_some(idle_timeout),
            shutdown: None,
        }
    }

    /// The feedback signal of every response from now on.
    pub fn set_signal(&mut self, signal: f64) {
        self.signal = Some(signal);
    }

    /// How long connections may be idle from now on.
    pub fn set_idle_timeout(&mut self, timeout: Millis) {
        self.idle_timeout = Some(timeout);
    }

    /// A connection was accepted.
    pub fn connected(&mut self, id: ConnectionId, handle: Arc<ConnectionHandle>, now: Millis) {
        let mut connection = Connection::new(handle, now);
        if self.shutdown.is_some() {
            connection.send_goodbye(now);
        }
        self.connections.insert(id, connection);
    }

    /// A connection is closed for writing.
    pub fn disconnected(&mut self, id: ConnectionId) {
        if self.connections.remove(&id).is_some() {
            self.lingering.insert(id);
        }
    }

    /// The descriptor of a connection is closed.
    pub fn descriptor_closed(&mut self, id: ConnectionId) {
        self.lingering.remove(&id);
    }

    /// A request was read: opens its tag. What was read gets a response: a request that was on its way to the owner as the
    /// input was closed is open until it is rejected.
    pub fn open_tag(&mut self, id: ConnectionId, tag: u64) -> TagState {
        let Some(connection) = self.connections.get_mut(&id) else { return TagState::Unreachable };
        connection.has_received_message = true;
        match connection.input_closed {
            Some(InputClosed { peer_reads: false }) => {
                connection.handle.enqueue_response(|_| {});
                TagState::Unreachable
            }
            _ if !connection.open_tags.insert(tag) => {
                connection.handle.enqueue_response(|_| {});
                TagState::Duplicate
            }
            Some(_) => TagState::InputClosed,
            None => TagState::Opened,
        }
    }

    /// Nothing more is read on a connection, which is closed once its requests are settled. Returns the tags of those.
    pub fn close_input(&mut self, id: ConnectionId, reason: CloseReason, now: Millis) -> Vec<u64> {
        let Some(connection) = self.connections.get_mut(&id) else { return Vec::new() };
        connection.input_closed.get_or_insert(InputClosed { peer_reads: reason.is_reported_to_peer() });
        connection.close(reason, now);
        connection.open_tags.iter().copied().collect()
    }

    /// Whether nothing more is read on a connection.
    pub fn is_input_closed(&self, id: ConnectionId) -> bool {
        self.connections.get(&id).is_some_and(|connection| connection.input_closed.is_some())
    }

    /// Nobody reads a response to this tag.
    pub fn discard_tag(&mut self, id: ConnectionId, tag: u64) {
        let Some(connection) = self.connections.get_mut(&id) else { return };
        if connection.open_tags.remove(&tag) {
            connection.handle.enqueue_response(|_| {});
        }
    }

    /// A message on a connection was invalid.
    pub fn record_violation(&mut self, id: ConnectionId) {
        if let Some(connection) = self.connections.get(&id) {
            connection.handle.record_violation();
        }
    }

    /// Responds to a tag on its own connection, if it is still open there.
    pub fn respond(
        &mut self,
        id: ConnectionId,
        tag: u64,
        word: ResponseStatus,
        advice: ResponseFields,
        body: &[u8],
        now: Millis,
    ) {
        let Some(connection) = self.connections.get_mut(&id) else { return };
        if !connection.open_tags.remove(&tag) {
            return;
        }
        connection.idle_since = now;
        let advice = ResponseFields { signal: self.signal, ..advice };
        connection.handle.enqueue_response(|out| gateway::write_response(out, tag, word, advice, body));
    }

    /// Handles the deadlines of all connections. Returns those on which a partial message has stalled.
    pub fn check_timeouts(&mut self, now: Millis) -> Vec<ConnectionId> {
        self.reclaim_capacity(now);
        self.abort_slow_readers();
        let timeouts = self.timeouts(now);
        let mut stalled = Vec::new();
        for (id, connection) in &mut self.connections {
            if connection.check_timeouts(timeouts, now) {
                stalled.push(*id);
            }
        }
        stalled
    }

    fn timeouts(&self, now: Millis) -> Timeouts {
        let is_near_capacity = self.connections.len() > self.limits.near_capacity;
        let goodbye = if is_near_capacity { GOODBYE_TIMEOUT_NEAR_CAPACITY_MS } else { GOODBYE_TIMEOUT_MS };
        Timeouts {
            idle: self.idle_timeout.unwrap_or(f64::INFINITY),
            goodbye: self.shutdown.map_or(goodbye, |shutdown| goodbye.min(shutdown.goodbye_timeout)),
            waits_for_partial_messages: self
                .shutdown
                .is_none_or(|shutdown| now < shutdown.partial_message_deadline),
        }
    }

    /// Where there are too many connections, those on which nothing was ever received are closed at once, then the longest
    /// idle get a goodbye. Where there is no capacity left, others wait to be accepted, and up to half of all are closed:
    /// gateways with requests may wait behind many that have none.
    fn reclaim_capacity(&mut self, now: Millis) {
        let is_full = self.connections.len() + self.lingering.len() >= self.limits.max_connections;
        let min = if is_full { self.connections.len() / 2 } else { 0 };
        let count = self.connections.len().saturating_sub(self.limits.near_capacity).max(min);
        if count == 0 {
            return;
        }
        let reclaimable = self.connections.values_mut().filter(|connection| connection.is_reclaimable());
        let mut reclaimable: Vec<&mut Connection> = reclaimable.collect();
        let rank = |connection: &Connection| {
            (connection.has_received_message, connection.handle.partial_message().is_some())
        };
        reclaimable.sort_by(|a, b| rank(a).cmp(&rank(b)).then(a.idle_since.total_cmp(&b.idle_since)));
        for connection in reclaimable.into_iter().take(count) {
            if connection.has_received_message {
                connection.send_goodbye(now);
            } else if now - connection.idle_since >= FIRST_MESSAGE_TIMEOUT_NEAR_CAPACITY_MS {
                connection.close(connection.idle_close_reason(), now);
            }
        }
    }

    /// Where more responses are unread than there is memory for, aborts the connection with the most.
    fn abort_slow_readers(&mut self) {
        let mut unread: Vec<(usize, &Connection)> = self
            .connections
            .values()
            .map(|connection| (connection.handle.unwritten_bytes(), connection))
            .filter(|(bytes, _)| *bytes > 0)
            .collect();
        let mut total: usize = unread.iter().map(|(bytes, _)| bytes).sum();
        unread.sort_by_key(|(bytes, _)| *bytes);
        while total > self.limits.max_unwritten_bytes {
            let Some((bytes, connection)) = unread.pop() else { return };
            log!("a gateway does not read its responses: its connection is aborted");
            connection.handle.abort();
            total -= bytes;
        }
    }

    /// Sends a goodbye on all connections, and on those that are still accepted. Of the time until `deadline` one half is
    /// for the peers to close them, the other for this server.
    pub fn begin_shutdown(&mut self, deadline: Millis, kill_deadline: Millis, now: Millis) {
        let goodbye_timeout = GOODBYE_TIMEOUT_MS.min((deadline - now).max(0.0) / 2.0);
        let linger = LINGER_TIMEOUT.as_secs_f64() * 1000.0;
        let partial_message_deadline = (deadline - linger).max(now + goodbye_timeout);
        self.shutdown = Some(Shutdown { goodbye_timeout, partial_message_deadline, deadline, kill_deadline });
        for connection in self.connections.values_mut() {
            connection.send_goodbye(now);
        }
    }

    /// Whether the process is about to be killed.
    pub fn is_kill_imminent(&self, now: Millis) -> bool {
        self.shutdown.is_some_and(|shutdown| now >= shutdown.kill_deadline - KILL_MARGIN_MS)
    }

    /// Whether the process may end: each connection was closed in order, its last responses read or given the time to be.
    /// The end of a process closes its connections, too: over unread bytes that would discard responses.
    pub fn is_drained(&self, now: Millis) -> bool {
        let Some(shutdown) = self.shutdown else { return false };
        let is_flushed =
            |connection: &Connection| connection.open_tags.is_empty() && connection.handle.is_flushed();
        (self.connections.is_empty() && self.lingering.is_empty())
            || (now >= shutdown.deadline && self.connections.values().all(is_flushed))
            || self.is_kill_imminent(now)
    }
}
