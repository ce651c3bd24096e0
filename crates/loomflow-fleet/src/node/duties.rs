//! What a member does about duties: it renews its session, acquires what it is assigned, releases what is recalled, and
//! carries out the built-in duties.

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
use crate::fleet_state::CAMPAIGN;
use crate::maintenance::campaign::{self, CampaignCommand, CampaignStep, CampaignView};
use crate::member::{FleetRequestId, Phase, ServerName};
use crate::status::{FleetStatus, SummaryReport};
use crate::time::IntegerMillis;
use crate::wire::Body;

/// How often the owner of campaigns checks them, ms.
const CAMPAIGN_PERIOD_MILLIS: IntegerMillis = 1_000;
/// The duty that sums the fleet up.
pub const SUMMARY: &str = "summary";

/// A member's configuration of duties; the same on all members.
#[derive(Clone, Debug, PartialEq)]
pub struct DutyConfig {
    /// The operators' settings for all duties.
    pub lease_settings: LeaseSettings,
    /// The operators' own duties.
    pub specs: Vec<DutySpec>,
    /// How often the fleet is summed up, ms.
    pub summary_period_millis: IntegerMillis,
}

impl DutyConfig {
    /// All duties there are: the operators' and the built-in ones.
    pub(super) fn all_specs(&self) -> Vec<DutySpec> {
        let built_in = [SUMMARY, CAMPAIGN].map(DutySpec::plain);
        self.specs.iter().cloned().chain(built_in).collect()
    }
}

/// A built-in duty that begins with a periodic query to the leader.
#[derive(Default)]
struct PeriodicQuery {
    next_at: IntegerMillis,
    /// The question that has no answer yet, and the token that it was sent with.
    pending: Option<(FleetRequestId, Token)>,
}

impl PeriodicQuery {
    /// The question is sent; the next one is due at `next_at`.
    fn start(&mut self, id: FleetRequestId, token: Token, next_at: IntegerMillis) {
        self.next_at = next_at;
        self.pending = Some((id, token));
    }

    /// The token of the question, where this is the answer to it.
    fn answered(&mut self, id: FleetRequestId) -> Option<Token> {
        self.pending.take_if(|(pending, _)| *pending == id).map(|(_, token)| token)
    }
}

/// A summary that this member received.
struct ReceivedSummary {
    at: IntegerMillis,
    owner: ServerName,
    token: Token,
    summary: Summary,
}

/// How far the end of the session is.
#[derive(Default, PartialEq)]
enum SessionEnd {
    #[default]
    Open,
    /// The end was sent, and has no response.
    Pending(FleetRequestId),
    Ended,
}

/// A member's part in duties.
#[derive(Default)]
pub(super) struct DutyClient {
    pub session: ClientSession,
    /// For what owners send to members.
    fence: Fence,
    last_summary: Option<ReceivedSummary>,
    summary_query: PeriodicQuery,
    campaign_query: PeriodicQuery,
    session_end: SessionEnd,
}

impl DutyClient {
    /// When something is due next.
    pub fn next_wake(&self) -> IntegerMillis {
        if self.is_session_ended() {
            return IntegerMillis::MAX;
        }
        let due = |duty: &str, query: &PeriodicQuery| {
            if self.session.duty(duty).is_some() { query.next_at } else { IntegerMillis::MAX }
        };
        let summary_at = due(SUMMARY, &self.summary_query);
        let campaign_at = due(CAMPAIGN, &self.campaign_query);
        self.session.next_wake().min(summary_at).min(campaign_at)
    }

    /// Whether nothing is owned any more, and that is reported.
    pub fn is_session_ended(&self) -> bool {
        self.session_end == SessionEnd::Ended
    }
}

impl Node {
    /// The token by which this member owns a duty at this moment; none where it does not, or cannot be sure.
    pub fn owned_token(&self, duty: &str, now: IntegerMillis) -> Option<Token> {
        self.config.duties.as_ref()?;
        self.duties.session.owned_token(duty, now)
    }

    /// All duties that it owns at this moment, with their tokens.
    pub fn owned_duties(&self, now: IntegerMillis) -> Vec<(DutyName, Token)> {
        let duties = self.duties.session.duties();
        let with_token = |owned: &OwnedDuty| Some((owned.duty.clone(), self.owned_token(&owned.duty, now)?));
        duties.filter_map(with_token).collect()
    }

    /// A duty of the session, whether that is still valid or not.
    pub fn session_duty(&self, duty: &str) -> Option<&OwnedDuty> {
        self.duties.session.duty(duty)
    }

    /// The operators' settings, as this member has them.
    pub fn lease_settings(&self) -> LeaseSettings {
        self.config.duties.as_ref().map_or_else(LeaseSettings::default, |config| config.lease_settings)
    }

    /// Until when, by its own clock, this member owns what it owns.
    pub fn owned_until(&self) -> IntegerMillis {
        self.duties.session.valid_until()
    }

    /// The server has finished with a duty, or left it where the next owner can continue.
    pub fn release(&mut self, duty: &str, now: IntegerMillis) {
        if let Some(token) = self.duties.session.release(duty) {
            let command = DutyCommand::Release { duty: duty.to_owned(), token, successor: None };
            self.send_duty_command(command, now);
        }
        self.end_session_when_idle(now);
        self.process_outputs(now);
    }

    /// Writes something about a duty into the fleet's state. The response comes as an effect.
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

