//! Commands on maintenance, duties and campaigns, the log entries that contain them, and requests to the
//! leader with their responses.

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

/// The issuer of a command, which determines the commands it may issue.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Issuer {
    /// The voter that currently leads the fleet.
    Leader,
    /// A server, in one of its incarnations.
    Server {
        /// The server's name.
        name: ServerName,
        /// The incarnation of the server that issued the command.
        incarnation: Incarnation,
    },
    /// An operator, identified by the account name.
    Operator(String),
}

/// One entry of the replicated log.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Entry {
    /// Id of the request that caused the entry. If an entry with this id was applied before, this one has no
    /// effect.
    pub id: FleetRequestId,
    /// The fleet's time at the proposal, as counted by the leader.
    pub at: FleetMillis,
    /// The issuer of the command.
    pub issuer: Issuer,
    /// The command to apply.
    pub command: FleetCommand,
}

/// A change of the fleet's state.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum FleetCommand {
    /// Creates one ticket for each request: all of them or none.
    #[serde(rename = "Ask")]
    CreateTickets(Vec<TicketRequest>),
    /// Advances a ticket: reported by its server, observed by the leader, or requested by an operator.
    #[serde(rename = "Move")]
    Transition {
        /// The ticket to advance.
        ticket: TicketId,
        /// The transition of the ticket.
        #[serde(rename = "by")]
        transition: Transition,
        /// The grant that the transition refers to.
        grant: GrantNumber,
        /// The incarnation of the server that the transition refers to.
        incarnation: Incarnation,
    },
    /// Permits a ticket's server to shut down for maintenance.
    Grant {
        /// The ticket to grant.
        ticket: TicketId,
        /// The incarnation of the server that receives the grant.
        incarnation: Incarnation,
        /// The members as the leader saw them when it decided on the grant.
        #[serde(rename = "census")]
        availability: FleetAvailability,
    },
    /// Suspends grants until [`FleetCommand::Resume`], for the given reason.
    Pause(String),
    /// Resumes grants.
    Resume,
    /// Replaces the rules for maintenance.
    Rules(Rules),
    /// Records that a server was shut down without a ticket.
    #[serde(rename = "Unasked")]
    DrainedWithoutTicket(ServerName),
    /// Advances the fleet's time, and changes nothing else.
    Clock,
    /// A command on duties, applied by [`crate::fleet_state`].
    Duty(DutyCommand),
    /// A command on a campaign, applied by [`crate::fleet_state`].
    Campaign(CampaignCommand),
}

/// A request to the leader. Any member accepts it and forwards it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum FleetRequest {
    /// Proposes a command for the log.
    #[serde(rename = "Do")]
    Execute {
        /// The issuer of the command.
        #[serde(rename = "by")]
        issuer: Issuer,
        /// The command to propose.
        command: FleetCommand,
    },
    /// Queries the fleet's status as the leader sees it.
    Status,
    /// Queries the open tickets, the last closed ones and the last events.
    Tickets,
    /// Queries why the named server's ticket is not granted.
    Explain(ServerName),
    /// Queries all duties and their history.
    Duties,
    /// Queries all campaigns.
    Campaigns,
}

/// The response to a [`FleetRequest`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum FleetResponse {
    /// The command was applied; with the tickets that it concerned.
    Done(Vec<TicketId>),
    /// The command was rejected and changed nothing, or the leader could not be reached.
    #[serde(rename = "Refused")]
    Rejected(Rejection),
    /// Response to [`FleetRequest::Status`].
    Status(Box<FleetStatus>),
    /// Response to [`FleetRequest::Tickets`].
    Tickets {
        /// Open tickets, in ascending order of their ids.
        open: Vec<Ticket>,
        /// Closed tickets, the latest first.
        #[serde(rename = "over")]
        closed: Vec<Ticket>,
        /// Events of tickets, the latest first.
        events: Vec<TicketEvent>,
    },
    /// Response to [`FleetRequest::Explain`].
    #[serde(rename = "Explained")]
    Explanation(Explanation),
    /// Response to [`FleetRequest::Duties`] and to commands on duties.
    Duty(DutyResponse),
    /// Response to [`FleetRequest::Campaigns`].
    Campaigns(Vec<CampaignView>),
}
