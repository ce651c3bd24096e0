//! Start and end of faults.

use crate::cores::AttemptId;
use crate::fault::FaultKind;
use crate::fleet::{Event, Fleet, RequestIndex};

impl Fleet {
    pub(super) fn schedule_faults(&mut self) {
        for (index, fault) in self.setup.faults.iter().enumerate() {
            self.events.schedule(fault.starts_at, Event::FaultStarts { fault: index });
            self.events.schedule(fault.ends_at, Event::FaultEnds { fault: index });
        }
    }

    pub(super) fn fault_started(&mut self, fault: usize) {
        let kind = self.setup.faults[fault].kind;
        match kind {
            FaultKind::CallersDown { .. } => {
                (0..kind.affected_count(self.callers.len())).for_each(|caller| self.fail_caller(caller));
            }
            FaultKind::ServersDown { .. } => {
                (0..kind.affected_count(self.machines.len())).for_each(|server| self.fail_server(server));
            }
            FaultKind::ServersSlow { speed, .. } => self.set_fault_speed(kind, speed),
        }
    }

    pub(super) fn fault_ended(&mut self, fault: usize) {
        let kind = self.setup.faults[fault].kind;
        match kind {
            FaultKind::CallersDown { .. } => {
                let affected = kind.affected_count(self.callers.len());
                self.callers[..affected].iter_mut().for_each(|caller| caller.is_up = true);
            }
            FaultKind::ServersDown { .. } => {
                (0..kind.affected_count(self.machines.len()))
                    .for_each(|server| self.start_server(server, true));
            }
            FaultKind::ServersSlow { .. } => self.set_fault_speed(kind, 1.0),
        }
    }

    /// Fails a caller: its connections are closed, and its clients retry at other callers.
    fn fail_caller(&mut self, caller: usize) {
        self.callers[caller].is_up = false;
        let is_waiting = |index: &RequestIndex| {
            let request = &self.requests[*index];
            !request.is_finished && request.caller == caller && request.attempt.is_some()
        };
        let requests: Vec<RequestIndex> = (0..self.requests.len()).filter(is_waiting).collect();
        for request in requests {
            self.caller_failed(request);
        }
        for connection in self.connections.filter_open(|connection| connection.caller == caller) {
            self.close(connection);
        }
    }

    /// Fails a server: its connections are closed, and the callers of open attempts are notified.
    fn fail_server(&mut self, server: usize) {
        for connection in self.connections.filter_open(|connection| connection.server == server) {
            self.close(connection);
        }
        let is_affected = |index: &usize| {
            let attempt = &self.attempts[*index];
            attempt.is_open && attempt.server == server && attempt.connection.is_some()
        };
        let attempts: Vec<usize> = (0..self.attempts.len()).filter(is_affected).collect();
        for attempt in attempts {
            self.checker.connection_lost(attempt as AttemptId);
            self.send(Event::NoConnection { attempt: attempt as AttemptId });
        }
        self.machines[server].server = None;
    }

    fn set_fault_speed(&mut self, kind: FaultKind, fault_speed: f64) {
        let affected = kind.affected_count(self.machines.len());
        for machine in &mut self.machines[..affected] {
            if let Some(server) = &mut machine.server {
                server.set_fault_speed(fault_speed);
            }
        }
    }
}
