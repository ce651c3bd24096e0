//! A ticket: one server's turn to be out for work. The table says which move is legal in which stage, who may make it,
//! and what every other move gets.

use serde::{Deserialize, Serialize};

pub use crate::member::FleetMs;
use crate::member::{Incarnation, Name, RequestId, Zone};

pub type TicketId = u64;
/// Rises with every grant: a grant that was heard late finds its number superseded.
pub type GrantNumber = u64;

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Urgency {
    #[default]
    Routine,
    Urgent,
    /// It is broken already: out of service in all but name.
    Broken,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Stage {
    Asked,
    /// May go: its place is kept until it begins, or the grant lapses.
    Granted,
    /// It will go: agreed on before it does.
    Begun,
    Draining,
    Out,
    /// Its next incarnation is here.
    Back,
    /// It bears its load; its place is free when that has held for a while.
    Warm,
    /// Not back in time. Its place is kept.
    Overdue,
    Done,
    Withdrawn,
    /// Its window closed, or its grants were not taken up.
    Lapsed,
    /// Given up by the operator: it does not come back under this ticket.
    WrittenOff,
}

impl Stage {
    pub const ALL: [Stage; 12] = [
        Stage::Asked,
        Stage::Granted,
        Stage::Begun,
        Stage::Draining,
        Stage::Out,
        Stage::Back,
        Stage::Warm,
        Stage::Overdue,
        Stage::Done,
        Stage::Withdrawn,
        Stage::Lapsed,
        Stage::WrittenOff,
    ];

    /// Whether its server counts as out because of it.
    pub fn holds_place(self) -> bool {
        matches!(
            self,
            Stage::Granted
                | Stage::Begun
                | Stage::Draining
                | Stage::Out
                | Stage::Back
                | Stage::Warm
                | Stage::Overdue
        )
    }

    pub fn is_over(self) -> bool {
        matches!(self, Stage::Done | Stage::Withdrawn | Stage::Lapsed | Stage::WrittenOff)
    }

    pub fn word(self) -> &'static str {
        match self {
            Stage::Asked => "asked",
            Stage::Granted => "granted",
            Stage::Begun => "begun",
            Stage::Draining => "draining",
            Stage::Out => "out",
            Stage::Back => "back",
            Stage::Warm => "warm",
            Stage::Overdue => "overdue",
            Stage::Done => "done",
            Stage::Withdrawn => "withdrawn",
            Stage::Lapsed => "lapsed",
            Stage::WrittenOff => "written off",
        }
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Move {
    Grant,
    /// The leader takes a grant back before it was taken up: what it rested on holds no more.
    Recall,
    Begin,
    Drain,
    /// It has drained and is gone, or is seen to be gone.
    Leave,
    Return,
    /// It bears its load.
    Warm,
    /// It does not after all.
    Cool,
    Finish,
    Withdraw,
    WriteOff,
    /// Time did it: a grant was not taken up.
    Lapse,
    /// Time did it: its window is over.
    Expire,
    /// Time did it: it is not back.
    Overrun,
}

impl Move {
    pub const ALL: [Move; 14] = [
        Move::Grant,
        Move::Recall,
        Move::Begin,
        Move::Drain,
        Move::Leave,
        Move::Return,
        Move::Warm,
        Move::Cool,
        Move::Finish,
        Move::Withdraw,
        Move::WriteOff,
        Move::Lapse,
        Move::Expire,
        Move::Overrun,
    ];
}

/// Who makes a move.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Hand {
    /// What the leader of the log sees of members and time.
    Leader,
    /// The server that the ticket is for.
    Server,
    Operator,
    /// Either of the first two: the server's own word, or the leader's sight where that is missing.
    ServerOrLeader,
}

impl Hand {
    pub fn may(self, hand: Hand) -> bool {
        self == hand || (self == Hand::ServerOrLeader && matches!(hand, Hand::Server | Hand::Leader))
    }
}

/// Why a move is not made. It changes nothing then.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Refusal {
    /// No ticket of that number is known: it never was, or is long over.
    Unknown,
    /// The ticket is over.
    Over(Stage),
    /// It has gone too far for this.
    UnderWay(Stage),
    /// It is not so far yet.
    NotYet(Stage),
    /// The grant that this rests on is no longer the one that holds.
    Superseded {
        grant: GrantNumber,
        holds: GrantNumber,
    },
    /// Another incarnation than the one whose move it is.
    OtherIncarnation,
    /// Not by this hand.
    NotYours,
    /// No place is free: so many are out, and so many may be.
    NoPlace {
        out: u32,
        most: u32,
        zone: Option<Zone>,
    },
    /// So many voters would stay, and so many are needed.
    Voters {
        stay: u32,
        needed: u32,
    },
    Paused,
    /// Its window is not open.
    Window,
    /// It holds a place under another ticket.
    HoldsPlace(TicketId),
    /// So many tickets are open, as many as there may be.
    TooMany(u32),
    /// What was asked makes no sense, in words.
    Bad(String),
    /// There is no leader, or it could not be reached; nothing is known of what became of it.
    NoLeader,
}

