//! Who a server is, and what it reports of its load. Plain data.

use std::hash::{DefaultHasher, Hash, Hasher};
use std::net::SocketAddr;

use foca::Identity;
use serde::{Deserialize, Serialize};

use crate::time::IntegerMillis;

/// The name of a server, as in its configuration. At most [`MAX_NAME_BYTES`] bytes.
pub type ServerName = String;

/// The name of a zone; empty where the fleet has none.
pub type Zone = String;

/// Maximum length of the name of a server, a zone or a fleet, bytes: a member's own data fits into a packet many times.
pub const MAX_NAME_BYTES: usize = 64;

/// One start of a server. Rises with every start, so that a restart is never taken for the process before it.
pub type Incarnation = u64;

/// Identifies one request for good: a retry carries the same.
pub type FleetRequestId = u128;

/// What the members know each other by. To the membership a name is an address: of two members with the same name the later
/// start wins, and of one start the one that was renewed more often.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "IdentityFields")]
pub struct MemberIdentity {
    /// The server's name.
    pub name: ServerName,
    /// Its zone.
    pub zone: Zone,
    /// Where it listens for the fleet.
    pub address: SocketAddr,
    /// Which start of the server this is.
    pub incarnation: Incarnation,
    /// How often this start was declared dead and came back.
    pub renewals: u16,
    /// Hash of the name, never sent: the membership library compares it with every member's for each update that it receives.
    /// Two names of a full fleet share one once in 10^13 fleets.
    #[serde(skip)]
    name_hash: u64,
}

/// The fields of a [`MemberIdentity`] that are sent.
#[derive(Deserialize)]
struct IdentityFields {
    name: ServerName,
    zone: Zone,
    address: SocketAddr,
    incarnation: Incarnation,
    renewals: u16,
}

impl From<IdentityFields> for MemberIdentity {
    fn from(fields: IdentityFields) -> MemberIdentity {
        let IdentityFields { name, zone, address, incarnation, renewals } = fields;
        MemberIdentity { renewals, ..MemberIdentity::new(name, zone, address, incarnation) }
    }
}

impl MemberIdentity {
    /// A start that was never renewed.
    pub fn new(
        name: ServerName,
        zone: Zone,
        address: SocketAddr,
        incarnation: Incarnation,
    ) -> MemberIdentity {
        let mut hasher = DefaultHasher::new();
        name.hash(&mut hasher);
        MemberIdentity { name, zone, address, incarnation, renewals: 0, name_hash: hasher.finish() }
    }
}

impl Identity for MemberIdentity {
    type Addr = u64;

    fn renew(&self) -> Option<MemberIdentity> {
        Some(MemberIdentity { renewals: self.renewals.checked_add(1)?, ..self.clone() })
    }

    fn addr(&self) -> u64 {
        self.name_hash
    }

    fn win_addr_conflict(&self, other: &MemberIdentity) -> bool {
        (self.incarnation, self.renewals) > (other.incarnation, other.renewals)
    }
}

/// A voter's replica of the log. Its id is drawn with its data directory, so that a lost directory is a new replica.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Replica {
    /// Identifies the data directory, never 0.
    pub id: u64,
    /// The Raft group that it belongs to; 0 before it belongs to any.
    pub group: u64,
}

/// What a server is doing, as it reports itself.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum Phase {
    /// Started into a running fleet, with caches and code still cold.
    #[default]
    Cold,
    /// Taking its part of the load.
    Serving,
    /// It drains before it shuts down.
    #[serde(rename = "Leaving")]
    Draining,
}

/// A server's load as its controller sees it. Small, sent each [`REPORT_PERIOD_MILLIS`] to the voters alone: what it
/// costs a member does not grow with the fleet.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct LoadReport {
    /// What the server is doing.
    pub phase: Phase,
    /// The share of usual traffic that it requests, 0 to 1.
    pub share: f32,
    /// Queueing time of requests, divided by the controller's setpoint.
    #[serde(rename = "over_aim")]
    pub hold_time_ratio: f32,
    /// The controller's concurrency limit: concurrent runs that it considers sustainable.
    pub limit: f32,
    /// Concurrent runs, in the mean since the report before.
    pub running: f32,
    /// Cores of the server.
    pub cores: f32,
    /// What its health checks answer.
    pub healthy: bool,
}

impl LoadReport {
    /// Whether each figure is one that a controller can produce; a report that is not valid is ignored.
    pub fn is_valid(&self) -> bool {
        let figures = [self.share, self.hold_time_ratio, self.limit, self.running, self.cores];
        figures.iter().all(|figure| figure.is_finite() && *figure >= 0.0) && self.share <= 1.0
    }

    /// The load that the server carries, in concurrent runs: those running, times the ratio of queueing time to
    /// setpoint where that is above 1.
    pub fn carried_load(&self) -> f64 {
        f64::from(self.running) * f64::from(self.hold_time_ratio).max(1.0)
    }

    /// The load that the server can carry, in concurrent runs: its concurrency limit times the share that it requests.
    pub fn capacity(&self) -> f64 {
        f64::from(self.limit) * f64::from(self.share)
    }
}

/// A load report with the time at which it was received.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ReceivedReport {
    /// When, by the clock of the receiver.
    pub at: IntegerMillis,
    /// The report.
    pub report: LoadReport,
}

/// What the leader knows of a member, itself included.
#[derive(Clone, Debug, PartialEq)]
pub struct MemberView {
    /// The member's zone.
    pub zone: Zone,
    /// By the membership and its own report; tickets are not considered.
    pub state: MemberState,
    /// Its last known start.
    pub incarnation: Incarnation,
    /// None where the last one is outdated.
    pub load_report: Option<LoadReport>,
}

impl MemberView {
    /// Whether it takes its part of the load.
    pub fn is_serving(&self) -> bool {
        self.state == MemberState::Serving && self.load_report.is_some()
    }

    /// Whether the membership does not count it as down or left.
    pub fn is_alive(&self) -> bool {
        !matches!(self.state, MemberState::Down | MemberState::Left)
    }
}

/// How often load reports are sent, ms.
pub const REPORT_PERIOD_MILLIS: IntegerMillis = 1_000;
/// An older report is not relied on, ms: three were missed.
pub const REPORT_MAX_AGE_MILLIS: IntegerMillis = 3_500;

/// Whether a load report that came at `received_at` is still relied on.
pub fn is_report_recent(received_at: IntegerMillis, now: IntegerMillis) -> bool {
    now.saturating_sub(received_at) <= REPORT_MAX_AGE_MILLIS
}

/// The state of a member, derived from the membership, its report and the tickets.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum MemberState {
    /// Started, and not yet serving.
    Cold,
    /// Takes its part of the load.
    Serving,
    /// Shuts down, and answers what it still has.
    #[serde(rename = "Leaving")]
    Draining,
    /// Out for maintenance, by a ticket.
    Out,
    /// Did not answer a probe, and has not been declared dead.
    Suspect,
    /// Declared dead.
    Down,
    /// Shut down by itself, in order.
    #[serde(rename = "Gone")]
    Left,
}

impl MemberState {
    /// Its name as operators see it.
    pub fn as_str(self) -> &'static str {
        match self {
            MemberState::Cold => "cold",
            MemberState::Serving => "serving",
            MemberState::Draining => "leaving",
            MemberState::Out => "out",
            MemberState::Suspect => "suspect",
            MemberState::Down => "down",
            MemberState::Left => "gone",
        }
    }
}

#[cfg(test)]
mod tests;
