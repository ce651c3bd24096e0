//! Maintenance tickets: each permits one server to go out of service once. [`TABLE`] lists the legal transitions of each
//! stage and who may make them; all others are rejected with a reason.
//!
//! A **slot** is a unit of the limit on servers that may be out of service at the same time. A ticket has a
//! slot from its grant until it is done, withdrawn or abandoned, or until the grant lapses or is revoked
//! ([`TicketStage::has_slot`]).

use serde::{Deserialize, Serialize};

use crate::duty::MAX_REASON_BYTES;
use crate::member::{FleetRequestId, Incarnation, MAX_NAME_BYTES, ServerName, Zone};
use crate::time::FleetMillis;

/// Number of a ticket, assigned in order of creation from 1.
pub type TicketId = u64;
/// Number of a grant; increases with every grant of the fleet, so that messages about an earlier one are known to be stale.
pub type GrantNumber = u64;

/// Priority of a ticket in the queue.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Urgency {
    /// Planned work, considered in order of age.
    #[default]
    Routine,
    /// Considered before routine work.
    Urgent,
    /// The server no longer works properly; considered before all other work.
    Broken,
}

/// Stage of a ticket.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum TicketStage {
    /// Waits in the queue for a grant. Operators see "asked".
    #[serde(rename = "Asked")]
    Requested,
    /// Has a slot, which is reserved until the server accepts the grant or the grant lapses. Operators see "granted".
    Granted,
    /// The server accepted the grant. Committed before the server starts to drain. Operators see "begun".
    #[serde(rename = "Begun")]
    Accepted,
    /// The server finishes the requests that it has and accepts no others. Operators see "draining".
    Draining,
    /// The server has shut down or failed. Operators see "out".
    #[serde(rename = "Out")]
    Offline,
    /// A later incarnation of the server has joined the fleet. Operators see "back".
    #[serde(rename = "Back")]
    Returned,
    /// The returned server carries its load again. Its slot is released once it has done so for
    /// [`Rules::ready_for_millis`](super::rules::Rules::ready_for_millis). Operators see "warm".
    #[serde(rename = "Warm")]
    Ready,
    /// The server did not return before its deadline. It keeps its slot. Operators see "overdue".
    Overdue,
    /// Maintenance is complete and the slot is released. Operators see "done".
    Done,
    /// Cancelled by an operator before the server accepted a grant. Operators see "withdrawn".
    Withdrawn,
    /// Closed because its window ended, or because too many of its grants lapsed. Operators see "lapsed".
    Lapsed,
    /// Closed by an operator because the server will not return under this ticket. Operators see "written off".
    #[serde(rename = "WrittenOff")]
    Abandoned,
}

impl TicketStage {
    /// Every stage, in order of declaration.
    pub const ALL: [TicketStage; 12] = [
        TicketStage::Requested,
        TicketStage::Granted,
        TicketStage::Accepted,
        TicketStage::Draining,
        TicketStage::Offline,
        TicketStage::Returned,
        TicketStage::Ready,
        TicketStage::Overdue,
        TicketStage::Done,
        TicketStage::Withdrawn,
        TicketStage::Lapsed,
        TicketStage::Abandoned,
    ];

    /// Whether the ticket has a slot, so that its server counts as out.
    pub fn has_slot(self) -> bool {
        matches!(
            self,
            TicketStage::Granted
                | TicketStage::Accepted
                | TicketStage::Draining
                | TicketStage::Offline
                | TicketStage::Returned
                | TicketStage::Ready
                | TicketStage::Overdue
        )
    }

    /// Whether the ticket is closed: no transition leads out of this stage.
    pub fn is_closed(self) -> bool {
        matches!(
            self,
            TicketStage::Done | TicketStage::Withdrawn | TicketStage::Lapsed | TicketStage::Abandoned
        )
    }

