//! Requests on their way to the leader, and responses on their way back. A request is retried under its id until it is
//! answered or times out, and the log applies it once.

use std::collections::BTreeMap;

use super::{Effect, Node};
use crate::command::{Entry, FleetCommand, FleetRequest, FleetResponse};
use crate::consensus::ProposeError;
use crate::duty::DutyCommand;
use crate::maintenance::ticket::Rejection;
use crate::member::{FleetRequestId, ServerName};
use crate::time::IntegerMillis;
use crate::wire::Body;

/// A request without a response is sent again after this, to another voter, ms.
const RETRY_AFTER_MILLIS: IntegerMillis = 700;
/// A request without a response fails after this, ms.
pub const REQUEST_TIMEOUT_MILLIS: IntegerMillis = 10_000;
/// Requests of others that are remembered until their response comes.
const MAX_FORWARDED: usize = 4_096;
/// Requests of our own at once.
const MAX_OWN: usize = 1_024;

/// A request of our own.
struct PendingRequest {
    request: FleetRequest,
    retry_at: IntegerMillis,
    expires_at: IntegerMillis,
    attempts: usize,
}

/// A response to a request of our own.
pub(super) struct ReceivedResponse<'a> {
    /// The request.
    pub id: FleetRequestId,
    /// Its response.
    pub response: &'a FleetResponse,
    /// When the request was sent first.
    pub sent_at: IntegerMillis,
}

/// Where a response is to go.
struct ReturnAddress {
    member: ServerName,
    expires_at: IntegerMillis,
}

/// Requests that have no response yet.
#[derive(Default)]
pub(super) struct PendingRequests {
    own: BTreeMap<FleetRequestId, PendingRequest>,
    forwarded: BTreeMap<FleetRequestId, ReturnAddress>,
}

impl PendingRequests {
    /// When something is due next.
    pub fn next_wake(&self) -> IntegerMillis {
        let wakes = self.own.values().map(|pending| pending.retry_at.min(pending.expires_at));
        wakes.min().unwrap_or(IntegerMillis::MAX)
    }
}

impl Node {
    pub(super) fn submit_as(&mut self, id: FleetRequestId, request: FleetRequest, now: IntegerMillis) {
        if self.requests.own.len() >= MAX_OWN {
            let rejection = Rejection::TooMany(MAX_OWN as u32);
            self.effects.push(Effect::Responded(id, FleetResponse::Rejected(rejection)));
            return;
        }
        let expires_at = now + REQUEST_TIMEOUT_MILLIS;
        let pending = PendingRequest { request, retry_at: now, expires_at, attempts: 0 };
        self.requests.own.insert(id, pending);
        self.send_request(id, now);
    }

    /// The response to a request of our own is no longer wanted.
    pub(super) fn cancel_request(&mut self, id: FleetRequestId) {
        self.requests.own.remove(&id);
    }

    /// Sends requests again that have no response, and fails those that timed out.
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

    /// Handles another member's request, or one of our own where this member leads.
    pub(super) fn handle_request(
        &mut self,
        from: ServerName,
        id: FleetRequestId,
        hops: u8,
        request: FleetRequest,
        now: IntegerMillis,
    ) {
        if self.requests.forwarded.len() < MAX_FORWARDED {
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

    /// The leader's part: commands are proposed, everything else is answered at once.
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
                // What is not taken now is sent again by whoever wants it.
                if self.propose(&entry) == Err(ProposeError::NotLeader) {
                    self.requests.forwarded.remove(&id);
                }
            }
            query => {
                if let Some(response) = self.answer_query(&query, now) {
                    self.deliver_response(id, response, now);
                }
            }
        }
    }

    /// Sends a response to whoever sent the request.
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

    /// Handles a response: to a request of our own, or to pass on.
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

/// The receiver of a request. Odd attempts go to the leader where one is known, all others to the other voters in turn, since
/// the known leader may be outdated. `attempts`: how often the request was sent, this attempt included.
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
