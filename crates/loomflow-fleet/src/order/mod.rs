//! The order in which machines are taken out for work, as one state machine applied from the log: the same entries give
//! the same state on every voter.
//!
//! - [`ticket`]: stages and moves, and the table of what is legal.
//! - [`rules`]: how many may be out, as the operators set it.
//! - [`state`]: the machine: applies entries, keeps its bounds, and lets time do its part.
//! - [`headroom`]: whether those who stay bear what the fleet carries, judged from their digests.
//! - [`choose`]: who goes next, and why each of the others waits. Only the leader asks; what it decides goes into the log.
//! - [`campaign`]: many tickets in batches, and when a campaign halts.
//! - [`watch`]: what the leader sees of members and makes moves of: left, back, warm.

pub mod campaign;
pub mod choose;
pub mod headroom;
pub mod rules;
pub mod state;
pub mod ticket;
pub mod watch;

use serde::{Deserialize, Serialize};

use crate::duty::{self, Token, summary::Summary};
use crate::member::{Incarnation, Name, RequestId, Zone};
use rules::Rules;
use ticket::{FleetMs, GrantNumber, Move, Refusal, Ticket, TicketId, Wanted};

/// Who stands behind an entry.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum By {
    Leader,
    Server { name: Name, incarnation: Incarnation },
    Operator(String),
}

/// One entry of the log.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Entry {
    pub id: RequestId,
    /// The fleet's time, as the leader counts it.
    pub at: FleetMs,
    pub by: By,
    pub command: Command,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Command {
    /// Tickets, one for each: a campaign where there are several.
    Ask(Vec<Wanted>),
    /// What a ticket's server says, or the leader sees, or the operator wants.
    Move {
        ticket: TicketId,
        by: Move,
        grant: GrantNumber,
        incarnation: Incarnation,
    },
    Grant {
        ticket: TicketId,
        incarnation: Incarnation,
        census: Census,
    },
    Pause(String),
    Resume,
    Rules(Rules),
    /// A server left without a ticket; it was told to, and obeyed.
    Unasked(Name),
    /// Only its time counts.
    Clock,
    /// On a duty: [`crate::record`] takes it, and the order only its time.
    Duty(duty::Command),
    /// On a campaign; [`crate::record`] takes it as well.
    Campaign(campaign::Command),
}

/// Whom the leader saw when it decided: what a grant rests on beside the tickets.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Census {
    /// How many members there are, by zone, missing ones included.
    pub zones: Vec<(Zone, u32)>,
    /// Those that count as out whatever their tickets: down, suspect, cold, leaving, gone, or with no young digest.
    pub away: Vec<(Name, Zone)>,
}

/// What somebody wants to know or done. Goes to the leader by any way.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Ask {
    Do {
        by: By,
        command: Command,
    },
    Status,
    /// Tickets that are open, and the last of those that are over.
    Tickets,
    /// Why this server waits.
    Explain(Name),
    /// All duties, and what happened to them.
    Duties,
    Campaigns,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Answer {
    /// Done, with the tickets that it was about.
    Done(Vec<TicketId>),
    Refused(Refusal),
    Status(Box<Status>),
    Tickets {
        open: Vec<Ticket>,
        over: Vec<Ticket>,
        events: Vec<state::Happened>,
    },
    Explained(choose::Explained),
    Duty(duty::Answer),
    Campaigns(Vec<campaign::View>),
}

/// The fleet as its leader sees it.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Status {
    pub fleet: String,
    pub leader: Option<Name>,
    pub term: u64,
    pub index: u64,
    pub voters: Vec<Name>,
    /// False where whoever answers does not lead, so that it may be old.
    pub fresh: bool,
    pub members: Vec<MemberRow>,
    pub rules: Rules,
    pub paused: Option<String>,
    pub open: u32,
    pub out: u32,
    /// Servers that left without a ticket, since the fleet began.
    pub unasked: u64,
    pub time: FleetMs,
    /// What is wrong with the disk of whoever answers.
    pub fault: Option<String>,
    /// The fleet summed up, as whoever answers was last told.
    pub summary: Option<Told>,
    /// Orders of old owners of duties that whoever answers refused.
    pub refused: u64,
}

/// What the owner of a duty told a member.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Told {
    pub by: Name,
    pub token: Token,
    /// Ms since it was told.
    pub age: u64,
    pub summary: Summary,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct MemberRow {
    pub name: Name,
    pub zone: Zone,
    pub address: String,
    pub incarnation: Incarnation,
    pub standing: crate::member::Standing,
    pub voter: bool,
    pub digest: Option<crate::member::Digest>,
    /// Age of the digest, ms.
    pub age: Option<u64>,
    /// The ticket that it holds a place by, and its stage.
    pub ticket: Option<(TicketId, ticket::Stage)>,
}
