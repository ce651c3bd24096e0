//! Clients and callers: from a client's wish to the answer.

use crate::client::Request;
use crate::clock::{Micros, SECOND};
use crate::cores::AttemptId;
use crate::fleet::{Attempt, Event, Fleet, RequestIndex};
use crate::server::Answer;

impl Fleet {
    /// A client asks for something new, and the next one is scheduled (a Poisson process).
    pub(super) fn ask(&mut self) {
        let now = self.now();
        if now >= self.setup.length {
            return;
        }
        let setup = &self.setup;
        let request = Request::draw(&setup.clients, now, setup.mean_work, setup.work_spread, &mut self.rng);
        let index = self.requests.len();
        self.requests.push(request);
        self.ledger.at(now).asked += 1;
        self.events.schedule(now + self.setup.clients.give_up, Event::GiveUp { request: index });
        self.start_try(index);
        let gap = -(1.0 - self.rng.f64()).ln() / self.setup.requests_per_second();
        self.events.schedule(now + (gap * SECOND as f64) as Micros, Event::Ask);
    }

    pub(super) fn try_again(&mut self, request: RequestIndex, serial: u32) {
        if self.is_in_try(request, serial) {
            self.start_try(request);
        }
    }

    /// A client leaves its try for another one, where it has one left; else it waits on.
    pub(super) fn patience_over(&mut self, request: RequestIndex, serial: u32) {
        if self.is_in_try(request, serial) && self.requests[request].tries_left > 0 {
            self.requests[request].tries_left -= 1;
            self.abandon(request);
            self.start_try(request);
        }
    }

    pub(super) fn give_up(&mut self, request: RequestIndex) {
        if !self.requests[request].over {
            self.requests[request].over = true;
            self.abandon(request);
        }
    }

    /// An attempt got no connection, or lost it with its server: the caller walks on.
    pub(super) fn no_connection(&mut self, attempt: AttemptId) {
        if self.end_attempt(attempt) {
            self.walk_on(self.attempts[attempt as usize].request);
        }
    }

    /// A final answer of a server reaches the caller.
    pub(super) fn answer_reaches(&mut self, attempt: AttemptId, answer: Answer, share: f64) {
        let now = self.now();
        if !self.end_attempt(attempt) {
            return;
        }
        let Attempt { request, caller, server, connection, .. } = self.attempts[attempt as usize];
        if let Some(connection) = connection.filter(|id| self.connections.get(*id).open) {
            self.callers[caller].pool(server, connection);
        }
        self.callers[caller].heard_share(now, server, share);
        match answer {
            Answer::Served => self.served(request),
            Answer::Failed => self.walk_on(request),
            Answer::Refused { pause, last } => {
                self.callers[caller].heard_pause(now, server, pause);
                self.ledger.at(now).turned_away += 1;
                if last && !self.callers[caller].walks_past_last() {
                    self.try_failed(request);
                } else {
                    self.walk_on(request);
                }
            }
        }
    }

    /// The client leaves its try: the connection of the attempt under way is closed.
    fn abandon(&mut self, request: RequestIndex) {
        let Some(attempt) = self.requests[request].attempt else { return };
        self.end_attempt(attempt);
        if let Some(connection) = self.attempts[attempt as usize].connection {
            self.close(connection);
        }
        self.caller_gone(attempt);
    }

    fn start_try(&mut self, index: RequestIndex) {
        let now = self.now();
        let Some(caller) = self.live_caller() else { return };
        let request = &mut self.requests[index];
        request.serial += 1;
        request.caller = caller;
        request.tried.clear();
        let patience = Event::PatienceOver { request: index, serial: request.serial };
        self.events.schedule(now + self.setup.clients.patience, patience);
        self.ledger.at(now).tries += 1;
        self.walk_on(index);
    }

    /// Clients are spread evenly over the callers that are there.
    fn live_caller(&mut self) -> Option<usize> {
        let first = self.rng.usize(..self.callers.len());
        let mut order = (first..self.callers.len()).chain(0..first);
        order.find(|caller| self.callers[*caller].up)
    }

    /// The caller asks the next server, if it still may.
    fn walk_on(&mut self, index: RequestIndex) {
        let now = self.now();
        let request = &self.requests[index];
        if request.over {
            return;
        }
        let caller = request.caller;
        if request.tried.len() >= self.setup.habits.walk {
            return self.try_failed(index);
        }
        let Some(server) = self.callers[caller].pick(now, &request.tried, &mut self.rng) else {
            return self.try_failed(index);
        };
        self.attempt(index, caller, server);
    }

    fn attempt(&mut self, index: RequestIndex, caller: usize, server: usize) {
        let id = self.attempts.len() as AttemptId;
        let request = &mut self.requests[index];
        let retry = std::mem::replace(&mut request.attempted, true);
        request.tried.push(server);
        request.attempt = Some(id);
        let connection = self.callers[caller].sends(server);
        if let Some(connection) = connection {
            self.connections.set_idle(connection, None);
        }
        let opens_connection = connection.is_none();
        self.attempts.push(Attempt {
            request: index,
            caller,
            server,
            connection,
            open: true,
            opens_connection,
            retry,
        });
        self.ledger.at(self.events.now()).attempts += 1;
        self.send(Event::Reaches { attempt: id });
    }

    fn served(&mut self, index: RequestIndex) {
        let now = self.events.now();
        let request = &mut self.requests[index];
        request.over = true;
        if now <= request.asked + self.setup.clients.aim {
            self.ledger.at(request.asked).in_time += 1;
        }
    }

    /// The client hears that its try failed, and tries again after a pause if it has one left.
    fn try_failed(&mut self, index: RequestIndex) {
        let pause = self.rng.u64(0..=self.setup.clients.longest_pause);
        let request = &mut self.requests[index];
        request.serial += 1;
        if request.tries_left == 0 {
            request.over = true;
            return;
        }
        request.tries_left -= 1;
        let again = Event::TryAgain { request: index, serial: request.serial };
        self.events.schedule(self.events.now() + pause, again);
    }

    /// The client of a caller that is gone sees its connection break, and tries elsewhere.
    pub(super) fn caller_lost(&mut self, request: RequestIndex) {
        self.abandon(request);
        self.try_failed(request);
    }

    /// Ends the caller's wait for an attempt; false where it was over before.
    fn end_attempt(&mut self, id: AttemptId) -> bool {
        let attempt = &mut self.attempts[id as usize];
        if !std::mem::replace(&mut attempt.open, false) {
            return false;
        }
        self.callers[attempt.caller].ended(attempt.server);
        self.requests[attempt.request].attempt = None;
        true
    }

    fn is_in_try(&self, request: RequestIndex, serial: u32) -> bool {
        let request = &self.requests[request];
        !request.over && request.serial == serial
    }
}
