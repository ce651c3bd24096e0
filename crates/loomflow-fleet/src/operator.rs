//! What an operator's command says to the server on its machine, and hears: one value a line, as JSON.

use serde::{Deserialize, Serialize};

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
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Hear {
    Answer(Answer),
    Here(Box<Status>),
    Done,
    /// In words.
    Fault(String),
}
