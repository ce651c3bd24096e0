//! Duties: work on behalf of the fleet that exactly one server does at a time, and that an old owner cannot spoil.
//!
//! - [`state`]: the machine applied from the log: sessions, leases, what owners have written down, what is parked.
//! - [`tenure`]: what one member knows of its own session and the duties that it owns, by its own clock.
//! - [`fence`]: what stands at every receiver, and refuses what comes from an owner that is no longer one.
//! - [`assign`]: who should own what. Only the leader asks; what it decides goes into the log.
//! - [`job`]: the operators' jobs: when a run begins, and when its process has to end.
//! - [`schedule`]: when a duty with a schedule is due, and what a missed time means.
//! - [`summary`]: the duty that sums the fleet up.
//!
//! Time keeps two owners apart while clocks behave, and only to spare them work in vain: what keeps the fleet's effects
//! whole is the token and the receiver's fence.

pub mod assign;
pub mod fence;
pub mod job;
pub mod schedule;
pub mod state;
pub mod summary;
pub mod tenure;

use serde::{Deserialize, Serialize};

use crate::member::{FleetMs, Incarnation, LONGEST_NAME, Name};

/// The name of a duty: 1 to 64 bytes.
pub type DutyName = String;
/// Rises with every owner of any duty, over leaders, restarts and snapshots.
pub type Token = u64;
/// Rises with every session of any server.
pub type SessionId = u64;

/// Duties that there may be.
pub const MOST_DUTIES: usize = 2_048;
/// What an owner may write down for the next one, bytes.
pub const LONGEST_CHECKPOINT: usize = 1_024;
/// A reason is kept as far as this, bytes.
pub const LONGEST_REASON: usize = 256;
/// The rates of two machines' boot-time clocks differ by at most this part. Beyond it two may believe that they own a duty;
/// the fence then still lets only the later one through.
pub const DRIFT: f64 = 0.01;

/// One start of a server, as an owner.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Holder {
    pub name: Name,
    pub incarnation: Incarnation,
}

/// What the operators set for all duties.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Terms {
    /// How long a session lasts without a word of its server, ms.
    pub lease: u64,
    /// A duty that was lost or failed so often in a row, with nothing done between, is parked.
    pub attempts: u32,
}

impl Default for Terms {
    fn default() -> Terms {
        Terms { lease: 10_000, attempts: 5 }
    }
}

impl Terms {
    /// How long the holder counts on its session, from before it asked, ms: less the bound on drift.
    pub fn holder_counts(&self) -> u64 {
        (self.lease as f64 * (1.0 - DRIFT)) as u64
    }

    /// How long the others wait, from when the session was written down, ms: plus that bound.
    pub fn others_wait(&self) -> u64 {
        (self.lease as f64 * (1.0 + DRIFT)).ceil() as u64
    }

    /// An owner that was lost before it held a duty for so long may have been brought down by it, ms.
    pub fn settled(&self) -> u64 {
        3 * self.lease
    }
}

/// A duty that there is, by the operators' settings or from the start.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Declared {
    pub name: DutyName,
    /// How heavy it is beside others; 1 is usual.
    pub weight: u32,
    /// When it is to be run; none for what its owner does all the time, or that is run on demand.
    pub schedule: Option<schedule::Schedule>,
}

impl Declared {
    /// One without a schedule, as heavy as usual.
    pub fn plain(name: &str) -> Declared {
        Declared { name: name.to_owned(), weight: 1, schedule: None }
    }
}

/// What an owner writes down, with its token: the fleet's record is a receiver like any other.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Note {
    /// For the next owner.
    Checkpoint(Vec<u8>),
    /// A run of the time with that number begins. No number begins twice, but for another try of one that did not end.
    Began(u64),
    Done(u64),
    Failed(u64, String),
}

