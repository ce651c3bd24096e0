//! Faults on the timeline.

use crate::cores::AttemptId;
use crate::fault::Trouble;
use crate::fleet::{Event, Fleet, RequestIndex};

impl Fleet {
    pub(super) fn schedule_faults(&mut self) {
        for (index, fault) in self.setup.faults.iter().enumerate() {
            self.events.schedule(fault.from, Event::FaultBegins { fault: index });
            self.events.schedule(fault.to, Event::FaultEnds { fault: index });
        }
    }

    pub(super) fn fault_begins(&mut self, fault: usize) {
        let trouble = self.setup.faults[fault].trouble;
        match trouble {
            Trouble::CallersGone { .. } => {
                (0..trouble.strikes(self.callers.len())).for_each(|caller| self.lose_caller(caller));
            }
            Trouble::ServersGone { .. } => {
                (0..trouble.strikes(self.machines.len())).for_each(|server| self.lose_server(server));
            }
            Trouble::ServersSlow { speed, .. } => self.set_health(trouble, speed),
        }
    }

    pub(super) fn fault_ends(&mut self, fault: usize) {
        let trouble = self.setup.faults[fault].trouble;
        match trouble {
            Trouble::CallersGone { .. } => {
                let struck = trouble.strikes(self.callers.len());
                self.callers[..struck].iter_mut().for_each(|caller| caller.up = true);
            }
            Trouble::ServersGone { .. } => {
                (0..trouble.strikes(self.machines.len())).for_each(|server| self.start_server(server, true));
            }
            Trouble::ServersSlow { .. } => self.set_health(trouble, 1.0),
        }
    }

    /// A caller dies: its connections break, and its clients turn to other callers.
    fn lose_caller(&mut self, caller: usize) {
        self.callers[caller].up = false;
        let waiting = |index: &RequestIndex| {
            let request = &self.requests[*index];
            !request.over && request.caller == caller && request.attempt.is_some()
        };
        let requests: Vec<RequestIndex> = (0..self.requests.len()).filter(waiting).collect();
        requests.into_iter().for_each(|request| self.caller_lost(request));
        for connection in self.connections.open_where(|connection| connection.caller == caller) {
            self.close(connection);
        }
    }

    /// A server dies: its connections break, and callers hear of it.
    fn lose_server(&mut self, server: usize) {
        for connection in self.connections.open_where(|connection| connection.server == server) {
            self.close(connection);
        }
        let here = |index: &usize| {
            let attempt = &self.attempts[*index];
            attempt.open && attempt.server == server && attempt.connection.is_some()
        };
        let attempts: Vec<usize> = (0..self.attempts.len()).filter(here).collect();
        for attempt in attempts {
            self.checker.broke(attempt as AttemptId);
            self.send(Event::NoConnection { attempt: attempt as AttemptId });
        }
        self.machines[server].server = None;
    }

    fn set_health(&mut self, trouble: Trouble, health: f64) {
        let struck = trouble.strikes(self.machines.len());
        for machine in &mut self.machines[..struck] {
            if let Some(server) = &mut machine.server {
                server.set_health(health);
            }
        }
    }
}
