//! The machine that the log is applied to, for duties. It checks every command by itself: what the leader or an owner went
//! by may be old when it is agreed on.
//!
//! A server has a session while it is heard from; a lease of a duty lasts as long as its owner's session. Time is the
//! fleet's own, which never runs ahead of any real clock by more than [`super::DRIFT`] and stands still without a leader:
//! sessions end late and never early, whoever leads. So a new leader has nothing more to wait for than what is written.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use serde::{Deserialize, Serialize};

use super::{
    Answer, Command, Declared, DutyName, Grant, Happened, Holder, Kept, LONGEST_CHECKPOINT, Listed,
    MOST_DUTIES, Note, Refusal, Row, SessionId, Terms, Token, What, check_name, cut,
};
use crate::member::{FleetMs, Incarnation, Name};
use crate::membership::MOST_MEMBERS;

/// Things that happened and are still told of.
pub const MOST_EVENTS: usize = 2_000;
/// Requests for a run that are remembered, so that none counts twice.
const MOST_WISHES: usize = 16;
/// How far numbers jump when a fleet is made anew: beyond any that the lost folders may have given out.
const LEAP: u64 = 1 << 20;

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Session {
    pub id: SessionId,
    pub incarnation: Incarnation,
    pub expires: FleetMs,
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Lease {
    pub owner: Name,
    pub token: Token,
    pub since: FleetMs,
    pub recalled: bool,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Duty {
    pub declared: Declared,
    pub lease: Option<Lease>,
    /// The highest token ever given for it.
    pub token: Token,
    pub free_since: FleetMs,
    pub parked: Option<String>,
    /// Owners lost or runs failed in a row.
    pub strikes: Vec<String>,
    checkpoint: Vec<u8>,
    /// The last run that began, and whose it was where it has not ended.
    last_run: u64,
    unended: Option<Token>,
    /// An operator wants a run that has not begun, and the last requests for one.
    wanted: bool,
    wishes: VecDeque<u64>,
    refused: u64,
}

/// What of the state is kept; the rest follows from it.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
struct Written {
    time: FleetMs,
    last_token: Token,
    last_session: SessionId,
    terms: Option<Terms>,
    /// Nothing is given before: somebody may own it by what is lost.
    quiet_until: FleetMs,
    sessions: BTreeMap<Name, Session>,
    duties: BTreeMap<DutyName, Duty>,
    events: VecDeque<Happened>,
}

#[derive(Clone, Debug, Default)]
pub struct Duties {
    written: Written,
    /// What each server owns.
    of: BTreeMap<Name, BTreeSet<DutyName>>,
    /// When sessions end, and whose.
    ends: BTreeSet<(FleetMs, Name)>,
}

impl Duty {
    /// Whether an operator wants a run that has not begun.
    pub fn wanted(&self) -> bool {
        self.wanted
    }
}

impl Duties {
    pub fn time(&self) -> FleetMs {
        self.written.time
    }

    pub fn terms(&self) -> Terms {
        self.written.terms.unwrap_or_default()
    }

    pub fn duties(&self) -> &BTreeMap<DutyName, Duty> {
        &self.written.duties
    }

    pub fn sessions(&self) -> &BTreeMap<Name, Session> {
        &self.written.sessions
    }

    pub fn last_token(&self) -> Token {
        self.written.last_token
    }

    pub fn events(&self) -> impl DoubleEndedIterator<Item = &Happened> {
        self.written.events.iter()
    }

    /// What a server owns.
    pub fn of(&self, name: &str) -> impl Iterator<Item = (&DutyName, &Duty)> {
        self.of.get(name).into_iter().flatten().filter_map(|duty| self.written.duties.get_key_value(duty))
    }

    /// When time has something to do next.
    pub fn next_due(&self) -> Option<FleetMs> {
        let quiet = Some(self.written.quiet_until).filter(|until| *until > self.written.time);
        self.ends.first().map(|(at, _)| *at).into_iter().chain(quiet).min()
    }

    /// Whether what is declared is this.
    pub fn declares(&self, terms: Terms, declared: &[Declared]) -> bool {
        self.written.terms == Some(terms)
            && declared.len() == self.written.duties.len()
            && declared
                .iter()
                .all(|one| self.written.duties.get(&one.name).is_some_and(|d| d.declared == *one))
    }

    /// What a server is told of its own: its session and its duties.
    pub fn kept(&self, name: &str) -> Kept {
        let held = self.of(name).filter_map(|(duty, one)| {
            Some(Grant {
                duty: duty.clone(),
                token: one.lease.as_ref()?.token,
                recalled: one.lease.as_ref()?.recalled,
                checkpoint: one.checkpoint.clone(),
                last_run: one.last_run,
                unended: one.unended.is_some(),
                wanted: one.wanted,
                schedule: one.declared.schedule.clone(),
            })
        });
        let session = self.written.sessions.get(name).map_or(0, |session| session.id);
        Kept { session, terms: self.terms(), held: held.collect() }
    }

    pub fn list(&self) -> Listed {
        let row = |(duty, one): (&DutyName, &Duty)| Row {
            duty: duty.clone(),
            owner: one.lease.as_ref().map(|lease| Holder {
                name: lease.owner.clone(),
                incarnation: self.written.sessions.get(&lease.owner).map_or(0, |session| session.incarnation),
            }),
            token: one.token,
            since: one.lease.as_ref().map_or(one.free_since, |lease| lease.since),
            recalled: one.lease.as_ref().is_some_and(|lease| lease.recalled),
            parked: one.parked.clone(),
            strikes: one.strikes.clone(),
            last_run: one.last_run,
            unended: one.unended.is_some(),
            wanted: one.wanted,
            refused: one.refused,
        };
        Listed {
            duties: self.written.duties.iter().map(row).collect(),
            sessions: self.written.sessions.keys().cloned().collect(),
            terms: self.terms(),
            time: self.written.time,
            events: self.written.events.iter().cloned().collect(),
        }
    }

    // ---- Entries ----

    /// The fleet's time moves on: sessions whose end has come are over, in the order of their ends.
    pub fn pass(&mut self, time: FleetMs) {
        self.written.time = self.written.time.max(time);
        while let Some((at, name)) = self.ends.first().cloned().filter(|(at, _)| *at <= self.written.time) {
            self.ends.remove(&(at, name.clone()));
            self.written.sessions.remove(&name);
            self.lose_all(&name);
        }
    }

    /// Applies one command, at the fleet's time that was last passed.
    pub fn apply(&mut self, command: &Command) -> Answer {
        let done = match command {
            Command::Declare(terms, declared) => self.declare(*terms, declared),
            Command::KeepAlive(holders) => {
                holders.iter().for_each(|holder| self.keep_alive(holder));
                Ok(())
            }
            Command::End(holder) => {
                self.end(holder);
                Ok(())
            }
            Command::Assign(all) => {
                all.iter().for_each(|(duty, to)| self.give(duty, to));
                Ok(())
            }
            Command::Recall(duty) => self.duty(duty).map(|one| {
                one.lease.iter_mut().for_each(|lease| lease.recalled = true);
            }),
            Command::Release { duty, token, to } => self.release(duty, *token, to.as_ref()),
            Command::Write { duty, token, note } => self.write(duty, *token, note),
            Command::Park(duty, reason) => self.park(duty, reason.clone()),
            Command::Resume(duty) => self.resume(duty),
            Command::Run(duty, wish) => self.duty(duty).map(|one| {
                if !one.wishes.contains(wish) {
                    one.wanted = true;
                    one.wishes.push_front(*wish);
                    one.wishes.truncate(MOST_WISHES);
                }
            }),
        };
        done.map_or_else(Answer::Refused, |()| Answer::Done)
    }

    fn declare(&mut self, terms: Terms, declared: &[Declared]) -> Result<(), Refusal> {
        if declared.len() > MOST_DUTIES {
            return Err(Refusal::Bad(format!("at most {MOST_DUTIES} duties")));
        }
        declared.iter().try_for_each(|one| check_name(&one.name))?;
        self.written.terms = Some(terms);
        let now = self.written.time;
        let gone: Vec<DutyName> = self
            .written
            .duties
            .iter()
            .filter(|(name, one)| one.lease.is_none() && declared.iter().all(|d| d.name != **name))
            .map(|(name, _)| name.clone())
            .collect();
        gone.iter().for_each(|name| drop(self.written.duties.remove(name)));
        // One that is owned and no longer wanted goes when its owner has let go of it.
        for (name, one) in &mut self.written.duties {
            if declared.iter().all(|d| d.name != *name) {
                one.lease.iter_mut().for_each(|lease| lease.recalled = true);
            }
        }
        for one in declared {
            match self.written.duties.get_mut(&one.name) {
                Some(known) => known.declared = one.clone(),
                None => {
                    let new = Duty {
                        declared: one.clone(),
                        lease: None,
                        token: 0,
                        free_since: now,
                        parked: None,
                        strikes: Vec::new(),
                        checkpoint: Vec::new(),
                        last_run: 0,
                        unended: None,
                        wanted: false,
                        wishes: VecDeque::new(),
                        refused: 0,
                    };
                    self.written.duties.insert(one.name.clone(), new);
                }
            }
        }
        Ok(())
    }

    /// A word of a server keeps its session, or begins one. What an earlier start of it owns is not touched: that one may
    /// still be at work somewhere, until its own time is over.
    fn keep_alive(&mut self, holder: &Holder) {
        let expires = self.written.time + self.terms().others_wait();
        let full = self.written.sessions.len() >= MOST_MEMBERS;
        match self.written.sessions.get_mut(&holder.name) {
            Some(session) if session.incarnation == holder.incarnation => {
                self.ends.remove(&(session.expires, holder.name.clone()));
                session.expires = session.expires.max(expires);
                self.ends.insert((session.expires, holder.name.clone()));
            }
            Some(_) => {}
            None if full => {}
            None => {
                self.written.last_session += 1;
                let session =
                    Session { id: self.written.last_session, incarnation: holder.incarnation, expires };
                self.ends.insert((expires, holder.name.clone()));
                self.written.sessions.insert(holder.name.clone(), session);
            }
        }
    }

    fn end(&mut self, holder: &Holder) {
        let own =
            self.written.sessions.get(&holder.name).is_some_and(|s| s.incarnation == holder.incarnation);
        if own && let Some(session) = self.written.sessions.remove(&holder.name) {
            self.ends.remove(&(session.expires, holder.name.clone()));
            let held: Vec<DutyName> = self.of.get(&holder.name).into_iter().flatten().cloned().collect();
            held.iter().for_each(|duty| self.free(duty, What::Released, String::new()));
        }
    }

    /// Gives a free duty to a server with a session; nothing where it is not free, or there is none.
    fn give(&mut self, duty: &DutyName, to: &Name) {
        let Written { duties, sessions, last_token, time, quiet_until, .. } = &mut self.written;
        let Some(one) = duties.get_mut(duty) else { return };
        let free = one.lease.is_none() && one.parked.is_none();
        if !free || *time < *quiet_until || !sessions.contains_key(to) {
            return;
        }
        *last_token += 1;
        one.token = *last_token;
        one.lease = Some(Lease { owner: to.clone(), token: one.token, since: *time, recalled: false });
        self.of.entry(to.clone()).or_default().insert(duty.clone());
        self.happened(duty, What::Taken, String::new());
    }

    fn release(&mut self, duty: &DutyName, token: Token, to: Option<&Name>) -> Result<(), Refusal> {
        self.own(duty, token)?;
        self.free(duty, What::Released, String::new());
        if let Some(to) = to {
            self.give(duty, to);
        }
        Ok(())
    }

    fn write(&mut self, duty: &DutyName, token: Token, note: &Note) -> Result<(), Refusal> {
        self.own(duty, token)?;
        let attempts = self.terms().attempts;
        let one = self.duty(duty)?;
        let other = |run| Refusal::Begun { duty: duty.clone(), run };
        match note {
            Note::Checkpoint(bytes) if bytes.len() > LONGEST_CHECKPOINT => {
                return Err(Refusal::Bad(format!("a checkpoint has at most {LONGEST_CHECKPOINT} bytes")));
            }
            Note::Checkpoint(bytes) => one.checkpoint = bytes.clone(),
            Note::Began(run) => {
                // Said twice by the same owner it has begun once; of another's that did not end it is a further try.
                let again = *run == one.last_run && one.unended.is_some();
                if *run < one.last_run || (*run == one.last_run && !again) {
                    return Err(other(one.last_run));
                }
                let repeated = again && one.unended == Some(token);
                (one.last_run, one.unended, one.wanted) = (*run, Some(token), false);
                if !repeated {
                    self.happened(duty, What::Began, run.to_string());
                }
            }
            Note::Done(run) | Note::Failed(run, _) if *run != one.last_run || one.unended != Some(token) => {
                return Err(other(one.last_run));
            }
            Note::Done(run) => {
                one.unended = None;
                one.strikes.clear();
                self.happened(duty, What::Done, run.to_string());
            }
            Note::Failed(run, why) => {
                let why = cut(why);
                one.strikes.push(why.clone());
                // Tried again by whoever owns it, until it has had its tries.
                let over = one.strikes.len() >= attempts as usize;
                if over {
                    one.unended = None;
                }
                self.happened(duty, What::Failed, format!("{run}: {why}"));
                if over {
                    self.park(duty, why)?;
                }
            }
        }
        Ok(())
    }

    fn park(&mut self, duty: &DutyName, reason: String) -> Result<(), Refusal> {
        let one = self.duty(duty)?;
        // Its owner hands it over first: it is at work until it says that it is not.
        one.lease.iter_mut().for_each(|lease| lease.recalled = true);
        if one.parked.is_none() {
            one.parked = Some(cut(&reason));
            self.happened(duty, What::Parked, cut(&reason));
        }
        Ok(())
    }

    fn resume(&mut self, duty: &DutyName) -> Result<(), Refusal> {
        let one = self.duty(duty)?;
        one.strikes.clear();
        if one.parked.take().is_some() {
            self.happened(duty, What::Resumed, String::new());
        }
        Ok(())
    }

    // ---- Leases ----

    fn duty(&mut self, duty: &str) -> Result<&mut Duty, Refusal> {
        self.written.duties.get_mut(duty).ok_or_else(|| Refusal::Unknown(duty.to_owned()))
    }

    /// Whether this token is of the lease of a duty that holds now; a refusal is counted and told.
    pub fn admits(&mut self, duty: &str, token: Token) -> Result<(), Refusal> {
        self.own(&duty.to_owned(), token)
    }

    /// The record's own fence: only the token of the lease that holds. Each refusal is counted and told.
    fn own(&mut self, duty: &DutyName, token: Token) -> Result<(), Refusal> {
        let one = self.duty(duty)?;
        if one.lease.as_ref().is_some_and(|lease| lease.token == token) {
            return Ok(());
        }
        one.refused += 1;
        let counts = one.token;
        self.happened(duty, What::Refused, format!("token {token}"));
        Err(Refusal::Stale { duty: duty.clone(), token, counts })
    }

    fn lose_all(&mut self, name: &Name) {
        let held: Vec<DutyName> = self.of.get(name).into_iter().flatten().cloned().collect();
        let (settled, attempts) = (self.terms().settled(), self.terms().attempts as usize);
        for duty in held {
            let now = self.written.time;
            let Ok(one) = self.duty(&duty) else { continue };
            let since = one.lease.as_ref().map_or(now, |lease| lease.since);
            if now.saturating_sub(since) >= settled {
                one.strikes.clear();
            } else {
                one.strikes.push(format!("{name} was lost while it owned it"));
            }
            let struck = (one.strikes.len() >= attempts).then(|| one.strikes[one.strikes.len() - 1].clone());
            self.free(&duty, What::Lost, String::new());
            if let Some(why) = struck {
                let _ = self.park(&duty, why);
            }
        }
    }

    fn free(&mut self, duty: &DutyName, what: What, detail: String) {
        self.happened(duty, what, detail);
        let now = self.written.time;
        let Some(one) = self.written.duties.get_mut(duty) else { return };
        one.free_since = now;
        if let Some(lease) = one.lease.take()
            && let Some(of) = self.of.get_mut(&lease.owner)
        {
            of.remove(duty);
            if of.is_empty() {
                self.of.remove(&lease.owner);
            }
        }
    }

    fn happened(&mut self, duty: &DutyName, what: What, detail: String) {
        let one = self.written.duties.get(duty);
        self.written.events.push_back(Happened {
            at: self.written.time,
            duty: duty.clone(),
            token: one.map_or(0, |one| one.token),
            owner: one.and_then(|one| Some(one.lease.as_ref()?.owner.clone())).unwrap_or_default(),
            what,
            detail,
        });
        if self.written.events.len() > MOST_EVENTS {
            self.written.events.pop_front();
        }
    }

    /// The fleet was made anew from one folder: no token that was ever told comes again. Who owned what by what is lost is
    /// not known, so nothing is given until that must be over.
    pub fn made_anew(&mut self) {
        self.written.last_token += LEAP;
        self.written.last_session += LEAP;
        self.written.quiet_until = self.written.time + self.terms().others_wait();
    }

    pub fn save(&self) -> Vec<u8> {
        postcard::to_stdvec(&self.written).unwrap_or_default()
    }

    /// Errors: the bytes are not what [`Duties::save`] writes.
    pub fn load(bytes: &[u8]) -> Result<Duties, String> {
        let written: Written =
            postcard::from_bytes(bytes).map_err(|e| format!("the duties cannot be read: {e}"))?;
        let mut duties = Duties { written, ..Duties::default() };
        for (name, one) in &duties.written.duties {
            if let Some(lease) = &one.lease {
                duties.of.entry(lease.owner.clone()).or_default().insert(name.clone());
            }
        }
        let ends = duties.written.sessions.iter().map(|(name, session)| (session.expires, name.clone()));
        duties.ends = ends.collect();
        Ok(duties)
    }
}