/// One legal move.
pub struct Rule {
    pub from: Stage,
    pub by: Move,
    pub hand: Hand,
    pub to: Stage,
}

const fn rule(from: Stage, by: Move, hand: Hand, to: Stage) -> Rule {
    Rule { from, by, hand, to }
}

/// All that is legal. Anything else is refused by [`refusal`].
pub const TABLE: [Rule; 33] = {
    use Hand::{Leader, Operator, Server, ServerOrLeader};
    use Stage::*;
    [
        rule(Asked, Move::Grant, Leader, Granted),
        rule(Asked, Move::Withdraw, Operator, Withdrawn),
        rule(Asked, Move::Expire, Leader, Lapsed),
        rule(Granted, Move::Begin, Server, Begun),
        rule(Granted, Move::Recall, Leader, Asked),
        rule(Granted, Move::Lapse, Leader, Asked),
        rule(Granted, Move::Withdraw, Operator, Withdrawn),
        rule(Begun, Move::Drain, Server, Draining),
        rule(Begun, Move::Leave, ServerOrLeader, Out),
        rule(Begun, Move::Overrun, Leader, Overdue),
        rule(Begun, Move::WriteOff, Operator, WrittenOff),
        rule(Draining, Move::Leave, ServerOrLeader, Out),
        rule(Draining, Move::Overrun, Leader, Overdue),
        rule(Draining, Move::WriteOff, Operator, WrittenOff),
        // A server may be back before anybody saw it gone.
        rule(Begun, Move::Return, Leader, Back),
        rule(Draining, Move::Return, Leader, Back),
        rule(Out, Move::Return, Leader, Back),
        rule(Out, Move::Overrun, Leader, Overdue),
        rule(Out, Move::WriteOff, Operator, WrittenOff),
        rule(Back, Move::Warm, Leader, Warm),
        rule(Back, Move::Leave, ServerOrLeader, Out),
        // It started once more before it was warm.
        rule(Back, Move::Return, Leader, Back),
        rule(Back, Move::WriteOff, Operator, WrittenOff),
        rule(Warm, Move::Finish, Leader, Done),
        rule(Warm, Move::Cool, Leader, Back),
        rule(Warm, Move::Leave, ServerOrLeader, Out),
        rule(Warm, Move::WriteOff, Operator, WrittenOff),
        rule(Overdue, Move::Return, Leader, Back),
        rule(Warm, Move::Return, Leader, Back),
        rule(Overdue, Move::Leave, ServerOrLeader, Overdue),
        rule(Overdue, Move::Drain, Server, Overdue),
        rule(Overdue, Move::WriteOff, Operator, WrittenOff),
        rule(Out, Move::Leave, ServerOrLeader, Out),
    ]
};

/// Where a move leads. Errors: why it is not made.
pub fn step(from: Stage, by: Move, hand: Hand) -> Result<Stage, Refusal> {
    match TABLE.iter().find(|rule| rule.from == from && rule.by == by) {
        Some(rule) if rule.hand.may(hand) => Ok(rule.to),
        Some(_) => Err(Refusal::NotYours),
        None => Err(refusal(from, by)),
    }
}

/// What a move that is not in the table gets.
fn refusal(from: Stage, by: Move) -> Refusal {
    use Stage::*;
    // The stage from which each move is first thought of, on the way from asked to done.
    let usual = match by {
        Move::Grant | Move::Withdraw | Move::Expire => Asked,
        Move::Begin | Move::Recall | Move::Lapse => Granted,
        Move::Drain | Move::Leave | Move::WriteOff | Move::Overrun => Begun,
        Move::Return => Draining,
        Move::Warm => Back,
        Move::Cool | Move::Finish => Warm,
    };
    match from {
        Done | Withdrawn | Lapsed | WrittenOff => Refusal::Over(from),
        _ if from < usual => Refusal::NotYet(from),
        _ => Refusal::UnderWay(from),
    }
}

/// What somebody wants of one server.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Wanted {
    pub server: Name,
    pub zone: Zone,
    pub reason: String,
    pub urgency: Urgency,
    /// How long it is to be out, ms.
    pub lasts: u64,
    /// When it may be granted, ms from when it is asked: from, and before.
    pub window: Option<(u64, u64)>,
}

/// A reason is at most so long, bytes.
pub const LONGEST_REASON: usize = 256;
/// Work lasts at most so long, ms: a week.
pub const LONGEST_WORK: u64 = 7 * 24 * 3_600_000;

