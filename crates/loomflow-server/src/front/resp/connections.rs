//! The connections of gateways: open requests and their responses, idle and capacity limits, and the graceful shutdown.

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
use capacity::{IdleConnection, ReclaimAction, UnwrittenResponses};
use connection::{GatewayConnection, InputClosed};
use shutdown::ConnectionDeadlines;
use timeouts::Timeouts;

/// Result of opening the tag of a request that was read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TagState {
    /// The tag was free and is now open.
    Opened,
    /// The tag is open, but the connection's input is closed; the peer can still read a response.
    InputClosed,
    /// A request with the same tag is open.
    Duplicate,
    /// The connection does not exist, or its peer can no longer read a response.
    Unreachable,
}

/// All connections of gateways.
pub struct GatewayConnections {
    connections: BTreeMap<ConnectionId, GatewayConnection>,
    /// Connections in their lingering close: shut down for writing, descriptor still open.
    half_closed: BTreeSet<ConnectionId>,
    limits: Limits,
    /// Feedback signal of every response; `None` until the controller has set one.
    signal: Option<f64>,
    /// How long a connection may be idle; `None` for no limit.
    idle_timeout: Option<Millis>,
    /// Deadlines of the graceful shutdown; `None` until it has begun.
    shutdown: Option<ConnectionDeadlines>,
}

impl GatewayConnections {
    /// Creates an empty set of connections. They may be idle for `idle_timeout`, or without limit if it is 0.
    pub fn new(idle_timeout: Millis, limits: Limits) -> GatewayConnections {
        GatewayConnections {
            connections: BTreeMap::new(),
            half_closed: BTreeSet::new(),
            limits,
            signal: None,
            idle_timeout: (idle_timeout > 0.0).then_some(idle_timeout),
            shutdown: None,
        }
    }

    /// Sets the feedback signal of all further responses.
    pub fn set_signal(&mut self, signal: f64) {
        self.signal = Some(signal);
    }

    /// Sets how long connections may be idle.
    pub fn set_idle_timeout(&mut self, timeout: Millis) {
        self.idle_timeout = Some(timeout);
    }

    /// Adds an accepted connection; during a shutdown it gets a `BYE` immediately.
    pub fn connected(&mut self, id: ConnectionId, handle: Arc<ConnectionHandle>, now: Millis) {
        let mut connection = GatewayConnection::new(handle, now);
        if self.shutdown.is_some() {
            connection.send_bye(now);
        }
        self.connections.insert(id, connection);
    }

    /// Records that a connection is closed except for its lingering close.
    pub fn disconnected(&mut self, id: ConnectionId) {
        if self.connections.remove(&id).is_some() {
            self.half_closed.insert(id);
        }
    }

    /// Records that the descriptor of a connection is closed.
    pub fn descriptor_closed(&mut self, id: ConnectionId) {
        self.half_closed.remove(&id);
    }

    /// Opens the tag of a request that was read. Every request that was read gets a response if the peer can read it: a
    /// request that the driver had already reported when the input was closed is open until it is rejected.
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

    /// Closes the input of a connection, which is closed completely once its open requests are settled. Returns the tags of
    /// those requests.
    pub fn close_input(&mut self, id: ConnectionId, reason: CloseReason, now: Millis) -> Vec<u64> {
        let Some(connection) = self.connections.get_mut(&id) else { return Vec::new() };
        connection.input_closed.get_or_insert(InputClosed { peer_reads: reason.is_reported_to_peer() });
        connection.close(reason, now);
        connection.open_tags.iter().copied().collect()
    }

    /// Whether the input of a connection is closed.
    pub fn is_input_closed(&self, id: ConnectionId) -> bool {
        self.connections.get(&id).is_some_and(|connection| connection.input_closed.is_some())
    }

    /// Closes a tag without a response, because the peer cannot read one.
    pub fn discard_tag(&mut self, id: ConnectionId, tag: u64) {
        let Some(connection) = self.connections.get_mut(&id) else { return };
        if connection.open_tags.remove(&tag) {
            connection.handle.release_request_slot();
        }
    }

    /// Counts an invalid message, which throttles the connection.
    pub fn record_violation(&mut self, id: ConnectionId) {
        if let Some(connection) = self.connections.get(&id) {
            connection.handle.record_violation();
        }
    }

    /// Sends the response to a request, unless its connection or tag is no longer open.
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

    /// Checks all timeouts and limits. Returns the connections on which a partial message has stalled.
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
        let bye = Timeouts::bye_timeout(self.limits.is_near_capacity(self.connections.len()));
        Timeouts {
            idle: self.idle_timeout.unwrap_or(f64::INFINITY),
            bye: self.shutdown.map_or(bye, |shutdown| bye.min(shutdown.bye_timeout)),
            waits_for_partial_messages: self
                .shutdown
                .is_none_or(|shutdown| now < shutdown.partial_message_deadline),
        }
    }

    /// Near the connection limit, closes idle connections in [`IdleConnection::reclaim_order`].
    fn reclaim_capacity(&mut self, now: Millis) {
        let count = self.limits.reclaim_count(self.connections.len(), self.half_closed.len());
        if count == 0 {
            return;
        }
        let idle = self.connections.iter().filter_map(|(id, connection)| connection.as_idle(*id));
        let mut idle: Vec<IdleConnection> = idle.collect();
        idle.sort_by(IdleConnection::reclaim_order);
        for idle in idle.into_iter().take(count) {
            let Some(connection) = self.connections.get_mut(&idle.id) else { continue };
            match idle.reclaim_action(now) {
                ReclaimAction::SendBye => connection.send_bye(now),
                ReclaimAction::Close => connection.close_idle(now),
                ReclaimAction::Wait => {}
            }
        }
    }

    /// Aborts the connections with the most unwritten bytes while their total exceeds `max_unwritten_bytes`.
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
            log!("a gateway reads too slowly: connection aborted, all unwritten responses exceed the limit");
            connection.handle.abort();
        }
    }

    /// Begins the graceful shutdown: sends `BYE` on all connections, also on those accepted later.
    pub fn begin_shutdown(&mut self, deadline: Millis, kill_deadline: Millis, now: Millis) {
        self.shutdown = Some(ConnectionDeadlines::new(deadline, kill_deadline, now));
        for connection in self.connections.values_mut() {
            connection.send_bye(now);
        }
    }

    /// Whether the process is about to be killed.
    pub fn is_kill_imminent(&self, now: Millis) -> bool {
        self.shutdown.is_some_and(|shutdown| shutdown.is_kill_imminent(now))
    }

    /// Whether the process may exit: all connections are closed, or the deadline has passed and all responses are written, or
    /// the kill is imminent. An earlier exit could lose responses, because the kernel resets connections that have unread
    /// input and discards responses in transit.
    pub fn is_drained(&self, now: Millis) -> bool {
        let Some(shutdown) = self.shutdown else { return false };
        let is_flushed = |connection: &GatewayConnection| {
            connection.open_tags.is_empty() && connection.handle.is_flushed()
        };
        (self.connections.is_empty() && self.half_closed.is_empty())
            || (now >= shutdown.deadline && self.connections.values().all(is_flushed))
            || shutdown.is_kill_imminent(now)
    }
}

#[cfg(test)]
mod interleavings;
#[cfg(test)]
mod tests;
