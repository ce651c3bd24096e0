//! Forwarding of requests to the leader and of responses to their senders. A request is retried with the same
//! id until it has a response or times out; the log applies it once.

use std::collections::BTreeMap;

use super::{Effect, Node};
use crate::command::{Entry, FleetCommand, FleetRequest, FleetResponse};
use crate::consensus::ProposeError;
use crate::duty::DutyCommand;
use crate::maintenance::ticket::Rejection;
use crate::member::{FleetRequestId, ServerName};
use crate::time::IntegerMillis;
use crate::wire::Body;

/// Time without a response after which a request is sent again, to another voter, ms.
const RETRY_AFTER_MILLIS: IntegerMillis = 700;
/// Time without a response after which a request fails, ms.
pub const REQUEST_TIMEOUT_MILLIS: IntegerMillis = 10_000;
/// Maximum number of requests whose return address is stored.
const MAX_FORWARDED_REQUESTS: usize = 4_096;
/// Maximum number of this member's own pending requests.
const MAX_OWN_REQUESTS: usize = 1_024;

/// A request of this member without a response.
struct PendingRequest {
    request: FleetRequest,
    retry_at: IntegerMillis,
    expires_at: IntegerMillis,
    attempts: usize,
}

/// The response to a request of this member.
pub(super) struct ReceivedResponse<'a> {
    /// Id of the request.
    pub id: FleetRequestId,
    /// The leader's response.
    pub response: &'a FleetResponse,
    /// Time at which the request was first sent.
    pub sent_at: IntegerMillis,
}

/// The member to which the response to a request is sent.
struct ReturnAddress {
    member: ServerName,
    expires_at: IntegerMillis,
}

/// Requests without a response: of this member, and forwarded or accepted for others.
#[derive(Default)]
pub(super) struct PendingRequests {
    own: BTreeMap<FleetRequestId, PendingRequest>,
    forwarded: BTreeMap<FleetRequestId, ReturnAddress>,
}

impl PendingRequests {
    /// The time of the next retry or timeout of an own request.
    pub fn next_wake(&self) -> IntegerMillis {
        let wakes = self.own.values().map(|pending| pending.retry_at.min(pending.expires_at));
        wakes.min().unwrap_or(IntegerMillis::MAX)
    }
}

impl Node {
    /// Sends a request to the leader under the given id. It is rejected at once if too many are pending.
    pub(super) fn submit_as(&mut self, id: FleetRequestId, request: FleetRequest, now: IntegerMillis) {
        if self.requests.own.len() >= MAX_OWN_REQUESTS {
            let rejection = Rejection::TooMany(MAX_OWN_REQUESTS as u32);
            self.effects.push(Effect::Responded(id, FleetResponse::Rejected(rejection)));
            return;
        }
        let expires_at = now + REQUEST_TIMEOUT_MILLIS;
        let pending = PendingRequest { request, retry_at: now, expires_at, attempts: 0 };
        self.requests.own.insert(id, pending);
        self.send_request(id, now);
    }

    /// Stops retrying a request of this member, and ignores its response.
    pub(super) fn cancel_request(&mut self, id: FleetRequestId) {
        self.requests.own.remove(&id);
    }

    /// Retries and fails own requests that are due, and forgets expired return addresses.
    pub(super) fn retry_requests(&mut self, now: IntegerMillis) {
        let due: Vec<(FleetRequestId, bool)> = self
            .requests
            .own
            .iter()
            .filter(|(_, pending)| now >= pending.retry_at || now >= pending.expires_at)
            .map(|(id, pending)| (*id, now >= pending.expires_at))
            .collect();
        for (id, has_expired) in due {
            if has_expired {
                self.handle_response(id, FleetResponse::Rejected(Rejection::NoLeader), now);
            } else {
                self.send_request(id, now);
            }
        }
        self.requests.forwarded.retain(|_, address| address.expires_at > now);
    }

    fn send_request(&mut self, id: FleetRequestId, now: IntegerMillis) {
        let leader = self.leader().cloned();
        let Some(pending) = self.requests.own.get_mut(&id) else { return };
        pending.retry_at = now + RETRY_AFTER_MILLIS;
        pending.attempts += 1;
        let (request, attempts) = (pending.request.clone(), pending.attempts);
        if self.is_leader() {
            let name = self.config.name.clone();
            return self.handle_request(name, id, 0, request, now);
        }
        let leader = leader.filter(|leader| *leader != self.config.name);
        if let Some(to) = receiver_of_attempt(attempts, leader, &self.other_voters()) {
            self.send(&to, Body::Request { id, hops: 0, request });
        }
    }

