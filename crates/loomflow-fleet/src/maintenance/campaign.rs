//! Campaigns: rollouts of many tickets in batches, driven by the owner of the campaign duty. The progress of each campaign
//! is replicated, so that a new owner continues where the last one stopped and a repeated request for a batch is rejected.
//!
//! A batch is requested when all tickets of the one before are done. A campaign halts when a ticket of the last batch is
//! overdue or ends in another way, or when the returned servers request clearly less of their usual traffic than before: the
//! rollout has made them worse, and must not reach the rest of the fleet. An operator resumes or drops a halted campaign.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use super::state::MaintenanceState;
use super::ticket::{Rejection, TicketId, TicketRequest, TicketStage};
use crate::duty::{Token, truncate_reason};
use crate::member::{FleetRequestId, MAX_NAME_BYTES, MemberView, ServerName};

/// Maximum number of campaigns, including finished ones that are retained.
pub const MAX_CAMPAIGNS: usize = 16;
/// Maximum number of tickets of one campaign.
pub const MAX_TICKETS: usize = 10_000;
/// A campaign halts when the mean send share of the last batch's servers fell by more than this.
pub const MAX_SHARE_DROP: f32 = 0.1;

/// Whether a campaign requests further batches.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum CampaignStatus {
    /// Requests the next batch when the last one is done.
    #[serde(rename = "Runs")]
    Running,
    /// Requests no batch until an operator resumes the campaign; with the reason.
    Halted(String),
    /// All batches are done.
    Done,
}

/// The replicated state of one campaign.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Campaign {
    /// The operator who started the campaign.
    pub requested_by: String,
    requests: Vec<TicketRequest>,
    /// Number of tickets of one batch.
    pub batch_size: u32,
    /// Index of the campaign's first request that has no ticket yet.
    pub next_index: u32,
    /// Tickets of the last batch; empty before the first one and after a resume.
    last_tickets: Vec<TicketId>,
    /// Mean send share of the last batch's servers before the batch was requested.
    share_before: f32,
    /// Whether the campaign is running, halted or done.
    pub status: CampaignStatus,
}

/// A command on a campaign, as it is written to the log.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum CampaignCommand {
    /// By an operator: starts a new campaign.
    Start {
        /// Name of the campaign, 1 to 64 bytes.
        name: String,
        /// The tickets to create, in order; 1 to [`MAX_TICKETS`].
        #[serde(rename = "wanted")]
        requests: Vec<TicketRequest>,
        /// Number of tickets of one batch, at least 1.
        #[serde(rename = "batch")]
        batch_size: u32,
    },
    /// By an operator: continues a halted campaign of this name.
    Resume(String),
    /// By an operator: deletes the campaign of this name. Its tickets remain.
    Drop(String),
    /// By the owner of the campaign duty: requests the next batch, or marks the campaign done if no request
    /// is left.
    Next {
        /// Name of the campaign.
        name: String,
        /// Index of the batch's first request.
        #[serde(rename = "from")]
        from_index: u32,
        /// Mean send share of the batch's servers now.
        #[serde(rename = "base")]
        share_before: f32,
        /// The owner's fencing token.
        token: Token,
    },
    /// By the owner of the campaign duty: halts the campaign.
    Halt {
        /// Name of the campaign.
        name: String,
        /// The campaign's next index as the owner knows it; the command is rejected if it has changed.
        #[serde(rename = "from")]
        from_index: u32,
        /// The reason, shown to operators.
        reason: String,
        /// The owner's fencing token.
        token: Token,
    },
}

impl CampaignCommand {
    /// The fencing token of a command by the duty's owner; `None` for operators' commands.
    pub fn token(&self) -> Option<Token> {
        match self {
            CampaignCommand::Next { token, .. } | CampaignCommand::Halt { token, .. } => Some(*token),
            _ => None,
        }
    }
}

/// A campaign as the leader reports it, to the duty's owner for its decisions and to operators.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct CampaignView {
    /// Name of the campaign.
    pub name: String,
    /// The operator who started the campaign.
    #[serde(rename = "by")]
    pub requested_by: String,
    /// Whether the campaign is running, halted or done.
    #[serde(rename = "stand")]
    pub status: CampaignStatus,
    /// Index of the first request that has no ticket yet.
    #[serde(rename = "next")]
    pub next_index: u32,
    /// Total number of requests of the campaign.
    #[serde(rename = "all")]
    pub total: u32,
    /// Servers of the last batch with the stages of their tickets; `None` if a ticket is no longer retained.
    #[serde(rename = "last")]
    pub last_batch: Vec<(ServerName, Option<TicketStage>)>,
    /// Mean send share of the last batch's servers before the batch was requested.
    #[serde(rename = "base")]
    pub share_before: f32,
    /// Mean send share of the last batch's servers now; `None` without a batch or a recent load report of each server.
    #[serde(rename = "now")]
    pub share_now: Option<f32>,
    /// Mean send share of the next batch's servers now; `None` without a batch or a recent load report of each server.
    #[serde(rename = "coming")]
    pub next_batch_share: Option<f32>,
}

