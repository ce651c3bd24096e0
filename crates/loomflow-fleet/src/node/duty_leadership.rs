//! The leader's part in duties: renewals are committed in batches, duties without an owner are assigned, owners are
//! notified of changes at once.

use std::collections::BTreeMap;

use rand::RngExt;

use super::Node;
use crate::command::{Entry, FleetCommand, FleetResponse, Issuer};
use crate::consensus::Consensus;
use crate::duty::state::{Duty, Session};
use crate::duty::{
    DutyCommand, DutyName, DutyRejection, DutyResponse, Ownership, ServerInstance, Token, assign,
};
use crate::member::{FleetRequestId, ServerName};
use crate::membership::MAX_MEMBERS;
use crate::time::IntegerMillis;
use crate::wire::Body;

/// A batch of renewals that was proposed and not committed for this long is lost, ms.
const RENEWAL_BATCH_TIMEOUT_MILLIS: IntegerMillis = 2_000;

/// Renewals, each with its request.
type Batch = Vec<(FleetRequestId, ServerInstance)>;

/// A batch that is to be committed.
struct PendingBatch {
    id: FleetRequestId,
    renewals: Batch,
    expires_at: IntegerMillis,
}

/// What an owner was last notified of.
#[derive(Clone, Copy, PartialEq)]
struct Notified {
    token: Token,
    is_recalled: bool,
    is_run_requested: bool,
}

/// Renewals on their way into the log, and what owners know.
#[derive(Default)]
pub(super) struct SessionBatches {
    /// Renewals since the last batch.
    waiting: Batch,
    pending: Option<PendingBatch>,
    notified: BTreeMap<DutyName, Notified>,
}

impl Node {
    /// Takes a server's renewal; it is added to the log with those of others.
    pub(super) fn queue_renewal(
        &mut self,
        id: FleetRequestId,
        instances: Vec<ServerInstance>,
        now: IntegerMillis,
    ) {
        let waiting = &mut self.leadership.sessions.waiting;
        let is_known = waiting.iter().any(|(other, _)| *other == id);
        let has_capacity = waiting.len() < MAX_MEMBERS;
        if let Some(instance) = instances.into_iter().next().filter(|_| !is_known && has_capacity) {
            waiting.push((id, instance));
        }
        self.propose_renewals(now);
    }

    /// Proposes the next batch, unless one is to be committed.
    pub(super) fn propose_renewals(&mut self, now: IntegerMillis) {
        let sessions = &mut self.leadership.sessions;
        if sessions.pending.as_ref().is_some_and(|pending| now >= pending.expires_at) {
            sessions.pending = None;
        }
        if sessions.waiting.is_empty() || sessions.pending.is_some() || !self.is_leader() {
            return;
        }
        let renewals = std::mem::take(&mut self.leadership.sessions.waiting);
        let id = self.rng.random();
        let instances = renewals.iter().map(|(_, instance)| instance.clone()).collect();
        let command = FleetCommand::Duty(DutyCommand::KeepAlive(instances));
        let entry = Entry { id, at: self.fleet_time(now), issuer: Issuer::Leader, command };
        let expires_at = now + RENEWAL_BATCH_TIMEOUT_MILLIS;
        self.leadership.sessions.pending = Some(PendingBatch { id, renewals, expires_at });
        if self.propose(&entry).is_err() {
            // The servers send their renewals again.
            self.leadership.sessions.pending = None;
        }
    }

    /// An entry is applied; true where it was the pending batch, whose servers are then notified of what they own.
    pub(super) fn renewals_applied(&mut self, id: FleetRequestId, now: IntegerMillis) -> bool {
        let pending = self.leadership.sessions.pending.take_if(|pending| pending.id == id);
        let Some(PendingBatch { renewals, .. }) = pending else { return false };
        for (id, instance) in renewals {
            let Some(response) = self.renewal_response(&instance) else { break };
            self.deliver_response(id, FleetResponse::Duty(response), now);
        }
        self.propose_renewals(now);
        true
    }

    /// What a server is answered to its renewal.
    fn renewal_response(&self, instance: &ServerInstance) -> Option<DutyResponse> {
        let duties = &self.fleet_state()?.duties;
        let session = duties.sessions().get(&instance.name);
        let is_own = |session: &&Session| session.incarnation == instance.incarnation;
        if session.as_ref().is_some_and(is_own) {
            return Some(DutyResponse::Ownership(duties.ownership(&instance.name)));
        }
        let remaining = session.map_or(0, |session| session.expires_at.saturating_sub(duties.time()));
        Some(DutyResponse::Rejected(DutyRejection::EarlierIncarnation(remaining)))
    }

    /// What is to be committed about duties now.
    pub(super) fn duty_decisions(&self, now: IntegerMillis) -> Vec<FleetCommand> {
        let (Some(config), Some(state)) = (&self.config.duties, self.fleet_state()) else {
            return Vec::new();
        };
        let specs = config.all_specs();
        if !state.duties.has_declared(config.lease_settings, &specs) {
            // A duty that is owned and no longer declared stays for a while, and is no reason to declare again.
            let is_leftover = |(name, duty): (&DutyName, &Duty)| {
                duty.lease.is_some() && specs.iter().all(|spec| spec.name != *name)
            };
            let has_leftovers = state.duties.duties().iter().any(is_leftover);
            if !has_leftovers || state.duties.lease_settings() != config.lease_settings {
                return vec![FleetCommand::Duty(DutyCommand::Declare(config.lease_settings, specs))];
            }
        }
        let members = self.member_views(now);
        let has_place = |name: &str| state.maintenance.has_slot(name);
        let commands = assign::commands(&state.duties, &members, &has_place);
        commands.into_iter().map(FleetCommand::Duty).collect()
    }

    /// Who gets a duty that its owner releases, so that it is not without an owner for a moment.
    pub(super) fn choose_successor(&self, duty: &str, now: IntegerMillis) -> Option<ServerName> {
        let state = self.fleet_state()?;
        let owner = &state.duties.duties().get(duty)?.lease.as_ref()?.owner;
        let has_place = |name: &str| state.maintenance.has_slot(name);
        let candidates = assign::candidates(&state.duties, &self.member_views(now), &has_place);
        assign::successor(&state.duties, &candidates, duty, owner)
    }

    /// Notifies owners of what changed about their duties, as soon as it is committed.
    pub(super) fn notify_owners(&mut self, now: IntegerMillis) {
        if self.config.duties.is_none() || !self.is_leader() {
            return;
        }
        let Some(state) = self.consensus.as_ref().map(Consensus::machine) else {
            return;
        };
        let mut news: BTreeMap<ServerName, Ownership> = BTreeMap::new();
        for (name, duty) in state.duties.duties() {
            let Some(lease) = &duty.lease else { continue };
            let current = Notified {
                token: lease.token,
                is_recalled: lease.is_recalled,
                is_run_requested: duty.is_run_requested(),
            };
            if self.leadership.sessions.notified.get(name) != Some(&current) {
                self.leadership.sessions.notified.insert(name.clone(), current);
                let ownership = || state.duties.ownership(&lease.owner);
                news.entry(lease.owner.clone()).or_insert_with(ownership);
            }
        }
        for (owner, ownership) in news {
            if owner == self.config.name {
                self.handle_ownership(ownership, now);
            } else {
                self.send(&owner, Body::Duties(ownership));
            }
        }
    }
}
