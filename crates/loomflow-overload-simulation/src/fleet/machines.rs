//! Machines: connection tables, timers and responses of the servers.

use crate::clock::SECOND;
use crate::connections::{ConnectionId, ConnectionTable};
use crate::cores::AttemptId;
use crate::counts::ServerSums;
use crate::fleet::{Attempt, Due, Event, Fleet, Machine};
use crate::server::{IncomingRequest, Output, Server};
use crate::settings::controller_settings;

impl Fleet {
    /// Draws every machine's table and starts its server.
    pub(super) fn place_machines(&mut self) {
        let (smallest, largest) = self.setup.server.table_size;
        for index in 0..self.setup.servers {
            let table_bound = self.rng.usize(smallest..=largest);
            let table = ConnectionTable::new(table_bound);
            self.machines.push(Machine { server: None, table, table_bound, incarnation: 0 });
            self.start_server(index, false);
        }
    }

    pub(super) fn start_server(&mut self, index: usize, is_slow_start: bool) {
        let now = self.now();
        let settings = controller_settings(&self.setup, is_slow_start);
        let machine = &mut self.machines[index];
        machine.incarnation += 1;
        machine.table = ConnectionTable::new(machine.table_bound);
        let seed = self.rng.u64(..);
        machine.server = Some(Server::start(&self.setup.server, settings, seed, now));
        // The first ticks are spread, since machines start at different times.
        let first = now + self.rng.u64(..SECOND / 20);
        let wake = Event::ServerTimer {
            server: index,
            incarnation: self.machines[index].incarnation,
            due: Due::Wake,
        };
        self.events.schedule(first, wake);
    }

    /// An attempt arrives on its connection, or opens one if the table has capacity.
    pub(super) fn attempt_arrived(&mut self, id: AttemptId) {
        let now = self.now();
        let Attempt { caller, server, connection, opens_connection, is_open, .. } =
            self.attempts[id as usize];
        if !is_open {
            return;
        }
        let is_rejected = match connection {
            Some(connection) => !self.connections.get(connection).is_open,
            None => !self.accept(id, caller, server),
        };
        if is_rejected {
            return self.send(Event::NoConnection { attempt: id });
        }
        self.checker.reached(now, id);
        let attempt = &self.attempts[id as usize];
        let request = &self.requests[attempt.request];
        let incoming = IncomingRequest {
            attempt: id,
            caller,
            is_new_connection: opens_connection,
            is_retry: attempt.is_retry,
            work: request.work,
            estimated_work: request.estimated_work,
        };
        self.with_server(server, |machine, out| machine.reached(now, incoming, out));
    }

    /// Opens a connection for an attempt; returns false if the server is down or its table is full.
    fn accept(&mut self, id: AttemptId, caller: usize, server: usize) -> bool {
        let now = self.now();
        let machine = &mut self.machines[server];
        if machine.server.is_none() || !machine.table.accept() {
            self.counts.at(now).connections_rejected += 1;
            return false;
        }
        self.attempts[id as usize].connection = Some(self.connections.open(caller, server));
        self.counts.at(now).handshakes += 1;
        true
    }

    /// Closes a connection at both ends.
    pub(super) fn close(&mut self, id: ConnectionId) {
        if self.connections.close(id) {
            let (caller, server) = (self.connections.get(id).caller, self.connections.get(id).server);
            self.machines[server].table.closed();
            self.callers[caller].unpool(server, id);
        }
    }

    /// The server of an attempt notices that its caller has disconnected.
    pub(super) fn caller_disconnected(&mut self, id: AttemptId) {
        let now = self.now();
        self.checker.broke(id);
        self.with_server(self.attempts[id as usize].server, |server, out| {
            server.caller_disconnected(now, id, out);
        });
    }

    pub(super) fn server_due(&mut self, index: usize, incarnation: u32, due: Due) {
        let now = self.now();
        if self.machines[index].incarnation != incarnation {
            return;
        }
        match due {
            Due::Cores { version } => {
                self.with_server(index, |server, out| server.cores_due(now, version, out));
            }
            Due::Batch => self.with_server(index, |server, out| server.batch_due(now, out)),
            Due::Wake => {
                self.close_idle(index);
                let table = &self.machines[index].table;
                let (fill, open) = (table.fill(), table.open());
                self.with_server(index, |server, out| server.wake_due(now, fill, open, out));
            }
        }
    }

    /// Closes connections that exceed the idle timeout of the server or of the callers.
    fn close_idle(&mut self, index: usize) {
        let now = self.now();
        let machine = &mut self.machines[index];
        let Some(server) = &machine.server else { return };
        let limit = server.idle_timeout().min(self.setup.caller_policy.idle_timeout);
        let mut idle = machine.table.overdue(now, limit, &self.connections);
        if server.max_table_fill() < 1.0 {
            idle.extend(machine.table.longest_idle_over(server.max_table_fill(), &self.connections));
        }
        for id in idle {
            self.close(id);
        }
    }

    /// Advances a server that is up, and carries out its outputs.
    fn with_server(&mut self, index: usize, step: impl FnOnce(&mut Server, &mut Vec<Output>)) {
        let mut out = Vec::new();
        if let Some(server) = &mut self.machines[index].server {
            step(server, &mut out);
        }
        for output in out {
            self.carry_out(index, output);
        }
    }

    fn carry_out(&mut self, server: usize, output: Output) {
        let incarnation = self.machines[server].incarnation;
        let (at, due) = match output {
            Output::Answer { attempt, response, share } => {
                self.answered(server, attempt);
                return self.send(Event::ResponseArrives { attempt, response, share });
            }
            Output::CoresAt(at, version) => (at, Due::Cores { version }),
            Output::BatchAt(at) => (at, Due::Batch),
            Output::WakeAt(at) => (at, Due::Wake),
        };
        self.events.schedule(at, Event::ServerTimer { server, incarnation, due });
    }

    /// A response is sent; its connection is idle from then on.
    fn answered(&mut self, server: usize, id: AttemptId) {
        let now = self.now();
        self.checker.answered(now, id);
        let Some(connection) = self.attempts[id as usize].connection else { return };
        if self.connections.get(connection).is_open {
            self.connections.set_idle(connection, Some(now));
            self.machines[server].table.idle(now, connection);
        }
    }

    /// Samples the state of the servers.
    pub(super) fn sample(&mut self) {
        let now = self.now();
        let immediate_timeout = self.setup.caller_policy.idle_timeout.min(SECOND);
        let mut sample = ServerSums::default();
        for machine in &self.machines {
            let Some(server) = &machine.server else { continue };
            let load = server.load();
            sample.servers += 1;
            sample.share += load.share;
            sample.limit += load.limit;
            sample.unread += server.unread() as u64;
            sample.fill += machine.table.fill();
            sample.busy += server.busy();
            sample.full += u64::from(machine.table.is_full());
            sample.closing += u64::from(server.idle_timeout() < immediate_timeout);
        }
        self.counts.at(now).sample = sample;
        if now + SECOND < self.setup.duration {
            self.events.schedule(now + SECOND, Event::Sample);
        }
    }
}
