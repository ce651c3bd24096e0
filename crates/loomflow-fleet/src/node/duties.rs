//! A member's handling of duties: it renews its session, acquires the duties assigned to it, releases those
//! that are recalled, and carries out the built-in ones.

use rand::RngExt;

use super::requests::ReceivedResponse;
use super::{Effect, Node};
use crate::command::{FleetCommand, FleetRequest, FleetResponse};
use crate::duty::client_session::{ClientSession, OwnershipChange};
use crate::duty::fence::{Fence, FenceError};
use crate::duty::summary::{self, Summary};
use crate::duty::{
    DutyCommand, DutyName, DutyResponse, DutySpec, LeaseSettings, OwnedDuty, OwnerUpdate, Ownership,
    ServerInstance, Token,
};
use crate::fleet_state::CAMPAIGN_DUTY;
use crate::maintenance::campaign::{self, CampaignCommand, CampaignStep, CampaignView};
use crate::member::{FleetRequestId, Phase, ServerName};
use crate::status::{FleetStatus, SummaryReport};
use crate::time::IntegerMillis;
use crate::wire::Body;

/// Interval at which the owner of [`CAMPAIGN_DUTY`] checks the campaigns, ms.
const CAMPAIGN_PERIOD_MILLIS: IntegerMillis = 1_000;
/// Name of the built-in duty whose owner sends the fleet's summary to all members.
pub const SUMMARY_DUTY: &str = "summary";

/// The configuration of duties, which must be equal on all members.
#[derive(Clone, Debug, PartialEq)]
pub struct DutyConfig {
    /// The configured lease settings of all duties.
    pub lease_settings: LeaseSettings,
    /// The configured duties, without the built-in ones.
    pub specs: Vec<DutySpec>,
    /// Interval between summaries of the fleet, ms.
    pub summary_period_millis: IntegerMillis,
}

impl DutyConfig {
    /// The configured and the built-in duties.
    pub(super) fn all_specs(&self) -> Vec<DutySpec> {
        let built_in = [SUMMARY_DUTY, CAMPAIGN_DUTY].map(DutySpec::plain);
        self.specs.iter().cloned().chain(built_in).collect()
    }
}

/// The state of the periodic query to the leader that a built-in duty makes.
#[derive(Default)]
struct PeriodicQuery {
    next_at: IntegerMillis,
    /// The query that awaits a response, with the fencing token under which it was sent.
    pending: Option<(FleetRequestId, Token)>,
}

impl PeriodicQuery {
    /// Records that a query is sent, and schedules the next one.
    fn start(&mut self, id: FleetRequestId, token: Token, next_at: IntegerMillis) {
        self.next_at = next_at;
        self.pending = Some((id, token));
    }

    /// Completes the pending query if it has this id, and returns the token under which it was sent.
    fn complete(&mut self, id: FleetRequestId) -> Option<Token> {
        self.pending.take_if(|(pending, _)| *pending == id).map(|(_, token)| token)
    }
}

/// The last summary that this member received.
struct ReceivedSummary {
    at: IntegerMillis,
    owner: ServerName,
    token: Token,
    summary: Summary,
}

/// Progress in closing the session when the server shuts down.
#[derive(Default, PartialEq)]
enum SessionEnd {
    #[default]
    Open,
    /// The command that ends the session was sent and has no response yet.
    Pending(FleetRequestId),
    Ended,
}

/// The state of a member's handling of duties.
#[derive(Default)]
pub(super) struct DutyClient {
    pub session: ClientSession,
    /// Rejects messages from previous owners of duties.
    fence: Fence,
    last_summary: Option<ReceivedSummary>,
    summary_query: PeriodicQuery,
    campaign_query: PeriodicQuery,
    session_end: SessionEnd,
}

impl DutyClient {
    /// The time of the next renewal, expiry or periodic query.
    pub fn next_wake(&self) -> IntegerMillis {
        if self.is_session_ended() {
            return IntegerMillis::MAX;
        }
        let next_query_at = |duty: &str, query: &PeriodicQuery| {
            if self.session.duty(duty).is_some() { query.next_at } else { IntegerMillis::MAX }
        };
        let summary_at = next_query_at(SUMMARY_DUTY, &self.summary_query);
        let campaign_at = next_query_at(CAMPAIGN_DUTY, &self.campaign_query);
        self.session.next_wake().min(summary_at).min(campaign_at)
    }

    /// Whether the session has ended, and the report of its end has a response or timed out.
    pub fn is_session_ended(&self) -> bool {
        self.session_end == SessionEnd::Ended
    }
}

impl Node {
    /// The token with which this member currently owns a duty. `None` if it does not own the duty, or cannot
    /// be certain.
    pub fn owned_token(&self, duty: &str, now: IntegerMillis) -> Option<Token> {
        self.config.duties.as_ref()?;
        self.duties.session.owned_token(duty, now)
    }

    /// The duties that this member currently owns, with their tokens.
    pub fn owned_duties(&self, now: IntegerMillis) -> Vec<(DutyName, Token)> {
        let duties = self.duties.session.duties();
        let with_token = |owned: &OwnedDuty| Some((owned.duty.clone(), self.owned_token(&owned.duty, now)?));
        duties.filter_map(with_token).collect()
    }

