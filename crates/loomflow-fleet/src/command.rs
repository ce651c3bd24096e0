//! What the log and the leader are asked: commands, the entries of the log that carry them, requests to the leader, and its
//! responses. They are about maintenance, duties and campaigns alike.

use serde::{Deserialize, Serialize};

use crate::duty::{DutyCommand, DutyResponse};
use crate::maintenance::FleetAvailability;
use crate::maintenance::campaign::{CampaignCommand, CampaignView};
use crate::maintenance::rules::Rules;
use crate::maintenance::scheduling::Explanation;
use crate::maintenance::state::TicketEvent;
use crate::maintenance::ticket::{GrantNumber, Rejection, Ticket, TicketId, TicketRequest, Transition};
use crate::member::{FleetRequestId, Incarnation, ServerName};
use crate::status::FleetStatus;
use crate::time::FleetMillis;

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
    pub id: FleetRequestId,
    /// The fleet's time, as the leader counts it.
    pub at: FleetMillis,
    /// Who issued the command.
    pub issuer: Issuer,
    /// What is to be applied.
    pub command: FleetCommand,
}

/// What a log entry changes.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum FleetCommand {
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
        #[serde(rename = "census")]
        availability: FleetAvailability,
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

/// A request to the leader; any member takes it and forwards it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum FleetRequest {
    /// Puts a command into the log.
    #[serde(rename = "Do")]
    Execute {
        /// Who issues it.
        #[serde(rename = "by")]
        issuer: Issuer,
        /// The command.
        command: FleetCommand,
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

/// The response to a [`FleetRequest`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum FleetResponse {
    /// Done, with the tickets that it was about.
    Done(Vec<TicketId>),
    /// Not done, and nothing has changed.
    #[serde(rename = "Refused")]
    Rejected(Rejection),
    /// To [`FleetRequest::Status`].
    Status(Box<FleetStatus>),
    /// To [`FleetRequest::Tickets`].
    Tickets {
        /// Open tickets, by their number.
        open: Vec<Ticket>,
        /// Closed tickets, the last first.
        #[serde(rename = "over")]
        closed: Vec<Ticket>,
        /// The history, the last first.
        events: Vec<TicketEvent>,
    },
    /// To [`FleetRequest::Explain`].
    #[serde(rename = "Explained")]
    Explanation(Explanation),
    /// To [`FleetRequest::Duties`] and commands on duties.
    Duty(DutyResponse),
    /// To [`FleetRequest::Campaigns`].
    Campaigns(Vec<CampaignView>),
}
