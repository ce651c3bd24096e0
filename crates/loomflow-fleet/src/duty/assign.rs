//! Who should own what: weighted rendezvous hashing with a bound on load. Each duty ranks all servers by a number drawn from
//! both names and the server's weight; it goes to the first of its ranking that has room. So a server that comes or goes moves
//! little more than what is its own.
//!
//! A server's weight is the share that it asks for, by its decision module: one in overload acquires nothing new. What is owned
//! stays where it is unless its owner shuts down, is in overload for long, or has more than its bound.

use std::collections::BTreeMap;
use std::hash::{DefaultHasher, Hash, Hasher};

use super::state::{Duties, Duty, Lease};
use super::{Command, DutyName};
use crate::member::{FleetMillis, MemberView, ServerName};

/// No server owns more than this times its even part, by weight.
pub const MAX_IMBALANCE: f64 = 1.25;
/// A server that asks for less than this share acquires nothing new.
const MIN_SHARE_TO_ACQUIRE: f32 = 0.9;
/// A server that asks for less than this share releases what it owns.
const MIN_SHARE_TO_KEEP: f32 = 0.5;
/// No weight is below this.
const MIN_WEIGHT: f32 = 0.01;
/// A duty is owned for so long before it is moved for balance, ms.
const MIN_OWNED_MILLIS: FleetMillis = 30_000;
/// Duties that are moved for balance at once.
const MAX_MOVED_AT_ONCE: usize = 4;

/// A server that may own duties.
#[derive(Clone, Debug, PartialEq)]
pub struct Candidate {
    /// The server.
    pub name: ServerName,
    /// How much it may own beside the others; above 0, up to 1.
    pub weight: f64,
    /// Whether it may acquire what is free.
    pub can_acquire: bool,
}

/// Servers that may own duties: with a session, alive with a recent load report, and not about to shut down.
pub fn candidates(
    duties: &Duties,
    members: &BTreeMap<ServerName, MemberView>,
    is_departing: &dyn Fn(&str) -> bool,
) -> Vec<Candidate> {
    let candidates = duties.sessions().keys().filter_map(|name| {
        let member = members.get(name)?;
        let report = member.load_report.filter(|report| member.is_serving() && report.healthy)?;
        let weight = f64::from(report.share.max(MIN_WEIGHT));
        let can_acquire = report.share >= MIN_SHARE_TO_ACQUIRE;
        (!is_departing(name)).then(|| Candidate { name: name.clone(), weight, can_acquire })
    });
    candidates.collect()
}

/// What the leader puts into the log: owners for free duties; where none is free, recalls of a few that are better elsewhere.
pub fn commands(
    duties: &Duties,
    members: &BTreeMap<ServerName, MemberView>,
    is_departing: &dyn Fn(&str) -> bool,
) -> Vec<Command> {
    let candidates = candidates(duties, members, is_departing);
    // In a fleet that forms the first owners are chosen when all servers had time to open a session.
    let lease_millis = duties.lease_settings().lease_millis;
    let must_wait =
        |duty: &Duty| duty.token == 0 && duties.time().saturating_sub(duty.free_since) < lease_millis;
    let assignments = assign_free(duties, &candidates, &must_wait);
    if !assignments.is_empty() {
        return vec![Command::Assign(assignments)];
    }
    recalls(duties, members, &candidates, is_departing).into_iter().map(Command::Recall).collect()
}

/// Owners for the duties that are free and need not wait.
pub fn assign_free(
    duties: &Duties,
    candidates: &[Candidate],
    must_wait: &dyn Fn(&Duty) -> bool,
) -> Vec<(DutyName, ServerName)> {
    let free = duties.duties().iter().filter(|(_, duty)| duty.is_free() && !must_wait(duty));
    let free: Vec<(&DutyName, u32)> = free.map(|(name, duty)| (name, duty.spec.weight)).collect();
    if free.is_empty() {
        return Vec::new();
    }
    let mut loads = Loads::new(duties, candidates);
    free.into_iter().filter_map(|(name, weight)| Some((name.clone(), loads.place(name, weight)?))).collect()
}

/// Who gets a duty that its owner releases.
pub fn successor(duties: &Duties, candidates: &[Candidate], name: &str, owner: &str) -> Option<ServerName> {
    let duty = duties.duties().get(name).filter(|duty| duty.parked.is_none())?;
    let others: Vec<Candidate> = candidates.iter().filter(|other| other.name != owner).cloned().collect();
    Loads::new(duties, &others).place(name, duty.spec.weight)
}

