//! A caller: a gateway that forwards the requests of clients to servers, behaving like gateways in use.

use fastrand::Rng;

use crate::clock::{SECOND, SimulationMicros};
use crate::connections::ConnectionId;

/// How a caller chooses among the servers that it does not avoid.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LoadBalancing {
    /// The next server of its list.
    RoundRobin,
    /// The server with the fewest of its own requests; among equals the next one of its list.
    FewestOutstanding,
}

/// Behaviour of callers.
#[derive(Clone, Debug)]
pub struct CallerPolicy {
    /// Part of the callers that choose the server with the fewest outstanding requests; the others use round robin.
    pub fewest_outstanding_part: f64,
    /// Maximum number of servers for one attempt of a client.
    pub max_servers_tried: usize,
    /// Part of the callers that try another server even after a final rejection.
    pub ignores_final_part: f64,
    /// Probability that a caller honours the send share of a server when it chooses.
    pub honours_share_probability: f64,
    /// How long a send share is honoured.
    pub share_ttl: SimulationMicros,
    /// Whether callers honour the retry-after of a rejection.
    pub honours_retry_after: bool,
    /// Idle timeout of pooled connections.
    pub idle_timeout: SimulationMicros,
}

impl Default for CallerPolicy {
    fn default() -> Self {
        CallerPolicy {
            fewest_outstanding_part: 0.5,
            max_servers_tried: 4,
            ignores_final_part: 1.0,
            honours_share_probability: 0.9,
            share_ttl: SECOND,
            honours_retry_after: true,
            idle_timeout: 15 * SECOND,
        }
    }
}

/// What a caller knows about a server.
#[derive(Clone)]
struct Peer {
    share: f64,
    share_received_at: Option<SimulationMicros>,
    avoided_until: SimulationMicros,
    outstanding: u32,
    idle: Vec<ConnectionId>,
}

/// One caller and its connection pool.
pub struct Caller {
    /// False while it is down.
    pub is_up: bool,
    policy: CallerPolicy,
    load_balancing: LoadBalancing,
    ignores_final: bool,
    /// The servers in its own order.
    list: Vec<usize>,
    cursor: usize,
    peers: Vec<Peer>,
}

impl Caller {
    /// Creates a caller with an empty pool.
    pub fn new(policy: &CallerPolicy, servers: usize, rng: &mut Rng) -> Caller {
        let fewest = rng.f64() < policy.fewest_outstanding_part;
        let ignores_final = rng.f64() < policy.ignores_final_part;
        let mut list: Vec<usize> = (0..servers).collect();
        rng.shuffle(&mut list);
        let unknown =
            Peer { share: 1.0, share_received_at: None, avoided_until: 0, outstanding: 0, idle: Vec::new() };
        Caller {
            is_up: true,
            policy: policy.clone(),
            load_balancing: if fewest { LoadBalancing::FewestOutstanding } else { LoadBalancing::RoundRobin },
            ignores_final,
            list,
            cursor: 0,
            peers: vec![unknown; servers],
        }
    }

    /// Chooses a server that was not tried yet; `None` if all were tried or are avoided.
    pub fn pick(&mut self, now: SimulationMicros, tried: &[usize], rng: &mut Rng) -> Option<usize> {
        let mut chosen: Option<(u32, usize)> = None;
        let mut skipped = None;
        for step in 0..self.list.len() {
            let place = (self.cursor + step) % self.list.len();
            let server = self.list[place];
            if tried.contains(&server) || self.is_avoided(now, server) {
                continue;
            }
            let outstanding = self.peers[server].outstanding;
            if chosen.is_some_and(|(fewest, _)| outstanding >= fewest) {
                continue;
            }
            if self.skips(now, server, rng) {
                skipped = skipped.or(Some(place));
                continue;
            }
            chosen = Some((outstanding, place));
            if self.load_balancing == LoadBalancing::RoundRobin || outstanding == 0 {
                break;
            }
        }
        // If every server is skipped, the request still has to go to one of them.
        let place = chosen.map(|(_, place)| place).or(skipped)?;
        self.cursor = place + 1;
        Some(self.list[place])
    }

    /// Whether it tries another server even after a final rejection.
    pub fn ignores_final(&self) -> bool {
        self.ignores_final
    }

    /// Sends a request to a server; returns the pooled connection to use, if any.
    pub fn send(&mut self, server: usize) -> Option<ConnectionId> {
        let peer = &mut self.peers[server];
        peer.outstanding += 1;
        peer.idle.pop()
    }

    /// A request to a server has ended.
    pub fn request_ended(&mut self, server: usize) {
        self.peers[server].outstanding -= 1;
    }

    /// A response carried the send share of a server.
    pub fn share_received(&mut self, now: SimulationMicros, server: usize, share: f64) {
        let peer = &mut self.peers[server];
        peer.share = share;
        peer.share_received_at = Some(now);
    }

    /// A rejection carried a retry-after.
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

    fn skips(&self, now: SimulationMicros, server: usize, rng: &mut Rng) -> bool {
        let peer = &self.peers[server];
        let is_current =
            peer.share_received_at.is_some_and(|received_at| now < received_at + self.policy.share_ttl);
        is_current
            && peer.share < 1.0
            && rng.f64() < self.policy.honours_share_probability
            && rng.f64() >= peer.share
    }
}
