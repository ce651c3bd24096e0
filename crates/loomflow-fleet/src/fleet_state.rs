//! The state machine of the log, composed of maintenance, duties and campaigns. Each part validates its own
//! commands; this module checks which issuers may issue commands on duties and campaigns, and advances the
//! time of all parts together.

use crate::command::{Entry, FleetCommand, FleetResponse, Issuer};
use crate::consensus::{SnapshotError, StateMachine};
use crate::duty::state::Duties;
use crate::duty::{DutyCommand, DutyRejection, DutyResponse};
use crate::maintenance::campaign::{CampaignCommand, Campaigns};
use crate::maintenance::state::MaintenanceState;
use crate::maintenance::ticket::Rejection;
use crate::member::{FleetRequestId, ServerName};

/// The replicated state of the fleet.
#[derive(Clone, Debug, Default)]
pub struct FleetState {
    /// Maintenance tickets and rules.
    pub maintenance: MaintenanceState,
    /// Duties with their leases, and the servers' sessions.
    pub duties: Duties,
    /// Campaigns, which create tickets in batches.
    pub campaigns: Campaigns,
}

/// Name of the built-in duty whose owner carries out campaigns.
pub const CAMPAIGN_DUTY: &str = "campaign";

impl FleetState {
    /// Applies a command on a campaign: of an operator, or of the owner of [`CAMPAIGN_DUTY`] with a valid
    /// token.
    fn apply_to_campaign(&mut self, entry: &Entry, command: &CampaignCommand) -> FleetResponse {
        let requested_by = match (&entry.issuer, command.token()) {
            (Issuer::Operator(operator), None) => operator,
            (Issuer::Server { name, .. }, Some(token)) => match self.duties.check_token(CAMPAIGN_DUTY, token)
            {
                Ok(()) => name,
                Err(rejection) => return FleetResponse::Duty(DutyResponse::Rejected(rejection)),
            },
            _ => return FleetResponse::Rejected(Rejection::NotPermitted),
        };
        let result = self.campaigns.apply(&mut self.maintenance, entry.id, requested_by, command);
        result.map_or_else(FleetResponse::Rejected, FleetResponse::Done)
    }

    /// Applies a command on a duty if [`is_permitted`] allows it.
    fn apply_to_duties(&mut self, entry: &Entry, command: &DutyCommand) -> DutyResponse {
        if is_permitted(&entry.issuer, command) {
            self.duties.apply(command)
        } else {
            DutyResponse::Rejected(DutyRejection::Invalid("that is not this hand's to say".into()))
        }
    }
}

/// Whether an issuer may issue a command on a duty. An owner's commands are also checked by their fencing
/// token when they are applied.
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