/// Duties to be released: all of a server that shuts down; a few of one that is in overload, or over its bound by more than
/// one duty.
fn recalls(
    duties: &Duties,
    members: &BTreeMap<ServerName, MemberView>,
    candidates: &[Candidate],
    is_departing: &dyn Fn(&str) -> bool,
) -> Vec<DutyName> {
    let is_recalled = |duty: &Duty| duty.lease.as_ref().is_some_and(|lease| lease.is_recalled);
    let is_any_recalled = duties.duties().values().any(is_recalled);
    if is_any_recalled || !candidates.iter().any(|candidate| candidate.can_acquire) {
        return Vec::new();
    }
    let loads = Loads::new(duties, candidates);
    let is_in_overload = |lease: &Lease| {
        let report = members.get(&lease.owner).and_then(|member| member.load_report);
        report.is_some_and(|report| report.share < MIN_SHARE_TO_KEEP)
    };
    let mut moved = Vec::new();
    for (name, duty) in duties.duties() {
        let Some(lease) = &duty.lease else { continue };
        let has_other = candidates.iter().any(|other| other.name != lease.owner);
        let is_settled = duties.time().saturating_sub(lease.since) >= MIN_OWNED_MILLIS;
        let is_over_bound = loads.is_over_bound(&lease.owner, f64::from(duty.spec.weight));
        let is_misplaced = is_settled && (is_in_overload(lease) || is_over_bound);
        if (is_departing(&lease.owner) && has_other) || (is_misplaced && moved.len() < MAX_MOVED_AT_ONCE) {
            moved.push(name.clone());
        }
    }
    moved
}

/// How much each server owns, and may own, by the weights of the duties.
struct Loads<'a> {
    candidates: &'a [Candidate],
    /// Where all are in overload, all acquire: a duty without an owner is worse.
    can_all_acquire: bool,
    owned: BTreeMap<&'a str, f64>,
    /// What a server of weight 1 may own; none has less room than for the heaviest duty.
    bound: f64,
    heaviest: f64,
}

impl<'a> Loads<'a> {
    fn new(duties: &'a Duties, candidates: &'a [Candidate]) -> Loads<'a> {
        let mut owned: BTreeMap<&str, f64> =
            candidates.iter().map(|candidate| (candidate.name.as_str(), 0.0)).collect();
        let (mut total, mut heaviest) = (0.0, 0.0_f64);
        for duty in duties.duties().values().filter(|duty| duty.parked.is_none()) {
            let weight = f64::from(duty.spec.weight);
            total += weight;
            heaviest = heaviest.max(weight);
            let owner = duty.lease.as_ref().map(|lease| lease.owner.as_str());
            if let Some(owned) = owner.and_then(|owner| owned.get_mut(owner)) {
                *owned += weight;
            }
        }
        let bound = MAX_IMBALANCE * total / total_weight(candidates).max(f64::MIN_POSITIVE);
        let can_all_acquire = !candidates.iter().any(|candidate| candidate.can_acquire);
        Loads { candidates, can_all_acquire, owned, bound, heaviest }
    }

    fn acquirers(&self) -> impl Iterator<Item = &'a Candidate> {
        let can_all_acquire = self.can_all_acquire;
        self.candidates.iter().filter(move |candidate| candidate.can_acquire || can_all_acquire)
    }

    fn has_room(&self, candidate: &Candidate, weight: f64) -> bool {
        self.excess(candidate) + weight <= 0.0
    }

    /// By how much a server owns more than its bound; negative where it has room.
    fn excess(&self, candidate: &Candidate) -> f64 {
        let bound = (self.bound * candidate.weight).max(self.heaviest);
        self.owned[candidate.name.as_str()] - bound
    }

    /// Whether a server owns so much more than its bound that another has room for.
    fn is_over_bound(&self, name: &str, weight: f64) -> bool {
        let candidate = self.candidates.iter().find(|candidate| candidate.name == name);
        candidate.is_some_and(|candidate| self.excess(candidate) >= weight)
            && self.acquirers().any(|other| other.name != name && self.has_room(other, weight))
    }

    /// The first of the duty's ranking with room; where nobody has room, the one that owns the least by its weight.
    fn place(&mut self, duty: &str, weight: u32) -> Option<ServerName> {
        let weight = f64::from(weight);
        let relative_load = |candidate: &Candidate| self.owned[candidate.name.as_str()] / candidate.weight;
        let best = self
            .acquirers()
            .filter(|candidate| self.has_room(candidate, weight))
            .max_by(|a, b| score(duty, a).total_cmp(&score(duty, b)))
            .or_else(|| self.acquirers().min_by(|a, b| relative_load(a).total_cmp(&relative_load(b))))?;
        *self.owned.get_mut(best.name.as_str())? += weight;
        Some(best.name.clone())
    }
}

fn total_weight(candidates: &[Candidate]) -> f64 {
    candidates.iter().map(|candidate| candidate.weight).sum()
}

/// A server's place in a duty's ranking: the greatest goes first. Weighted rendezvous hashing, `-w / ln u`, with u drawn
/// evenly between 0 and 1 from both names (Schindelhauer and Schomaker, "Weighted distributed hash tables").
fn score(duty: &str, candidate: &Candidate) -> f64 {
    let mut hasher = DefaultHasher::new();
    (duty, candidate.name.as_str()).hash(&mut hasher);
    let u = ((hasher.finish() >> 11) as f64 + 0.5) / (1u64 << 53) as f64;
    -candidate.weight / u.ln()
}

/// How unevenly duties are spread: the most that a server owns over the mean, by weight; for measurements.
pub fn imbalance(duties: &Duties, candidates: &[Candidate]) -> f64 {
    let loads = Loads::new(duties, candidates);
    let total: f64 = loads.owned.values().sum();
    let relative_load = |candidate: &Candidate| loads.owned[candidate.name.as_str()] / candidate.weight;
    let highest = candidates.iter().map(relative_load).fold(0.0, f64::max);
    highest / (total / total_weight(candidates)).max(f64::MIN_POSITIVE)
}

#[cfg(test)]
mod tests;
