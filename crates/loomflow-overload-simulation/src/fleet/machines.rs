//! Machines: connection tables, timers and outputs of the servers.

use crate::clock::SECOND;
use crate::connections::{ConnectionId, ConnectionTable};
use crate::cores::AttemptId;
use crate::counts::ServerSums;
use crate::fleet::{Attempt, Event, Fleet, Machine, TimerKind};
use crate::server::{IncomingRequest, Output, Server};
use crate::settings::controller_settings;

impl Fleet {
    /// Creates the machines with connection tables of random capacity, and starts their servers.
    pub(super) fn create_machines(&mut self) {
        let (smallest, largest) = self.setup.server.table_size;
        for index in 0..self.setup.servers {
            let table_capacity = self.rng.usize(smallest..=largest);
            let table = ConnectionTable::new(table_capacity);
            self.machines.push(Machine { server: None, table, table_capacity, incarnation: 0 });
            self.start_server(index, false);
        }
    }

    pub(super) fn start_server(&mut self, index: usize, is_slow_start: bool) {
        let now = self.now();
        let settings = controller_settings(&self.setup, is_slow_start);
        let machine = &mut self.machines[index];
        machine.incarnation += 1;
        machine.table = ConnectionTable::new(machine.table_capacity);
        let seed = self.rng.u64(..);
        machine.server = Some(Server::start(&self.setup.server, settings, seed, now));
        // The first timers are spread over 50 ms, since real machines do not start at the same time.
        let first = now + self.rng.u64(..SECOND / 20);
        let wake = Event::ServerTimer {
            server: index,
            incarnation: self.machines[index].incarnation,
            timer: TimerKind::Wake,
        };
        self.events.schedule(first, wake);
    }

    /// Handles the arrival of an attempt, on its connection or on a new one if the table has capacity.
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
        self.checker.attempt_arrived(now, id);
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
        self.with_server(server, |server, out| server.request_arrived(now, incoming, out));
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
            self.machines[server].table.connection_closed();
            self.callers[caller].unpool(server, id);
        }
    }

    /// Notifies the server of an attempt that its caller has disconnected.
    pub(super) fn caller_disconnected(&mut self, id: AttemptId) {
        let now = self.now();
        self.checker.connection_lost(id);
        self.with_server(self.attempts[id as usize].server, |server, out| {
            server.caller_disconnected(now, id, out);
        });
    }

    pub(super) fn server_timer_fired(&mut self, index: usize, incarnation: u32, timer: TimerKind) {
        let now = self.now();
        if self.machines[index].incarnation != incarnation {
            return;
        }
        match timer {
            TimerKind::Cores { version } => {
                self.with_server(index, |server, out| server.cores_timer_fired(now, version, out));
            }
            TimerKind::Batch => {
                self.with_server(index, |server, out| server.batch_timer_fired(now, out));
            }
            TimerKind::Wake => {
                self.close_idle(index);
                let table = &self.machines[index].table;
                let (fill, open) = (table.fill(), table.open_count());
                self.with_server(index, |server, out| server.wake_timer_fired(now, fill, open, out));
            }
        }
    }

    /// Closes connections that exceed the idle timeout of the server or of the callers, or the maximum fill
    /// of the table.
    fn close_idle(&mut self, index: usize) {
        let now = self.now();
        let machine = &mut self.machines[index];
        let Some(server) = &machine.server else { return };
        let limit = server.idle_timeout().min(self.setup.caller_policy.idle_timeout);
        let mut idle = machine.table.take_expired(now, limit, &self.connections);
        if server.max_table_fill() < 1.0 {
            idle.extend(machine.table.take_longest_idle(server.max_table_fill(), &self.connections));
        }
        for id in idle {
            self.close(id);
        }
    }

    /// Calls `step` on a server, if it is up, and carries out the outputs.
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
        let (at, timer) = match output {
            Output::Response { attempt, response, share } => {
                self.response_sent(server, attempt);
                return self.send(Event::ResponseArrives { attempt, response, share });
            }
            Output::CoresAt(at, version) => (at, TimerKind::Cores { version }),
            Output::BatchAt(at) => (at, TimerKind::Batch),
            Output::WakeAt(at) => (at, TimerKind::Wake),
        };
        self.events.schedule(at, Event::ServerTimer { server, incarnation, timer });
    }

    /// Handles a response that a server sends: the connection is idle from then on.
    fn response_sent(&mut self, server: usize, id: AttemptId) {
        let now = self.now();
        self.checker.response_sent(now, id);
        let Some(connection) = self.attempts[id as usize].connection else { return };
        if self.connections.get(connection).is_open {
            self.connections.set_idle(connection, Some(now));
            self.machines[server].table.connection_idle(now, connection);
        }
    }

    /// Samples the state of the servers, and schedules the next sample while clients send requests.
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
            sample.unread += server.unread_count() as u64;
            sample.fill += machine.table.fill();
            sample.busy += server.utilization();
            sample.full += u64::from(machine.table.is_full());
            sample.closing += u64::from(server.idle_timeout() < immediate_timeout);
        }
        self.counts.at(now).sample = sample;
        if now + SECOND < self.setup.duration {
            self.events.schedule(now + SECOND, Event::Sample);
        }
    }
}
