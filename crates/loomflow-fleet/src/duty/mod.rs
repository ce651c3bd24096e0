//! Duties: fleet-wide work that one server at a time owns, fenced against the effects of former owners.
//!
//! - [`state`]: the replicated state machine: sessions, leases, checkpoints, runs and parked duties.
//! - [`client_session`]: a member's view of its session and of the duties that it owns, on its own clock.
//! - [`fence`]: the check by which a receiver of effects rejects stale tokens.
//! - [`assign`]: owners for duties, chosen by `load`, and duties to move, chosen by `recall`. Only the leader runs it; its
//!   decisions are committed to the log.
//! - `attempts`: parks a duty after repeated failures.
//! - [`job`]: the operators' jobs: when a run begins, and what is recorded about it.
//! - [`supervisor`]: when the process of a run has to end.
//! - [`workers`]: which processes may still be doing the work of a duty.
//! - [`schedule`]: when a scheduled duty is due, and how missed runs are handled.
//! - [`summary`]: the duty that aggregates the load of the fleet.
//!
//! A server has a **session** while it renews it. A **lease** records in the state which server owns a duty and its fencing
//! token; it lasts as long as its owner's session. [`Ownership`] is what a server receives: its session, and an
//! [`OwnedDuty`] for each of its leases.
//!
//! While clocks drift within [`MAX_CLOCK_DRIFT`] the leases of two owners of a duty do not overlap. This only
//! avoids useless work: what keeps the effects of a former owner out is the fencing token and the receiver's
//! fence.
//!
//! Many fields and variants have another name in JSON, which operators' tools read: `#[serde(rename)]` keeps that name. The
//! log and snapshots are postcard, which holds no names.

pub mod assign;
mod attempts;
pub mod client_session;
pub mod fence;
pub mod job;
pub mod load;
mod recall;
pub mod schedule;
pub mod state;
pub mod summary;
pub mod supervisor;
pub mod workers;

use serde::{Deserialize, Serialize};

use crate::member::{Incarnation, MAX_NAME_BYTES, ServerName};
use crate::time::{FleetMillis, IntegerMillis, scaled, scaled_up};

/// The name of a duty: 1 to 64 bytes.
pub type DutyName = String;
/// A fencing token. Every assignment of any duty gets a higher one, across leaders, restarts and snapshots.
pub type Token = u64;
/// The number of a session. Every new session of any server gets a higher one.
pub type SessionId = u64;
/// The number of a run: the Unix time at which it was due, s.
pub type RunId = u64;

/// Maximum number of duties that the settings may declare.
pub const MAX_DUTIES: usize = 2_048;
/// Maximum length of a checkpoint, bytes.
pub const MAX_CHECKPOINT_BYTES: usize = 1_024;
/// Maximum length of a stored reason, bytes. A ticket with a longer one is rejected; elsewhere it is truncated.
pub const MAX_REASON_BYTES: usize = 256;
/// Maximum fraction by which the rates of two machines' boot-time clocks may differ. Beyond it two servers may act as the
/// owner of a duty; the fence then still admits only the one with the higher token.
pub const MAX_CLOCK_DRIFT: f64 = 0.01;

/// One incarnation of a server, which owns duties independently of the others.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct ServerInstance {
    /// The server's name.
    pub name: ServerName,
    /// The server's incarnation.
    pub incarnation: Incarnation,
}

/// Settings of the operators that apply to all duties.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct LeaseSettings {
    /// The time until a session without a renewal expires, ms.
    #[serde(rename = "lease")]
    pub lease_millis: IntegerMillis,
    /// A duty is parked after this many lost owners or failed runs without a successful run between them.
    #[serde(rename = "attempts")]
    pub max_attempts: u32,
}

impl Default for LeaseSettings {
    fn default() -> LeaseSettings {
        LeaseSettings { lease_millis: 10_000, max_attempts: 5 }
    }
}

impl LeaseSettings {
    /// How long the owner relies on its session, counted from before it sent the renewal, ms: the lease less
    /// [`MAX_CLOCK_DRIFT`].
    pub fn owner_duration(&self) -> IntegerMillis {
        scaled(self.lease_millis, 1.0 - MAX_CLOCK_DRIFT)
    }

    /// How long the state machine waits after it applied a renewal until the session expires, ms: the lease plus
    /// [`MAX_CLOCK_DRIFT`].
    pub fn waiting_duration(&self) -> IntegerMillis {
        scaled_up(self.lease_millis, 1.0 + MAX_CLOCK_DRIFT)
    }
}

/// The declaration of a duty, from the operators' settings or built in.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DutySpec {
    /// The duty's name, unique in the fleet.
    pub name: DutyName,
    /// Load of the duty relative to others, by which owners are balanced; 1 by default.
    pub weight: u32,
    /// Due times of the duty's runs; `None` for a duty that its owner performs continuously or that runs on
    /// demand.
    pub schedule: Option<schedule::Schedule>,
}

