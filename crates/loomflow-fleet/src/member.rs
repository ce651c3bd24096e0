//! Who a server is, and what it says of its load. Plain data.

use std::hash::{DefaultHasher, Hash, Hasher};
use std::net::SocketAddr;

use foca::Identity;
use serde::{Deserialize, Serialize};

/// Milliseconds on the boot-time clock of one machine. Never compared between machines.
pub type Ms = u64;

/// Milliseconds of the fleet's own time: it moves with the log, and stands still while there is no leader.
pub type FleetMs = u64;

/// The name of a server, as in its configuration. At most [`LONGEST_NAME`] bytes.
pub type Name = String;

/// The name of a zone; empty where the fleet has none.
pub type Zone = String;

/// Names of servers, zones and fleets are at most so long, bytes: a member's own facts fit into a packet many times.
pub const LONGEST_NAME: usize = 64;

/// One start of a server. Rises with every start, so that a restart is never taken for its former self.
pub type Incarnation = u64;

/// Names one request for good: a repeat carries the same.
pub type RequestId = u128;

/// What the members know each other by. One name has one address in the sense of the membership: of two with the same
/// name the later start wins, and of one start the later life.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "Told")]
pub struct Me {
    pub name: Name,
    pub zone: Zone,
    /// Where it listens for the fleet.
    pub address: SocketAddr,
    pub incarnation: Incarnation,
    /// Counts how often this start was taken for dead and came back.
    pub life: u16,
    /// Of the name, and never told: the membership's library compares it with every member's for each word that it hears.
    /// Two names of a full fleet share one once in 10^13 fleets.
    #[serde(skip)]
    key: u64,
}

/// What is told of a [`Me`].
#[derive(Deserialize)]
struct Told {
    name: Name,
    zone: Zone,
    address: SocketAddr,
    incarnation: Incarnation,
    life: u16,
}

impl From<Told> for Me {
    fn from(told: Told) -> Me {
        Me { life: told.life, ..Me::new(told.name, told.zone, told.address, told.incarnation) }
    }
}

impl Me {
    /// A start, in its first life.
    pub fn new(name: Name, zone: Zone, address: SocketAddr, incarnation: Incarnation) -> Me {
        let mut hasher = DefaultHasher::new();
        name.hash(&mut hasher);
        Me { name, zone, address, incarnation, life: 0, key: hasher.finish() }
    }
}

impl Identity for Me {
    type Addr = u64;

    fn renew(&self) -> Option<Me> {
        Some(Me { life: self.life.checked_add(1)?, ..self.clone() })
    }

    fn addr(&self) -> u64 {
        self.key
    }

    fn win_addr_conflict(&self, other: &Me) -> bool {
        (self.incarnation, self.life) > (other.incarnation, other.life)
    }
}

/// A voter's place in the agreement: it is drawn with its folder, so that a lost folder is a new voter.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Seat {
    /// Names this folder, never 0.
    pub id: u64,
    /// The group it belongs to; 0 before it belongs to any.
    pub group: u64,
}

/// What a server is doing, by its own word.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum Phase {
    /// Started into a running fleet, with caches and code still cold.
    #[default]
    Cold,
    Serving,
    /// Told to leave; it drains.
    Leaving,
}

/// A server's load as its decision module sees it. Small, sent each [`DIGEST_PERIOD`] to the voters alone: what it costs
/// a member does not grow with the fleet.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Digest {
    pub phase: Phase,
    /// The share of usual traffic that it asks for, 0 to 1.
    pub share: f32,
    /// Time that requests are held, over what the module aims at; 1 is at the aim.
    pub over_aim: f32,
    /// The module's running limit: runs at once that it holds to be good.
    pub limit: f32,
    /// Runs in hand, in the mean since the digest before.
    pub running: f32,
    pub cores: f32,
    /// What its health answers say.
    pub healthy: bool,
}

impl Digest {
    /// Whether each figure is one that a module can have; what is not is no evidence of anything.
    pub fn is_sound(&self) -> bool {
        let figures = [self.share, self.over_aim, self.limit, self.running, self.cores];
        figures.iter().all(|f| f.is_finite() && *f >= 0.0) && self.share <= 1.0
    }

    /// Runs at once that it carries: those in hand, times how far the hold time is over its aim where it is.
    pub fn carries(&self) -> f64 {
        f64::from(self.running) * f64::from(self.over_aim).max(1.0)
    }

    /// Runs at once that it bears: its running limit times the share that it asks for.
    pub fn bears(&self) -> f64 {
        f64::from(self.limit) * f64::from(self.share)
    }
}

/// What the leader sees of a member; its own row among them.
#[derive(Clone, Debug, PartialEq)]
pub struct Seen {
    pub zone: Zone,
    /// By the membership and its own word, tickets aside.
    pub standing: Standing,
    pub incarnation: u64,
    /// None where the last one is too old to be evidence.
    pub digest: Option<Digest>,
}

impl Seen {
    /// Whether it takes its part of the load.
    pub fn serves(&self) -> bool {
        self.standing == Standing::Serving && self.digest.is_some()
    }
}

/// How often digests are sent, ms.
pub const DIGEST_PERIOD: Ms = 1_000;
/// An older digest is no evidence, ms: three were missed.
pub const DIGEST_OLD: Ms = 3_500;

/// How a member stands, put together from what the membership, its digest and the tickets say.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Standing {
    Cold,
    Serving,
    Leaving,
    /// Out for work, by a ticket.
    Out,
    Suspect,
    Down,
    /// Left by itself, in order.
    Gone,
}

impl Standing {
    pub fn word(self) -> &'static str {
        match self {
            Standing::Cold => "cold",
            Standing::Serving => "serving",
            Standing::Leaving => "leaving",
            Standing::Out => "out",
            Standing::Suspect => "suspect",
            Standing::Down => "down",
            Standing::Gone => "gone",
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn me(incarnation: Incarnation, life: u16) -> Me {
        Me { life, ..Me::new("a".into(), "z".into(), ([127, 0, 0, 1], 1).into(), incarnation) }
    }

    #[test]
    fn a_later_start_wins_over_any_life_of_the_former() {
        assert!(me(2, 0).win_addr_conflict(&me(1, 9)));
        assert!(!me(1, 9).win_addr_conflict(&me(2, 0)));
        assert!(!me(1, 1).win_addr_conflict(&me(1, 1)));
        let again = me(1, 1).renew().unwrap();
        assert!(again.win_addr_conflict(&me(1, 1)));
        assert_eq!(me(1, u16::MAX).renew(), None);
    }

    #[test]
    fn what_is_told_of_a_member_makes_the_same_member() {
        let told = postcard::to_stdvec(&me(3, 2)).unwrap();
        let heard: Me = postcard::from_bytes(&told).unwrap();
        assert_eq!((heard.addr(), heard), (me(3, 2).addr(), me(3, 2)));
        let other = Me::new("b".into(), "z".into(), me(3, 2).address, 3);
        assert_ne!(other.addr(), me(3, 2).addr());
    }

    #[test]
    fn figures_that_no_module_has_are_not_sound() {
        let good = Digest { share: 1.0, ..Digest::default() };
        assert!(good.is_sound());
        for bad in [f32::NAN, f32::INFINITY, -1.0] {
            assert!(!Digest { running: bad, ..good }.is_sound());
        }
        assert!(!Digest { share: 1.5, ..good }.is_sound());
    }
}
