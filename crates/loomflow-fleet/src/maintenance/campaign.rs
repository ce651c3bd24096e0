//! Campaigns: many tickets in batches, carried out by whoever owns the duty for it. The fleet's state records how far each
//! has come, so that an owner that takes over continues where the last one stopped, and a batch that is requested again is
//! rejected.
//!
//! A batch is requested when all tickets of the one before are done. A campaign halts when one of its tickets did not end in
//! order, or when the servers that came back request clearly less of their usual traffic than before: what was rolled out is
//! worse, and the rest of the fleet is not changed. An operator resumes it or drops it.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use super::state::MaintenanceState;
use super::ticket::{Rejection, TicketId, TicketRequest, TicketStage};
use crate::duty::{Token, truncate_reason};
use crate::member::{FleetRequestId, MAX_NAME_BYTES, MemberView, ServerName};

/// Campaigns that are retained, finished ones included.
pub const MAX_CAMPAIGNS: usize = 16;
/// Tickets of one campaign.
pub const MAX_TICKETS: usize = 10_000;
/// A batch came back worse when its servers' mean share fell by more than this.
pub const MAX_SHARE_DROP: f32 = 0.1;

/// The status of a campaign.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum CampaignStatus {
    /// The next batch is requested when the last one is done.
    #[serde(rename = "Runs")]
    Running,
    /// No further batch until an operator resumes it; with the reason.
    Halted(String),
    /// All batches are done.
    Done,
}

/// One campaign, as the log has it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Campaign {
    /// The operator who started it.
    pub requested_by: String,
    requests: Vec<TicketRequest>,
    /// Tickets requested at once.
    pub batch_size: u32,
    /// Index of the first request that has no ticket yet.
    pub next_index: u32,
    /// Tickets of the last batch.
    last_tickets: Vec<TicketId>,
    /// Mean share of the last batch's servers before it was requested.
    share_before: f32,
    /// Its status.
    pub status: CampaignStatus,
}

/// A log entry on campaigns.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum CampaignCommand {
    /// By an operator: a new campaign.
    Start {
        /// Its name, 1 to 64 bytes.
        name: String,
        /// A ticket for each.
        #[serde(rename = "wanted")]
        requests: Vec<TicketRequest>,
        /// Tickets requested at once.
        #[serde(rename = "batch")]
        batch_size: u32,
    },
    /// By an operator: continue one that halted.
    Resume(String),
    /// By an operator: forget it.
    Drop(String),
    /// By the owner of the duty: request the next batch; where no request is left, the campaign is done.
    Next {
        /// The campaign.
        name: String,
        /// Index of the batch's first request.
        #[serde(rename = "from")]
        from_index: u32,
        /// Mean share that the batch's servers request now.
        #[serde(rename = "base")]
        share_before: f32,
        /// The owner's fencing token.
        token: Token,
    },
    /// By the owner of the duty: request no more.
    Halt {
        /// The campaign.
        name: String,
        /// How far the owner believes it to have come.
        #[serde(rename = "from")]
        from_index: u32,
        /// Why.
        reason: String,
        /// The owner's fencing token.
        token: Token,
    },
}

impl CampaignCommand {
    /// The owner's token, where an owner issues it.
    pub fn token(&self) -> Option<Token> {
        match self {
            CampaignCommand::Next { token, .. } | CampaignCommand::Halt { token, .. } => Some(*token),
            _ => None,
        }
    }
}

/// A campaign as the leader sees it: what its owner decides by, and what operators are shown.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct CampaignView {
    /// Its name.
    pub name: String,
    /// Who started it.
    #[serde(rename = "by")]
    pub requested_by: String,
    /// Its status.
    #[serde(rename = "stand")]
    pub status: CampaignStatus,
    /// Index of the first request that has no ticket yet.
    #[serde(rename = "next")]
    pub next_index: u32,
    /// Requests in all.
    #[serde(rename = "all")]
    pub total: u32,
    /// Servers of the last batch with the stages of their tickets; none where a ticket is no longer retained.
    #[serde(rename = "last")]
    pub last_batch: Vec<(ServerName, Option<TicketStage>)>,
    /// Mean share of the last batch's servers before it was requested.
    #[serde(rename = "base")]
    pub share_before: f32,
    /// The same now; none where one of them sends no report.
    #[serde(rename = "now")]
    pub share_now: Option<f32>,
    /// The same of the servers that come next.
    #[serde(rename = "coming")]
    pub next_batch_share: Option<f32>,
}

/// What the owner does about one campaign.
#[derive(Clone, Debug, PartialEq)]
pub enum CampaignStep {
    /// Request the next batch; where no request is left, end the campaign.
    Next {
        /// Index of its first request.
        from_index: u32,
        /// Mean share of its servers now.
        share_before: f32,
    },
    /// Request no more.
    Halt {
        /// How far the campaign has come.
        from_index: u32,
        /// Why.
        reason: String,
    },
}

