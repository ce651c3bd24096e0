//! A ticket: one server's turn to be out for maintenance. [`TABLE`] defines which transition is legal in which stage and
//! who may make it; every other one is rejected with a reason.
//!
//! A **place** is one of the limited slots for servers that may be out at the same time. A ticket has one from its grant
//! until it is done or abandoned, or the grant is taken back ([`TicketStage::has_place`]).

use serde::{Deserialize, Serialize};

use crate::duty::MAX_REASON_BYTES;
use crate::member::{FleetRequestId, Incarnation, MAX_NAME_BYTES, ServerName, Zone};
use crate::time::FleetMillis;

/// Numbers a ticket, from 1 on.
pub type TicketId = u64;
/// Rises with every grant: a grant that is received late finds its number superseded.
pub type GrantNumber = u64;

/// How soon a ticket's server should go.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Urgency {
    /// Whenever it is its turn.
    #[default]
    Routine,
    /// Before routine work.
    Urgent,
    /// The server is broken already: out of service in all but name.
    Broken,
}

/// How far a ticket has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum TicketStage {
    /// Waits for its turn. Operators see "asked".
    #[serde(rename = "Asked")]
    Requested,
    /// May go: its place is reserved until it begins, or the grant lapses. Operators see "granted".
    Granted,
    /// It will go: committed before it does. Operators see "begun".
    Begun,
    /// Answers what it still has. Operators see "draining".
    Draining,
    /// Has shut down. Operators see "out".
    Out,
    /// Its next incarnation is here. Operators see "back".
    Back,
    /// It carries its load; its place is available when that has lasted for a while. Operators see "warm".
    #[serde(rename = "Warm")]
    Ready,
    /// Not back in time. Its place stays reserved. Operators see "overdue".
    Overdue,
    /// Its place is available again. Operators see "done".
    Done,
    /// An operator took it back before it began. Operators see "withdrawn".
    Withdrawn,
    /// Its window closed, or its grants were not taken up. Operators see "lapsed".
    Lapsed,
    /// Abandoned by an operator: the server does not come back under this ticket. Operators see "written off".
    #[serde(rename = "WrittenOff")]
    Abandoned,
}

impl TicketStage {
    /// Every stage, in their order.
    pub const ALL: [TicketStage; 12] = [
        TicketStage::Requested,
        TicketStage::Granted,
        TicketStage::Begun,
        TicketStage::Draining,
        TicketStage::Out,
        TicketStage::Back,
        TicketStage::Ready,
        TicketStage::Overdue,
        TicketStage::Done,
        TicketStage::Withdrawn,
        TicketStage::Lapsed,
        TicketStage::Abandoned,
    ];

    /// Whether the ticket has a place, so that its server counts as out.
    pub fn has_place(self) -> bool {
        matches!(
            self,
            TicketStage::Granted
                | TicketStage::Begun
                | TicketStage::Draining
                | TicketStage::Out
                | TicketStage::Back
                | TicketStage::Ready
                | TicketStage::Overdue
        )
    }

    /// Whether the ticket is closed: there is no transition from this stage.
    pub fn is_closed(self) -> bool {
        matches!(
            self,
            TicketStage::Done | TicketStage::Withdrawn | TicketStage::Lapsed | TicketStage::Abandoned
        )
    }

    /// Its name as operators see it.
    pub fn as_str(self) -> &'static str {
        match self {
            TicketStage::Requested => "asked",
            TicketStage::Granted => "granted",
            TicketStage::Begun => "begun",
            TicketStage::Draining => "draining",
            TicketStage::Out => "out",
            TicketStage::Back => "back",
            TicketStage::Ready => "warm",
            TicketStage::Overdue => "overdue",
            TicketStage::Done => "done",
            TicketStage::Withdrawn => "withdrawn",
            TicketStage::Lapsed => "lapsed",
            TicketStage::Abandoned => "written off",
        }
    }
}

