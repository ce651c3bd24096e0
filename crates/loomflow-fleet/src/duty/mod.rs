//! Duties: work on behalf of the fleet that exactly one server does at a time, and that a former owner cannot disturb.
//!
//! - [`state`]: the state machine applied from the log: sessions, leases, what owners have written, what is parked.
//! - [`client_session`]: what one member knows of its own session and the duties that it owns, by its own clock.
//! - [`fence`]: the receiver's check, which rejects what comes from a former owner.
//! - [`assign`]: who should own what, by `load`, and what its owner is to release, by `recall`. Only the leader decides; its
//!   decisions go into the log.
//! - `attempts`: when a duty that fails again and again is parked.
//! - [`job`]: the operators' jobs: when a run begins, and what is written about it.
//! - [`supervisor`]: when the process of a run has to end.
//! - [`schedule`]: when a duty with a schedule is due, and what happens to missed runs.
//! - [`summary`]: the duty that sums the fleet up.
//!
//! A server has a **session** while it renews it. A **lease** records in the state which server owns a duty and by which
//! fencing token; it lasts as long as its owner's session. [`Ownership`] is what an owner is told: its session, and for each of
//! its leases an [`OwnedDuty`].
//!
//! Time separates two owners while clocks behave, and only to spare them useless work: what protects the fleet's effects is
//! the fencing token and the receiver's fence.
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

use serde::{Deserialize, Serialize};

use crate::member::{Incarnation, MAX_NAME_BYTES, ServerName};
use crate::time::{FleetMillis, IntegerMillis, scaled, scaled_up};

/// The name of a duty: 1 to 64 bytes.
pub type DutyName = String;
/// A fencing token. Rises with every owner of any duty, across leaders, restarts and snapshots.
pub type Token = u64;
/// Rises with every session of any server.
pub type SessionId = u64;
/// Numbers a run: the Unix time at which it was due, s.
pub type RunId = u64;

/// Maximum number of duties.
pub const MAX_DUTIES: usize = 2_048;
/// What an owner may write for the next one, bytes.
pub const MAX_CHECKPOINT_BYTES: usize = 1_024;
/// Maximum length of a reason that is stored, bytes: of a ticket a longer one is rejected, elsewhere it is truncated.
pub const MAX_REASON_BYTES: usize = 256;
/// The rates of two machines' boot-time clocks differ by at most this fraction. Beyond it two may believe that they own a
/// duty; the fence then still lets only the later one through.
pub const MAX_CLOCK_DRIFT: f64 = 0.01;

/// One start of a server, as an owner of duties.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct ServerInstance {
    /// The server.
    pub name: ServerName,
    /// Which start of it.
    pub incarnation: Incarnation,
}

/// The operators' settings for all duties.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct LeaseSettings {
    /// The time until a session without a renewal expires, ms.
    #[serde(rename = "lease")]
    pub lease_millis: IntegerMillis,
    /// A duty that was lost or failed this many times in a row, with nothing done between, is parked.
    #[serde(rename = "attempts")]
    pub max_attempts: u32,
}

impl Default for LeaseSettings {
    fn default() -> LeaseSettings {
        LeaseSettings { lease_millis: 10_000, max_attempts: 5 }
    }
}

impl LeaseSettings {
    /// How long the owner relies on its session, from before the renewal was sent, ms: the lease less the bound on drift.
    pub fn owner_duration(&self) -> IntegerMillis {
        scaled(self.lease_millis, 1.0 - MAX_CLOCK_DRIFT)
    }

    /// How long the others wait, from when the session was committed, ms: the lease plus that bound.
    pub fn waiting_duration(&self) -> IntegerMillis {
        scaled_up(self.lease_millis, 1.0 + MAX_CLOCK_DRIFT)
    }
}

/// A duty as it is declared, by the operators' settings or built in.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DutySpec {
    /// Its name.
    pub name: DutyName,
    /// How heavy it is beside others; 1 is usual.
    pub weight: u32,
    /// When it is to be run; none for what its owner does all the time, or that is run on demand.
    pub schedule: Option<schedule::Schedule>,
}

