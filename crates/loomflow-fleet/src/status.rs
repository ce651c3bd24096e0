//! The fleet as one member sees it, for operators.

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
    /// The leader, if one is known.
    pub leader: Option<ServerName>,
    /// The term of the log.
    pub term: u64,
    /// The index up to which the log is applied.
    pub index: u64,
    /// Who has a vote.
    pub voters: Vec<ServerName>,
    /// False where the responding server does not lead, so that this may be outdated.
    #[serde(rename = "fresh")]
    pub is_from_leader: bool,
    /// All members.
    pub members: Vec<MemberRow>,
    /// The rules in force.
    pub rules: Rules,
    /// Why grants are paused; none where they are not.
    pub paused: Option<String>,
    /// Open tickets.
    pub open: u32,
    /// Servers that have a place.
    pub out: u32,
    /// Servers that were shut down without a ticket, since the fleet began.
    #[serde(rename = "unasked")]
    pub drains_without_ticket: u64,
    /// The fleet's time.
    pub time: FleetMillis,
    /// What is wrong with the storage of the responding server.
    #[serde(rename = "fault")]
    pub storage_error: Option<String>,
    /// The summary that the responding server received last.
    pub summary: Option<SummaryReport>,
    /// Messages of former owners of duties that the responding server rejected.
    #[serde(rename = "refused")]
    pub rejected_messages: u64,
}

/// A summary as a member received it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct SummaryReport {
    /// The owner of the summary.
    #[serde(rename = "by")]
    pub owner: ServerName,
    /// Its fencing token.
    pub token: Token,
    /// Time since it was received, ms.
    #[serde(rename = "age")]
    pub age_millis: IntegerMillis,
    /// The figures.
    pub summary: Summary,
}

/// One member in a [`FleetStatus`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct MemberRow {
    /// The server.
    pub name: ServerName,
    /// Its zone.
    pub zone: Zone,
    /// Where it listens for the fleet.
    pub address: String,
    /// Its last known start.
    pub incarnation: Incarnation,
    /// What it is doing.
    #[serde(rename = "standing")]
    pub state: MemberState,
    /// Whether it has a vote.
    #[serde(rename = "voter")]
    pub is_voter: bool,
    /// Its last load report.
    #[serde(rename = "digest")]
    pub load_report: Option<LoadReport>,
    /// Age of that report, ms.
    #[serde(rename = "age")]
    pub report_age_millis: Option<IntegerMillis>,
    /// The ticket by which it has a place, and its stage.
    pub ticket: Option<(TicketId, TicketStage)>,
}