/// One entry of the log on duties.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Command {
    /// By the leader, from its settings: all duties there are.
    Declare(Terms, Vec<Declared>),
    /// Servers that were heard from. All that a server owns is kept by the one word.
    KeepAlive(Vec<Holder>),
    /// A server goes, and has nothing left to do.
    End(Holder),
    /// By the leader: who gets what is free.
    Assign(Vec<(DutyName, Name)>),
    /// By the leader: its owner is to hand it over.
    Recall(DutyName),
    /// Its owner lets go of it. `to`: who gets it at once, filled in by the leader.
    Release {
        duty: DutyName,
        token: Token,
        to: Option<Name>,
    },
    Write {
        duty: DutyName,
        token: Token,
        note: Note,
    },
    /// By an operator: nobody is to own it until it is resumed.
    Park(DutyName, String),
    Resume(DutyName),
    /// By an operator: its owner is to run it once, now. The number is the request's: said again it is the same run.
    Run(DutyName, u64),
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Answer {
    Done,
    Kept(Kept),
    Refused(Refusal),
    List(Box<Listed>),
}

/// What a server owns, as the record has it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Kept {
    pub session: SessionId,
    pub terms: Terms,
    pub held: Vec<Grant>,
}

/// One duty of an owner.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Grant {
    pub duty: DutyName,
    pub token: Token,
    /// It is to hand it over.
    pub recalled: bool,
    /// What the last owner wrote down.
    pub checkpoint: Vec<u8>,
    /// The number of the last run that began, whether that has not ended, and whether an operator wants one.
    pub last_run: u64,
    pub unended: bool,
    pub wanted: bool,
    pub schedule: Option<schedule::Schedule>,
}

/// Why something on a duty is not done. It changes nothing then.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Refusal {
    Unknown(DutyName),
    /// From an owner that is none: its token, and the one that counts.
    Stale {
        duty: DutyName,
        token: Token,
        counts: Token,
    },
    /// An earlier start of this server may still own something; ms until that is over.
    FormerSelf(u64),
    /// This number has begun already, or is over.
    Begun {
        duty: DutyName,
        run: u64,
    },
    /// What was said makes no sense, in words.
    Bad(String),
}

/// A duty with all that is known of it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Row {
    pub duty: DutyName,
    pub owner: Option<Holder>,
    /// The highest token that was ever given for it.
    pub token: Token,
    /// Since when it is owned, or is not.
    pub since: FleetMs,
    pub recalled: bool,
    pub parked: Option<String>,
    /// Owners lost or runs failed in a row, with the last reason.
    pub strikes: Vec<String>,
    pub last_run: u64,
    pub unended: bool,
    pub wanted: bool,
    /// Writes to the record that were refused for a token that does not count.
    pub refused: u64,
}

#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Listed {
    pub duties: Vec<Row>,
    /// Servers with a session.
    pub sessions: Vec<Name>,
    pub terms: Terms,
    pub time: FleetMs,
    pub events: Vec<Happened>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum What {
    Taken,
    Released,
    /// Its owner's session was over.
    Lost,
    Began,
    Done,
    Failed,
    Parked,
    Resumed,
    /// A write with a token that does not count.
    Refused,
}

impl What {
    pub fn word(self) -> &'static str {
        match self {
            What::Taken => "taken",
            What::Released => "released",
            What::Lost => "lost",
            What::Began => "began",
            What::Done => "done",
            What::Failed => "failed",
            What::Parked => "parked",
            What::Resumed => "resumed",
            What::Refused => "refused",
        }
    }
}

/// Who owned what when.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Happened {
    pub at: FleetMs,
    pub duty: DutyName,
    pub token: Token,
    /// Its owner; empty where there was none.
    pub owner: Name,
    pub what: What,
    /// A reason, or the token that was refused.
    pub detail: String,
}

/// Errors: what is wrong with a duty's name.
pub fn check_name(name: &str) -> Result<(), Refusal> {
    let fits = (1..=LONGEST_NAME).contains(&name.len()) && !name.contains(char::is_control);
    if fits {
        Ok(())
    } else {
        Err(Refusal::Bad("a duty's name has 1 to 64 bytes, none of them a control".into()))
    }
}

/// A reason, as far as it is kept.
pub fn cut(why: &str) -> String {
    let mut end = why.len().min(LONGEST_REASON);
    while !why.is_char_boundary(end) {
        end -= 1;
    }
    why[..end].to_owned()
}
