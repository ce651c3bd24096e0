//! Changes of sessions and duties by commands and by the fleet's time.

use super::{Duties, Duty, Lease, MAX_EVENTS, MAX_RUN_REQUESTS, PersistentState, Session};
use crate::duty::{
    DutyCommand, DutyEvent, DutyEventKind, DutyName, DutyRejection, DutyResponse, DutySpec, LeaseSettings,
    MAX_CHECKPOINT_BYTES, MAX_DUTIES, OwnerUpdate, RunId, ServerInstance, Token, check_name, truncate_reason,
};
use crate::member::ServerName;
use crate::membership::MAX_MEMBERS;
use crate::time::FleetMillis;

impl Duties {
    /// Advances the fleet's time, and ends the sessions that expire until then in the order of their expiration.
    pub fn advance_time(&mut self, time: FleetMillis) {
        self.state.time = self.state.time.max(time);
        while let Some((at, server)) =
            self.expirations.first().cloned().filter(|(at, _)| *at <= self.state.time)
        {
            self.expirations.remove(&(at, server.clone()));
            self.state.sessions.remove(&server);
            self.expire_leases(&server);
        }
    }

    /// Applies a command at the current time of the fleet.
    pub fn apply(&mut self, command: &DutyCommand) -> DutyResponse {
        self.execute(command).map_or_else(DutyResponse::Rejected, |()| DutyResponse::Done)
    }

    fn execute(&mut self, command: &DutyCommand) -> Result<(), DutyRejection> {
        match command {
            DutyCommand::Declare(lease_settings, specs) => return self.declare(*lease_settings, specs),
            DutyCommand::KeepAlive(instances) => instances.iter().for_each(|one| self.renew_session(one)),
            DutyCommand::End(instance) => self.end_session(instance),
            DutyCommand::Assign(owners) => owners.iter().for_each(|(duty, owner)| self.assign(duty, owner)),
            DutyCommand::Recall(duty) => self.duty_mut(duty)?.recall(),
            DutyCommand::Release { duty, token, successor } => {
                return self.release(duty, *token, successor.as_ref());
            }
            DutyCommand::Write { duty, token, update } => return self.write(duty, *token, update),
            DutyCommand::Park(duty, reason) => return self.park(duty, reason),
            DutyCommand::Resume(duty) => return self.resume(duty),
            DutyCommand::Run(duty, request) => self.duty_mut(duty)?.request_run(*request),
        }
        Ok(())
    }

    fn declare(&mut self, lease_settings: LeaseSettings, specs: &[DutySpec]) -> Result<(), DutyRejection> {
        if specs.len() > MAX_DUTIES {
            return Err(DutyRejection::Invalid(format!(
                "{} duties are declared, the limit is {MAX_DUTIES}",
                specs.len()
            )));
        }
        specs.iter().try_for_each(|spec| check_name(&spec.name))?;
        self.state.lease_settings = Some(lease_settings);
        let is_declared = |name: &str| specs.iter().any(|spec| spec.name == name);
        self.state.duties.retain(|name, duty| duty.lease.is_some() || is_declared(name));
        // A duty that is owned and no longer declared stays until its owner has released it: the next declaration removes it.
        for (name, duty) in &mut self.state.duties {
            if !is_declared(name) {
                duty.recall();
            }
        }
        let now = self.state.time;
        for spec in specs {
            let entry = self.state.duties.entry(spec.name.clone());
            entry.and_modify(|duty| duty.spec = spec.clone()).or_insert_with(|| Duty::new(spec.clone(), now));
        }
        Ok(())
    }

    /// Renews a server's session, or opens one. The session of an earlier incarnation is left until it expires, because that
    /// incarnation may still be running somewhere.
    fn renew_session(&mut self, instance: &ServerInstance) {
        let expires_at = self.state.time + self.lease_settings().waiting_duration();
        let is_full = self.state.sessions.len() >= MAX_MEMBERS;
        match self.state.sessions.get_mut(&instance.name) {
            Some(session) if session.incarnation == instance.incarnation => {
                self.expirations.remove(&(session.expires_at, instance.name.clone()));
                session.expires_at = session.expires_at.max(expires_at);
                self.expirations.insert((session.expires_at, instance.name.clone()));
            }
            Some(_) => {}
            None if is_full => {}
            None => {
                self.state.last_session += 1;
                let (id, incarnation) = (self.state.last_session, instance.incarnation);
                self.expirations.insert((expires_at, instance.name.clone()));
                self.state.sessions.insert(instance.name.clone(), Session { id, incarnation, expires_at });
            }
        }
    }