    /// The stage's name in commands' output.
    pub fn as_str(self) -> &'static str {
        match self {
            TicketStage::Requested => "asked",
            TicketStage::Granted => "granted",
            TicketStage::Accepted => "begun",
            TicketStage::Draining => "draining",
            TicketStage::Offline => "out",
            TicketStage::Returned => "back",
            TicketStage::Ready => "warm",
            TicketStage::Overdue => "overdue",
            TicketStage::Done => "done",
            TicketStage::Withdrawn => "withdrawn",
            TicketStage::Lapsed => "lapsed",
            TicketStage::Abandoned => "written off",
        }
    }
}

/// An event that moves a ticket from one stage to another.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Transition {
    /// The leader grants the ticket a slot.
    Grant,
    /// The leader revokes a grant that was not accepted yet, because its conditions are no longer met.
    #[serde(rename = "Recall")]
    Revoke,
    /// The server accepts the grant.
    #[serde(rename = "Begin")]
    Accept,
    /// The server starts to drain.
    Drain,
    /// The server has drained and shuts down, or the leader sees it down.
    #[serde(rename = "Leave")]
    Depart,
    /// The leader sees a later incarnation of the server, or the same one again after it was wrongly declared down.
    Return,
    /// The returned server carries its load.
    #[serde(rename = "Warm")]
    Ready,
    /// A server that was ready no longer carries its load.
    #[serde(rename = "Cool")]
    Unready,
    /// The server has carried its load for the required time: the ticket is done.
    Finish,
    /// An operator cancels the ticket before the server has accepted a grant.
    Withdraw,
    /// An operator closes the ticket of a server that will not return.
    #[serde(rename = "WriteOff")]
    Abandon,
    /// The deadline for accepting a grant passed.
    Lapse,
    /// The ticket's window closed before a grant.
    Expire,
    /// The server did not return before its deadline.
    Overrun,
}

impl Transition {
    /// Every transition, in order of declaration.
    pub const ALL: [Transition; 14] = [
        Transition::Grant,
        Transition::Revoke,
        Transition::Accept,
        Transition::Drain,
        Transition::Depart,
        Transition::Return,
        Transition::Ready,
        Transition::Unready,
        Transition::Finish,
        Transition::Withdraw,
        Transition::Abandon,
        Transition::Lapse,
        Transition::Expire,
        Transition::Overrun,
    ];
}

/// The role in which a transition is made.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Actor {
    /// The leader of the log, which acts on the state of members and on deadlines.
    Leader,
    /// The server that the ticket is for.
    Server,
    /// An operator, through the fleet's commands.
    Operator,
    /// In [`TABLE`] only: the server, which reports the transition, or the leader, which detects it when no report arrives.
    ServerOrLeader,
}

impl Actor {
    /// Whether a transition that is reserved for this role may be made by `actor`.
    pub fn includes(self, actor: Actor) -> bool {
        self == actor || (self == Actor::ServerOrLeader && matches!(actor, Actor::Server | Actor::Leader))
    }
}

