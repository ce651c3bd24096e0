//! The leader's round: it reconciles the voters, advances tickets by the observed state of their servers,
//! grants the next ticket, and assigns duties. Decisions are committed in the log; none are made while
//! earlier ones are not committed yet.

use std::collections::BTreeSet;

use rand::RngExt;

use super::duty_leadership::SessionBatches;
use super::{Effect, Node};
use crate::command::{Entry, FleetCommand, Issuer};
use crate::maintenance::observation;
use crate::maintenance::scheduling::{Decision, SchedulerView};
use crate::maintenance::state::MaintenanceState;
use crate::member::{FleetRequestId, MemberState, ServerName};
use crate::time::{FleetMillis, IntegerMillis};

/// Interval between the leader's rounds, ms.
const ROUND_PERIOD_MILLIS: IntegerMillis = 250;
/// Time after which a proposal that is not committed counts as lost, ms.
const PROPOSAL_TIMEOUT_MILLIS: IntegerMillis = 5_000;
/// Interval at which the fleet's time is committed while a deadline is pending, ms: a new leader continues
/// from the last committed time.
const CLOCK_PERIOD_MILLIS: IntegerMillis = 5_000;

/// The state of a member that leads; the default otherwise.
#[derive(Default)]
pub(super) struct Leadership {
    /// Local time and fleet time at which this member became the leader.
    leading_since: Option<(IntegerMillis, FleetMillis)>,
    next_round_at: IntegerMillis,
    /// Proposals that are not committed yet; they count as lost at `pending_until`.
    pending: BTreeSet<FleetRequestId>,
    pending_until: IntegerMillis,
    pub sessions: SessionBatches,
}

impl Leadership {
    /// Handles an applied proposal. When none is pending any more, the next round is due at once.
    pub fn proposal_applied(&mut self, id: FleetRequestId) {
        if self.pending.remove(&id) && self.pending.is_empty() {
            self.next_round_at = 0;
        }
    }
}

impl Node {
    /// The fleet's time: if this member leads, advanced by its local clock, otherwise the last committed
    /// time.
    pub(super) fn fleet_time(&self, now: IntegerMillis) -> FleetMillis {
        let committed = self.maintenance().map_or(0, MaintenanceState::time);
        let Some((started_at, time_at_start)) = self.leadership.leading_since else { return committed };
        committed.max(time_at_start + now.saturating_sub(started_at))
    }

    pub(super) fn run_leader_round(&mut self, now: IntegerMillis) {
        if !self.is_leader() {
            self.leadership = Leadership::default();
            return;
        }
        if self.leadership.leading_since.is_none() {
            let committed = self.maintenance().map_or(0, MaintenanceState::time);
            self.leadership.leading_since = Some((now, committed));
            self.effects.push(Effect::Log("became the leader of the fleet".into()));
        }
        if now < self.next_round() {
            return;
        }
        self.leadership.next_round_at = now + ROUND_PERIOD_MILLIS;
        self.update_voters();
        if now >= self.leadership.pending_until {
            self.leadership.pending.clear();
        }
        if self.leadership.pending.is_empty() {
            let commands = [self.maintenance_decisions(now), self.duty_decisions(now)].concat();
            for command in commands {
                self.propose_as_leader(command, now);
            }
        }
    }

    /// The time of the leader's next round: after the usual period, or at the next deadline if that is
    /// earlier.
    pub(super) fn next_round(&self) -> IntegerMillis {
        let leadership = &self.leadership;
        let Some((started_at, time_at_start)) =
            leadership.leading_since.filter(|_| leadership.pending.is_empty())
        else {
            return leadership.next_round_at;
        };
        let is_ahead = |deadline: &FleetMillis| {
            self.maintenance().is_some_and(|maintenance| maintenance.time() < *deadline)
        };
        match self.next_deadline().filter(is_ahead) {
            Some(deadline) => {
                leadership.next_round_at.min(started_at + deadline.saturating_sub(time_at_start))
            }
            None => leadership.next_round_at,
        }
    }

    /// The next deadline of a ticket or a session, in fleet time.
    fn next_deadline(&self) -> Option<FleetMillis> {
        let state = self.fleet_state()?;
        state.maintenance.next_deadline().into_iter().chain(state.duties.next_deadline()).min()
    }

    /// Reconciles the Raft configuration with the configured voters, by the replicas that they report.
    fn update_voters(&mut self) {
        let replica = |name: &ServerName| {
            if *name == self.config.name {
                return self.replica().map(|replica| replica.id);
            }
            let known = self.membership.get(name)?;
            let is_available = matches!(known.state(), MemberState::Serving | MemberState::Cold);
            known.replica.filter(|_| is_available).map(|replica| replica.id)
        };
        let names = self.config.voters.iter().map(|(name, _)| name);
        let desired: Vec<_> = names.map(|name| (name.clone(), replica(name))).collect();
        if let Some(consensus) = &mut self.consensus {
            consensus.reconcile_voters(&desired);
        }
    }

    fn maintenance_decisions(&mut self, now: IntegerMillis) -> Vec<FleetCommand> {
        let time = self.fleet_time(now);
        let members = self.member_views(now);
        let Some(maintenance) = self.maintenance() else { return Vec::new() };
        if maintenance.rules() != Some(&self.config.rules) {
            return vec![FleetCommand::Rules(self.config.rules.clone())];
        }
        let is_clock_due = time >= maintenance.time() + CLOCK_PERIOD_MILLIS;
        if self.next_deadline().is_some_and(|deadline| deadline <= time || is_clock_due) {
            return vec![FleetCommand::Clock];
        }
        let leader = self.config.name.as_str();
        let view =
            SchedulerView { maintenance, members: &members, headroom: &self.headroom, now: time, leader };
        let transitions = observation::transitions(&view);
        if !transitions.is_empty() {
            return transitions;
        }
        match view.decide() {
            Some(Decision::Grant { ticket, incarnation }) => {
                vec![FleetCommand::Grant { ticket, incarnation, availability: view.availability() }]
            }
            Some(Decision::TransferLeadership) => {
                self.transfer_leadership();
                Vec::new()
            }
            None => Vec::new(),
        }
    }

    fn propose_as_leader(&mut self, command: FleetCommand, now: IntegerMillis) {
        let id = self.rng.random();
        let entry = Entry { id, at: self.fleet_time(now), issuer: Issuer::Leader, command };
        self.leadership.pending.insert(id);
        self.leadership.pending_until = now + PROPOSAL_TIMEOUT_MILLIS;
        if self.propose(&entry).is_err() {
            self.leadership.pending.remove(&id);
        }
    }
}