    fn end_session(&mut self, instance: &ServerInstance) {
        let session = self.state.sessions.get(&instance.name);
        if session.is_none_or(|session| session.incarnation != instance.incarnation) {
            return;
        }
        if let Some(session) = self.state.sessions.remove(&instance.name) {
            self.expirations.remove(&(session.expires_at, instance.name.clone()));
        }
        for duty in self.names_owned_by(&instance.name) {
            self.end_lease(&duty, DutyEventKind::Released);
        }
    }

    fn names_owned_by(&self, server: &str) -> Vec<DutyName> {
        self.duties_by_owner.get(server).into_iter().flatten().cloned().collect()
    }

    /// Assigns a duty to a server. Does nothing if the duty is unavailable or the server has no session.
    fn assign(&mut self, name: &DutyName, owner: &ServerName) {
        let PersistentState { duties, sessions, last_token, time, quiet_until, .. } = &mut self.state;
        let Some(duty) = duties.get_mut(name) else { return };
        if !duty.is_available() || *time < *quiet_until || !sessions.contains_key(owner) {
            return;
        }
        *last_token += 1;
        let token = *last_token;
        duty.token = token;
        duty.lease = Some(Lease { owner: owner.clone(), token, since: *time, is_recalled: false });
        self.duties_by_owner.entry(owner.clone()).or_default().insert(name.clone());
        self.record_event(name, DutyEventKind::Taken, String::new());
    }

    fn release(
        &mut self,
        duty: &DutyName,
        token: Token,
        successor: Option<&ServerName>,
    ) -> Result<(), DutyRejection> {
        self.check_token(duty, token)?;
        self.end_lease(duty, DutyEventKind::Released);
        if let Some(successor) = successor {
            self.assign(duty, successor);
        }
        Ok(())
    }

    fn write(&mut self, name: &DutyName, token: Token, update: &OwnerUpdate) -> Result<(), DutyRejection> {
        self.check_token(name, token)?;
        match update {
            OwnerUpdate::Checkpoint(bytes) if bytes.len() > MAX_CHECKPOINT_BYTES => {
                Err(DutyRejection::Invalid(format!(
                    "the checkpoint has {} bytes, the limit is {MAX_CHECKPOINT_BYTES}",
                    bytes.len()
                )))
            }
            OwnerUpdate::Checkpoint(bytes) => {
                self.duty_mut(name)?.checkpoint.clone_from(bytes);
                Ok(())
            }
            OwnerUpdate::Began(run) => self.begin_run(name, token, *run),
            OwnerUpdate::Done(run) => self.finish_run(name, token, *run),
            OwnerUpdate::Failed(run, reason) => self.fail_run(name, token, *run, reason),
        }
    }

    fn begin_run(&mut self, name: &DutyName, token: Token, run: RunId) -> Result<(), DutyRejection> {
        let duty = self.duty_mut(name)?;
        // Beginning an unfinished run again is a repeated write if the token is the same, and a retry by a new owner if not.
        let is_retry = run == duty.last_run && duty.unfinished_run.is_some();
        if run < duty.last_run || (run == duty.last_run && !is_retry) {
            return Err(DutyRejection::Begun { duty: name.clone(), run: duty.last_run });
        }
        let is_repeated = is_retry && duty.unfinished_run == Some(token);
        duty.last_run = run;
        duty.unfinished_run = Some(token);
        duty.is_run_requested = false;
        if !is_repeated {
            self.record_event(name, DutyEventKind::Began, run.to_string());
        }
        Ok(())
    }

    /// The duty, if `run` is its unfinished run and began under this token.
    fn duty_with_run(
        &mut self,
        name: &DutyName,
        token: Token,
        run: RunId,
    ) -> Result<&mut Duty, DutyRejection> {
        let duty = self.duty_mut(name)?;
        if run != duty.last_run || duty.unfinished_run != Some(token) {
            return Err(DutyRejection::Begun { duty: name.clone(), run: duty.last_run });
        }
        Ok(duty)
    }

    fn finish_run(&mut self, name: &DutyName, token: Token, run: RunId) -> Result<(), DutyRejection> {
        let duty = self.duty_with_run(name, token, run)?;
        duty.unfinished_run = None;
        duty.recent_failures.clear();
        self.record_event(name, DutyEventKind::Done, run.to_string());
        Ok(())
    }

