//! Requests and responses on the operators' socket: one value a line, as JSON.

use serde::{Deserialize, Serialize};

use crate::command::{FleetRequest, FleetResponse};
use crate::duty::{DutyName, LeaseSettings, Token};
use crate::status::FleetStatus;
use crate::time::IntegerMillis;

/// Maximum length of a line, bytes: a campaign over as many servers as there may be.
pub const MAX_LINE_BYTES: usize = 4 * 1024 * 1024;

/// Ends each line.
pub const LINE_END: u8 = b'\n';

/// A request of a command line to the server on its machine.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum OperatorRequest {
    /// For the leader, wherever it is.
    Fleet(FleetRequest),
    /// What this server knows by itself, with a leader or without.
    #[serde(rename = "Here")]
    LocalStatus,
    /// Create a fleet with this voter alone.
    #[serde(rename = "Found")]
    Bootstrap,
    /// Recreate the fleet from this voter's data directory.
    Recover,
    /// Whether this server owns a duty. Sent again and again by the process that does the duty's work: that process counts as
    /// running until it sends [`OperatorRequest::WorkEnded`], or is silent for too long.
    #[serde(rename = "Owns")]
    CheckOwnership(DutyName),
    /// The process that did the duty's work has ended.
    #[serde(rename = "LetGo")]
    WorkEnded(DutyName),
}

/// Confirms that the server owns a duty at this moment.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct OwnershipConfirmation {
    /// The owner's fencing token.
    pub token: Token,
    /// The lease is valid for at least this time from when the request was sent, ms.
    #[serde(rename = "left")]
    pub remaining_millis: IntegerMillis,
    /// The owner is to release it.
    #[serde(rename = "recalled")]
    pub is_recalled: bool,
    /// The lease settings of the fleet.
    #[serde(rename = "terms")]
    pub lease_settings: LeaseSettings,
    /// What the last owner wrote for the next one.
    pub checkpoint: Vec<u8>,
}

/// The server's answer to an [`OperatorRequest`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum OperatorResponse {
    /// The leader's response, or that it could not be reached.
    #[serde(rename = "Answer")]
    Response(FleetResponse),
    /// The fleet as this server sees it.
    #[serde(rename = "Here")]
    LocalStatus(Box<FleetStatus>),
    /// Done, with nothing to report.
    Done,
    /// The server owns the duty.
    Owned(OwnershipConfirmation),
    /// The server does not own the duty, or cannot be sure of it.
    NotOwned,
    /// The error, in words.
    #[serde(rename = "Fault")]
    Error(String),
}

/// Writes a request or a response as its line, with the line's end.
///
/// # Errors
/// The value cannot be written as JSON.
pub fn encode_line(value: &impl Serialize) -> Result<Vec<u8>, serde_json::Error> {
    let mut line = serde_json::to_vec(value)?;
    line.push(LINE_END);
    Ok(line)
}