impl Wanted {
    /// Errors: what is wrong with it, in words that name the field.
    pub fn check(&self) -> Result<(), Refusal> {
        let bad = |what: &str| Err(Refusal::Bad(format!("{}: {what}", self.server)));
        let named = 1..=crate::member::LONGEST_NAME;
        if !named.contains(&self.server.len()) || self.zone.len() > crate::member::LONGEST_NAME {
            return bad("server: a name has 1 to 64 bytes");
        }
        if self.reason.len() > LONGEST_REASON {
            return bad("reason: at most 256 bytes");
        }
        if !(1_000..=LONGEST_WORK).contains(&self.lasts) {
            return bad("for: from a second to a week");
        }
        if self.window.is_some_and(|(from, before)| from >= before || before > LONGEST_WORK) {
            return bad("window: it ends after it begins, within a week");
        }
        Ok(())
    }
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ticket {
    pub id: TicketId,
    /// The request that it came with.
    pub key: RequestId,
    pub wanted: Wanted,
    /// Who asked, in the operator's words.
    pub by: String,
    pub stage: Stage,
    pub asked_at: FleetMs,
    /// When it came to its stage.
    pub since: FleetMs,
    /// The last grant; 0 before there is one.
    pub grant: GrantNumber,
    /// Who may begin, and later whoever did.
    pub incarnation: Incarnation,
    /// Who came back; 0 before that.
    pub returned: Incarnation,
    /// Grants that nobody took up.
    pub lapses: u8,
    /// When time does something with it: the grant lapses, or it has to be back.
    pub due: FleetMs,
}

impl Ticket {
    /// Whether its window is open; then `Ok`. Errors: ms until it opens.
    pub fn opens(&self, now: FleetMs) -> Result<(), u64> {
        let from = self.wanted.window.map_or(0, |(from, _)| self.asked_at + from);
        if now >= from { Ok(()) } else { Err(from - now) }
    }

    /// When its window closes, if it has one.
    pub fn closes(&self) -> Option<FleetMs> {
        self.wanted.window.map(|(_, before)| self.asked_at + before)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn the_table_names_each_move_of_each_stage_once() {
        for (at, rule) in TABLE.iter().enumerate() {
            let twins = TABLE.iter().filter(|other| other.from == rule.from && other.by == rule.by).count();
            assert_eq!(twins, 1, "rule {at}");
            assert!(!rule.from.is_over(), "nothing moves once it is over");
        }
    }

    #[test]
    fn every_move_of_every_stage_by_every_hand_is_made_or_refused_for_its_reason() {
        for from in Stage::ALL {
            for by in Move::ALL {
                let rule = TABLE.iter().find(|rule| rule.from == from && rule.by == by);
                for hand in [Hand::Leader, Hand::Server, Hand::Operator] {
                    let made = step(from, by, hand);
                    match (rule, made) {
                        (Some(rule), Ok(to)) => assert!(rule.to == to && rule.hand.may(hand)),
                        (Some(rule), Err(Refusal::NotYours)) => assert!(!rule.hand.may(hand)),
                        (None, Err(Refusal::Over(stage))) => assert!(stage == from && from.is_over()),
                        (None, Err(Refusal::UnderWay(stage) | Refusal::NotYet(stage))) => {
                            assert!(stage == from && !from.is_over());
                        }
                        (_, other) => panic!("{from:?} {by:?} {hand:?}: {other:?}"),
                    }
                }
            }
        }
    }

    #[test]
    fn what_has_begun_is_not_withdrawn_and_what_is_asked_is_not_written_off() {
        assert_eq!(step(Stage::Begun, Move::Withdraw, Hand::Operator), Err(Refusal::UnderWay(Stage::Begun)));
        assert_eq!(step(Stage::Asked, Move::WriteOff, Hand::Operator), Err(Refusal::NotYet(Stage::Asked)));
        assert_eq!(step(Stage::Asked, Move::Begin, Hand::Server), Err(Refusal::NotYet(Stage::Asked)));
    }

    #[test]
    fn a_place_is_kept_from_the_grant_until_it_is_warm_for_good_or_written_off() {
        // No way leads from a stage that holds a place to one that does not, but these.
        for rule in TABLE.iter().filter(|rule| rule.from.holds_place() && !rule.to.holds_place()) {
            let free = matches!(
                (rule.from, rule.by),
                (Stage::Granted, Move::Recall | Move::Lapse | Move::Withdraw)
                    | (Stage::Warm, Move::Finish)
                    | (_, Move::WriteOff)
            );
            assert!(free, "{:?} by {:?}", rule.from, rule.by);
        }
    }
}
