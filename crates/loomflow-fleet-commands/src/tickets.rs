//! Which servers a request for tickets is about, and what it says of each.

use std::collections::BTreeSet;
use std::path::{Path, PathBuf};
use std::time::Duration;

use loomflow_fleet::maintenance::ticket::{TicketRequest, Urgency};
use loomflow_fleet::member::Zone;
use loomflow_fleet::status::MemberRow;
use loomflow_fleet::time::whole_millis;
use loomflow_settings::campaign::{self, Campaign, Ticket};

use crate::error::CommandError;

/// How long a server is to be out without `--for`.
const DEFAULT_DURATION: Duration = Duration::from_secs(20 * 60);

/// The options of `work ask`.
#[derive(Default)]
pub struct TicketOptions {
    pub servers: Vec<String>,
    pub zone: Option<String>,
    pub is_for_all: bool,
    /// A file with tickets.
    pub file: Option<PathBuf>,
    pub reason: String,
    pub urgency: Urgency,
    pub duration: Option<Duration>,
    /// When it may be granted, from now on: from, and before.
    pub window: Option<(Duration, Duration)>,
    /// A campaign of that name, and its tickets at once.
    pub campaign: Option<String>,
    pub batch_size: u32,
}

impl TicketOptions {
    /// How many of the options that choose servers are given; one has to be.
    pub fn ways_to_choose_servers(&self) -> usize {
        let ways = [!self.servers.is_empty(), self.zone.is_some(), self.is_for_all, self.file.is_some()];
        ways.into_iter().filter(|is_present| *is_present).count()
    }
}

/// A request for each server that is meant, with its zone as the fleet knows it.
pub fn requests(options: &TicketOptions, members: &[MemberRow]) -> Result<Vec<TicketRequest>, CommandError> {
    match &options.file {
        Some(file) => requests_of_file(file, members),
        None => requests_of_options(options, members),
    }
}

fn requests_of_file(file: &Path, members: &[MemberRow]) -> Result<Vec<TicketRequest>, CommandError> {
    let campaign = Campaign::load(file)?;
    campaign.tickets.into_iter().map(|ticket| request_of_ticket(ticket, members)).collect()
}

fn request_of_ticket(ticket: Ticket, members: &[MemberRow]) -> Result<TicketRequest, CommandError> {
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

fn requests_of_options(
    options: &TicketOptions,
    members: &[MemberRow],
) -> Result<Vec<TicketRequest>, CommandError> {
    let servers: BTreeSet<String> = if options.servers.is_empty() {
        let is_meant = |member: &&MemberRow| options.zone.as_ref().is_none_or(|zone| *zone == member.zone);
        members.iter().filter(is_meant).map(|member| member.name.clone()).collect()
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
