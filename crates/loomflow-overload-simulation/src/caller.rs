//! A caller: a gateway that forwards the requests of clients to servers, modelled on gateways in production
//! use.

use fastrand::Rng;

use crate::clock::{SECOND, SimulationMicros};
use crate::connections::ConnectionId;

/// Load balancing among the servers that a caller does not avoid.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LoadBalancing {
    /// The next server of the caller's list.
    RoundRobin,
    /// The server with the fewest outstanding requests of this caller; among equals, the next one of the
    /// caller's list.
    FewestOutstanding,
}

/// Policies of callers for load balancing, retries and connection pools.
#[derive(Clone, Debug)]
pub struct CallerPolicy {
    /// Fraction of the callers that use [`LoadBalancing::FewestOutstanding`]; the others use round robin.
    pub fewest_outstanding_fraction: f64,
    /// Maximum number of servers that a caller tries for one attempt of a client.
    pub max_servers_tried: usize,
    /// Fraction of the callers that try another server even after a final rejection.
    pub ignores_final_fraction: f64,
    /// Probability that a caller honours the send share of a server each time it considers the server.
    pub honours_share_probability: f64,
    /// Time for which a received send share is honoured.
    pub share_ttl: SimulationMicros,
    /// Whether callers honour the retry-after of a rejection.
    pub honours_retry_after: bool,
    /// Idle timeout of pooled connections; they are closed after it whatever the server's timeout.
    pub idle_timeout: SimulationMicros,
}

impl Default for CallerPolicy {
    fn default() -> Self {
        CallerPolicy {
            fewest_outstanding_fraction: 0.5,
            max_servers_tried: 4,
            ignores_final_fraction: 1.0,
            honours_share_probability: 0.9,
            share_ttl: SECOND,
            honours_retry_after: true,
            idle_timeout: 15 * SECOND,
        }
    }
}

/// State that a caller keeps about a server.
#[derive(Clone)]
struct Peer {
    share: f64,
    share_received_at: Option<SimulationMicros>,
    avoided_until: SimulationMicros,
    outstanding: u32,
    idle: Vec<ConnectionId>,
}

/// A caller with its connection pools.
pub struct Caller {
    /// Whether the caller is up; a caller that is down gets no requests.
    pub is_up: bool,
    policy: CallerPolicy,
    load_balancing: LoadBalancing,
    ignores_final: bool,
    /// All servers in an order drawn for this caller.
    server_order: Vec<usize>,
    /// Position in `server_order` at which the next choice starts.
    cursor: usize,
    peers: Vec<Peer>,
}

impl Caller {
    /// Creates a caller without pooled connections.
    pub fn new(policy: &CallerPolicy, servers: usize, rng: &mut Rng) -> Caller {
        let uses_fewest_outstanding = rng.f64() < policy.fewest_outstanding_fraction;
        let ignores_final = rng.f64() < policy.ignores_final_fraction;
        let mut server_order: Vec<usize> = (0..servers).collect();
        rng.shuffle(&mut server_order);
        let initial =
            Peer { share: 1.0, share_received_at: None, avoided_until: 0, outstanding: 0, idle: Vec::new() };
        Caller {
            is_up: true,
            policy: policy.clone(),
            load_balancing: if uses_fewest_outstanding {
                LoadBalancing::FewestOutstanding
            } else {
                LoadBalancing::RoundRobin
            },
            ignores_final,
            server_order,
            cursor: 0,
            peers: vec![initial; servers],
        }
    }

    /// Chooses a server that was not tried yet; `None` if all servers were tried or are avoided.
    pub fn pick(&mut self, now: SimulationMicros, tried: &[usize], rng: &mut Rng) -> Option<usize> {
        let mut chosen: Option<(u32, usize)> = None;
        let mut skipped = None;
        for offset in 0..self.server_order.len() {
            let position = (self.cursor + offset) % self.server_order.len();
            let server = self.server_order[position];
            if tried.contains(&server) || self.is_avoided(now, server) {
                continue;
            }
            let outstanding = self.peers[server].outstanding;
            if chosen.is_some_and(|(fewest, _)| outstanding >= fewest) {
                continue;
            }
            if self.skips_by_share(now, server, rng) {
                skipped = skipped.or(Some(position));
                continue;
            }
            chosen = Some((outstanding, position));
            if self.load_balancing == LoadBalancing::RoundRobin || outstanding == 0 {
                break;
            }
        }
        // If all remaining servers are skipped by their send shares, the first of them gets the request.
        let position = chosen.map(|(_, position)| position).or(skipped)?;
        self.cursor = position + 1;
        Some(self.server_order[position])
    }

    /// Returns whether the caller tries another server even after a final rejection.
    pub fn ignores_final(&self) -> bool {
        self.ignores_final
    }

    /// Records a request sent to a server; returns a pooled connection to use, if any.
    pub fn send(&mut self, server: usize) -> Option<ConnectionId> {
        let peer = &mut self.peers[server];
        peer.outstanding += 1;
        peer.idle.pop()
    }

    /// Records that a request to a server has ended, with or without a response.
    pub fn request_ended(&mut self, server: usize) {
        self.peers[server].outstanding -= 1;
    }

    /// Records the send share that came with a response of a server.
    pub fn share_received(&mut self, now: SimulationMicros, server: usize, share: f64) {
        let peer = &mut self.peers[server];
        peer.share = share;
        peer.share_received_at = Some(now);
    }

    /// Avoids a server for the retry-after of its rejection, if the policy honours it.
    pub fn retry_after_received(
        &mut self,
        now: SimulationMicros,
        server: usize,
        retry_after: SimulationMicros,
    ) {
        if self.policy.honours_retry_after {
            self.peers[server].avoided_until = now + retry_after;
        }
    }

    /// Returns a connection to the pool.
    pub fn pool(&mut self, server: usize, connection: ConnectionId) {
        self.peers[server].idle.push(connection);
    }

    /// Removes a closed connection from the pool.
    pub fn unpool(&mut self, server: usize, connection: ConnectionId) {
        self.peers[server].idle.retain(|pooled| *pooled != connection);
    }

    fn is_avoided(&self, now: SimulationMicros, server: usize) -> bool {
        now < self.peers[server].avoided_until
    }

    /// Draws whether a server is skipped because of its send share.
    fn skips_by_share(&self, now: SimulationMicros, server: usize, rng: &mut Rng) -> bool {
        let peer = &self.peers[server];
        let is_share_valid =
            peer.share_received_at.is_some_and(|received_at| now < received_at + self.policy.share_ttl);
        is_share_valid
            && peer.share < 1.0
            && rng.f64() < self.policy.honours_share_probability
            && rng.f64() >= peer.share
    }
}