/// What is to be done now; none where something is waited for.
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
    // Servers that send no report are waited for: nothing is known of them.
    if !view.last_batch.is_empty() {
        let (now, before) = (view.share_now?, view.share_before);
        if now < before - MAX_SHARE_DROP {
            let reason = format!("the last batch came back worse: share {now:.2}, {before:.2} before");
            return Some(CampaignStep::Halt { from_index, reason });
        }
    }
    // After the last batch one more `Next` is issued, for an empty batch: it creates no ticket and ends the campaign.
    let is_complete = view.next_index >= view.total;
    let share_before = if is_complete { 1.0 } else { view.next_batch_share? };
    Some(CampaignStep::Next { from_index, share_before })
}

/// The failure of the first ticket of the last batch that did not end in order.
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
    /// Whether any campaign has batches to come.
    pub fn is_any_running(&self) -> bool {
        self.0.values().any(|campaign| campaign.status == CampaignStatus::Running)
    }

    /// Applies one command; an owner's token was checked before. Tickets are created under `request_id`, the entry's own.
    ///
    /// # Errors
    /// The campaign is unknown, or not where the command believes it to be; or the tickets are rejected.
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
                    // What it halted for is the operator's business now.
                    campaign.status = CampaignStatus::Running;
                    campaign.last_tickets.clear();
                }
            }
            CampaignCommand::Drop(name) => {
                self.0.remove(name).ok_or_else(|| unknown(name))?;
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

    /// Drops a finished campaign where there are as many as may be.
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
        self.0.get_mut(name).ok_or_else(|| unknown(name))
    }

    /// A campaign that runs, and has come as far as the command believes: a repeated command is rejected.
    fn running_campaign(&mut self, name: &str, from_index: u32) -> Result<&mut Campaign, Rejection> {
        let campaign = self.campaign(name)?;
        let next_index = campaign.next_index;
        if campaign.status != CampaignStatus::Running || next_index != from_index {
            let what = format!("campaign {name:?} stands at {next_index} and not at {from_index}");
            return Err(Rejection::Invalid(what));
        }
        Ok(campaign)
    }

    /// All campaigns, for their owner and for operators.
    pub fn views(
        &self,
        maintenance: &MaintenanceState,
        members: &BTreeMap<ServerName, MemberView>,
    ) -> Vec<CampaignView> {
        self.0.iter().map(|(name, campaign)| campaign.view(name, maintenance, members)).collect()
    }
}

impl Campaign {
    /// Requests that have no ticket yet and come next.
    fn next_batch(&self) -> &[TicketRequest] {
        let start = self.next_index as usize;
        let end = (start + self.batch_size as usize).min(self.requests.len());
        &self.requests[start..end]
    }

    /// Requests of the last batch.
    fn last_batch(&self) -> &[TicketRequest] {
        let end = self.next_index as usize;
        &self.requests[end.saturating_sub(self.last_tickets.len())..end]
    }

    /// Creates the tickets of the next batch; where there is none left, the campaign is done.
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
        let last = self.last_batch();
        let stage = |id: &TicketId| maintenance.find(*id).map(|ticket| ticket.stage);
        let servers = last.iter().map(|request| request.server.clone());
        CampaignView {
            name: name.to_owned(),
            requested_by: self.requested_by.clone(),
            status: self.status.clone(),
            next_index: self.next_index,
            total: self.requests.len() as u32,
            last_batch: servers.zip(self.last_tickets.iter().map(stage)).collect(),
            share_before: self.share_before,
            share_now: mean_share(last, members),
            next_batch_share: mean_share(self.next_batch(), members),
        }
    }
}

/// The mean share that the servers request; none where one of them sends no report, or there is none.
fn mean_share(requests: &[TicketRequest], members: &BTreeMap<ServerName, MemberView>) -> Option<f32> {
    let share = |request: &TicketRequest| Some(members.get(&request.server)?.load_report?.share);
    let shares: Vec<f32> = requests.iter().map(share).collect::<Option<_>>()?;
    (!shares.is_empty()).then(|| shares.iter().sum::<f32>() / shares.len() as f32)
}

/// A number below a million, with a comma before its last three digits where there are more.
fn group_thousands(number: usize) -> String {
    match number / 1_000 {
        0 => number.to_string(),
        thousands => format!("{thousands},{:03}", number % 1_000),
    }
}

fn unknown(name: &str) -> Rejection {
    Rejection::Invalid(format!("no campaign is called {name:?}"))
}

#[cfg(test)]
mod tests;