/// Why a command on a ticket or campaign was rejected. A rejected command changes nothing.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, thiserror::Error)]
pub enum Rejection {
    /// No ticket has that number: it never existed, or is no longer retained after it was closed.
    #[error("the ticket does not exist or is no longer retained")]
    Unknown,
    /// The ticket is closed; with its stage.
    #[error("the ticket is closed: {}", .0.as_str())]
    #[serde(rename = "Over")]
    Closed(TicketStage),
    /// The ticket is past the stages that allow the transition; with its stage.
    #[error("too late: the ticket is already {}", .0.as_str())]
    #[serde(rename = "UnderWay")]
    TooLate(TicketStage),
    /// The ticket has not reached a stage that allows the transition; with its stage.
    #[error("too early: the ticket is only {}", .0.as_str())]
    #[serde(rename = "NotYet")]
    TooEarly(TicketStage),
    /// The command names a grant that is no longer the ticket's current one.
    #[error("grant {grant} has been superseded by grant {current}")]
    Superseded {
        /// Number of the grant that the command names.
        grant: GrantNumber,
        /// Number of the ticket's current grant.
        #[serde(rename = "holds")]
        current: GrantNumber,
    },
    /// The command names another incarnation of the server than the ticket expects.
    #[error("the command names another incarnation (process) of the server than the ticket expects")]
    OtherIncarnation,
    /// The issuer may not issue this command.
    #[error("the issuer of the command is not permitted to issue it")]
    #[serde(rename = "NotYours")]
    NotPermitted,
    /// The limit on servers that are out of service at once is reached.
    #[error("{out} servers are out of service{}, the limit is {limit}", zone_suffix(.zone.as_deref()))]
    #[serde(rename = "NoPlace")]
    NoSlot {
        /// Number of servers that are out of service, without the candidate.
        out: u32,
        /// Maximum number of servers out of service at once.
        #[serde(rename = "most")]
        limit: u32,
        /// The zone whose limit is reached; `None` for the limit of the whole fleet.
        zone: Option<Zone>,
    },
    /// Too few healthy voters would remain.
    #[error("{remaining} healthy voters would remain, {needed} are required")]
    Voters {
        /// Number of voters that would not be out.
        #[serde(rename = "stay")]
        remaining: u32,
        /// Number of voters that have to remain, by [`voters_needed`](super::rules::voters_needed).
        needed: u32,
    },
    /// An operator has paused grants.
    #[error("grants are paused")]
    Paused,
    /// The ticket's window has not opened yet.
    #[error("the ticket's window has not opened yet")]
    #[serde(rename = "Window")]
    WindowNotOpen,
    /// The server already has a slot under another ticket.
    #[error("the server already has a maintenance slot under ticket {0}")]
    #[serde(rename = "HoldsPlace")]
    HasSlot(TicketId),
    /// The maximum number of open tickets or campaigns would be exceeded; with the number that is open now.
    #[error("too many open tickets or campaigns: {0} are open already")]
    TooMany(u32),
    /// The command is invalid; with the reason. The text is part of the replicated state, because responses are remembered
    /// there, so it must be the same in all versions.
    #[error("{0}")]
    #[serde(rename = "Bad")]
    Invalid(String),
    /// There is no leader, or it could not be reached. The command may have been applied nevertheless.
    #[error("no leader could be reached; whether the command was applied is unknown")]
    NoLeader,
}

fn zone_suffix(zone: Option<&str>) -> String {
    zone.map_or(String::new(), |zone| format!(" in zone {zone}"))
}

/// A legal transition of [`TABLE`].
pub struct Rule {
    /// The stage before the transition.
    pub from: TicketStage,
    /// The transition that this rule allows.
    pub transition: Transition,
    /// The role that may make the transition.
    pub actor: Actor,
    /// The stage after the transition.
    pub to: TicketStage,
}

const fn rule(from: TicketStage, transition: Transition, actor: Actor, to: TicketStage) -> Rule {
    Rule { from, transition, actor, to }
}

