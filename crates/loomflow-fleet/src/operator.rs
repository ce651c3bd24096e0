//! Requests and responses on the operators' socket, each a line of JSON.

use serde::{Deserialize, Serialize};

use crate::command::{FleetRequest, FleetResponse};
use crate::duty::{DutyName, LeaseSettings, Token};
use crate::status::FleetStatus;
use crate::time::IntegerMillis;

/// Maximum length of a line, bytes: enough for a campaign over the maximum number of servers.
pub const MAX_LINE_BYTES: usize = 4 * 1024 * 1024;

/// The byte that ends each line.
pub const LINE_END: u8 = b'\n';

/// A request from a command to the server on the same machine.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum OperatorRequest {
    /// A request that the server forwards to the leader.
    Fleet(FleetRequest),
    /// Queries the fleet's status as this server sees it, whether there is a leader or not.
    #[serde(rename = "Here")]
    LocalStatus,
    /// Creates a fleet with this voter as its only member.
    #[serde(rename = "Found")]
    Bootstrap,
    /// Recreates the fleet from this voter's data directory.
    Recover,
    /// Queries whether this server owns a duty. The process that does the duty's work sends it periodically: it counts as
    /// running until it sends [`OperatorRequest::WorkEnded`], or the ownership confirmed to it has expired.
    #[serde(rename = "Owns")]
    CheckOwnership(DutyName),
    /// Reports that the work of the process that sends it has ended, or will not begin.
    #[serde(rename = "LetGo")]
    WorkEnded(DutyName),
}

/// Confirms that the server currently owns a duty.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct OwnershipConfirmation {
    /// The owner's fencing token.
    pub token: Token,
    /// Minimum time for which the lease remains valid, counted from the sending of the request, ms.
    #[serde(rename = "left")]
    pub remaining_millis: IntegerMillis,
    /// Whether the owner must release the duty.
    #[serde(rename = "recalled")]
    pub is_recalled: bool,
    /// The fleet's lease settings.
    #[serde(rename = "terms")]
    pub lease_settings: LeaseSettings,
    /// The last checkpoint that an owner wrote for its successor.
    pub checkpoint: Vec<u8>,
}

/// The server's response to an [`OperatorRequest`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum OperatorResponse {
    /// The leader's response, or a rejection because it could not be reached.
    #[serde(rename = "Answer")]
    Response(FleetResponse),
    /// The fleet as this server sees it.
    #[serde(rename = "Here")]
    LocalStatus(Box<FleetStatus>),
    /// The request was carried out; there is no further result.
    Done,
    /// The server owns the duty.
    Owned(OwnershipConfirmation),
    /// The server does not own the duty, or cannot be certain that it does.
    NotOwned,
    /// The request failed; with a description of the error.
    #[serde(rename = "Fault")]
    Error(String),
}

/// Encodes a request or a response as a line, including [`LINE_END`].
///
/// # Errors
/// The value cannot be encoded as JSON.
pub fn encode_line(value: &impl Serialize) -> Result<Vec<u8>, serde_json::Error> {
    let mut line = serde_json::to_vec(value)?;
    line.push(LINE_END);
    Ok(line)
}
