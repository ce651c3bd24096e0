//! Builds the ticket requests of `work ask` from its options or from a campaign file.

use std::collections::BTreeSet;
use std::path::{Path, PathBuf};
use std::time::Duration;

use loomflow_fleet::maintenance::ticket::{TicketRequest, Urgency};
use loomflow_fleet::member::Zone;
use loomflow_fleet::status::MemberRow;
use loomflow_fleet::time::whole_millis;
use loomflow_settings::campaign::{self, Campaign, Ticket};

use crate::error::CommandError;

/// Default of `--for`: how long a server is planned to be out of service.
const DEFAULT_DURATION: Duration = Duration::from_secs(20 * 60);

/// The options of `work ask`.
#[derive(Default)]
pub struct TicketOptions {
    /// Values of `--server`.
    pub servers: Vec<String>,
    /// Selects every member of this zone.
    pub zone: Option<String>,
    /// `--all`: selects every member.
    pub is_for_all: bool,
    /// A campaign file that lists the tickets.
    pub file: Option<PathBuf>,
    pub reason: String,
    pub urgency: Urgency,
    /// How long each server is planned to be out of service.
    pub duration: Option<Duration>,
    /// Start and end of the time in which a ticket may be granted, counted from the request.
    pub window: Option<(Duration, Duration)>,
    /// If set, starts a campaign of this name instead of requesting all tickets at once.
    pub campaign: Option<String>,
    /// Tickets that the campaign requests at once; 0 counts as 1.
    pub batch_size: u32,
}

impl TicketOptions {
    /// Number of options given that select servers. `work ask` requires exactly one.
    pub fn server_selectors(&self) -> usize {
        let selectors = [!self.servers.is_empty(), self.zone.is_some(), self.is_for_all, self.file.is_some()];
        selectors.into_iter().filter(|is_present| *is_present).count()
    }
}

/// Builds one request per selected server, with its zone taken from `members`.
pub fn requests(options: &TicketOptions, members: &[MemberRow]) -> Result<Vec<TicketRequest>, CommandError> {
    match &options.file {
        Some(file) => requests_from_file(file, members),
        None => requests_from_options(options, members),
    }
}

fn requests_from_file(file: &Path, members: &[MemberRow]) -> Result<Vec<TicketRequest>, CommandError> {
    let campaign = Campaign::load(file)?;
    campaign.tickets.into_iter().map(|ticket| request_from_ticket(ticket, members)).collect()
}

fn request_from_ticket(ticket: Ticket, members: &[MemberRow]) -> Result<TicketRequest, CommandError> {
    let window = ticket.window.as_deref().map(campaign::parse_window).transpose()?;
    let zone = zone_of(&ticket.server, members)?;
    let duration = campaign::parse_duration(&ticket.lasts)?;
    Ok(TicketRequest {
        zone,
        server: ticket.server,
        reason: ticket.reason,
        urgency: match ticket.urgency {
            campaign::Urgency::Routine => Urgency::Routine,
            campaign::Urgency::Urgent => Urgency::Urgent,
            campaign::Urgency::Broken => Urgency::Broken,
        },
        duration_millis: whole_millis(duration),
        window: window.map(|(from, before)| (whole_millis(from), whole_millis(before))),
    })
}

fn requests_from_options(
    options: &TicketOptions,
    members: &[MemberRow],
) -> Result<Vec<TicketRequest>, CommandError> {
    let servers: BTreeSet<String> = if options.servers.is_empty() {
        let is_selected = |member: &&MemberRow| options.zone.as_ref().is_none_or(|zone| *zone == member.zone);
        members.iter().filter(is_selected).map(|member| member.name.clone()).collect()
    } else {
        options.servers.iter().cloned().collect()
    };
    if servers.is_empty() {
        return Err(CommandError::NoServers);
    }
    let request = |server: String| {
        Ok(TicketRequest {
            zone: zone_of(&server, members)?,
            server,
            reason: options.reason.clone(),
            urgency: options.urgency,
            duration_millis: whole_millis(options.duration.unwrap_or(DEFAULT_DURATION)),
            window: options.window.map(|(from, before)| (whole_millis(from), whole_millis(before))),
        })
    };
    servers.into_iter().map(request).collect()
}

fn zone_of(server: &str, members: &[MemberRow]) -> Result<Zone, CommandError> {
    let member = members.iter().find(|member| member.name == server);
    let member = member.ok_or_else(|| CommandError::UnknownServer(server.to_owned()))?;
    Ok(member.zone.clone())
}