/// What happens to a ticket.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Transition {
    /// The leader lets its server go.
    Grant,
    /// The leader takes a grant back before it was taken up: its conditions are no longer met.
    Recall,
    /// The server takes up the grant.
    Begin,
    /// The server drains.
    Drain,
    /// The server has drained and shut down, or is down.
    #[serde(rename = "Leave")]
    Depart,
    /// A later incarnation is here.
    Return,
    /// It carries its load.
    #[serde(rename = "Warm")]
    Ready,
    /// It does not after all.
    #[serde(rename = "Cool")]
    Unready,
    /// It has carried its load for the required time.
    Finish,
    /// An operator takes the ticket back.
    Withdraw,
    /// An operator gives the server up.
    #[serde(rename = "WriteOff")]
    Abandon,
    /// A deadline passed: a grant was not taken up.
    Lapse,
    /// A deadline passed: the window is over.
    Expire,
    /// A deadline passed: the server is not back.
    Overrun,
}

impl Transition {
    /// Every transition.
    pub const ALL: [Transition; 14] = [
        Transition::Grant,
        Transition::Recall,
        Transition::Begin,
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

/// Who makes a transition.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Actor {
    /// The leader of the log, by what it sees of members and time.
    Leader,
    /// The server that the ticket is for.
    Server,
    /// An operator.
    Operator,
    /// Either of the first two: the server reports it, or the leader sees it where no report arrives.
    ServerOrLeader,
}

impl Actor {
    /// Whether `actor` may do what is this actor's to do.
    pub fn includes(self, actor: Actor) -> bool {
        self == actor || (self == Actor::ServerOrLeader && matches!(actor, Actor::Server | Actor::Leader))
    }
}

/// Why a command on a ticket is not done. It changes nothing then.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, thiserror::Error)]
pub enum Rejection {
    /// No ticket of that number is known: it never was, or is long closed.
    #[error("no such ticket is known")]
    Unknown,
    /// The ticket is closed.
    #[error("the ticket is {}", .0.as_str())]
    #[serde(rename = "Over")]
    Closed(TicketStage),
    /// Its stage is too late for this.
    #[error("it has gone too far for this: {}", .0.as_str())]
    #[serde(rename = "UnderWay")]
    TooLate(TicketStage),
    /// Its stage is too early for this.
    #[error("it is not so far: {}", .0.as_str())]
    #[serde(rename = "NotYet")]
    TooEarly(TicketStage),
    /// The grant that this rests on is no longer the current one.
    #[error("grant {grant} is superseded by {current}")]
    Superseded {
        /// The grant that the command names.
        grant: GrantNumber,
        /// The ticket's grant.
        #[serde(rename = "holds")]
        current: GrantNumber,
    },
    /// Another incarnation than the one whose transition it is.
    #[error("another start of that server is meant")]
    OtherIncarnation,
    /// Not by this issuer.
    #[error("that is not this hand's to do")]
    #[serde(rename = "NotYours")]
    NotPermitted,
    /// No place is available.
    #[error("{out} are out{}, {limit} may be", zone_suffix(.zone.as_deref()))]
    NoPlace {
        /// Servers that are out.
        out: u32,
        /// Servers that may be.
        #[serde(rename = "most")]
        limit: u32,
        /// The zone whose limit is reached; none where it is the fleet's.
        zone: Option<Zone>,
    },
    /// Not the required number of voters would stay.
    #[error("{stay} voters would stay, {needed} are needed")]
    Voters {
        /// Voters that would stay.
        stay: u32,
        /// Voters that have to.
        needed: u32,
    },
    /// An operator has paused grants.
    #[error("work is paused")]
    Paused,
    /// Its window is not open.
    #[error("its window is not open")]
    #[serde(rename = "Window")]
    WindowNotOpen,
    /// Its server has a place under another ticket.
    #[error("it holds a place by ticket {0}")]
    #[serde(rename = "HoldsPlace")]
    HasPlace(TicketId),
    /// This many are open, as many as there may be.
    #[error("{0} are open, as many as there may be")]
    TooMany(u32),
    /// The command makes no sense, in words.
    #[error("{0}")]
    #[serde(rename = "Bad")]
    Invalid(String),
    /// There is no leader, or it could not be reached; whether the command was done is not known.
    #[error("no leader could be reached; whether it was done is not known")]
    NoLeader,
}

fn zone_suffix(zone: Option<&str>) -> String {
    zone.map_or(String::new(), |zone| format!(" in zone {zone}"))
}

/// One legal transition.
pub struct Rule {
    /// The stage from which it leads.
    pub from: TicketStage,
    /// What happens.
    pub transition: Transition,
    /// Who may make it.
    pub actor: Actor,
    /// The stage that it leads to.
    pub to: TicketStage,
}

const fn rule(from: TicketStage, transition: Transition, actor: Actor, to: TicketStage) -> Rule {
    Rule { from, transition, actor, to }
}

/// All that is legal. Anything else is rejected.
pub const TABLE: [Rule; 33] = {
    use Actor::{Leader, Operator, Server, ServerOrLeader};
    use TicketStage::{
        Abandoned, Back, Begun, Done, Draining, Granted, Lapsed, Out, Overdue, Ready, Requested, Withdrawn,
    };
    [
        rule(Requested, Transition::Grant, Leader, Granted),
        rule(Requested, Transition::Withdraw, Operator, Withdrawn),
        rule(Requested, Transition::Expire, Leader, Lapsed),
        rule(Granted, Transition::Begin, Server, Begun),
        rule(Granted, Transition::Recall, Leader, Requested),
        rule(Granted, Transition::Lapse, Leader, Requested),
        rule(Granted, Transition::Withdraw, Operator, Withdrawn),
        rule(Begun, Transition::Drain, Server, Draining),
        rule(Begun, Transition::Depart, ServerOrLeader, Out),
        rule(Begun, Transition::Overrun, Leader, Overdue),
        rule(Begun, Transition::Abandon, Operator, Abandoned),
        rule(Draining, Transition::Depart, ServerOrLeader, Out),
        rule(Draining, Transition::Overrun, Leader, Overdue),
        rule(Draining, Transition::Abandon, Operator, Abandoned),
        // A server may be back before anybody saw it down.
        rule(Begun, Transition::Return, Leader, Back),
        rule(Draining, Transition::Return, Leader, Back),
        rule(Out, Transition::Return, Leader, Back),
        rule(Out, Transition::Overrun, Leader, Overdue),
        rule(Out, Transition::Abandon, Operator, Abandoned),
        rule(Back, Transition::Ready, Leader, Ready),
        rule(Back, Transition::Depart, ServerOrLeader, Out),
        // It started once more before it was ready.
        rule(Back, Transition::Return, Leader, Back),
        rule(Back, Transition::Abandon, Operator, Abandoned),
        rule(Ready, Transition::Finish, Leader, Done),
        rule(Ready, Transition::Unready, Leader, Back),
        rule(Ready, Transition::Depart, ServerOrLeader, Out),
        rule(Ready, Transition::Abandon, Operator, Abandoned),
        rule(Overdue, Transition::Return, Leader, Back),
        rule(Ready, Transition::Return, Leader, Back),
        // A late or repeated report changes nothing.
        rule(Overdue, Transition::Depart, ServerOrLeader, Overdue),
        rule(Overdue, Transition::Drain, Server, Overdue),
        rule(Overdue, Transition::Abandon, Operator, Abandoned),
        // Nor does this one.
        rule(Out, Transition::Depart, ServerOrLeader, Out),
    ]
};

/// The stage that a transition leads to.
///
/// # Errors
/// Why the transition is not legal.
pub fn next_stage(from: TicketStage, transition: Transition, actor: Actor) -> Result<TicketStage, Rejection> {
    match TABLE.iter().find(|rule| rule.from == from && rule.transition == transition) {
        Some(rule) if rule.actor.includes(actor) => Ok(rule.to),
        Some(_) => Err(Rejection::NotPermitted),
        None => Err(rejection(from, transition)),
    }
}

/// Why a transition that is not in [`TABLE`] is rejected: it comes too early, too late, or after the ticket is closed. The
/// table alone says what is legal; this only words the rejection.
fn rejection(from: TicketStage, transition: Transition) -> Rejection {
    use TicketStage::{Abandoned, Back, Begun, Done, Draining, Granted, Lapsed, Ready, Requested, Withdrawn};
    // A rejection says "too early" in a stage before this one. Not always the first stage that the table allows.
    let earliest = match transition {
        Transition::Grant | Transition::Withdraw | Transition::Expire => Requested,
        Transition::Begin | Transition::Recall | Transition::Lapse => Granted,
        Transition::Drain | Transition::Depart | Transition::Abandon | Transition::Overrun => Begun,
        Transition::Return => Draining,
        Transition::Ready => Back,
        Transition::Unready | Transition::Finish => Ready,
    };
    match from {
        Done | Withdrawn | Lapsed | Abandoned => Rejection::Closed(from),
        _ if from < earliest => Rejection::TooEarly(from),
        _ => Rejection::TooLate(from),
    }
}

/// A request to take one server out.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TicketRequest {
    /// The server.
    pub server: ServerName,
    /// Its zone.
    pub zone: Zone,
    /// Why, for people.
    pub reason: String,
    /// How soon.
    pub urgency: Urgency,
    /// How long it is to be out, ms.
    #[serde(rename = "lasts")]
    pub duration_millis: FleetMillis,
    /// When it may be granted, ms from when it was requested: from, and before.
    pub window: Option<(FleetMillis, FleetMillis)>,
}

