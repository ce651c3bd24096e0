//! Front for gateways over RESP: accepts connections, reads requests and encodes responses.

mod classify;
mod connections;
mod listener;

use std::sync::Arc;

use loomflow::time::Millis;
use loomflow_protocol::gateway::{Call, Request, ResponseFields, ResponseStatus};
use loomflow_settings::{Config, Site};

use super::interface::{Failure, FrontRequest, Response, ResponseHandle};
use crate::budget::Budget;
use crate::clock::ClockReading;
use crate::close_reason::CloseReason;
use crate::log;
use crate::mailbox::{ConnectionId, GatewayEvent, Mailbox};
use connections::{GatewayConnections, TagState};
use listener::Acceptor;
pub use listener::{ListenError, Listener};

/// Minimum interval between checks of the timeouts of all connections.
const MIN_CHECK_INTERVAL_MS: Millis = 20.0;

/// Front for gateways over RESP.
pub struct RespFront {
    site: Site,
    acceptor: Acceptor,
    /// Whether the listening socket is still open.
    is_listening: bool,
    connections: GatewayConnections,
    /// Earliest time of the next check of timeouts.
    next_check: Millis,
}

impl RespFront {
    /// Starts accepting gateways.
    pub fn start(listener: Listener, config: &Config, budget: &Budget, mailbox: &Arc<Mailbox>) -> RespFront {
        let limits = connections::Limits {
            near_capacity: budget.gateway_connections_near_capacity,
            max_connections: budget.max_gateway_connections,
            max_unwritten_bytes: budget.max_unwritten_bytes,
        };
        RespFront {
            site: config.site.clone(),
            acceptor: Acceptor::start(listener, budget.max_gateway_connections, mailbox.clone()),
            is_listening: true,
            connections: GatewayConnections::new(config.site.settings.idle_timeout, limits),
            next_check: 0.0,
        }
    }

    /// Records that the listening socket is closed.
    pub fn listener_closed(&mut self) {
        self.is_listening = false;
    }

    /// Handles an event reported by a connection's driver; the resulting requests to the owner are appended to `requests`.
    pub fn handle_event(
        &mut self,
        id: ConnectionId,
        event: GatewayEvent,
        now: ClockReading,
        requests: &mut Vec<FrontRequest>,
    ) {
        match event {
            GatewayEvent::Connected(handle) => self.connections.connected(id, handle, now.ms),
            GatewayEvent::RequestReceived(request) => self.request_received(id, request, now, requests),
            GatewayEvent::InputClosed(reason) => self.close_connection(id, reason, now.ms, requests),
            GatewayEvent::Disconnected(reason) => {
                self.close_connection(id, reason, now.ms, requests);
                self.connections.disconnected(id);
            }
            GatewayEvent::DescriptorClosed => self.connections.descriptor_closed(id),
        }
    }

    fn request_received(
        &mut self,
        id: ConnectionId,
        request: Request,
        now: ClockReading,
        requests: &mut Vec<FrontRequest>,
    ) {
        let tag = request.tag();
        match self.connections.open_tag(id, tag) {
            TagState::Opened => {}
            TagState::InputClosed => return self.respond(id, tag, Response::REJECTED, now.ms),
            TagState::Duplicate => {
                let reason =
                    CloseReason::ProtocolViolation("duplicate tag: a request with the same tag is open");
                return self.close_connection(id, reason, now.ms, requests);
            }
            TagState::Unreachable => return,
        }
        let response_handle = ResponseHandle::Tag(id, tag);
        requests.push(match request {
            Request::Health { is_deep, .. } => FrontRequest::HealthCheck { response_handle, is_deep },
            Request::Call(call) => self.to_front_request(response_handle, call, now),
            Request::Invalid { reason, .. } => {
                log!(why = reason, "a request was not accepted");
                return self.respond(id, tag, Response::Failed(Failure::Invalid), now.ms);
            }
        });
    }

