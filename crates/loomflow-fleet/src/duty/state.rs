//! The state machine that the log is applied to, for duties. It checks every command by itself: what the leader or an owner
//! relied on may be outdated when it is committed.
//!
//! A server has a session while it renews it; a lease of a duty lasts as long as its owner's session. Time is the fleet's
//! own, which never runs ahead of any real clock by more than [`super::MAX_CLOCK_DRIFT`] and stops without a leader:
//! sessions expire late and never early, whoever leads. So a new leader has nothing more to wait for than what is
//! committed.
//!
//! This file has the state, what can be read of it, and its snapshot; `apply` changes it.

mod apply;

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use serde::{Deserialize, Serialize};

use super::{
    DutyEvent, DutyList, DutyName, DutySpec, DutyStatus, LeaseSettings, OwnedDuty, Ownership, RunId,
    ServerInstance, SessionId, Token,
};
use crate::consensus::{RECOVERY_ID_GAP, SnapshotError};
use crate::member::{Incarnation, ServerName};
use crate::time::FleetMillis;

/// Events that are retained.
pub const MAX_EVENTS: usize = 2_000;
/// Requests for a run that are remembered, so that none counts twice.
const MAX_RUN_REQUESTS: usize = 16;

/// A server's session.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Session {
    /// Its number.
    pub id: SessionId,
    /// The start of the server that has it.
    pub incarnation: Incarnation,
    /// When it expires unless it is renewed.
    pub expires_at: FleetMillis,
}

/// A duty's owner.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Lease {
    /// The server.
    pub owner: ServerName,
    /// Its fencing token.
    pub token: Token,
    /// Since when.
    pub since: FleetMillis,
    /// The owner is to release it.
    pub is_recalled: bool,
}

/// A duty.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Duty {
    /// As it is declared.
    pub spec: DutySpec,
    /// Its owner, if it has one.
    pub lease: Option<Lease>,
    /// The highest token ever assigned for it.
    pub token: Token,
    /// Since when it was last without an owner.
    pub available_since: FleetMillis,
    /// Why nobody is to own it; none where somebody may.
    pub parked: Option<String>,
    /// Owners lost or runs failed in a row.
    pub recent_failures: Vec<String>,
    checkpoint: Vec<u8>,
    /// The last run that began.
    last_run: RunId,
    /// The owner of the last run, while that has not ended.
    unfinished_run: Option<Token>,
    /// An operator requested a run that has not begun.
    is_run_requested: bool,
    /// The last requests for a run.
    run_requests: VecDeque<u64>,
    rejected_writes: u64,
}

/// The contents of a snapshot; the indexes follow from it.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
struct PersistentState {
    time: FleetMillis,
    last_token: Token,
    last_session: SessionId,
    lease_settings: Option<LeaseSettings>,
    /// Nothing is assigned before: somebody may own it by what was lost.
    quiet_until: FleetMillis,
    sessions: BTreeMap<ServerName, Session>,
    duties: BTreeMap<DutyName, Duty>,
    events: VecDeque<DutyEvent>,
}

/// All sessions, duties and what has happened to them.
#[derive(Clone, Debug, Default)]
pub struct Duties {
    state: PersistentState,
    /// What each server owns.
    duties_by_owner: BTreeMap<ServerName, BTreeSet<DutyName>>,
    /// When sessions expire, and whose; the next first.
    expirations: BTreeSet<(FleetMillis, ServerName)>,
}

impl Duty {
    pub(super) fn new(spec: DutySpec, now: FleetMillis) -> Duty {
        Duty {
            spec,
            lease: None,
            token: 0,
            available_since: now,
            parked: None,
            recent_failures: Vec::new(),
            checkpoint: Vec::new(),
            last_run: 0,
            unfinished_run: None,
            is_run_requested: false,
            run_requests: VecDeque::new(),
            rejected_writes: 0,
        }
    }

    /// Whether an operator requested a run that has not begun.
    pub fn is_run_requested(&self) -> bool {
        self.is_run_requested
    }

    /// Whether it has no owner and may have one.
    pub fn is_available(&self) -> bool {
        self.lease.is_none() && self.parked.is_none()
    }

    fn owned_duty(&self) -> Option<OwnedDuty> {
        let lease = self.lease.as_ref()?;
        Some(OwnedDuty {
            duty: self.spec.name.clone(),
            token: lease.token,
            is_recalled: lease.is_recalled,
            checkpoint: self.checkpoint.clone(),
            last_run: self.last_run,
            has_unfinished_run: self.unfinished_run.is_some(),
            is_run_requested: self.is_run_requested,
            schedule: self.spec.schedule.clone(),
        })
    }
}

impl Duties {
    /// The fleet's time at the last entry.
    pub fn time(&self) -> FleetMillis {
        self.state.time
    }

