//! The schedule by which machines are taken out for maintenance, as one state machine applied from the log: the same entries
//! give the same state on every voter.
//!
//! - [`ticket`]: stages and transitions, and the table of what is legal.
//! - [`rules`]: how many may be out, as the operators set it.
//! - [`state`]: the state machine: applies entries, enforces its bounds, and acts when deadlines pass.
//! - [`headroom`]: whether those who stay can carry the fleet's load, judged from their load reports.
//! - [`scheduling`]: which server is next, and why each of the others waits. Used by the leader alone; its decisions go
//!   into the log.
//! - [`campaign`]: many tickets in batches, and when a campaign halts.
//! - [`observation`]: the transitions that follow from what the leader sees of members: down, back, ready.
//!
//! Many fields and variants have another name in JSON, which operators' tools read: `#[serde(rename)]` keeps that name. The
//! log and snapshots are postcard, which holds no names.

pub mod campaign;
pub mod headroom;
pub mod observation;
pub mod rules;
pub mod scheduling;
pub mod state;
pub mod ticket;

use serde::{Deserialize, Serialize};

use crate::duty::{self, DutyCommand, Token, summary::Summary};
use crate::member::{Incarnation, LoadReport, MemberState, RequestId, ServerName, Zone};
use crate::time::{FleetMillis, WholeMillis};
use campaign::{CampaignCommand, CampaignView};
use rules::Rules;
use ticket::{GrantNumber, Rejection, Ticket, TicketId, TicketRequest, TicketStage, Transition};

/// Who issued a command.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Issuer {
    /// The leader of the log.
    Leader,
    /// A start of a server.
    Server {
        /// The server.
        name: ServerName,
        /// Which start of it.
        incarnation: Incarnation,
    },
    /// An operator, by the name of the account.
    Operator(String),
}

/// One entry of the log.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Entry {
    /// Identifies the request: a retry has no further effect.
    pub id: RequestId,
    /// The fleet's time, as the leader counts it.
    pub at: FleetMillis,
    /// Who issued the command.
    pub issuer: Issuer,
    /// What is to be applied.
    pub command: MaintenanceCommand,
}

/// What a log entry changes.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum MaintenanceCommand {
    /// One ticket for each request, all or none.
    #[serde(rename = "Ask")]
    CreateTickets(Vec<TicketRequest>),
    /// Advances a ticket: reported by its server, observed by the leader, or requested by an operator.
    #[serde(rename = "Move")]
    Transition {
        /// The ticket.
        ticket: TicketId,
        /// What happens to it.
        #[serde(rename = "by")]
        transition: Transition,
        /// The grant that this rests on.
        grant: GrantNumber,
        /// The start of the server that this is about.
        incarnation: Incarnation,
    },
    /// Lets a ticket's server go.
    Grant {
        /// The ticket.
        ticket: TicketId,
        /// The start of the server that may go.
        incarnation: Incarnation,
        /// Whom the leader saw.
        census: Census,
    },
    /// No grants until resumed; with the reason.
    Pause(String),
    /// Grants again.
    Resume,
    /// Replaces the rules.
    Rules(Rules),
    /// A server was shut down without a ticket.
    #[serde(rename = "Unasked")]
    DrainedWithoutTicket(ServerName),
    /// Only its time counts.
    Clock,
    /// On a duty: applied by [`crate::fleet_state`].
    Duty(DutyCommand),
    /// On a campaign: applied by [`crate::fleet_state`].
    Campaign(CampaignCommand),
}

/// Whom the leader saw when it decided: what a grant rests on beside the tickets.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Census {
    /// How many members there are, by zone, missing ones included.
    pub zones: Vec<(Zone, u32)>,
    /// Those that count as out whatever their tickets: down, suspect, cold, draining, left, or with no recent load report.
    pub away: Vec<(ServerName, Zone)>,
}

/// A request to the leader; any member takes it and forwards it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Request {
    /// Puts a command into the log.
    #[serde(rename = "Do")]
    Execute {
        /// Who issues it.
        #[serde(rename = "by")]
        issuer: Issuer,
        /// The command.
        command: MaintenanceCommand,
    },
    /// The fleet as the leader sees it.
    Status,
    /// Tickets that are open, and the last of those that are closed.
    Tickets,
    /// Why this server waits.
    Explain(ServerName),
    /// All duties and their history.
    Duties,
    /// All campaigns.
    Campaigns,
}

/// The response to a [`Request`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Response {
    /// Done, with the tickets that it was about.
    Done(Vec<TicketId>),
    /// Not done, and nothing has changed.
    #[serde(rename = "Refused")]
    Rejected(Rejection),
    /// To [`Request::Status`].
    Status(Box<Status>),
    /// To [`Request::Tickets`].
    Tickets {
        /// Open tickets, by their number.
        open: Vec<Ticket>,
        /// Closed tickets, the last first.
        #[serde(rename = "over")]
        closed: Vec<Ticket>,
        /// The history, the last first.
        events: Vec<state::TicketEvent>,
    },
    /// To [`Request::Explain`].
    #[serde(rename = "Explained")]
    Explanation(scheduling::Explanation),
    /// To [`Request::Duties`] and commands on duties.
    Duty(duty::Response),
    /// To [`Request::Campaigns`].
    Campaigns(Vec<CampaignView>),
}

/// The fleet as one member sees it.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Status {
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
    pub age_millis: WholeMillis,
    /// The figures.
    pub summary: Summary,
}

/// One member in a [`Status`].
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
    pub report_age_millis: Option<WholeMillis>,
    /// The ticket by which it has a place, and its stage.
    pub ticket: Option<(TicketId, TicketStage)>,
}
