//! Connections between callers and servers, and the bounded connection table of each server.
//!
//! A connection carries one request at a time. When it is closed, both ends notice immediately.

use std::collections::VecDeque;

use crate::clock::SimulationMicros;

/// Id of a connection within a simulation.
pub type ConnectionId = u32;

/// One connection from a caller to a server.
pub struct CallerConnection {
    /// The caller that opened it.
    pub caller: usize,
    /// The server that accepted it.
    pub server: usize,
    /// False once either end has closed it.
    pub is_open: bool,
    /// Time since which it has carried no request; `None` while it carries one.
    pub idle_since: Option<SimulationMicros>,
}

/// All connections of a simulation, including closed ones.
#[derive(Default)]
pub struct Connections {
    slots: Vec<CallerConnection>,
}

impl Connections {
    /// Opens a connection, which carries its first request.
    pub fn open(&mut self, caller: usize, server: usize) -> ConnectionId {
        self.slots.push(CallerConnection { caller, server, is_open: true, idle_since: None });
        self.slots.len() as ConnectionId - 1
    }

    /// Returns a connection, open or closed.
    pub fn get(&self, id: ConnectionId) -> &CallerConnection {
        &self.slots[id as usize]
    }

    /// Sets the time since which a connection is idle; `None` if it carries a request again.
    pub fn set_idle(&mut self, id: ConnectionId, since: Option<SimulationMicros>) {
        self.slots[id as usize].idle_since = since;
    }

    /// Closes a connection; returns false if it was already closed.
    pub fn close(&mut self, id: ConnectionId) -> bool {
        std::mem::replace(&mut self.slots[id as usize].is_open, false)
    }

    /// Returns the open connections that satisfy a predicate.
    pub fn filter_open(&self, predicate: impl Fn(&CallerConnection) -> bool) -> Vec<ConnectionId> {
        let all = self.slots.iter().enumerate();
        all.filter(|(_, connection)| connection.is_open && predicate(connection))
            .map(|(id, _)| id as ConnectionId)
            .collect()
    }
}

/// The connection table of one server.
pub struct ConnectionTable {
    capacity: usize,
    open: usize,
    /// Connections with the time at which they became idle, in that order. May contain connections that were
    /// used or closed since.
    idle: VecDeque<(SimulationMicros, ConnectionId)>,
}

impl ConnectionTable {
    /// Creates an empty table.
    pub fn new(capacity: usize) -> ConnectionTable {
        ConnectionTable { capacity, open: 0, idle: VecDeque::new() }
    }

    /// Returns whether the table has no free entry.
    pub fn is_full(&self) -> bool {
        self.open >= self.capacity
    }

    /// Accepts a new connection; returns false if the table is full.
    pub fn accept(&mut self) -> bool {
        let has_capacity = !self.is_full();
        self.open += usize::from(has_capacity);
        has_capacity
    }

    /// Frees the entry of a connection that was closed.
    pub fn connection_closed(&mut self) {
        self.open -= 1;
    }

    /// Records that a connection became idle.
    pub fn connection_idle(&mut self, now: SimulationMicros, id: ConnectionId) {
        self.idle.push_back((now, id));
    }

    /// Removes and returns the connections that have been idle for `limit`, for the caller to close.
    pub fn take_expired(
        &mut self,
        now: SimulationMicros,
        limit: SimulationMicros,
        connections: &Connections,
    ) -> Vec<ConnectionId> {
        let mut expired = Vec::new();
        while let Some((_, id)) = self.idle.front().copied().filter(|(since, _)| *since + limit <= now) {
            self.idle.pop_front();
            expired.push(id);
        }
        expired.retain(|id| {
            let connection = connections.get(*id);
            connection.is_open && connection.idle_since.is_some_and(|since| since + limit <= now)
        });
        expired
    }

    /// Removes and returns the connections idle for longest that must be closed to bring the fill down to
    /// `max_fill`.
    pub fn take_longest_idle(&mut self, max_fill: f64, connections: &Connections) -> Vec<ConnectionId> {
        let max_open = (max_fill * self.capacity as f64) as usize;
        let mut excess = Vec::new();
        while self.open - excess.len() > max_open {
            let Some((since, id)) = self.idle.pop_front() else { break };
            let connection = connections.get(id);
            if connection.is_open && connection.idle_since == Some(since) {
                excess.push(id);
            }
        }
        excess
    }

    /// Returns the number of open connections.
    pub fn open_count(&self) -> usize {
        self.open
    }

    /// Returns the fraction of the table in use, 0 to 1.
    pub fn fill(&self) -> f64 {
        self.open as f64 / self.capacity as f64
    }
}
