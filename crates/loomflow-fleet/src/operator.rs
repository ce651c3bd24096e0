//! What an operator's command says to the server on its machine, and hears: one value a line, as JSON.

use serde::{Deserialize, Serialize};

use crate::duty::{DutyName, Terms, Token};
use crate::order::{Answer, Ask, Status};

/// The longest line, bytes: a campaign over as many servers as there may be.
pub const LONGEST_LINE: usize = 4 * 1024 * 1024;

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Say {
    /// For the leader, wherever it is.
    Fleet(Ask),
    /// What this server knows by itself, with a leader or without.
    Here,
    /// Begin a fleet with this voter.
    Found,
    /// Make the fleet anew from what this voter's folder holds.
    Recover,
    /// Whether this server owns a duty. Asked again and again by whoever does its work: it counts as at work until it says
    /// that it has let go, or is no longer heard.
    Owns(DutyName),
    /// Whoever did its work has ended.
    LetGo(DutyName),
}

/// What a server owns at this moment.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Owned {
    pub token: Token,
    /// So long it is surely its own, ms.
    pub left: u64,
    /// It is to hand it over.
    pub recalled: bool,
    pub terms: Terms,
    pub checkpoint: Vec<u8>,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Hear {
    Answer(Answer),
    Here(Box<Status>),
    Done,
    Owned(Owned),
    NotOwned,
    /// In words.
    Fault(String),
}
