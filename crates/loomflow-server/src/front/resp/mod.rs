//! The gateways' front over RESP: accepts connections, reads requests, encodes responses.

mod classify;
mod connections;
mod listener;

use std::sync::Arc;

use loomflow::time::Millis;
use loomflow_protocol::gateway::{Call, Request, ResponseFields, ResponseStatus};
use loomflow_settings::{Config, Site};

use super::interface::{Failure, FrontRequest, ReplyHandle, Response};
use crate::budget::Budget;
use crate::clock::ClockReading;
use crate::close_reason::CloseReason;
use crate::log;
use crate::mailbox::{ConnectionId, GatewayEvent, Mailbox};
use connections::{GatewayConnections, TagState};
use listener::Acceptor;
pub use listener::{ListenError, Listener};

/// Minimum time between two checks of all connections.
const MIN_CHECK_INTERVAL_MS: Millis = 20.0;

/// The gateways' front.
pub struct RespFront {
    site: Site,
    acceptor: Acceptor,
    /// The listening socket is open.
    is_listening: bool,
    connections: GatewayConnections,
    next_check: Millis,
}

impl RespFront {
    /// Starts to accept gateways.
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

    /// The listening socket is closed.
    pub fn listener_closed(&mut self) {
        self.is_listening = false;
    }

    /// Handles what a connection's driver reported; its requests to the owner are added to `requests`.
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
                let reason = CloseReason::ProtocolViolation("a tag is used again while it is open");
                return self.close_connection(id, reason, now.ms, requests);
            }
            TagState::Unreachable => return,
        }
        let reply_handle = ReplyHandle::Tag(id, tag);
        requests.push(match request {
            Request::Health { is_deep, .. } => FrontRequest::HealthCheck { reply_handle, is_deep },
            Request::Call(call) => self.to_front_request(reply_handle, call, now),
            Request::Invalid { reason, .. } => {
                log!(why = reason, "a request was not accepted");
                return self.respond(id, tag, Response::Failed(Failure::Invalid), now.ms);
            }
        });
    }

    fn to_front_request(&self, reply_handle: ReplyHandle, call: Call, now: ClockReading) -> FrontRequest {
        match classify::classify(&self.site, &call, now) {
            Ok(classification) => {
                let submission = classify::submission(&self.site, reply_handle, call, classification, now);
                FrontRequest::Submit(Box::new(submission))
            }
            Err(reason) => FrontRequest::Invalid { reply_handle, reason },
        }
    }

    /// Settles the open requests of a connection that is closed: they are cancelled, and get a failure where the peer may
    /// still read it.
    fn close_connection(
        &mut self,
        id: ConnectionId,
        reason: CloseReason,
        now: Millis,
        requests: &mut Vec<FrontRequest>,
    ) {
        if let (CloseReason::ProtocolViolation(why), false) = (reason, self.connections.is_input_closed(id)) {
            log!(why, "a gateway's connection is closed");
        }
        for tag in self.connections.close_input(id, reason, now) {
            requests.push(FrontRequest::Cancel(ReplyHandle::Tag(id, tag)));
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

    /// Handles the deadlines of all connections.
    pub fn check_timeouts(&mut self, now: Millis, requests: &mut Vec<FrontRequest>) {
        if now < self.next_check {
            return;
        }
        self.next_check = now + MIN_CHECK_INTERVAL_MS;
        let reason = CloseReason::ProtocolViolation("the rest of a message does not come");
        for stalled in self.connections.check_timeouts(now) {
            self.close_connection(stalled, reason, now, requests);
        }
    }

    /// Sends a response.
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

    /// The feedback signal that every response carries from now on.
    pub fn set_signal(&mut self, signal: f64) {
        self.connections.set_signal(signal);
    }

    /// The settings after a reload.
    pub fn apply_settings(&mut self, site: &Site) {
        self.site = site.clone();
    }

    /// How long connections may be idle.
    pub fn set_idle_timeout(&mut self, timeout: Millis) {
        self.connections.set_idle_timeout(timeout);
    }

    /// No further connection is accepted, and each open one gets a goodbye. All have to be closed by `deadline`.
    pub fn stop_intake(&mut self, deadline: Millis, kill_deadline: Millis, now: Millis) {
        self.acceptor.stop();
        self.connections.begin_shutdown(deadline, kill_deadline, now);
    }

    /// Whether the listening socket and all connections are closed.
    pub fn is_drained(&self, now: Millis) -> bool {
        (!self.is_listening || self.connections.is_kill_imminent(now)) && self.connections.is_drained(now)
    }
}
