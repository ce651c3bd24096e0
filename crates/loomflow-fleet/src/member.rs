//! The identity of a server, its state and its load report.

use std::hash::{DefaultHasher, Hash, Hasher};
use std::net::SocketAddr;

use foca::Identity;
use serde::{Deserialize, Serialize};

use crate::time::IntegerMillis;

/// The name of a server, as configured. At most [`MAX_NAME_BYTES`] bytes.
pub type ServerName = String;

/// The name of a zone; empty where the fleet has none.
pub type Zone = String;

/// Maximum length of the name of a server, a zone or a fleet, bytes. It is small enough for a packet to hold
/// many members.
pub const MAX_NAME_BYTES: usize = 64;

/// Identifies one process of a server. Rises with every start of the server, to distinguish a restarted
/// server from its previous process.
pub type Incarnation = u64;

/// Unique id of a request; a retry carries the same id.
pub type FleetRequestId = u128;

/// The identity of a member in the membership protocol, which uses the name as its address. Of two identities
/// with the same name, the one with the later incarnation wins; within one incarnation, the one with more
/// renewals.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "IdentityFields")]
pub struct MemberIdentity {
    /// The server's name.
    pub name: ServerName,
    /// The server's zone.
    pub zone: Zone,
    /// The address at which the server listens for other members.
    pub address: SocketAddr,
    /// The incarnation of the server that this identity belongs to.
    pub incarnation: Incarnation,
    /// How often this incarnation was declared down and rejoined.
    pub renewals: u16,
    /// Hash of the name, not sent. The membership library compares addresses with every member for each
    /// update that it receives, and hashes are cheaper to compare than names. The probability of a collision
    /// in a full fleet is 10^-13.
    #[serde(skip)]
    name_hash: u64,
}

/// The serialized fields of a [`MemberIdentity`].
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
    /// Creates the identity of an incarnation that was never declared down: `renewals` is 0.
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

/// A voter's replica of the log. Its id is chosen when the data directory is created: a server that loses its
/// directory returns as a new replica.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Replica {
    /// Id of the data directory; 0 stands for a directory without a replica.
    pub id: u64,
    /// Id of the Raft group; 0 before the replica belongs to one.
    pub group: u64,
}

/// The phase of a server's life, as it reports it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum Phase {
    /// Warming up after its start; caches and code are still cold.
    #[default]
    Cold,
    /// Serving its share of the traffic.
    Serving,
    /// Draining before it shuts down.
    #[serde(rename = "Leaving")]
    Draining,
}

/// A server's load as measured by its controller. It is small and sent every [`REPORT_PERIOD_MILLIS`] to the
/// voters only, so that its cost for a member does not grow with the fleet.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct LoadReport {
    /// The server's phase.
    pub phase: Phase,
    /// The send share: the part of its usual traffic that the server requests, 0 to 1.
    pub share: f32,
    /// Queueing time of requests, divided by the controller's setpoint.
    #[serde(rename = "over_aim")]
    pub hold_time_ratio: f32,
    /// The controller's concurrency limit, in concurrent runs.
    pub limit: f32,
    /// Mean number of concurrent runs since the previous report.
    pub running: f32,
    /// Number of cores of the server.
    pub cores: f32,
    /// Whether the server's health checks succeed.
    pub healthy: bool,
}

impl LoadReport {
    /// Whether all figures are finite and in range. Invalid reports are ignored.
    pub fn is_valid(&self) -> bool {
        let figures = [self.share, self.hold_time_ratio, self.limit, self.running, self.cores];
        figures.iter().all(|figure| figure.is_finite() && *figure >= 0.0) && self.share <= 1.0
    }

    /// The server's load, in concurrent runs: the running ones, multiplied by the ratio of queueing time to
    /// setpoint if that is above 1.
    pub fn carried_load(&self) -> f64 {
        f64::from(self.running) * f64::from(self.hold_time_ratio).max(1.0)
    }

    /// The server's capacity, in concurrent runs: its concurrency limit multiplied by its send share.
    pub fn capacity(&self) -> f64 {
        f64::from(self.limit) * f64::from(self.share)
    }
}

/// A load report and the time at which it was received.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ReceivedReport {
    /// Time of receipt, by the receiver's clock.
    pub at: IntegerMillis,
    /// The received report.
    pub report: LoadReport,
}

/// A member as the leader sees it; the leader has a view of itself too.
#[derive(Clone, Debug, PartialEq)]
pub struct MemberView {
    /// The member's zone.
    pub zone: Zone,
    /// The member's state by the membership and its load report. Tickets are not considered, so it is never
    /// `Out`.
    pub state: MemberState,
    /// The last known incarnation of the member.
    pub incarnation: Incarnation,
    /// The last load report; `None` if it is older than [`REPORT_MAX_AGE_MILLIS`].
    pub load_report: Option<LoadReport>,
}

impl MemberView {
    /// Whether the member serves traffic and has a recent load report.
    pub fn is_serving(&self) -> bool {
        self.state == MemberState::Serving && self.load_report.is_some()
    }

    /// Whether the member is neither down nor left.
    pub fn is_alive(&self) -> bool {
        !matches!(self.state, MemberState::Down | MemberState::Left)
    }
}

/// Interval between a member's load reports, ms.
pub const REPORT_PERIOD_MILLIS: IntegerMillis = 1_000;
/// Maximum age of a load report that is relied on, ms. An older one means that three reports were missed.
pub const REPORT_MAX_AGE_MILLIS: IntegerMillis = 3_500;

/// Whether a load report received at `received_at` is recent enough to be relied on.
pub fn is_report_recent(received_at: IntegerMillis, now: IntegerMillis) -> bool {
    now.saturating_sub(received_at) <= REPORT_MAX_AGE_MILLIS
}

/// The state of a member, derived from the membership, its report and the tickets.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum MemberState {
    /// Started and not yet serving, or without a load report.
    Cold,
    /// Serves its share of the traffic.
    Serving,
    /// Shuts down, and completes the requests that it has accepted.
    #[serde(rename = "Leaving")]
    Draining,
    /// Shut down for maintenance, with a ticket.
    Out,
    /// Did not respond to a probe, and has not been declared down.
    Suspect,
    /// Declared down by the membership.
    Down,
    /// Down after it reported that it was draining: an orderly shutdown.
    #[serde(rename = "Gone")]
    Left,
}

impl MemberState {
    /// The state's name in the output for operators.
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
