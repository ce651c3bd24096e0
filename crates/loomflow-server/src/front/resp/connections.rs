//! The connections of gateways: responses and what each carries, idle connections, and the end of all of them.

mod capacity;
mod closing;
mod connection;
mod shutdown;
mod timeouts;

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use loomflow::time::Millis;
use loomflow_protocol::gateway::{self, ResponseFields, ResponseStatus};

use crate::close_reason::CloseReason;
use crate::connection::ConnectionHandle;
use crate::log;
use crate::mailbox::ConnectionId;
pub use capacity::Limits;
use capacity::{IdleConnection, Reclaim, UnwrittenResponses};
use connection::{GatewayConnection, InputClosed};
use shutdown::ConnectionDeadlines;
use timeouts::Timeouts;

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

/// All connections of gateways.
pub struct GatewayConnections {
    connections: BTreeMap<ConnectionId, GatewayConnection>,
    /// Connections that are closed for writing and whose peers are still reading.
    lingering: BTreeSet<ConnectionId>,
    limits: Limits,
    /// The feedback signal of every response, once there is one.
    signal: Option<f64>,
    idle_timeout: Option<Millis>,
    shutdown: Option<ConnectionDeadlines>,
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
        let mut connection = GatewayConnection::new(handle, now);
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
                connection.handle.release_request_slot();
                TagState::Unreachable
            }
            _ if !connection.open_tags.insert(tag) => {
                connection.handle.release_request_slot();
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
            connection.handle.release_request_slot();
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
        status: ResponseStatus,
        fields: ResponseFields,
        body: &[u8],
        now: Millis,
    ) {
        let Some(connection) = self.connections.get_mut(&id) else { return };
        if !connection.open_tags.remove(&tag) {
            return;
        }
        connection.idle_since = now;
        let fields = ResponseFields { signal: self.signal, ..fields };
        connection.handle.enqueue_response(|out| gateway::write_response(out, tag, status, fields, body));
    }

    /// Handles the deadlines of all connections. Returns those on which a partial message has stalled.
    pub fn check_timeouts(&mut self, now: Millis) -> Vec<ConnectionId> {
        self.reclaim_capacity(now);
        self.abort_slow_readers();
        let timeouts = self.timeouts(now);
        let mut stalled = Vec::new();
        for (id, connection) in &mut self.connections {
            if connection.check_timeouts(&timeouts, now) {
                stalled.push(*id);
            }
        }
        stalled
    }

    fn timeouts(&self, now: Millis) -> Timeouts {
        let goodbye = Timeouts::goodbye_timeout(self.limits.is_near_capacity(self.connections.len()));
        Timeouts {
            idle: self.idle_timeout.unwrap_or(f64::INFINITY),
            goodbye: self.shutdown.map_or(goodbye, |shutdown| goodbye.min(shutdown.goodbye_timeout)),
            waits_for_partial_messages: self
                .shutdown
                .is_none_or(|shutdown| now < shutdown.partial_message_deadline),
        }
    }

    /// Closes idle connections near capacity.
    fn reclaim_capacity(&mut self, now: Millis) {
        let count = self.limits.reclaim_count(self.connections.len(), self.lingering.len());
        if count == 0 {
            return;
        }
        let idle = self.connections.iter().filter_map(|(id, connection)| connection.as_idle(*id));
        let mut idle: Vec<IdleConnection> = idle.collect();
        idle.sort_by(IdleConnection::reclaim_order);
        for idle in idle.into_iter().take(count) {
            let Some(connection) = self.connections.get_mut(&idle.id) else { continue };
            match idle.reclaim(now) {
                Reclaim::SendGoodbye => connection.send_goodbye(now),
                Reclaim::Close => connection.close_idle(now),
                Reclaim::Wait => {}
            }
        }
    }

    /// Aborts the connections with the most bytes not yet written to the socket where there is no memory for all.
    fn abort_slow_readers(&mut self) {
        let unwritten = self
            .connections
            .iter()
            .map(|(id, connection)| UnwrittenResponses {
                id: *id,
                bytes: connection.handle.unwritten_bytes(),
            })
            .filter(|responses| responses.bytes > 0)
            .collect();
        for id in self.limits.slow_readers(unwritten) {
            let Some(connection) = self.connections.get(&id) else { continue };
            log!("a gateway does not read its responses: its connection is aborted");
            connection.handle.abort();
        }
    }

    /// Sends a goodbye on all connections, and on those that are still accepted.
    pub fn begin_shutdown(&mut self, deadline: Millis, kill_deadline: Millis, now: Millis) {
        self.shutdown = Some(ConnectionDeadlines::new(deadline, kill_deadline, now));
        for connection in self.connections.values_mut() {
            connection.send_goodbye(now);
        }
    }

    /// Whether the process is about to be killed.
    pub fn is_kill_imminent(&self, now: Millis) -> bool {
        self.shutdown.is_some_and(|shutdown| shutdown.is_kill_imminent(now))
    }

    /// Whether the process may end: each connection was closed in order, and its last responses were read or had the time
    /// to be. When the process exits, the kernel resets a connection that has unread input, and discards responses that are
    /// still on their way.
    pub fn is_drained(&self, now: Millis) -> bool {
        let Some(shutdown) = self.shutdown else { return false };
        let is_flushed = |connection: &GatewayConnection| {
            connection.open_tags.is_empty() && connection.handle.is_flushed()
        };
        (self.connections.is_empty() && self.lingering.is_empty())
            || (now >= shutdown.deadline && self.connections.values().all(is_flushed))
            || shutdown.is_kill_imminent(now)
    }
}

#[cfg(test)]
mod interleavings;
#[cfg(test)]
mod tests;
