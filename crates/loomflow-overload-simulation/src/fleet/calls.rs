//! Requests of clients, and the attempts of callers at servers.

use crate::client::Request;
use crate::clock::{SECOND, SimulationMicros};
use crate::cores::AttemptId;
use crate::fleet::{Attempt, Event, Fleet, RequestIndex};
use crate::server::ServerResponse;

impl Fleet {
    /// Sends a new request of a client and schedules the next one. Requests form a Poisson process.
    pub(super) fn send_new_request(&mut self) {
        let now = self.now();
        if now >= self.setup.duration {
            return;
        }
        let setup = &self.setup;
        let request =
            Request::draw(&setup.client_policy, now, setup.mean_work, setup.work_spread, &mut self.rng);
        let index = self.requests.len();
        self.requests.push(request);
        self.counts.at(now).sent += 1;
        self.events.schedule(now + self.setup.client_policy.timeout, Event::ClientTimeout { request: index });
        self.start_attempt(index);
        let interval_s = -(1.0 - self.rng.f64()).ln() / self.setup.requests_per_second();
        self.events.schedule(now + (interval_s * SECOND as f64) as SimulationMicros, Event::NewRequest);
    }

    pub(super) fn retry(&mut self, request: RequestIndex, serial: u32) {
        if self.is_current_attempt(request, serial) {
            self.start_attempt(request);
        }
    }

    /// Abandons an attempt that timed out and starts another one, if retries are left.
    pub(super) fn attempt_timed_out(&mut self, request: RequestIndex, serial: u32) {
        if self.is_current_attempt(request, serial) && self.requests[request].retries_left > 0 {
            self.requests[request].retries_left -= 1;
            self.abandon(request);
            self.start_attempt(request);
        }
    }

    pub(super) fn client_timed_out(&mut self, request: RequestIndex) {
        if !self.requests[request].is_finished {
            self.requests[request].is_finished = true;
            self.abandon(request);
        }
    }

    /// Handles an attempt that got no connection, or whose connection was lost when the server failed:
    /// the caller tries the next server.
    pub(super) fn no_connection(&mut self, attempt: AttemptId) {
        if self.end_attempt(attempt) {
            self.try_next_server(self.attempts[attempt as usize].request);
        }
    }

    /// Handles a final response at the caller.
    pub(super) fn response_received(&mut self, attempt: AttemptId, response: ServerResponse, share: f64) {
        let now = self.now();
        if !self.end_attempt(attempt) {
            return;
        }
        let Attempt { request, caller, server, connection, .. } = self.attempts[attempt as usize];
        if let Some(connection) = connection.filter(|id| self.connections.get(*id).is_open) {
            self.callers[caller].pool(server, connection);
        }
        self.callers[caller].share_received(now, server, share);
        match response {
            ServerResponse::Served => self.request_served(request),
            ServerResponse::Failed => self.try_next_server(request),
            ServerResponse::Rejected { retry_after, is_final } => {
                self.callers[caller].retry_after_received(now, server, retry_after);
                self.counts.at(now).rejected += 1;
                if is_final && !self.callers[caller].ignores_final() {
                    self.attempt_failed(request);
                } else {
                    self.try_next_server(request);
                }
            }
        }
    }

    /// Abandons the attempt of a client in progress, if any, and closes its connection.
    fn abandon(&mut self, request: RequestIndex) {
        let Some(attempt) = self.requests[request].attempt else { return };
        self.end_attempt(attempt);
        if let Some(connection) = self.attempts[attempt as usize].connection {
            self.close(connection);
        }
        self.caller_disconnected(attempt);
    }

    fn start_attempt(&mut self, index: RequestIndex) {
        let now = self.now();
        let Some(caller) = self.pick_live_caller() else { return };
        let request = &mut self.requests[index];
        request.serial += 1;
        request.caller = caller;
        request.servers_tried.clear();
        let timeout = Event::AttemptTimeout { request: index, serial: request.serial };
        self.events.schedule(now + self.setup.client_policy.attempt_timeout, timeout);
        self.counts.at(now).client_attempts += 1;
        self.try_next_server(index);
    }

    /// Picks a random caller for an attempt or, if that one is down, the next one that is up. `None` if
    /// all callers are down.
    fn pick_live_caller(&mut self) -> Option<usize> {
        let first = self.rng.usize(..self.callers.len());
        let mut order = (first..self.callers.len()).chain(0..first);
        order.find(|caller| self.callers[*caller].is_up)
    }

    /// Sends a request to the next server, or fails the client's attempt if none is left.
    fn try_next_server(&mut self, index: RequestIndex) {
        let now = self.now();
        let request = &self.requests[index];
        if request.is_finished {
            return;
        }
        let caller = request.caller;
        if request.servers_tried.len() >= self.setup.caller_policy.max_servers_tried {
            return self.attempt_failed(index);
        }
        let Some(server) = self.callers[caller].pick(now, &request.servers_tried, &mut self.rng) else {
            return self.attempt_failed(index);
        };
        self.send_attempt(index, caller, server);
    }

    fn send_attempt(&mut self, index: RequestIndex, caller: usize, server: usize) {
        let id = self.attempts.len() as AttemptId;
        let request = &mut self.requests[index];
        let is_retry = std::mem::replace(&mut request.was_attempted, true);
        request.servers_tried.push(server);
        request.attempt = Some(id);
        let connection = self.callers[caller].send(server);
        if let Some(connection) = connection {
            self.connections.set_idle(connection, None);
        }
        let opens_connection = connection.is_none();
        self.attempts.push(Attempt {
            request: index,
            caller,
            server,
            connection,
            is_open: true,
            opens_connection,
            is_retry,
        });
        self.counts.at(self.events.now()).attempts += 1;
        self.send(Event::AttemptArrives { attempt: id });
    }

    fn request_served(&mut self, index: RequestIndex) {
        let now = self.events.now();
        let request = &mut self.requests[index];
        request.is_finished = true;
        if now <= request.sent_at + self.setup.client_policy.objective {
            self.counts.at(request.sent_at).in_time += 1;
        }
    }

    /// Handles the failure of a client's attempt: it is retried after a backoff, if retries are left.
    fn attempt_failed(&mut self, index: RequestIndex) {
        let backoff = self.rng.u64(0..=self.setup.client_policy.max_backoff);
        let request = &mut self.requests[index];
        request.serial += 1;
        if request.retries_left == 0 {
            request.is_finished = true;
            return;
        }
        request.retries_left -= 1;
        let retry_event = Event::ClientRetry { request: index, serial: request.serial };
        self.events.schedule(self.events.now() + backoff, retry_event);
    }

    /// Handles the failure of a request's caller: the client's attempt fails.
    pub(super) fn caller_failed(&mut self, request: RequestIndex) {
        self.abandon(request);
        self.attempt_failed(request);
    }

    /// Ends an attempt; returns false if it had already ended.
    fn end_attempt(&mut self, id: AttemptId) -> bool {
        let attempt = &mut self.attempts[id as usize];
        if !std::mem::replace(&mut attempt.is_open, false) {
            return false;
        }
        self.callers[attempt.caller].request_ended(attempt.server);
        self.requests[attempt.request].attempt = None;
        true
    }

    fn is_current_attempt(&self, request: RequestIndex, serial: u32) -> bool {
        let request = &self.requests[request];
        !request.is_finished && request.serial == serial
    }
}