impl DutySpec {
    /// A duty without a schedule, as heavy as usual.
    pub fn plain(name: &str) -> DutySpec {
        DutySpec { name: name.to_owned(), weight: 1, schedule: None }
    }
}

/// What an owner writes into the fleet's state, with its token: the state is fenced like any other receiver.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum OwnerUpdate {
    /// For the next owner.
    Checkpoint(Vec<u8>),
    /// A run begins. No run begins twice, except to retry one that did not end.
    Began(RunId),
    /// The run succeeded.
    Done(RunId),
    /// The run failed; with the reason.
    Failed(RunId, String),
}

/// A log entry on duties.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum DutyCommand {
    /// By the leader, from its settings: all duties there are.
    Declare(LeaseSettings, Vec<DutySpec>),
    /// Servers that renewed their sessions. One renewal extends all that a server owns.
    KeepAlive(Vec<ServerInstance>),
    /// A server shuts down, and owns nothing that it has to finish.
    End(ServerInstance),
    /// By the leader: owners for duties without one.
    Assign(Vec<(DutyName, ServerName)>),
    /// By the leader or an operator: its owner is to release it.
    Recall(DutyName),
    /// By its owner: it is available again.
    Release {
        /// The duty.
        duty: DutyName,
        /// The owner's fencing token.
        token: Token,
        /// Who gets it at once, filled in by the leader.
        #[serde(rename = "to")]
        successor: Option<ServerName>,
    },
    /// By its owner: something to keep.
    Write {
        /// The duty.
        duty: DutyName,
        /// The owner's fencing token.
        token: Token,
        /// What to keep.
        #[serde(rename = "note")]
        update: OwnerUpdate,
    },
    /// By an operator: nobody is to own it until it is resumed; with the reason.
    Park(DutyName, String),
    /// By an operator: it may be owned again.
    Resume(DutyName),
    /// By an operator: its owner is to run it once, now. The number identifies the request: sent again it is the same run.
    Run(DutyName, u64),
}

/// The response to a [`DutyCommand`], or to a request for all duties.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum DutyResponse {
    /// Done.
    Done,
    /// To [`DutyCommand::KeepAlive`]: what the server owns.
    #[serde(rename = "Kept")]
    Ownership(Ownership),
    /// Not done, and nothing has changed.
    #[serde(rename = "Refused")]
    Rejected(DutyRejection),
    /// All duties.
    List(Box<DutyList>),
}

/// A server's session and the duties that it owns.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Ownership {
    /// The session; 0 where there is none.
    pub session: SessionId,
    /// The lease settings in force.
    #[serde(rename = "terms")]
    pub lease_settings: LeaseSettings,
    /// What is owned.
    #[serde(rename = "held")]
    pub duties: Vec<OwnedDuty>,
}

/// One duty that a server owns, as its owner is told of it.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct OwnedDuty {
    /// The duty.
    pub duty: DutyName,
    /// The owner's fencing token.
    pub token: Token,
    /// The owner is to release it.
    #[serde(rename = "recalled")]
    pub is_recalled: bool,
    /// What the last owner wrote.
    pub checkpoint: Vec<u8>,
    /// The last run that began; 0 before any did.
    pub last_run: RunId,
    /// Whether that run has not ended.
    #[serde(rename = "unended")]
    pub has_unfinished_run: bool,
    /// An operator requested a run that has not begun.
    #[serde(rename = "wanted")]
    pub is_run_requested: bool,
    /// When it is to be run.
    pub schedule: Option<schedule::Schedule>,
}

