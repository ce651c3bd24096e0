//! Scheduling of planned maintenance: which servers may be out of service, and when. The state machine is replicated: every
//! voter applies the same log entries and reaches the same state.
//!
//! - [`ticket`]: the stages of a ticket and the table of legal transitions.
//! - [`rules`]: the operators' limits on how many servers may be out of service at once.
//! - [`state`]: the state machine: applies entries, enforces the limits, and acts on deadlines that have passed.
//! - [`headroom`]: whether the remaining servers can carry the fleet's load, estimated from load reports.
//! - [`scheduling`]: which server is granted next, and why each of the others waits. Runs on the leader alone; its
//!   decisions are written to the log.
//! - [`campaign`]: rollouts of many tickets in batches, and the conditions that halt them.
//! - [`observation`]: the transitions that the leader derives from the state of members: down, returned, ready.
//!
//! Many fields and variants have a different name in JSON, which operators' tools read: `#[serde(rename)]` keeps that name.
//! The log and snapshots are encoded with postcard, which stores no names.

pub mod campaign;
pub mod headroom;
pub mod observation;
pub mod rules;
pub mod scheduling;
pub mod state;
pub mod ticket;

use serde::{Deserialize, Serialize};

use crate::member::{ServerName, Zone};

/// The fleet's members and the unavailable ones among them, as the leader saw them when it decided on a grant. Recorded with
/// the grant, so that every voter checks the limits against the same figures.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct FleetAvailability {
    /// Number of members in each zone, including unavailable ones.
    #[serde(rename = "zones")]
    pub zone_sizes: Vec<(Zone, u32)>,
    /// Members that count as out even without a ticket: down, suspect, cold, draining, left, or without a recent load
    /// report.
    #[serde(rename = "away")]
    pub unavailable: Vec<(ServerName, Zone)>,
}