    /// Renews the session, carries out the built-in duties, and gives up what has expired.
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
        if let Some(token) = self.owned_token(SUMMARY, now)
            && now >= self.duties.summary_query.next_at
        {
            let id = self.rng.random();
            self.duties.summary_query.start(id, token, now + summary_period);
            self.submit_as(id, FleetRequest::Status, now);
        }
        if let Some(token) = self.owned_token(CAMPAIGN, now)
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
        if let Some(unanswered) = self.duties.session.renewal_sent(id, now) {
            self.cancel_request(unanswered);
        }
        let command = FleetCommand::Duty(DutyCommand::KeepAlive(vec![self.own_instance()]));
        self.submit_as(id, FleetRequest::Execute { issuer: self.issuer(), command }, now);
    }

    /// Does what each campaign calls for. Its commands carry the token, so that a former owner changes nothing.
    fn run_campaigns(&mut self, token: Token, views: &[CampaignView], now: IntegerMillis) {
        for view in views {
            let name = view.name.clone();
            let command = match campaign::next_step(view) {
                None => continue,
                Some(CampaignStep::Next { from_index, share_before }) => {
                    CampaignCommand::Next { name, from_index, share_before, token }
                }
                Some(CampaignStep::Halt { from_index, reason }) => {
                    self.log(format!("campaign {name} halts: {reason}"));
                    CampaignCommand::Halt { name, from_index, reason, token }
                }
            };
            let command = FleetCommand::Campaign(command);
            self.submit(FleetRequest::Execute { issuer: self.issuer(), command }, now);
        }
    }

    /// Passes changes of what is owned on to the driver.
    fn process_ownership_changes(&mut self, now: IntegerMillis) {
        // What is acquired while this server drains is released at once.
        if self.phase == Phase::Draining {
            self.duties.session.recall_all();
        }
        for change in self.duties.session.take_changes() {
            match &change {
                OwnershipChange::Acquired(owned) => {
                    self.log(format!("owns {} by token {}", owned.duty, owned.token));
                }
                OwnershipChange::Lost(duty, token) => {
                    self.log(format!("no longer owns {duty}, token {token}"));
                }
                // Nothing of these has to be finished: the fleet's state records how far they are.
                OwnershipChange::ReleaseRequested(duty, _) if duty == SUMMARY || duty == CAMPAIGN => {
                    let duty = duty.clone();
                    self.release(&duty, now);
                    continue;
                }
                OwnershipChange::ReleaseRequested(..) => {}
            }
            self.effects.push(Effect::Duty(change));
        }
    }

    /// The server shuts down: all that it owns is to be released while it drains.
    pub(super) fn release_all_duties(&mut self, now: IntegerMillis) {
        self.duties.session.recall_all();
        self.process_ownership_changes(now);
    }

    /// Once the server has drained, its session is closed as soon as it owns nothing any more. What it still owns when the driver
    /// waits no longer expires.
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

    /// Handles the response to a request of this member's part in duties; true where it was one.
    pub(super) fn handle_duty_response(&mut self, received: &ReceivedResponse, now: IntegerMillis) -> bool {
        let ReceivedResponse { id, response, sent_at } = *received;
        if self.duties.session_end == SessionEnd::Pending(id) {
            self.duties.session_end = SessionEnd::Ended;
            return true;
        }
        if let Some(token) = self.duties.summary_query.answered(id) {
            if let FleetResponse::Status(status) = response
                && self.owned_token(SUMMARY, now) == Some(token)
            {
                self.send_summary(token, summary_of(status), now);
            }
            return true;
        }
        if let Some(token) = self.duties.campaign_query.answered(id) {
            if let FleetResponse::Campaigns(views) = response
                && self.owned_token(CAMPAIGN, now) == Some(token)
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

    /// Handles the leader's notification of what this member owns.
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

    /// Handles the summary of its owner; a former owner is rejected by its token.
    pub(super) fn handle_summary(
        &mut self,
        owner: ServerName,
        token: Token,
        summary: Summary,
        now: IntegerMillis,
    ) {
        // The fence is stored where the summary is: in this member's memory.
        match self.duties.fence.admit(SUMMARY, token, |_| Ok::<(), ()>(())) {
            Ok(()) => {
                self.duties.last_summary = Some(ReceivedSummary { at: now, owner, token, summary });
            }
            Err(FenceError::Stale { token, highest }) => {
                self.log(format!("a summary by {owner} was refused: token {token}, {highest} was here"));
            }
            Err(_) => {}
        }
    }

    /// The last summary, as operators are shown it.
    pub(super) fn summary_report(&self, now: IntegerMillis) -> Option<SummaryReport> {
        let received = self.duties.last_summary.as_ref()?;
        Some(SummaryReport {
            owner: received.owner.clone(),
            token: received.token,
            age_millis: now.saturating_sub(received.at),
            summary: received.summary.clone(),
        })
    }

    /// Messages of former owners that this member rejected.
    pub(super) fn rejected_messages(&self) -> u64 {
        self.duties.fence.rejected()
    }
}

/// Sums up what the leader knows of the members.
fn summary_of(status: &FleetStatus) -> Summary {
    let loads = status.members.iter().map(|member| summary::MemberLoad {
        name: &member.name,
        zone: &member.zone,
        state: member.state,
        load_report: member.load_report,
    });
    summary::summarize(loads)
}