/// The next action of the duty's owner on a campaign.
#[derive(Clone, Debug, PartialEq)]
pub enum CampaignStep {
    /// Request the next batch, or end the campaign if no request is left.
    Next {
        /// Index of the batch's first request.
        from_index: u32,
        /// Mean send share of the batch's servers now; 1 if no request is left.
        share_before: f32,
    },
    /// Halt the campaign.
    Halt {
        /// Index of the first request that has no ticket yet.
        from_index: u32,
        /// The reason, shown to operators.
        reason: String,
    },
}

/// The next action on a campaign; `None` while it has to wait, or is halted or done.
pub fn next_step(view: &CampaignView) -> Option<CampaignStep> {
    if view.status != CampaignStatus::Running {
        return None;
    }
    let from_index = view.next_index;
    if let Some(reason) = failed_ticket(view) {
        return Some(CampaignStep::Halt { from_index, reason });
    }
    let is_open = |stage: &Option<TicketStage>| stage.is_some_and(|stage| !stage.is_closed());
    if view.last_batch.iter().any(|(_, stage)| is_open(stage)) {
        return None;
    }
    // Wait for the load reports of all servers of the last batch before comparing their share.
    if !view.last_batch.is_empty() {
        let (now, before) = (view.share_now?, view.share_before);
        if now < before - MAX_SHARE_DROP {
            let reason = format!("the mean send share of the last batch fell from {before:.2} to {now:.2}");
            return Some(CampaignStep::Halt { from_index, reason });
        }
    }
    // After the last batch, another `Next` with no requests ends the campaign.
    let is_complete = view.next_index >= view.total;
    let share_before = if is_complete { 1.0 } else { view.next_batch_share? };
    Some(CampaignStep::Next { from_index, share_before })
}

/// The reason to halt for the first ticket of the last batch that is overdue or was closed without being done; `None` if
/// there is no such ticket.
fn failed_ticket(view: &CampaignView) -> Option<String> {
    view.last_batch.iter().find_map(|(server, stage)| match stage {
        Some(TicketStage::Overdue) => Some(format!("{server} is overdue")),
        Some(stage) if stage.is_closed() && *stage != TicketStage::Done => {
            Some(format!("the ticket of {server} is {}", stage.as_str()))
        }
        _ => None,
    })
}

/// All campaigns, by name.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Campaigns(BTreeMap<String, Campaign>);

impl Campaigns {
    /// Whether any campaign is running.
    pub fn is_any_running(&self) -> bool {
        self.0.values().any(|campaign| campaign.status == CampaignStatus::Running)
    }

    /// Applies one command. The caller has checked an owner's token. Tickets are created under `request_id`, the id of the
    /// log entry.
    ///
    /// # Errors
    /// The campaign is unknown, not running, or not at the command's index; the parameters are invalid; or the tickets are
    /// rejected.
    pub fn apply(
        &mut self,
        maintenance: &mut MaintenanceState,
        request_id: FleetRequestId,
        requested_by: &str,
        command: &CampaignCommand,
    ) -> Result<Vec<TicketId>, Rejection> {
        match command {
            CampaignCommand::Start { name, requests, batch_size } => {
                self.start(name, requests, *batch_size, requested_by)?;
            }
            CampaignCommand::Resume(name) => {
                let campaign = self.campaign(name)?;
                if let CampaignStatus::Halted(_) = campaign.status {
                    // Forget the last batch, so that the campaign does not halt again for the same reason.
                    campaign.status = CampaignStatus::Running;
                    campaign.last_tickets.clear();
                }
            }
            CampaignCommand::Drop(name) => {
                self.0.remove(name).ok_or_else(|| unknown_campaign(name))?;
            }
            CampaignCommand::Next { name, from_index, share_before, .. } => {
                let campaign = self.running_campaign(name, *from_index)?;
                return campaign.create_batch(maintenance, request_id, name, *share_before);
            }
            CampaignCommand::Halt { name, from_index, reason, .. } => {
                let status = CampaignStatus::Halted(truncate_reason(reason));
                self.running_campaign(name, *from_index)?.status = status;
            }
        }
        Ok(Vec::new())
    }

    fn start(
        &mut self,
        name: &str,
        requests: &[TicketRequest],
        batch_size: u32,
        requested_by: &str,
    ) -> Result<(), Rejection> {
        let invalid = |what: &str| Err(Rejection::Invalid(format!("campaign {name:?}: {what}")));
        if !(1..=MAX_NAME_BYTES).contains(&name.len()) {
            return invalid(&format!("a name has 1 to {MAX_NAME_BYTES} bytes"));
        }
        if batch_size == 0 || requests.is_empty() || requests.len() > MAX_TICKETS {
            let max_tickets = group_thousands(MAX_TICKETS);
            return invalid(&format!("a batch of one at least, and 1 to {max_tickets} tickets"));
        }
        if self.0.get(name).is_some_and(|campaign| campaign.status != CampaignStatus::Done) {
            return invalid("it is there already");
        }
        requests.iter().try_for_each(TicketRequest::check)?;
        self.evict_finished(name)?;
        let campaign = Campaign {
            requested_by: requested_by.to_owned(),
            requests: requests.to_vec(),
            batch_size,
            next_index: 0,
            last_tickets: Vec::new(),
            share_before: 1.0,
            status: CampaignStatus::Running,
        };
        self.0.insert(name.to_owned(), campaign);
        Ok(())
    }