    fn fail_run(
        &mut self,
        name: &DutyName,
        token: Token,
        run: RunId,
        reason: &str,
    ) -> Result<(), DutyRejection> {
        let settings = self.lease_settings();
        let reason = truncate_reason(reason);
        let duty = self.duty_with_run(name, token, run)?;
        let is_last_attempt = duty.record_failure(&reason, settings);
        if is_last_attempt {
            duty.unfinished_run = None;
        }
        self.record_event(name, DutyEventKind::Failed, format!("{run}: {reason}"));
        if is_last_attempt { self.park(name, &reason) } else { Ok(()) }
    }

    fn park(&mut self, name: &DutyName, reason: &str) -> Result<(), DutyRejection> {
        let duty = self.duty_mut(name)?;
        // The lease lasts until the owner releases the duty, because the owner may still be working.
        duty.recall();
        if duty.parked.is_none() {
            let reason = truncate_reason(reason);
            duty.parked = Some(reason.clone());
            self.record_event(name, DutyEventKind::Parked, reason);
        }
        Ok(())
    }

    fn resume(&mut self, name: &DutyName) -> Result<(), DutyRejection> {
        let duty = self.duty_mut(name)?;
        duty.recent_failures.clear();
        if duty.parked.take().is_some() {
            self.record_event(name, DutyEventKind::Resumed, String::new());
        }
        Ok(())
    }

    fn duty_mut(&mut self, name: &str) -> Result<&mut Duty, DutyRejection> {
        self.state.duties.get_mut(name).ok_or_else(|| DutyRejection::Unknown(name.to_owned()))
    }

    /// Fences the fleet's own state: admits only the token of the current lease. Each rejection is counted and recorded as
    /// an event.
    ///
    /// # Errors
    /// The duty is unknown, or the token is not that of its current lease.
    pub fn check_token(&mut self, name: &str, token: Token) -> Result<(), DutyRejection> {
        let duty = self.duty_mut(name)?;
        if duty.lease.as_ref().is_some_and(|lease| lease.token == token) {
            return Ok(());
        }
        duty.rejected_writes += 1;
        let rejection = DutyRejection::Stale { duty: name.to_owned(), token, current: duty.token };
        self.record_event(name, DutyEventKind::Rejected, format!("token {token}"));
        Err(rejection)
    }

    /// Ends all leases of a server whose session expired.
    fn expire_leases(&mut self, server: &ServerName) {
        let settings = self.lease_settings();
        let now = self.state.time;
        for name in self.names_owned_by(server) {
            let Ok(duty) = self.duty_mut(&name) else { continue };
            let reason = duty.record_lost_owner(server, settings, now);
            self.end_lease(&name, DutyEventKind::Lost);
            if let Some(reason) = reason {
                let _ = self.park(&name, &reason);
            }
        }
    }

    /// Ends a lease and records the event.
    fn end_lease(&mut self, name: &DutyName, kind: DutyEventKind) {
        self.record_event(name, kind, String::new());
        let now = self.state.time;
        let Some(duty) = self.state.duties.get_mut(name) else { return };
        duty.available_since = now;
        if let Some(lease) = duty.lease.take()
            && let Some(owned) = self.duties_by_owner.get_mut(&lease.owner)
        {
            owned.remove(name);
            if owned.is_empty() {
                self.duties_by_owner.remove(&lease.owner);
            }
        }
    }

    fn record_event(&mut self, name: &str, kind: DutyEventKind, detail: String) {
        let duty = self.state.duties.get(name);
        let owner = duty.and_then(|duty| Some(duty.lease.as_ref()?.owner.clone()));
        self.state.events.push_back(DutyEvent {
            at: self.state.time,
            duty: name.to_owned(),
            token: duty.map_or(0, |duty| duty.token),
            owner: owner.unwrap_or_default(),
            kind,
            detail,
        });
        if self.state.events.len() > MAX_EVENTS {
            self.state.events.pop_front();
        }
    }
}

impl Duty {
    /// Requires the owner, if there is one, to release the duty.
    fn recall(&mut self) {
        if let Some(lease) = &mut self.lease {
            lease.is_recalled = true;
        }
    }

    /// Records an operator's request for a run. Does nothing if the request is among the retained ones.
    fn request_run(&mut self, request: u64) {
        if !self.run_requests.contains(&request) {
            self.is_run_requested = true;
            self.run_requests.push_front(request);
            self.run_requests.truncate(MAX_RUN_REQUESTS);
        }
    }
}
