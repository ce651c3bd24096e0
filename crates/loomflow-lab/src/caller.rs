//! One caller: a gateway that passes clients' requests on to servers, with the habits of gateways in use.

use fastrand::Rng;

use crate::clock::{Micros, SECOND};
use crate::connections::ConnectionId;

/// How a caller chooses among the servers that it doesn't avoid.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Pick {
    /// The next one of its list.
    RoundRobin,
    /// The one with the fewest of its own requests, the next of its list among equals.
    LeastOutstanding,
}

/// What callers do of their own accord.
#[derive(Clone, Debug)]
pub struct Habits {
    /// The part of the callers that pick the server with the fewest of their requests; the others go round.
    pub least_outstanding: f64,
    /// Servers asked at most for one try of a client: after a refusal the caller walks on through its list.
    pub walk: usize,
    /// The part of the callers that walk on even from a refusal that says that no other server is to be tried.
    pub walks_past_last: f64,
    /// The chance that a caller heeds the told share when it picks.
    pub heeds_share: f64,
    /// The told share is forgotten after this.
    pub remembers: Micros,
    /// Servers are left alone for the pause that their refusal asks for.
    pub honours_pause: bool,
    /// Idle connections are closed after this by the caller, at the latest.
    pub keeps_idle: Micros,
}

impl Default for Habits {
    fn default() -> Self {
        Habits {
            least_outstanding: 0.5,
            walk: 4,
            walks_past_last: 1.0,
            heeds_share: 0.9,
            remembers: SECOND,
            honours_pause: true,
            keeps_idle: 15 * SECOND,
        }
    }
}

/// What a caller knows of one server.
#[derive(Clone)]
struct Peer {
    share: f64,
    share_heard: Option<Micros>,
    away_until: Micros,
    outstanding: u32,
    idle: Vec<ConnectionId>,
}

/// One caller and its connection pool.
pub struct Caller {
    /// False while it is gone.
    pub up: bool,
    habits: Habits,
    pick: Pick,
    walks_past_last: bool,
    /// The servers in its own order.
    list: Vec<usize>,
    cursor: usize,
    peers: Vec<Peer>,
}

impl Caller {
    /// A caller with an empty pool that knows nothing of the servers but their list.
    pub fn new(habits: &Habits, servers: usize, rng: &mut Rng) -> Caller {
        let least = rng.f64() < habits.least_outstanding;
        let walks_past_last = rng.f64() < habits.walks_past_last;
        let mut list: Vec<usize> = (0..servers).collect();
        rng.shuffle(&mut list);
        let unknown = Peer { share: 1.0, share_heard: None, away_until: 0, outstanding: 0, idle: Vec::new() };
        Caller {
            up: true,
            habits: habits.clone(),
            pick: if least { Pick::LeastOutstanding } else { Pick::RoundRobin },
            walks_past_last,
            list,
            cursor: 0,
            peers: vec![unknown; servers],
        }
    }

    /// Chooses a server that was not tried yet; none where all are tried or asked to be left alone.
    pub fn pick(&mut self, now: Micros, tried: &[usize], rng: &mut Rng) -> Option<usize> {
        let mut chosen: Option<(u32, usize)> = None;
        let mut passed_by = None;
        for step in 0..self.list.len() {
            let place = (self.cursor + step) % self.list.len();
            let server = self.list[place];
            if tried.contains(&server) || self.avoids(now, server) {
                continue;
            }
            let outstanding = self.peers[server].outstanding;
            if chosen.is_some_and(|(least, _)| outstanding >= least) {
                continue;
            }
            if self.passes_by(now, server, rng) {
                passed_by = passed_by.or(Some(place));
                continue;
            }
            chosen = Some((outstanding, place));
            if self.pick == Pick::RoundRobin || outstanding == 0 {
                break;
            }
        }
        // Where every server is passed by, the request still has to go somewhere.
        let place = chosen.map(|(_, place)| place).or(passed_by)?;
        self.cursor = place + 1;
        Some(self.list[place])
    }

    /// Whether it walks on even from a refusal that says that no other server is to be tried.
    pub fn walks_past_last(&self) -> bool {
        self.walks_past_last
    }

    /// A request goes to that server; gives the pooled connection to use, if there is one.
    pub fn sends(&mut self, server: usize) -> Option<ConnectionId> {
        let peer = &mut self.peers[server];
        peer.outstanding += 1;
        peer.idle.pop()
    }

    /// A request to that server is over, however it ended.
    pub fn ended(&mut self, server: usize) {
        self.peers[server].outstanding -= 1;
    }

    /// An answer came with the share of usual traffic that the server wants.
    pub fn heard_share(&mut self, now: Micros, server: usize, share: f64) {
        let peer = &mut self.peers[server];
        peer.share = share;
        peer.share_heard = Some(now);
    }

    /// A refusal asked to be left alone for so long.
    pub fn heard_pause(&mut self, now: Micros, server: usize, pause: Micros) {
        if self.habits.honours_pause {
            self.peers[server].away_until = now + pause;
        }
    }

    /// A connection is free for the next request.
    pub fn pool(&mut self, server: usize, connection: ConnectionId) {
        self.peers[server].idle.push(connection);
    }

    /// A pooled connection was closed.
    pub fn unpool(&mut self, server: usize, connection: ConnectionId) {
        self.peers[server].idle.retain(|pooled| *pooled != connection);
    }

    fn avoids(&self, now: Micros, server: usize) -> bool {
        now < self.peers[server].away_until
    }

    fn passes_by(&self, now: Micros, server: usize, rng: &mut Rng) -> bool {
        let peer = &self.peers[server];
        let fresh = peer.share_heard.is_some_and(|heard| now < heard + self.habits.remembers);
        fresh && peer.share < 1.0 && rng.f64() < self.habits.heeds_share && rng.f64() >= peer.share
    }
}