/// Minimum duration of a maintenance, ms: a second.
const MIN_DURATION_MILLIS: FleetMillis = 1_000;
/// Maximum duration of a maintenance, ms: a week.
pub const MAX_DURATION_MILLIS: FleetMillis = 7 * 24 * 3_600_000;

impl TicketRequest {
    /// Checks the request by itself.
    ///
    /// # Errors
    /// What is wrong with it, naming the field.
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

/// One server's turn to be out for maintenance.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ticket {
    /// Its number.
    pub id: TicketId,
    /// The request that created it.
    #[serde(rename = "key")]
    pub request_id: FleetRequestId,
    /// What was requested.
    #[serde(rename = "wanted")]
    pub request: TicketRequest,
    /// Who requested it, for people.
    #[serde(rename = "by")]
    pub requested_by: String,
    /// How far it has come.
    pub stage: TicketStage,
    /// When it was requested.
    #[serde(rename = "asked_at")]
    pub requested_at: FleetMillis,
    /// When it came to its stage.
    pub since: FleetMillis,
    /// The last grant; 0 before there is one.
    pub grant: GrantNumber,
    /// The start of the server that may begin, and later the one that did.
    pub incarnation: Incarnation,
    /// The start that came back; 0 before that.
    #[serde(rename = "returned")]
    pub returned_incarnation: Incarnation,
    /// Grants that were not taken up.
    pub lapses: u8,
    /// When the grant lapses, or the server has to be back.
    #[serde(rename = "due")]
    pub deadline: FleetMillis,
}

impl Ticket {
    /// Time until its window opens, ms; 0 once it has, or where it has none.
    pub fn opens_in(&self, now: FleetMillis) -> FleetMillis {
        let opens_at = self.request.window.map_or(0, |(from, _)| self.requested_at + from);
        opens_at.saturating_sub(now)
    }

    /// When its window closes, if it has one.
    pub fn closes_at(&self) -> Option<FleetMillis> {
        self.request.window.map(|(_, before)| self.requested_at + before)
    }

    /// The last start of the server that this ticket knows of.
    pub fn last_incarnation(&self) -> Incarnation {
        self.incarnation.max(self.returned_incarnation)
    }
}

#[cfg(test)]
mod tests;
