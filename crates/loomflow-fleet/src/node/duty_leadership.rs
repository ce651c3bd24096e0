//! The leader's handling of duties: it commits renewals of sessions in batches, assigns duties without an
//! owner, and notifies owners of changes as soon as they are committed.

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

/// Time after which a proposed batch of renewals that is not committed counts as lost, ms.
const RENEWAL_BATCH_TIMEOUT_MILLIS: IntegerMillis = 2_000;

/// Renewals of sessions, each with the id of its request.
type Batch = Vec<(FleetRequestId, ServerInstance)>;

/// A batch that was proposed and is not committed yet.
struct PendingBatch {
    id: FleetRequestId,
    renewals: Batch,
    expires_at: IntegerMillis,
}

/// The state of a duty that its owner was last notified of.
#[derive(Clone, Copy, PartialEq)]
struct Notified {
    token: Token,
    is_recalled: bool,
    is_run_requested: bool,
}

/// Renewals that are not committed yet, and the notifications sent to owners.
#[derive(Default)]
pub(super) struct SessionBatches {
    /// Renewals received since the last batch was proposed.
    waiting: Batch,
    pending: Option<PendingBatch>,
    notified: BTreeMap<DutyName, Notified>,
}

impl Node {
    /// Queues a server's renewal for the next batch.
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

    /// Proposes the queued renewals as a batch, unless one is pending.
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
            // The servers retry their renewals.
            self.leadership.sessions.pending = None;
        }
    }

    /// Handles an applied entry. If it is the pending batch, responds to its servers and returns true.
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

    /// The response to a server's renewal: the duties that it owns, or the remaining time of the session of
    /// another incarnation of the server.
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

    /// The commands on duties to commit now.
    pub(super) fn duty_decisions(&self, now: IntegerMillis) -> Vec<FleetCommand> {
        let (Some(config), Some(state)) = (&self.config.duties, self.fleet_state()) else {
            return Vec::new();
        };
        let specs = config.all_specs();
        if !state.duties.has_declared(config.lease_settings, &specs) {
            // A duty that is no longer configured remains in the state while it is owned, so the state differs
            // from the settings until then: that alone is no reason to declare the duties again.
            let is_undeclared = |(name, duty): (&DutyName, &Duty)| {
                duty.lease.is_some() && specs.iter().all(|spec| spec.name != *name)
            };
            let has_undeclared = state.duties.duties().iter().any(is_undeclared);
            if !has_undeclared || state.duties.lease_settings() != config.lease_settings {
                return vec![FleetCommand::Duty(DutyCommand::Declare(config.lease_settings, specs))];
            }
        }
        let members = self.member_views(now);
        let has_place = |name: &str| state.maintenance.has_slot(name);
        let commands = assign::commands(&state.duties, &members, &has_place);
        commands.into_iter().map(FleetCommand::Duty).collect()
    }

    /// Chooses the next owner of a duty when its owner releases it, so that it is never without one.
    pub(super) fn choose_successor(&self, duty: &str, now: IntegerMillis) -> Option<ServerName> {
        let state = self.fleet_state()?;
        let owner = &state.duties.duties().get(duty)?.lease.as_ref()?.owner;
        let has_place = |name: &str| state.maintenance.has_slot(name);
        let candidates = assign::candidates(&state.duties, &self.member_views(now), &has_place);
        assign::successor(&state.duties, &candidates, duty, owner)
    }

    /// Notifies owners of committed changes of their duties.
    pub(super) fn notify_owners(&mut self, now: IntegerMillis) {
        if self.config.duties.is_none() || !self.is_leader() {
            return;
        }
        let Some(state) = self.consensus.as_ref().map(Consensus::machine) else {
            return;
        };
        let mut notifications: BTreeMap<ServerName, Ownership> = BTreeMap::new();
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
                notifications.entry(lease.owner.clone()).or_insert_with(ownership);
            }
        }
        for (owner, ownership) in notifications {
            if owner == self.config.name {
                self.handle_ownership(ownership, now);
            } else {
                self.send(&owner, Body::Duties(ownership));
            }
        }
    }
}
