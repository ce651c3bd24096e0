//! Connections between callers and servers, and the bounded table of them that each server has.
//!
//! A connection carries one request at a time. Both ends notice at once when it is closed.

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
    /// Since when it has carried no request.
    pub idle_since: Option<SimulationMicros>,
}

/// All connections of a simulation, including closed ones.
#[derive(Default)]
pub struct Connections {
    slots: Vec<CallerConnection>,
}

impl Connections {
    /// A new connection that carries its first request.
    pub fn open(&mut self, caller: usize, server: usize) -> ConnectionId {
        self.slots.push(CallerConnection { caller, server, is_open: true, idle_since: None });
        self.slots.len() as ConnectionId - 1
    }

    /// A connection by its id.
    pub fn get(&self, id: ConnectionId) -> &CallerConnection {
        &self.slots[id as usize]
    }

    /// Marks when the connection became idle, or that it carries a request again.
    pub fn set_idle(&mut self, id: ConnectionId, since: Option<SimulationMicros>) {
        self.slots[id as usize].idle_since = since;
    }

    /// Closes a connection; returns false if it was closed before.
    pub fn close(&mut self, id: ConnectionId) -> bool {
        std::mem::replace(&mut self.slots[id as usize].is_open, false)
    }

    /// The open connections that satisfy a predicate.
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
    /// Connections in the order in which they became idle; those used or closed since are skipped.
    idle: VecDeque<(SimulationMicros, ConnectionId)>,
}

impl ConnectionTable {
    /// Creates an empty table.
    pub fn new(capacity: usize) -> ConnectionTable {
        ConnectionTable { capacity, open: 0, idle: VecDeque::new() }
    }

    /// Whether no further connection can be accepted.
    pub fn is_full(&self) -> bool {
        self.open >= self.capacity
    }

    /// Accepts a new connection; returns false if the table is full.
    pub fn accept(&mut self) -> bool {
        let has_capacity = !self.is_full();
        self.open += usize::from(has_capacity);
        has_capacity
    }

    /// A connection was closed.
    pub fn closed(&mut self) {
        self.open -= 1;
    }

    /// A connection became idle.
    pub fn idle(&mut self, now: SimulationMicros, id: ConnectionId) {
        self.idle.push_back((now, id));
    }

    /// The connections that have been idle for `limit`, to be closed.
    pub fn overdue(
        &mut self,
        now: SimulationMicros,
        limit: SimulationMicros,
        connections: &Connections,
    ) -> Vec<ConnectionId> {
        let mut overdue = Vec::new();
        while let Some((_, id)) = self.idle.front().copied().filter(|(since, _)| *since + limit <= now) {
            self.idle.pop_front();
            overdue.push(id);
        }
        overdue.retain(|id| {
            let connection = connections.get(*id);
            connection.is_open && connection.idle_since.is_some_and(|since| since + limit <= now)
        });
        overdue
    }

    /// The longest idle connections that have to be closed for at most a part of the table to stay in use.
    pub fn longest_idle_over(&mut self, part: f64, connections: &Connections) -> Vec<ConnectionId> {
        let max_open = (part * self.capacity as f64) as usize;
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

    /// The number of open connections.
    pub fn open(&self) -> usize {
        self.open
    }

    /// The part of the table that is in use, 0 to 1.
    pub fn fill(&self) -> f64 {
        self.open as f64 / self.capacity as f64
    }
}
