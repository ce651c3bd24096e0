//! The state machine that the log is applied to: maintenance, duties and campaigns. Each checks its own commands; this module
//! checks who may issue which command on duties and campaigns, and advances all three by the same time.

use crate::command::{Entry, FleetCommand, FleetResponse, Issuer};
use crate::consensus::{SnapshotError, StateMachine};
use crate::duty::state::Duties;
use crate::duty::{DutyCommand, DutyRejection, DutyResponse};
use crate::maintenance::campaign::{CampaignCommand, Campaigns};
use crate::maintenance::state::MaintenanceState;
use crate::maintenance::ticket::Rejection;
use crate::member::{FleetRequestId, ServerName};

/// All that the fleet has agreed on.
#[derive(Clone, Debug, Default)]
pub struct FleetState {
    /// Tickets and rules.
    pub maintenance: MaintenanceState,
    /// Sessions and leases.
    pub duties: Duties,
    /// Tickets in batches.
    pub campaigns: Campaigns,
}

/// The duty whose owner carries out campaigns.
pub const CAMPAIGN: &str = "campaign";

impl FleetState {
    /// Applies a command on a campaign: an operator's, or one of the owner of the duty with a valid token.
    fn apply_to_campaign(&mut self, entry: &Entry, command: &CampaignCommand) -> FleetResponse {
        let requested_by = match (&entry.issuer, command.token()) {
            (Issuer::Operator(operator), None) => operator,
            (Issuer::Server { name, .. }, Some(token)) => match self.duties.check_token(CAMPAIGN, token) {
                Ok(()) => name,
                Err(rejection) => return FleetResponse::Duty(DutyResponse::Rejected(rejection)),
            },
            _ => return FleetResponse::Rejected(Rejection::NotPermitted),
        };
        let result = self.campaigns.apply(&mut self.maintenance, entry.id, requested_by, command);
        result.map_or_else(FleetResponse::Rejected, FleetResponse::Done)
    }

    /// Applies a command on a duty if its issuer may issue it.
    fn apply_to_duties(&mut self, entry: &Entry, command: &DutyCommand) -> DutyResponse {
        if is_permitted(&entry.issuer, command) {
            self.duties.apply(command)
        } else {
            DutyResponse::Rejected(DutyRejection::Invalid("that is not this hand's to say".into()))
        }
    }
}

/// Whether this issuer may issue this command on a duty. What an owner writes is checked by its token as well.
fn is_permitted(issuer: &Issuer, command: &DutyCommand) -> bool {
    use DutyCommand::{Assign, Declare, End, KeepAlive, Park, Recall, Release, Resume, Run, Write};
    match (issuer, command) {
        (Issuer::Leader, Declare(..) | KeepAlive(_) | Assign(_) | Recall(_)) => true,
        (Issuer::Server { name, incarnation }, End(instance)) => {
            *name == instance.name && *incarnation == instance.incarnation
        }
        (Issuer::Server { .. }, Release { .. } | Write { .. }) => true,
        (Issuer::Operator(_), Recall(_) | Park(..) | Resume(_) | Run(..)) => true,
        _ => false,
    }
}

impl StateMachine for FleetState {
    type Output = (FleetRequestId, FleetResponse);

    fn apply(&mut self, entry: &[u8]) -> Option<(FleetRequestId, FleetResponse)> {
        let entry: Entry = postcard::from_bytes(entry).ok()?;
        self.duties.advance_time(entry.at);
        let response = match &entry.command {
            FleetCommand::Duty(command) => {
                self.maintenance.advance_time(entry.at);
                FleetResponse::Duty(self.apply_to_duties(&entry, command))
            }
            FleetCommand::Campaign(command) => {
                self.maintenance.advance_time(entry.at);
                self.apply_to_campaign(&entry, command)
            }
            _ => self.maintenance.apply_entry(&entry),
        };
        Some((entry.id, response))
    }

    fn set_voters(&mut self, names: Vec<ServerName>) {
        self.maintenance.set_voters(names);
    }

    fn reset_after_recovery(&mut self) {
        self.maintenance.reset_after_recovery();
        self.duties.reset_after_recovery();
    }

    fn save(&self) -> Vec<u8> {
        let parts = (self.maintenance.save(), self.duties.save(), &self.campaigns);
        postcard::to_stdvec(&parts).unwrap_or_default()
    }

    fn load(bytes: &[u8]) -> Result<FleetState, SnapshotError> {
        let (maintenance, duties, campaigns): (Vec<u8>, Vec<u8>, Campaigns) =
            postcard::from_bytes(bytes).map_err(|source| SnapshotError { part: "record", source })?;
        Ok(FleetState {
            maintenance: MaintenanceState::load(&maintenance)?,
            duties: Duties::load(&duties)?,
            campaigns,
        })
    }
}

#[cfg(test)]
mod tests;