    /// The lease settings in force.
    pub fn lease_settings(&self) -> LeaseSettings {
        self.state.lease_settings.unwrap_or_default()
    }

    /// All duties.
    pub fn duties(&self) -> &BTreeMap<DutyName, Duty> {
        &self.state.duties
    }

    /// All sessions.
    pub fn sessions(&self) -> &BTreeMap<ServerName, Session> {
        &self.state.sessions
    }

    /// The highest token ever assigned.
    pub fn last_token(&self) -> Token {
        self.state.last_token
    }

    /// The last events, the oldest first.
    pub fn events(&self) -> impl DoubleEndedIterator<Item = &DutyEvent> {
        self.state.events.iter()
    }

    /// What a server owns.
    pub fn owned_by(&self, server: &str) -> impl Iterator<Item = (&DutyName, &Duty)> {
        let names = self.duties_by_owner.get(server).into_iter().flatten();
        names.filter_map(|duty| self.state.duties.get_key_value(duty))
    }

    /// When time changes something next.
    pub fn next_deadline(&self) -> Option<FleetMillis> {
        let quiet_until = Some(self.state.quiet_until).filter(|until| *until > self.state.time);
        let next_expiration = self.expirations.first().map(|(at, _)| *at);
        next_expiration.into_iter().chain(quiet_until).min()
    }

    /// Whether exactly this is declared.
    pub fn has_declared(&self, lease_settings: LeaseSettings, specs: &[DutySpec]) -> bool {
        let is_known =
            |spec: &DutySpec| self.state.duties.get(&spec.name).is_some_and(|duty| duty.spec == *spec);
        self.state.lease_settings == Some(lease_settings)
            && specs.len() == self.state.duties.len()
            && specs.iter().all(is_known)
    }

    /// A server's session and what it owns.
    pub fn ownership(&self, server: &str) -> Ownership {
        Ownership {
            session: self.state.sessions.get(server).map_or(0, |session| session.id),
            lease_settings: self.lease_settings(),
            duties: self.owned_by(server).filter_map(|(_, duty)| duty.owned_duty()).collect(),
        }
    }

    /// All duties with their history.
    pub fn list(&self) -> DutyList {
        DutyList {
            duties: self.state.duties.values().map(|duty| self.status(duty)).collect(),
            sessions: self.state.sessions.keys().cloned().collect(),
            lease_settings: self.lease_settings(),
            time: self.state.time,
            events: self.state.events.iter().cloned().collect(),
        }
    }

    fn status(&self, duty: &Duty) -> DutyStatus {
        let incarnation =
            |owner: &str| self.state.sessions.get(owner).map_or(0, |session| session.incarnation);
        let lease = duty.lease.as_ref();
        DutyStatus {
            duty: duty.spec.name.clone(),
            owner: lease.map(|lease| ServerInstance {
                name: lease.owner.clone(),
                incarnation: incarnation(&lease.owner),
            }),
            token: duty.token,
            since: lease.map_or(duty.available_since, |lease| lease.since),
            is_recalled: lease.is_some_and(|lease| lease.is_recalled),
            parked: duty.parked.clone(),
            recent_failures: duty.recent_failures.clone(),
            last_run: duty.last_run,
            has_unfinished_run: duty.unfinished_run.is_some(),
            is_run_requested: duty.is_run_requested,
            rejected_writes: duty.rejected_writes,
        }
    }

    /// The fleet was recovered from one data directory: no token that was ever assigned comes again. Who owned what by what
    /// was lost is not known, so nothing is assigned until that must have expired.
    pub fn reset_after_recovery(&mut self) {
        self.state.last_token += RECOVERY_ID_GAP;
        self.state.last_session += RECOVERY_ID_GAP;
        self.state.quiet_until = self.state.time + self.lease_settings().waiting_duration();
    }

    /// A snapshot.
    pub fn save(&self) -> Vec<u8> {
        postcard::to_stdvec(&self.state).unwrap_or_default()
    }

    /// Restores a snapshot.
    ///
    /// # Errors
    /// The bytes are not what [`Duties::save`] writes.
    pub fn load(bytes: &[u8]) -> Result<Duties, SnapshotError> {
        let state: PersistentState =
            postcard::from_bytes(bytes).map_err(|source| SnapshotError { part: "duties", source })?;
        let mut duties = Duties { state, ..Duties::default() };
        for (name, duty) in &duties.state.duties {
            if let Some(lease) = &duty.lease {
                duties.duties_by_owner.entry(lease.owner.clone()).or_default().insert(name.clone());
            }
        }
        let sessions = duties.state.sessions.iter();
        duties.expirations = sessions.map(|(name, session)| (session.expires_at, name.clone())).collect();
        Ok(duties)
    }
}

#[cfg(test)]
mod tests;