impl DutySpec {
    /// A duty of weight 1 without a schedule.
    pub fn plain(name: &str) -> DutySpec {
        DutySpec { name: name.to_owned(), weight: 1, schedule: None }
    }
}

/// An owner's write to the fleet's state. It carries the owner's token, and the state is fenced like any other receiver.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum OwnerUpdate {
    /// Progress for the next owner: at most [`MAX_CHECKPOINT_BYTES`].
    Checkpoint(Vec<u8>),
    /// A run begins. Rejected if the run began before, unless this retries a run that did not end.
    Began(RunId),
    /// The owner's current run succeeded.
    Done(RunId),
    /// The owner's current run failed, for this reason.
    Failed(RunId, String),
}

/// A command of the replicated log that concerns duties.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum DutyCommand {
    /// From the leader: the complete list of duties in its settings.
    Declare(LeaseSettings, Vec<DutySpec>),
    /// Opens or renews the sessions of servers. A renewal extends all leases of the server.
    KeepAlive(Vec<ServerInstance>),
    /// A server shuts down and has finished its work: its session ends, and its duties are released.
    End(ServerInstance),
    /// From the leader: owners for available duties.
    Assign(Vec<(DutyName, ServerName)>),
    /// From the leader or an operator: requires the owner to release the duty.
    Recall(DutyName),
    /// From the owner: releases the duty.
    Release {
        /// Name of the duty.
        duty: DutyName,
        /// The owner's fencing token.
        token: Token,
        /// The server that the duty is assigned to at once; set by the leader.
        #[serde(rename = "to")]
        successor: Option<ServerName>,
    },
    /// From the owner: updates the duty's stored state.
    Write {
        /// Name of the duty.
        duty: DutyName,
        /// The owner's fencing token.
        token: Token,
        /// The checkpoint, or the beginning or end of a run.
        #[serde(rename = "note")]
        update: OwnerUpdate,
    },
    /// From an operator: the duty is not assigned until it is resumed, for this reason.
    Park(DutyName, String),
    /// From an operator: the duty may be assigned again.
    Resume(DutyName),
    /// From an operator: the owner runs the duty once, as soon as possible. The number identifies the request, so that one
    /// that is sent twice causes one run.
    Run(DutyName, u64),
}

/// The response to a [`DutyCommand`], or to a request for the list of duties.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum DutyResponse {
    /// The command was applied.
    Done,
    /// To [`DutyCommand::KeepAlive`]: the server's session and its duties.
    #[serde(rename = "Kept")]
    Ownership(Ownership),
    /// The command was rejected.
    #[serde(rename = "Refused")]
    Rejected(DutyRejection),
    /// To a request for the list of duties.
    List(Box<DutyList>),
}

/// A server's session and the duties that it owns.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Ownership {
    /// Number of the session; 0 for a server without one.
    pub session: SessionId,
    /// The lease settings in force.
    #[serde(rename = "terms")]
    pub lease_settings: LeaseSettings,
    /// The duties that the server owns.
    #[serde(rename = "held")]
    pub duties: Vec<OwnedDuty>,
}

/// A duty, as it is sent to its owner.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct OwnedDuty {
    /// Name of the duty.
    pub duty: DutyName,
    /// The owner's fencing token.
    pub token: Token,
    /// Whether the owner has to release the duty.
    #[serde(rename = "recalled")]
    pub is_recalled: bool,
    /// The last checkpoint, by this owner or a former one; empty before the first.
    pub checkpoint: Vec<u8>,
    /// The last run that began; 0 before the first.
    pub last_run: RunId,
    /// Whether `last_run` has not ended.
    #[serde(rename = "unended")]
    pub has_unfinished_run: bool,
    /// Whether an operator requested a run that has not begun.
    #[serde(rename = "wanted")]
    pub is_run_requested: bool,
    /// Due times of the duty's runs; `None` for a duty without a schedule.
    pub schedule: Option<schedule::Schedule>,
}

/// Why a command that concerns a duty is rejected. It has no effect, except that a stale token
/// is counted and recorded as an event.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, thiserror::Error)]
pub enum DutyRejection {
    /// No duty has this name.
    #[error("no duty is called {0:?}")]
    Unknown(DutyName),
    /// The token is not that of the current lease: the sender does not own the duty.
    #[error("{duty}: token {token} is stale, the highest token assigned is {current}")]
    Stale {
        /// Name of the duty.
        duty: DutyName,
        /// The token that the command carries.
        token: Token,
        /// The highest token ever assigned for the duty.
        #[serde(rename = "counts")]
        current: Token,
    },
    /// The session of an earlier incarnation of the server expires only after this many ms; 0 if there is none, and the
    /// sessions are at their limit.
    #[error("an earlier incarnation of this server may own duties for another {0} ms")]
    #[serde(rename = "FormerSelf")]
    EarlierIncarnation(IntegerMillis),
    /// The run cannot begin, because it or a later one has begun, or cannot end, because it is not the owner's current run.
    #[error("{duty}: the run is over or not its owner's, the last run that began is {run}")]
    Begun {
        /// Name of the duty.
        duty: DutyName,
        /// The last run that began.
        run: RunId,
    },
    /// The command exceeds a limit or names an invalid value, which the text describes.
    #[error("{0}")]
    #[serde(rename = "Bad")]
    Invalid(String),
}

