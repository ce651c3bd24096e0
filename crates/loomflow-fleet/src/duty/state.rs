//! The replicated state machine of duties. It validates every command when it applies it, because the state on which the
//! leader or an owner based the command may have changed before the command was committed.
//!
//! A server has a session while it renews it; a lease of a duty lasts as long as its owner's session. Sessions expire in the
//! fleet's time, which never runs ahead of any real clock by more than [`super::MAX_CLOCK_DRIFT`] and stops without a
//! leader. So sessions expire late and never early under any leader, and a new leader only waits for the committed
//! expirations.
//!
//! This file has the state, its queries and its snapshot; `apply` has the changes.

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

/// Maximum number of events retained; older ones are discarded.
pub const MAX_EVENTS: usize = 2_000;
/// Requests for a run retained per duty, so that a request that is sent again is ignored.
const MAX_RUN_REQUESTS: usize = 16;

/// A server's session, which lasts as long as the server renews it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Session {
    /// Number of the session, unique in the fleet.
    pub id: SessionId,
    /// The incarnation of the server that opened the session.
    pub incarnation: Incarnation,
    /// When the session expires unless it is renewed.
    pub expires_at: FleetMillis,
}

/// The ownership of a duty by one server.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Lease {
    /// The server that owns the duty.
    pub owner: ServerName,
    /// The fencing token of this lease.
    pub token: Token,
    /// When the duty was assigned.
    pub since: FleetMillis,
    /// Whether the owner has to release the duty.
    pub is_recalled: bool,
}

/// A duty with its lease and the history of its runs.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Duty {
    /// The last declaration of the duty.
    pub spec: DutySpec,
    /// The current lease; `None` while the duty has no owner.
    pub lease: Option<Lease>,
    /// The highest token ever assigned for the duty; 0 before the first owner.
    pub token: Token,
    /// When the last lease ended, or when the duty was declared.
    pub available_since: FleetMillis,
    /// The reason for which the duty is parked; `None` while it is not.
    pub parked: Option<String>,
    /// Reasons of the lost owners and failed runs that count towards [`LeaseSettings::max_attempts`].
    pub recent_failures: Vec<String>,
    checkpoint: Vec<u8>,
    /// The last run that began; 0 before the first.
    last_run: RunId,
    /// The token under which `last_run` began, until that run ends.
    unfinished_run: Option<Token>,
    /// Whether an operator requested a run that has not begun.
    is_run_requested: bool,
    /// Identifiers of the last [`MAX_RUN_REQUESTS`] requests for a run, the latest first.
    run_requests: VecDeque<u64>,
    rejected_writes: u64,
}

/// The contents of a snapshot. The indexes of [`Duties`] are rebuilt from it.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
struct PersistentState {
    time: FleetMillis,
    last_token: Token,
    last_session: SessionId,
    lease_settings: Option<LeaseSettings>,
    /// No duty is assigned before this time: entries that a recovery lost may have assigned it to another owner.
    quiet_until: FleetMillis,
    sessions: BTreeMap<ServerName, Session>,
    duties: BTreeMap<DutyName, Duty>,
    events: VecDeque<DutyEvent>,
}

/// The state of all sessions and duties, with their recent events.
#[derive(Clone, Debug, Default)]
pub struct Duties {
    state: PersistentState,
    /// Index of the leases: the duties that each server owns.
    duties_by_owner: BTreeMap<ServerName, BTreeSet<DutyName>>,
    /// Index of the sessions by the time at which they expire.
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

    /// Whether the duty has no owner and is not parked.
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
    /// The fleet's time as of the last log entry, ms.
    pub fn time(&self) -> FleetMillis {
        self.state.time
    }

    /// The lease settings in force.
    pub fn lease_settings(&self) -> LeaseSettings {
        self.state.lease_settings.unwrap_or_default()
    }

    /// All duties by name, including those that are removed once their owners have released them.
    pub fn duties(&self) -> &BTreeMap<DutyName, Duty> {
        &self.state.duties
    }

    /// The sessions that have not expired, by server.
    pub fn sessions(&self) -> &BTreeMap<ServerName, Session> {
        &self.state.sessions
    }

    /// The highest token ever assigned for any duty.
    pub fn last_token(&self) -> Token {
        self.state.last_token
    }

    /// The last [`MAX_EVENTS`] events, the oldest first.
    pub fn events(&self) -> impl DoubleEndedIterator<Item = &DutyEvent> {
        self.state.events.iter()
    }

    /// The duties that a server owns.
    pub fn owned_by(&self, server: &str) -> impl Iterator<Item = (&DutyName, &Duty)> {
        let names = self.duties_by_owner.get(server).into_iter().flatten();
        names.filter_map(|duty| self.state.duties.get_key_value(duty))
    }

    /// The next time at which a session expires or assignments are permitted again.
    pub fn next_deadline(&self) -> Option<FleetMillis> {
        let quiet_until = Some(self.state.quiet_until).filter(|until| *until > self.state.time);
        let next_expiration = self.expirations.first().map(|(at, _)| *at);
        next_expiration.into_iter().chain(quiet_until).min()
    }

    /// Whether exactly these settings and duties are in force.
    pub fn has_declared(&self, lease_settings: LeaseSettings, specs: &[DutySpec]) -> bool {
        let is_unchanged =
            |spec: &DutySpec| self.state.duties.get(&spec.name).is_some_and(|duty| duty.spec == *spec);
        self.state.lease_settings == Some(lease_settings)
            && specs.len() == self.state.duties.len()
            && specs.iter().all(is_unchanged)
    }

    /// A server's session and the duties that it owns.
    pub fn ownership(&self, server: &str) -> Ownership {
        Ownership {
            session: self.state.sessions.get(server).map_or(0, |session| session.id),
            lease_settings: self.lease_settings(),
            duties: self.owned_by(server).filter_map(|(_, duty)| duty.owned_duty()).collect(),
        }
    }

    /// All duties, sessions and events, for operators.
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

    /// Resets the state after the fleet was recovered from one data directory. Tokens and sessions skip
    /// [`RECOVERY_ID_GAP`] numbers, so that none is assigned twice. Lost entries may have assigned duties, so none is
    /// assigned until those sessions must have expired.
    pub fn reset_after_recovery(&mut self) {
        self.state.last_token += RECOVERY_ID_GAP;
        self.state.last_session += RECOVERY_ID_GAP;
        self.state.quiet_until = self.state.time + self.lease_settings().waiting_duration();
    }

    /// Encodes a snapshot.
    pub fn save(&self) -> Vec<u8> {
        postcard::to_stdvec(&self.state).unwrap_or_default()
    }

    /// Restores the state from a snapshot.
    ///
    /// # Errors
    /// The bytes are not a snapshot that [`Duties::save`] encoded.
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