/// All legal transitions; any other is rejected.
pub const TABLE: [Rule; 33] = {
    use Actor::{Leader, Operator, Server, ServerOrLeader};
    use TicketStage::{
        Abandoned, Accepted, Done, Draining, Granted, Lapsed, Offline, Overdue, Ready, Requested, Returned,
        Withdrawn,
    };
    [
        rule(Requested, Transition::Grant, Leader, Granted),
        rule(Requested, Transition::Withdraw, Operator, Withdrawn),
        rule(Requested, Transition::Expire, Leader, Lapsed),
        rule(Granted, Transition::Accept, Server, Accepted),
        rule(Granted, Transition::Revoke, Leader, Requested),
        rule(Granted, Transition::Lapse, Leader, Requested),
        rule(Granted, Transition::Withdraw, Operator, Withdrawn),
        rule(Accepted, Transition::Drain, Server, Draining),
        rule(Accepted, Transition::Depart, ServerOrLeader, Offline),
        rule(Accepted, Transition::Overrun, Leader, Overdue),
        rule(Accepted, Transition::Abandon, Operator, Abandoned),
        rule(Draining, Transition::Depart, ServerOrLeader, Offline),
        rule(Draining, Transition::Overrun, Leader, Overdue),
        rule(Draining, Transition::Abandon, Operator, Abandoned),
        // A server may return before its shutdown is reported or detected.
        rule(Accepted, Transition::Return, Leader, Returned),
        rule(Draining, Transition::Return, Leader, Returned),
        rule(Offline, Transition::Return, Leader, Returned),
        rule(Offline, Transition::Overrun, Leader, Overdue),
        rule(Offline, Transition::Abandon, Operator, Abandoned),
        rule(Returned, Transition::Ready, Leader, Ready),
        rule(Returned, Transition::Depart, ServerOrLeader, Offline),
        // The server restarted before it was ready.
        rule(Returned, Transition::Return, Leader, Returned),
        rule(Returned, Transition::Abandon, Operator, Abandoned),
        rule(Ready, Transition::Finish, Leader, Done),
        rule(Ready, Transition::Unready, Leader, Returned),
        rule(Ready, Transition::Depart, ServerOrLeader, Offline),
        rule(Ready, Transition::Abandon, Operator, Abandoned),
        rule(Overdue, Transition::Return, Leader, Returned),
        rule(Ready, Transition::Return, Leader, Returned),
        // Late and repeated reports are accepted without effect: by the next two rules and by the last one.
        rule(Overdue, Transition::Depart, ServerOrLeader, Overdue),
        rule(Overdue, Transition::Drain, Server, Overdue),
        rule(Overdue, Transition::Abandon, Operator, Abandoned),
        rule(Offline, Transition::Depart, ServerOrLeader, Offline),
    ]
};

/// The stage that a transition leads to.
///
/// # Errors
/// The reason why [`TABLE`] does not allow `actor` to make this transition from this stage.
pub fn next_stage(from: TicketStage, transition: Transition, actor: Actor) -> Result<TicketStage, Rejection> {
    match TABLE.iter().find(|rule| rule.from == from && rule.transition == transition) {
        Some(rule) if rule.actor.includes(actor) => Ok(rule.to),
        Some(_) => Err(Rejection::NotPermitted),
        None => Err(rejection(from, transition)),
    }
}

/// The rejection of a transition that is not in [`TABLE`]: too early, too late, or on a closed ticket. The table alone
/// decides what is legal; this function only chooses the reason.
fn rejection(from: TicketStage, transition: Transition) -> Rejection {
    use TicketStage::{
        Abandoned, Accepted, Done, Draining, Granted, Lapsed, Ready, Requested, Returned, Withdrawn,
    };
    // In a stage before `earliest` the transition is too early. `earliest` is not always the first stage in
    // which the table allows the transition.
    let earliest = match transition {
        Transition::Grant | Transition::Withdraw | Transition::Expire => Requested,
        Transition::Accept | Transition::Revoke | Transition::Lapse => Granted,
        Transition::Drain | Transition::Depart | Transition::Abandon | Transition::Overrun => Accepted,
        Transition::Return => Draining,
        Transition::Ready => Returned,
        Transition::Unready | Transition::Finish => Ready,
    };
    match from {
        Done | Withdrawn | Lapsed | Abandoned => Rejection::Closed(from),
        _ if from < earliest => Rejection::TooEarly(from),
        _ => Rejection::TooLate(from),
    }
}

/// A request to take one server out of service for maintenance.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TicketRequest {
    /// Name of the server to take out of service.
    pub server: ServerName,
    /// Zone of the server.
    pub zone: Zone,
    /// The operator's reason, shown to other operators; at most 256 bytes.
    pub reason: String,
    /// Priority in the queue.
    pub urgency: Urgency,
    /// Time from acceptance of the grant until the server is overdue, ms; from a second to a week.
    #[serde(rename = "lasts")]
    pub duration_millis: FleetMillis,
    /// Start and end of the time in which the ticket may be granted, ms after it was requested; `None` for any time.
    pub window: Option<(FleetMillis, FleetMillis)>,
}