    /// A duty of the session, even if the session has expired.
    pub fn session_duty(&self, duty: &str) -> Option<&OwnedDuty> {
        self.duties.session.duty(duty)
    }

    /// The configured lease settings; the defaults if the fleet has no duties.
    pub fn lease_settings(&self) -> LeaseSettings {
        self.config.duties.as_ref().map_or_else(LeaseSettings::default, |config| config.lease_settings)
    }

    /// The time, by this member's clock, at which its ownership of all duties expires.
    pub fn owned_until(&self) -> IntegerMillis {
        self.duties.session.valid_until()
    }

    /// Releases a duty that the server has finished, or for which it has written a checkpoint for the next
    /// owner.
    pub fn release(&mut self, duty: &str, now: IntegerMillis) {
        if let Some(token) = self.duties.session.release(duty) {
            let command = DutyCommand::Release { duty: duty.to_owned(), token, successor: None };
            self.send_duty_command(command, now);
        }
        self.end_session_when_idle(now);
        self.process_outputs(now);
    }

    /// Writes an update of an owned duty to the fleet's state. The response is returned as
    /// [`Effect::Responded`].
    pub fn write(
        &mut self,
        duty: &str,
        token: Token,
        update: OwnerUpdate,
        now: IntegerMillis,
    ) -> FleetRequestId {
        let command = DutyCommand::Write { duty: duty.to_owned(), token, update };
        let id = self.send_duty_command(command, now);
        self.process_outputs(now);
        id
    }

    fn send_duty_command(&mut self, command: DutyCommand, now: IntegerMillis) -> FleetRequestId {
        let id = self.rng.random();
        let request = FleetRequest::Execute { issuer: self.issuer(), command: FleetCommand::Duty(command) };
        self.submit_as(id, request, now);
        id
    }

    /// Renews the session, gives up duties when it expires, and sends the queries of the built-in duties.
    pub(super) fn run_duties(&mut self, now: IntegerMillis) {
        let Some(config) = &self.config.duties else { return };
        if self.duties.is_session_ended() {
            return;
        }
        let summary_period = config.summary_period_millis;
        self.duties.session.expire(now);
        self.end_session_when_idle(now);
        if self.duties.session_end == SessionEnd::Open && self.duties.session.is_renewal_due(now) {
            self.renew_session(now);
        }
        if let Some(token) = self.owned_token(SUMMARY_DUTY, now)
            && now >= self.duties.summary_query.next_at
        {
            let id = self.rng.random();
            self.duties.summary_query.start(id, token, now + summary_period);
            self.submit_as(id, FleetRequest::Status, now);
        }
        if let Some(token) = self.owned_token(CAMPAIGN_DUTY, now)
            && now >= self.duties.campaign_query.next_at
        {
            let id = self.rng.random();
            self.duties.campaign_query.start(id, token, now + CAMPAIGN_PERIOD_MILLIS);
            self.submit_as(id, FleetRequest::Campaigns, now);
        }
        self.process_ownership_changes(now);
    }

    fn own_instance(&self) -> ServerInstance {
        let identity = self.identity();
        ServerInstance { name: identity.name.clone(), incarnation: identity.incarnation }
    }

    fn renew_session(&mut self, now: IntegerMillis) {
        let id = self.rng.random();
        if let Some(previous) = self.duties.session.renewal_sent(id, now) {
            self.cancel_request(previous);
        }
        let command = FleetCommand::Duty(DutyCommand::KeepAlive(vec![self.own_instance()]));
        self.submit_as(id, FleetRequest::Execute { issuer: self.issuer(), command }, now);
    }

    /// Sends the command for the next step of each campaign. The commands carry the token, so that those of a
    /// previous owner are rejected.
    fn run_campaigns(&mut self, token: Token, views: &[CampaignView], now: IntegerMillis) {
        for view in views {
            let name = view.name.clone();
            let command = match campaign::next_step(view) {
                None => continue,
                Some(CampaignStep::Next { from_index, share_before }) => {
                    CampaignCommand::Next { name, from_index, share_before, token }
                }
                Some(CampaignStep::Halt { from_index, reason }) => {
                    self.log(format!("halting campaign {name}: {reason}"));
                    CampaignCommand::Halt { name, from_index, reason, token }
                }
            };
            let command = FleetCommand::Campaign(command);
            self.submit(FleetRequest::Execute { issuer: self.issuer(), command }, now);
        }
    }

