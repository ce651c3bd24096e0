//! The leader's part in duties: sessions are kept in groups, what is free is given away, what changes is told at once.

use std::collections::BTreeMap;

use rand::RngExt;

use super::Node;
use crate::duty::{self, Command, DutyName, Holder, Kept, Token, assign};
use crate::member::{Ms, Name, RequestId};
use crate::membership::MOST_MEMBERS;
use crate::order::{Answer, By, Command as Logged, Entry};
use crate::wire::Body;

/// A group that was proposed and has not been heard of for so long is lost, ms.
const LOST: Ms = 2_000;

/// Words that keep sessions: each with its request.
type Group = Vec<(RequestId, Holder)>;

#[derive(Default)]
pub(super) struct Sessions {
    /// Heard from since the last group.
    waiting: Group,
    /// The group on its way through the log, and until when it is waited for.
    under_way: Option<(RequestId, Group, Ms)>,
    /// What owners were told last: token, recalled, wanted.
    told: BTreeMap<DutyName, (Token, bool, bool)>,
}

impl Node {
    /// A server's word that keeps its session; it goes into the log with those of others.
    pub(super) fn keeps(&mut self, id: RequestId, holders: Vec<Holder>, now: Ms) {
        let waiting = &mut self.lead.sessions.waiting;
        let known = waiting.iter().any(|(other, _)| *other == id);
        if let Some(holder) = holders.into_iter().next().filter(|_| !known && waiting.len() < MOST_MEMBERS) {
            waiting.push((id, holder));
        }
        self.keep_sessions(now);
    }

    /// Proposes the next group, unless one is under way.
    pub(super) fn keep_sessions(&mut self, now: Ms) {
        let sessions = &mut self.lead.sessions;
        if sessions.under_way.as_ref().is_some_and(|(_, _, until)| now >= *until) {
            sessions.under_way = None;
        }
        if sessions.waiting.is_empty() || sessions.under_way.is_some() || !self.leads() {
            return;
        }
        let group = std::mem::take(&mut self.lead.sessions.waiting);
        let id = self.rng.random();
        let holders = group.iter().map(|(_, holder)| holder.clone()).collect();
        let command = Logged::Duty(Command::KeepAlive(holders));
        let entry = Entry { id, at: self.fleet_now(now), by: By::Leader, command };
        self.lead.sessions.under_way = Some((id, group, now + LOST));
        if self.propose(&entry).is_err() {
            // Whoever wants it asks again.
            self.lead.sessions.under_way = None;
        }
    }

    /// A group is agreed on: each is told what it owns.
    pub(super) fn kept(&mut self, id: RequestId, now: Ms) -> bool {
        let Some((_, group, _)) = self.lead.sessions.under_way.take_if(|(group, ..)| *group == id) else {
            return false;
        };
        for (id, holder) in group {
            let Some(duties) = self.record().map(|record| &record.duties) else { break };
            let own = duties.sessions().get(&holder.name);
            let answer = match own.filter(|session| session.incarnation == holder.incarnation) {
                Some(_) => duty::Answer::Kept(duties.kept(&holder.name)),
                None => {
                    let left = own.map_or(0, |session| session.expires.saturating_sub(duties.time()));
                    duty::Answer::Refused(duty::Refusal::FormerSelf(left))
                }
            };
            self.came_of(id, Answer::Duty(answer), now);
        }
        self.keep_sessions(now);
        true
    }

    /// What is to be agreed on about duties now.
    pub(super) fn duty_decisions(&self, now: Ms) -> Vec<Logged> {
        let (Some(setup), Some(record)) = (&self.setup.duties, self.record()) else { return Vec::new() };
        let all = setup.all();
        if !record.duties.declares(setup.terms, &all) {
            // What is owned and no longer wanted keeps it from being the same for a while; said once a round at most.
            let owned = |name: &str| record.duties.duties().get(name).is_some_and(|one| one.lease.is_some());
            let left =
                record.duties.duties().keys().any(|name| all.iter().all(|d| d.name != *name) && owned(name));
            if !left || record.duties.terms() != setup.terms {
                return vec![Logged::Duty(Command::Declare(setup.terms, all))];
            }
        }
        let members = self.seen(now);
        let holders = record.order.holders();
        let goes = |name: &str| holders.contains_key(name);
        assign::commands(&record.duties, &members, &goes).into_iter().map(Logged::Duty).collect()
    }

    /// Who gets a duty that its owner lets go of, so that it is not without one for a moment.
    pub(super) fn next_owner(&self, duty: &str, now: Ms) -> Option<Name> {
        let record = self.record()?;
        let owner = record.duties.duties().get(duty)?.lease.as_ref()?.owner.clone();
        let holders = record.order.holders();
        let able = assign::candidates(&record.duties, &self.seen(now), &|name| holders.contains_key(name));
        assign::next(&record.duties, &able, duty, &owner)
    }

    /// Tells owners what is new of their duties, as soon as it is agreed on.
    pub(super) fn tell_owners(&mut self, now: Ms) {
        if self.setup.duties.is_none() || !self.leads() {
            return;
        }
        let Some(record) = self.agreement.as_ref().map(|agreement| agreement.machine()) else { return };
        let mut news: BTreeMap<Name, Kept> = BTreeMap::new();
        for (duty, one) in record.duties.duties() {
            let Some(lease) = &one.lease else { continue };
            let state = (lease.token, lease.recalled, one.wanted());
            if self.lead.sessions.told.get(duty) != Some(&state) {
                self.lead.sessions.told.insert(duty.clone(), state);
                news.entry(lease.owner.clone()).or_insert_with(|| record.duties.kept(&lease.owner));
            }
        }
        for (owner, kept) in news {
            if owner == self.setup.name {
                self.duties_told(kept, now);
            } else {
                self.send(&owner, Body::Duties(kept));
            }
        }
    }
}