/// The status of a duty, as operators see it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DutyStatus {
    /// Name of the duty.
    pub duty: DutyName,
    /// The server that owns the duty, if one does. Its incarnation is 0 if it has no session.
    pub owner: Option<ServerInstance>,
    /// The highest token ever assigned for the duty.
    pub token: Token,
    /// When the current lease began, or when the last one ended.
    pub since: FleetMillis,
    /// Whether the owner has to release the duty.
    #[serde(rename = "recalled")]
    pub is_recalled: bool,
    /// The reason for which the duty is parked; `None` while it is not.
    pub parked: Option<String>,
    /// Reasons of the lost owners and failed runs that count towards [`LeaseSettings::max_attempts`], the oldest first.
    #[serde(rename = "strikes")]
    pub recent_failures: Vec<String>,
    /// The last run that began; 0 before the first.
    pub last_run: RunId,
    /// Whether `last_run` has not ended.
    #[serde(rename = "unended")]
    pub has_unfinished_run: bool,
    /// Whether an operator requested a run that has not begun.
    #[serde(rename = "wanted")]
    pub is_run_requested: bool,
    /// Number of commands that were rejected for a stale token.
    #[serde(rename = "refused")]
    pub rejected_writes: u64,
}

/// All duties, with the sessions of their owners and the recent events.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct DutyList {
    /// All duties, ordered by name.
    pub duties: Vec<DutyStatus>,
    /// The servers that have a session.
    pub sessions: Vec<ServerName>,
    /// The lease settings in force.
    #[serde(rename = "terms")]
    pub lease_settings: LeaseSettings,
    /// The fleet's time at the last log entry, ms.
    pub time: FleetMillis,
    /// The last [`state::MAX_EVENTS`] events, the oldest first.
    pub events: Vec<DutyEvent>,
}

/// The kind of an event in the history of a duty.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum DutyEventKind {
    /// The duty was assigned to an owner.
    Taken,
    /// The owner released the duty or ended its session.
    Released,
    /// The owner's session expired.
    Lost,
    /// A run began.
    Began,
    /// A run succeeded.
    Done,
    /// A run failed.
    Failed,
    /// The duty was parked.
    Parked,
    /// The duty may be assigned again.
    Resumed,
    /// A command was rejected for a stale token.
    #[serde(rename = "Refused")]
    Rejected,
}

impl DutyEventKind {
    /// The name of the kind in the operators' output.
    pub fn as_str(self) -> &'static str {
        match self {
            DutyEventKind::Taken => "taken",
            DutyEventKind::Released => "released",
            DutyEventKind::Lost => "lost",
            DutyEventKind::Began => "began",
            DutyEventKind::Done => "done",
            DutyEventKind::Failed => "failed",
            DutyEventKind::Parked => "parked",
            DutyEventKind::Resumed => "resumed",
            DutyEventKind::Rejected => "refused",
        }
    }
}

/// One event in the history of a duty.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DutyEvent {
    /// Time of the event.
    pub at: FleetMillis,
    /// Name of the duty.
    pub duty: DutyName,
    /// The highest token assigned for the duty at that time.
    pub token: Token,
    /// The owner at that time; empty if there was none.
    pub owner: ServerName,
    /// The kind of the event.
    #[serde(rename = "what")]
    pub kind: DutyEventKind,
    /// The reason, the run or the rejected token, depending on the kind; may be empty.
    pub detail: String,
}

/// Checks the length and the characters of a duty's name.
///
/// # Errors
/// [`DutyRejection::Invalid`] with the rule that the name breaks.
pub fn check_name(name: &str) -> Result<(), DutyRejection> {
    if (1..=MAX_NAME_BYTES).contains(&name.len()) && !name.contains(char::is_control) {
        Ok(())
    } else {
        Err(DutyRejection::Invalid(format!(
            "a duty name must have 1 to {MAX_NAME_BYTES} bytes and no control characters, this one has {} bytes",
            name.len()
        )))
    }
}

/// Truncates a reason to at most [`MAX_REASON_BYTES`], at a character boundary.
pub fn truncate_reason(reason: &str) -> String {
    let mut end = reason.len().min(MAX_REASON_BYTES);
    while !reason.is_char_boundary(end) {
        end -= 1;
    }
    reason[..end].to_owned()
}