    /// Passes changes of ownership to the driver, and releases recalled built-in duties.
    fn process_ownership_changes(&mut self, now: IntegerMillis) {
        // Duties acquired while this server drains are released at once.
        if self.phase == Phase::Draining {
            self.duties.session.recall_all();
        }
        for change in self.duties.session.take_changes() {
            match &change {
                OwnershipChange::Acquired(owned) => {
                    self.log(format!("acquired duty {} with token {}", owned.duty, owned.token));
                }
                OwnershipChange::Lost(duty, token) => {
                    self.log(format!("no longer owns duty {duty} with token {token}"));
                }
                // Built-in duties have no work to finish: their progress is in the fleet's state.
                OwnershipChange::ReleaseRequested(duty, _)
                    if duty == SUMMARY_DUTY || duty == CAMPAIGN_DUTY =>
                {
                    let duty = duty.clone();
                    self.release(&duty, now);
                    continue;
                }
                OwnershipChange::ReleaseRequested(..) => {}
            }
            self.effects.push(Effect::Duty(change));
        }
    }

    /// Requests the release of all duties when the server starts to drain.
    pub(super) fn release_all_duties(&mut self, now: IntegerMillis) {
        self.duties.session.recall_all();
        self.process_ownership_changes(now);
    }

    /// Ends the session of a drained server once it owns no duties. Duties that it has not released when the
    /// driver stops waiting expire with their leases.
    pub(super) fn end_session_when_idle(&mut self, now: IntegerMillis) {
        if !self.own_ticket.has_drained || self.duties.session_end != SessionEnd::Open {
            return;
        }
        if self.config.duties.is_none() {
            self.duties.session_end = SessionEnd::Ended;
            return;
        }
        if self.duties.session.duties().next().is_some() {
            return;
        }
        self.duties.session.end();
        let id = self.send_duty_command(DutyCommand::End(self.own_instance()), now);
        self.duties.session_end = SessionEnd::Pending(id);
    }

    /// Handles the response to a request that concerns duties. Returns false if the request did not.
    pub(super) fn handle_duty_response(&mut self, received: &ReceivedResponse, now: IntegerMillis) -> bool {
        let ReceivedResponse { id, response, sent_at } = *received;
        if self.duties.session_end == SessionEnd::Pending(id) {
            self.duties.session_end = SessionEnd::Ended;
            return true;
        }
        if let Some(token) = self.duties.summary_query.complete(id) {
            if let FleetResponse::Status(status) = response
                && self.owned_token(SUMMARY_DUTY, now) == Some(token)
            {
                self.send_summary(token, summary_of(status), now);
            }
            return true;
        }
        if let Some(token) = self.duties.campaign_query.complete(id) {
            if let FleetResponse::Campaigns(views) = response
                && self.owned_token(CAMPAIGN_DUTY, now) == Some(token)
            {
                self.run_campaigns(token, views, now);
            }
            return true;
        }
        if !self.duties.session.is_pending_renewal(id) {
            return false;
        }
        if let FleetResponse::Duty(DutyResponse::Ownership(ownership)) = response {
            self.duties.session.renewed(ownership.clone(), sent_at, now);
        }
        self.process_ownership_changes(now);
        true
    }

    /// Handles the leader's notification of the duties that this member owns.
    pub(super) fn handle_ownership(&mut self, ownership: Ownership, now: IntegerMillis) {
        if self.config.duties.is_some() && !self.duties.is_session_ended() {
            self.duties.session.notified(ownership, now);
            self.process_ownership_changes(now);
        }
    }

    fn send_summary(&mut self, token: Token, summary: Summary, now: IntegerMillis) {
        let known = self.membership.known().values();
        let alive = known.filter(|known| !known.is_down());
        let names: Vec<ServerName> = alive.map(|known| known.identity.name.clone()).collect();
        for name in names {
            self.send(&name, Body::Summary { token, summary: summary.clone() });
        }
        self.handle_summary(self.identity().name.clone(), token, summary, now);
    }

    /// Handles a summary. Summaries of previous owners are rejected by their tokens.
    pub(super) fn handle_summary(
        &mut self,
        owner: ServerName,
        token: Token,
        summary: Summary,
        now: IntegerMillis,
    ) {
        // The fence is kept in memory only, like the summary that it protects, so there is nothing to store.
        match self.duties.fence.admit(SUMMARY_DUTY, token, |_| Ok::<(), ()>(())) {
            Ok(()) => {
                self.duties.last_summary = Some(ReceivedSummary { at: now, owner, token, summary });
            }
            Err(FenceError::Stale { token, highest }) => {
                self.log(format!("rejected a summary from {owner}: token {token} is older than {highest}"));
            }
            Err(_) => {}
        }
    }

    /// The last summary that this member received, for operators.
    pub(super) fn summary_report(&self, now: IntegerMillis) -> Option<SummaryReport> {
        let received = self.duties.last_summary.as_ref()?;
        Some(SummaryReport {
            owner: received.owner.clone(),
            token: received.token,
            age_millis: now.saturating_sub(received.at),
            summary: received.summary.clone(),
        })
    }

    /// Number of messages from previous owners that this member rejected.
    pub(super) fn rejected_messages(&self) -> u64 {
        self.duties.fence.rejected()
    }
}

/// Summarizes the members of a status.
fn summary_of(status: &FleetStatus) -> Summary {
    let loads = status.members.iter().map(|member| summary::MemberLoad {
        name: &member.name,
        zone: &member.zone,
        state: member.state,
        load_report: member.load_report,
    });
    summary::summarize(loads)
}