    /// Handles a request of another member, or one of this member if it leads: executes or forwards it.
    pub(super) fn handle_request(
        &mut self,
        from: ServerName,
        id: FleetRequestId,
        hops: u8,
        request: FleetRequest,
        now: IntegerMillis,
    ) {
        if self.requests.forwarded.len() < MAX_FORWARDED_REQUESTS {
            let expires_at = now + REQUEST_TIMEOUT_MILLIS;
            self.requests.forwarded.insert(id, ReturnAddress { member: from, expires_at });
        }
        if self.is_leader() {
            self.execute_request(id, request, now);
        } else if hops == 0
            && let Some(leader) = self.leader().cloned().filter(|leader| *leader != self.config.name)
        {
            self.send(&leader, Body::Request { id, hops: 1, request });
        }
    }

    /// Executes a request on the leader: commands are proposed, queries are responded to at once.
    fn execute_request(&mut self, id: FleetRequestId, request: FleetRequest, now: IntegerMillis) {
        match request {
            FleetRequest::Execute {
                command: FleetCommand::Duty(DutyCommand::KeepAlive(instances)), ..
            } => {
                self.queue_renewal(id, instances, now);
            }
            FleetRequest::Execute { issuer, mut command } => {
                if let FleetCommand::Duty(DutyCommand::Release { duty, successor, .. }) = &mut command {
                    *successor = self.choose_successor(duty, now);
                }
                let entry = Entry { id, at: self.fleet_time(now), issuer, command };
                // The sender retries a proposal that was not accepted.
                if self.propose(&entry) == Err(ProposeError::NotLeader) {
                    self.requests.forwarded.remove(&id);
                }
            }
            query => {
                if let Some(response) = self.respond_to_query(&query, now) {
                    self.deliver_response(id, response, now);
                }
            }
        }
    }

    /// Sends a response to the sender of the request.
    pub(super) fn deliver_response(
        &mut self,
        id: FleetRequestId,
        response: FleetResponse,
        now: IntegerMillis,
    ) {
        match self.requests.forwarded.remove(&id) {
            Some(address) if address.member != self.config.name => {
                self.send(&address.member, Body::Response { id, response });
            }
            _ => self.handle_response(id, response, now),
        }
    }

    /// Handles the response to a request of this member, or forwards it to the sender of the request.
    pub(super) fn handle_response(
        &mut self,
        id: FleetRequestId,
        response: FleetResponse,
        now: IntegerMillis,
    ) {
        if let Some(pending) = self.requests.own.remove(&id) {
            let sent_at = pending.expires_at - REQUEST_TIMEOUT_MILLIS;
            let received = ReceivedResponse { id, response: &response, sent_at };
            if !self.handle_ticket_response(&received, now) && !self.handle_duty_response(&received, now) {
                self.effects.push(Effect::Responded(id, response));
            }
        } else if let Some(address) = self.requests.forwarded.remove(&id)
            && address.member != self.config.name
        {
            self.send(&address.member, Body::Response { id, response });
        }
    }

    pub(super) fn propose(&mut self, entry: &Entry) -> Result<(), ProposeError> {
        let Some(consensus) = &mut self.consensus else { return Err(ProposeError::NotLeader) };
        consensus.propose(postcard::to_stdvec(entry).map_err(|_| ProposeError::Dropped)?)
    }
}

/// Chooses the receiver of a request. Odd attempts go to the leader if one is known, all others to the other
/// voters in turn, since the known leader may be outdated. `attempts` counts the attempts so far, this one
/// included.
fn receiver_of_attempt(
    attempts: usize,
    leader: Option<ServerName>,
    other_voters: &[ServerName],
) -> Option<ServerName> {
    let next_voter = || other_voters.get((attempts / 2) % other_voters.len().max(1)).cloned();
    leader.filter(|_| attempts % 2 == 1).or_else(next_voter)
}

#[cfg(test)]
mod tests;