/// Why a command on a duty is not done. It changes nothing then.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, thiserror::Error)]
pub enum DutyRejection {
    /// No duty has this name.
    #[error("no duty is called {0:?}")]
    Unknown(DutyName),
    /// From a server that does not own the duty.
    #[error("{duty}: token {token} is of an old owner, {current} counts")]
    Stale {
        /// The duty.
        duty: DutyName,
        /// The token that the command carries.
        token: Token,
        /// The highest token of the duty.
        #[serde(rename = "counts")]
        current: Token,
    },
    /// An earlier start of this server may still own something, for this long, ms.
    #[error("an earlier start of this server may own something for {0} ms more")]
    #[serde(rename = "FormerSelf")]
    EarlierIncarnation(IntegerMillis),
    /// This run has begun already, or is over.
    #[error("{duty}: run {run} has begun already")]
    Begun {
        /// The duty.
        duty: DutyName,
        /// The last run that began.
        run: RunId,
    },
    /// The command makes no sense, in words.
    #[error("{0}")]
    #[serde(rename = "Bad")]
    Invalid(String),
}

/// A duty with all that is known of it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DutyStatus {
    /// The duty.
    pub duty: DutyName,
    /// Its owner.
    pub owner: Option<ServerInstance>,
    /// The highest token ever assigned for it.
    pub token: Token,
    /// Since when it is owned, or available.
    pub since: FleetMillis,
    /// Its owner is to release it.
    #[serde(rename = "recalled")]
    pub is_recalled: bool,
    /// Why nobody is to own it; none where somebody may.
    pub parked: Option<String>,
    /// Owners lost or runs failed in a row, with their reasons.
    #[serde(rename = "strikes")]
    pub recent_failures: Vec<String>,
    /// The last run that began; 0 before any did.
    pub last_run: RunId,
    /// Whether that run has not ended.
    #[serde(rename = "unended")]
    pub has_unfinished_run: bool,
    /// An operator requested a run that has not begun.
    #[serde(rename = "wanted")]
    pub is_run_requested: bool,
    /// Writes that were rejected for a stale token.
    #[serde(rename = "refused")]
    pub rejected_writes: u64,
}

/// All duties and their history.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct DutyList {
    /// All duties, by name.
    pub duties: Vec<DutyStatus>,
    /// Servers with a session.
    pub sessions: Vec<ServerName>,
    /// The lease settings in force.
    #[serde(rename = "terms")]
    pub lease_settings: LeaseSettings,
    /// The fleet's time.
    pub time: FleetMillis,
    /// The last events, the oldest first.
    pub events: Vec<DutyEvent>,
}

/// What happened to a duty.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum DutyEventKind {
    /// It has an owner.
    Taken,
    /// Its owner released it.
    Released,
    /// Its owner's session expired.
    Lost,
    /// A run began.
    Began,
    /// A run succeeded.
    Done,
    /// A run failed.
    Failed,
    /// Nobody is to own it.
    Parked,
    /// It may be owned again.
    Resumed,
    /// A write with a stale token.
    #[serde(rename = "Refused")]
    Rejected,
}

impl DutyEventKind {
    /// Its name as operators see it.
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
    /// When.
    pub at: FleetMillis,
    /// Which duty.
    pub duty: DutyName,
    /// The highest token at that time.
    pub token: Token,
    /// Its owner; empty where there was none.
    pub owner: ServerName,
    /// What happened.
    #[serde(rename = "what")]
    pub kind: DutyEventKind,
    /// A reason, a run, or the token that was rejected.
    pub detail: String,
}

/// Checks a duty's name.
///
/// # Errors
/// What is wrong with it.
pub fn check_name(name: &str) -> Result<(), DutyRejection> {
    if (1..=MAX_NAME_BYTES).contains(&name.len()) && !name.contains(char::is_control) {
        Ok(())
    } else {
        Err(DutyRejection::Invalid(format!(
            "a duty's name has 1 to {MAX_NAME_BYTES} bytes, none of them a control"
        )))
    }
}

/// A reason, as far as it is stored: [`MAX_REASON_BYTES`].
pub fn truncate_reason(reason: &str) -> String {
    let mut end = reason.len().min(MAX_REASON_BYTES);
    while !reason.is_char_boundary(end) {
        end -= 1;
    }
    reason[..end].to_owned()
}
