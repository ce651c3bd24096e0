//! Connections between callers and servers, and the bounded table of them that each server has.
//!
//! A connection carries one request at a time. Its closing is seen at both ends at once.

use std::collections::VecDeque;

use crate::clock::Micros;

/// Names one connection for a whole play.
pub type ConnectionId = u32;

/// One connection.
pub struct Connection {
    /// The caller that opened it.
    pub caller: usize,
    /// The server that accepted it.
    pub server: usize,
    /// False once either end has closed it.
    pub open: bool,
    /// Since when it has carried no request.
    pub idle_since: Option<Micros>,
}

/// All connections of a play, closed ones included.
#[derive(Default)]
pub struct Connections {
    slots: Vec<Connection>,
}

impl Connections {
    /// A new connection that carries its first request.
    pub fn open(&mut self, caller: usize, server: usize) -> ConnectionId {
        self.slots.push(Connection { caller, server, open: true, idle_since: None });
        self.slots.len() as ConnectionId - 1
    }

    /// The connection of that name.
    pub fn get(&self, id: ConnectionId) -> &Connection {
        &self.slots[id as usize]
    }

    /// Marks when the connection became idle, or that it carries a request again.
    pub fn set_idle(&mut self, id: ConnectionId, since: Option<Micros>) {
        self.slots[id as usize].idle_since = since;
    }

    /// Closes the connection; false where it was closed before.
    pub fn close(&mut self, id: ConnectionId) -> bool {
        std::mem::replace(&mut self.slots[id as usize].open, false)
    }

    /// The open connections that the filter keeps.
    pub fn open_where(&self, keeps: impl Fn(&Connection) -> bool) -> Vec<ConnectionId> {
        let all = self.slots.iter().enumerate();
        all.filter(|(_, c)| c.open && keeps(c)).map(|(id, _)| id as ConnectionId).collect()
    }
}

/// The connection table of one server.
pub struct ConnectionTable {
    bound: usize,
    open: usize,
    /// Connections in the order in which they became idle; those used or closed since are passed over.
    idle: VecDeque<(Micros, ConnectionId)>,
}

impl ConnectionTable {
    /// An empty table with room for `bound` connections.
    pub fn new(bound: usize) -> ConnectionTable {
        ConnectionTable { bound, open: 0, idle: VecDeque::new() }
    }

    /// Whether no further connection has a place.
    pub fn is_full(&self) -> bool {
        self.open >= self.bound
    }

    /// Takes a place for a new connection; false where the table is full.
    pub fn accept(&mut self) -> bool {
        let room = !self.is_full();
        self.open += usize::from(room);
        room
    }

    /// Frees the place of a closed connection.
    pub fn closed(&mut self) {
        self.open -= 1;
    }

    /// Notes that a connection became idle.
    pub fn idle(&mut self, now: Micros, id: ConnectionId) {
        self.idle.push_back((now, id));
    }

    /// The connections that have been idle for `limit`, to be closed.
    pub fn overdue(&mut self, now: Micros, limit: Micros, connections: &Connections) -> Vec<ConnectionId> {
        let mut overdue = Vec::new();
        while let Some((_, id)) = self.idle.front().copied().filter(|(since, _)| *since + limit <= now) {
            self.idle.pop_front();
            overdue.push(id);
        }
        overdue.retain(|id| {
            let connection = connections.get(*id);
            connection.open && connection.idle_since.is_some_and(|since| since + limit <= now)
        });
        overdue
    }

    /// The longest idle connections, to be closed so that no more than a part of the table stays in use.
    pub fn beyond(&mut self, part: f64, connections: &Connections) -> Vec<ConnectionId> {
        let kept = (part * self.bound as f64) as usize;
        let mut beyond = Vec::new();
        while self.open - beyond.len() > kept {
            let Some((since, id)) = self.idle.pop_front() else { break };
            let connection = connections.get(id);
            if connection.open && connection.idle_since == Some(since) {
                beyond.push(id);
            }
        }
        beyond
    }

    /// The number of open connections.
    pub fn open(&self) -> usize {
        self.open
    }

    /// The part of the table that is in use, 0 to 1.
    pub fn fill(&self) -> f64 {
        self.open as f64 / self.bound as f64
    }
}
