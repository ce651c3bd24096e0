//! The fleet's status, as operators receive it.

use serde::{Deserialize, Serialize};

use crate::duty::Token;
use crate::duty::summary::Summary;
use crate::maintenance::rules::Rules;
use crate::maintenance::ticket::{TicketId, TicketStage};
use crate::member::{Incarnation, LoadReport, MemberState, ServerName, Zone};
use crate::time::{FleetMillis, IntegerMillis};

/// The fleet as one member sees it.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct FleetStatus {
    /// The fleet's name.
    pub fleet: String,
    /// The leader, if the responding server knows one.
    pub leader: Option<ServerName>,
    /// The Raft term; 0 if the responding server is not a voter.
    pub term: u64,
    /// Index of the last log entry that the responding server applied.
    pub index: u64,
    /// The current voters, as known to the responding server.
    pub voters: Vec<ServerName>,
    /// Whether the responding server leads. Otherwise the status may be outdated.
    #[serde(rename = "fresh")]
    pub is_from_leader: bool,
    /// All known members, including the responding server.
    pub members: Vec<MemberRow>,
    /// The current rules for maintenance.
    pub rules: Rules,
    /// The reason for which grants are paused; `None` if they are not.
    pub paused: Option<String>,
    /// Number of open tickets.
    pub open: u32,
    /// Number of servers that hold a maintenance slot.
    pub out: u32,
    /// Number of shutdowns without a ticket since the fleet was created.
    #[serde(rename = "unasked")]
    pub drains_without_ticket: u64,
    /// The fleet's time, ms.
    pub time: FleetMillis,
    /// The storage error of the responding server, if any.
    #[serde(rename = "fault")]
    pub storage_error: Option<String>,
    /// The last summary that the responding server received.
    pub summary: Option<SummaryReport>,
    /// Number of messages from previous owners of duties that the responding server rejected.
    #[serde(rename = "refused")]
    pub rejected_messages: u64,
}

/// A summary that a member received from the owner of the summary duty.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct SummaryReport {
    /// The sender, which owned the summary duty.
    #[serde(rename = "by")]
    pub owner: ServerName,
    /// The owner's fencing token.
    pub token: Token,
    /// Time since the summary was received, ms.
    #[serde(rename = "age")]
    pub age_millis: IntegerMillis,
    /// The received summary.
    pub summary: Summary,
}

/// One member in a [`FleetStatus`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct MemberRow {
    /// The server's name.
    pub name: ServerName,
    /// The server's zone.
    pub zone: Zone,
    /// The address at which the server listens for other members.
    pub address: String,
    /// The last known incarnation of the server.
    pub incarnation: Incarnation,
    /// The server's state, `Out` if it is down during maintenance.
    #[serde(rename = "standing")]
    pub state: MemberState,
    /// Whether the server is a voter.
    #[serde(rename = "voter")]
    pub is_voter: bool,
    /// The last load report, of any age.
    #[serde(rename = "digest")]
    pub load_report: Option<LoadReport>,
    /// Age of the last load report, ms.
    #[serde(rename = "age")]
    pub report_age_millis: Option<IntegerMillis>,
    /// The ticket for which the server holds a maintenance slot, and its stage.
    pub ticket: Option<(TicketId, TicketStage)>,
}