    /// Deletes a finished campaign if [`MAX_CAMPAIGNS`] exist already and `name` is a new one.
    fn evict_finished(&mut self, name: &str) -> Result<(), Rejection> {
        if self.0.len() < MAX_CAMPAIGNS || self.0.contains_key(name) {
            return Ok(());
        }
        let finished = self.0.iter().find(|(_, campaign)| campaign.status == CampaignStatus::Done);
        let finished = finished.map(|(name, _)| name.clone());
        self.0.remove(&finished.ok_or(Rejection::TooMany(MAX_CAMPAIGNS as u32))?);
        Ok(())
    }

    fn campaign(&mut self, name: &str) -> Result<&mut Campaign, Rejection> {
        self.0.get_mut(name).ok_or_else(|| unknown_campaign(name))
    }

    /// Finds a running campaign whose next index is `from_index`. Rejects repeated commands, whose index has been passed.
    fn running_campaign(&mut self, name: &str, from_index: u32) -> Result<&mut Campaign, Rejection> {
        let campaign = self.campaign(name)?;
        let next_index = campaign.next_index;
        if campaign.status != CampaignStatus::Running || next_index != from_index {
            let what = format!("campaign {name:?} stands at {next_index} and not at {from_index}");
            return Err(Rejection::Invalid(what));
        }
        Ok(campaign)
    }

    /// Views of all campaigns, for the duty's owner and for operators.
    pub fn views(
        &self,
        maintenance: &MaintenanceState,
        members: &BTreeMap<ServerName, MemberView>,
    ) -> Vec<CampaignView> {
        self.0.iter().map(|(name, campaign)| campaign.view(name, maintenance, members)).collect()
    }
}

impl Campaign {
    /// Requests of the next batch; empty if none is left.
    fn next_batch(&self) -> &[TicketRequest] {
        let start = self.next_index as usize;
        let end = (start + self.batch_size as usize).min(self.requests.len());
        &self.requests[start..end]
    }

    /// Requests of the last batch, in the order of `last_tickets`.
    fn last_batch(&self) -> &[TicketRequest] {
        let end = self.next_index as usize;
        &self.requests[end.saturating_sub(self.last_tickets.len())..end]
    }

    /// Creates the tickets of the next batch, or marks the campaign done if no request is left.
    fn create_batch(
        &mut self,
        maintenance: &mut MaintenanceState,
        request_id: FleetRequestId,
        name: &str,
        share_before: f32,
    ) -> Result<Vec<TicketId>, Rejection> {
        let batch = self.next_batch();
        if batch.is_empty() {
            self.status = CampaignStatus::Done;
            return Ok(Vec::new());
        }
        let requested_by = format!("{} ({name})", self.requested_by);
        let tickets = maintenance.create_tickets(request_id, &requested_by, batch)?;
        self.next_index += tickets.len() as u32;
        self.last_tickets.clone_from(&tickets);
        self.share_before = share_before;
        Ok(tickets)
    }

    fn view(
        &self,
        name: &str,
        maintenance: &MaintenanceState,
        members: &BTreeMap<ServerName, MemberView>,
    ) -> CampaignView {
        let last_batch = self.last_batch();
        let stage = |id: &TicketId| maintenance.find(*id).map(|ticket| ticket.stage);
        let servers = last_batch.iter().map(|request| request.server.clone());
        CampaignView {
            name: name.to_owned(),
            requested_by: self.requested_by.clone(),
            status: self.status.clone(),
            next_index: self.next_index,
            total: self.requests.len() as u32,
            last_batch: servers.zip(self.last_tickets.iter().map(stage)).collect(),
            share_before: self.share_before,
            share_now: mean_share(last_batch, members),
            next_batch_share: mean_share(self.next_batch(), members),
        }
    }
}

/// The mean send share of the servers; `None` if one of them has no recent load report, or there is no server.
fn mean_share(requests: &[TicketRequest], members: &BTreeMap<ServerName, MemberView>) -> Option<f32> {
    let share = |request: &TicketRequest| Some(members.get(&request.server)?.load_report?.share);
    let shares: Vec<f32> = requests.iter().map(share).collect::<Option<_>>()?;
    (!shares.is_empty()).then(|| shares.iter().sum::<f32>() / shares.len() as f32)
}

/// Formats a number below one million with a comma as thousands separator.
fn group_thousands(number: usize) -> String {
    match number / 1_000 {
        0 => number.to_string(),
        thousands => format!("{thousands},{:03}", number % 1_000),
    }
}

fn unknown_campaign(name: &str) -> Rejection {
    Rejection::Invalid(format!("no campaign is called {name:?}"))
}

#[cfg(test)]
mod tests;
