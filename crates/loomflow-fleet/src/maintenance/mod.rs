//! The schedule by which machines are taken out for maintenance, as one state machine applied from the log: the same entries
//! give the same state on every voter.
//!
//! - [`ticket`]: stages and transitions, and the table of what is legal.
//! - [`rules`]: how many may be out, as the operators set it.
//! - [`state`]: the state machine: applies entries, enforces its bounds, and acts when deadlines pass.
//! - [`headroom`]: whether those who stay can carry the fleet's load, judged from their load reports.
//! - [`scheduling`]: which server is next, and why each of the others waits. Used by the leader alone; its decisions go
//!   into the log.
//! - [`campaign`]: many tickets in batches, and when a campaign halts.
//! - [`observation`]: the transitions that follow from what the leader sees of members: down, back, ready.
//!
//! Many fields and variants have another name in JSON, which operators' tools read: `#[serde(rename)]` keeps that name. The
//! log and snapshots are postcard, which holds no names.

pub mod campaign;
pub mod headroom;
pub mod observation;
pub mod rules;
pub mod scheduling;
pub mod state;
pub mod ticket;

use serde::{Deserialize, Serialize};

use crate::member::{ServerName, Zone};

/// Whom the leader saw when it decided: what a grant rests on beside the tickets.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Census {
    /// How many members there are, by zone, missing ones included.
    pub zones: Vec<(Zone, u32)>,
    /// Those that count as out whatever their tickets: down, suspect, cold, draining, left, or with no recent load report.
    pub away: Vec<(ServerName, Zone)>,
}