    fn to_front_request(
        &self,
        response_handle: ResponseHandle,
        call: Call,
        now: ClockReading,
    ) -> FrontRequest {
        match classify::classify(&self.site, &call, now) {
            Ok(classification) => {
                let submission = classify::submission(&self.site, response_handle, call, classification, now);
                FrontRequest::Submit(Box::new(submission))
            }
            Err(reason) => FrontRequest::Invalid { response_handle, reason },
        }
    }

    /// Closes the input of a connection and cancels its open requests, which get the response `FAILED` if the peer can still
    /// read it.
    fn close_connection(
        &mut self,
        id: ConnectionId,
        reason: CloseReason,
        now: Millis,
        requests: &mut Vec<FrontRequest>,
    ) {
        if let (CloseReason::ProtocolViolation(why), false) = (reason, self.connections.is_input_closed(id)) {
            log!(why, "a gateway's connection is closed: protocol violation");
        }
        for tag in self.connections.close_input(id, reason, now) {
            requests.push(FrontRequest::Cancel(ResponseHandle::Tag(id, tag)));
            if reason.is_reported_to_peer() {
                self.connections.respond(
                    id,
                    tag,
                    ResponseStatus::Failed,
                    ResponseFields::default(),
                    &[],
                    now,
                );
            } else {
                self.connections.discard_tag(id, tag);
            }
        }
    }

    /// Checks the timeouts of all connections, at most once per [`MIN_CHECK_INTERVAL_MS`].
    pub fn check_timeouts(&mut self, now: Millis, requests: &mut Vec<FrontRequest>) {
        if now < self.next_check {
            return;
        }
        self.next_check = now + MIN_CHECK_INTERVAL_MS;
        let reason = CloseReason::ProtocolViolation("a partial message has stalled");
        for stalled in self.connections.check_timeouts(now) {
            self.close_connection(stalled, reason, now, requests);
        }
    }

    /// Sends the response to the request with `tag` on a connection.
    pub fn respond(&mut self, id: ConnectionId, tag: u64, response: Response, now: Millis) {
        let none = ResponseFields::default();
        let (status, fields, body) = match response {
            Response::Served(result) => (ResponseStatus::Ok, none, result),
            Response::Rejected { retry_after, is_final } => {
                (ResponseStatus::Busy, ResponseFields { retry_after, is_final, ..none }, &[][..])
            }
            Response::Failed(_) => (ResponseStatus::Failed, none, &[][..]),
            Response::Health(true) => (ResponseStatus::Up, none, &[][..]),
            Response::Health(false) => (ResponseStatus::Down, none, &[][..]),
        };
        if response == Response::Failed(Failure::Invalid) {
            self.connections.record_violation(id);
        }
        self.connections.respond(id, tag, status, fields, body, now);
    }

    /// Sets the feedback signal of all further responses.
    pub fn set_signal(&mut self, signal: f64) {
        self.connections.set_signal(signal);
    }

    /// Applies reloaded settings.
    pub fn apply_settings(&mut self, site: &Site) {
        self.site = site.clone();
    }

    /// Sets how long connections may be idle.
    pub fn set_idle_timeout(&mut self, timeout: Millis) {
        self.connections.set_idle_timeout(timeout);
    }

    /// Stops accepting connections and sends `BYE` on each open one. All have to be closed by `deadline`; the process is
    /// killed at `kill_deadline`.
    pub fn stop_intake(&mut self, deadline: Millis, kill_deadline: Millis, now: Millis) {
        self.acceptor.stop();
        self.connections.begin_shutdown(deadline, kill_deadline, now);
    }

    /// Whether the listening socket and all connections are closed, or the time for that is over.
    pub fn is_drained(&self, now: Millis) -> bool {
        (!self.is_listening || self.connections.is_kill_imminent(now)) && self.connections.is_drained(now)
    }
}