/// Minimum duration of maintenance, ms: one second.
const MIN_DURATION_MILLIS: FleetMillis = 1_000;
/// Maximum duration of maintenance, ms: one week.
pub const MAX_DURATION_MILLIS: FleetMillis = 7 * 24 * 3_600_000;

impl TicketRequest {
    /// Validates the fields of the request.
    ///
    /// # Errors
    /// [`Rejection::Invalid`], naming the server, the field and its limit.
    pub fn check(&self) -> Result<(), Rejection> {
        let invalid = |what: &str| Err(Rejection::Invalid(format!("{}: {what}", self.server)));
        if !(1..=MAX_NAME_BYTES).contains(&self.server.len()) || self.zone.len() > MAX_NAME_BYTES {
            return invalid(&format!("server: a name has 1 to {MAX_NAME_BYTES} bytes"));
        }
        if self.reason.len() > MAX_REASON_BYTES {
            return invalid(&format!("reason: at most {MAX_REASON_BYTES} bytes"));
        }
        if !(MIN_DURATION_MILLIS..=MAX_DURATION_MILLIS).contains(&self.duration_millis) {
            return invalid("for: from a second to a week");
        }
        if self.window.is_some_and(|(from, before)| from >= before || before > MAX_DURATION_MILLIS) {
            return invalid("window: it ends after it begins, within a week");
        }
        Ok(())
    }
}

/// A ticket: the request to take a server out of service, and its progress.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ticket {
    /// Number of the ticket.
    pub id: TicketId,
    /// Identifies the client's request that created the ticket.
    #[serde(rename = "key")]
    pub request_id: FleetRequestId,
    /// The server, duration, window and priority that were requested.
    #[serde(rename = "wanted")]
    pub request: TicketRequest,
    /// Operator, server or campaign that requested the ticket, for display.
    #[serde(rename = "by")]
    pub requested_by: String,
    /// Current stage.
    pub stage: TicketStage,
    /// Fleet time at which the ticket was created, ms.
    #[serde(rename = "asked_at")]
    pub requested_at: FleetMillis,
    /// Fleet time at which the ticket entered its current stage, ms.
    pub since: FleetMillis,
    /// Number of the last grant; 0 before the first one.
    pub grant: GrantNumber,
    /// The incarnation of the server that received the last grant, and that leaves; 0 before the first grant.
    pub incarnation: Incarnation,
    /// The incarnation of the server that returned last; 0 before one has returned.
    #[serde(rename = "returned")]
    pub returned_incarnation: Incarnation,
    /// Number of grants that lapsed because the server did not accept them in time.
    pub lapses: u8,
    /// Fleet time at which the grant lapses or, once it is accepted, the server is overdue, ms; 0 before the first grant.
    #[serde(rename = "due")]
    pub deadline: FleetMillis,
}

impl Ticket {
    /// Time until the window opens, ms; 0 when it is open or over, or if the ticket has no window.
    pub fn opens_in(&self, now: FleetMillis) -> FleetMillis {
        let opens_at = self.request.window.map_or(0, |(from, _)| self.requested_at + from);
        opens_at.saturating_sub(now)
    }

    /// Fleet time at which the window closes, ms; `None` if the ticket has no window.
    pub fn closes_at(&self) -> Option<FleetMillis> {
        self.request.window.map(|(_, before)| self.requested_at + before)
    }

    /// The latest incarnation of the server that the ticket has recorded: the one that left or the one that returned.
    pub fn last_incarnation(&self) -> Incarnation {
        self.incarnation.max(self.returned_incarnation)
    }
}

#[cfg(test)]
mod tests;
