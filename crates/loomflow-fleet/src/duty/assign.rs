//! Who should own what: weighted rendezvous hashing with a bound on load. Each duty ranks all servers by a number drawn from
//! both names and the server's weight; it goes to the first of its ranking that has room. So a server that comes or goes
//! moves little more than what is its own.
//!
//! A server's weight is the share that it asks for, by its decision module: one in overload takes nothing new. What is owned
//! stays where it is unless its owner leaves, is in overload for long, or has more than its bound.

use std::collections::BTreeMap;
use std::hash::{DefaultHasher, Hash, Hasher};

use super::state::{Duties, Duty};
use super::{Command, DutyName};
use crate::member::{FleetMs, Name, Seen};

/// No server has more than this much over its even part, by weight.
pub const SPREAD: f64 = 1.25;
/// A server that asks for less than this share takes nothing new ...
const TAKES: f32 = 0.9;
/// ... and below this one it hands over what it has.
const KEEPS: f32 = 0.5;
/// A duty is owned for so long before it is moved for balance, ms: nothing flaps.
const STAYS: FleetMs = 30_000;
/// Duties that are moved for balance at once.
const MOVED_AT_ONCE: usize = 4;

/// A server that may own duties, and the weight of what it may own beside the others.
#[derive(Clone, Debug, PartialEq)]
pub struct Candidate {
    pub name: Name,
    /// Above 0 to 1.
    pub weight: f64,
    /// Whether it takes what is free.
    pub takes: bool,
}

/// Those who may own duties: with a session, alive by young digests, and not on their way out.
pub fn candidates(
    duties: &Duties,
    members: &BTreeMap<Name, Seen>,
    goes: &dyn Fn(&str) -> bool,
) -> Vec<Candidate> {
    let able = duties.sessions().keys().filter_map(|name| {
        let seen = members.get(name)?;
        let digest = seen.digest.filter(|digest| seen.serves() && digest.healthy)?;
        let weight = f64::from(digest.share.max(0.01));
        (!goes(name)).then(|| Candidate { name: name.clone(), weight, takes: digest.share >= TAKES })
    });
    able.collect()
}

/// What the leader puts into the log: free duties to their owners; where none is free, a few that are better elsewhere.
pub fn commands(
    duties: &Duties,
    members: &BTreeMap<Name, Seen>,
    goes: &dyn Fn(&str) -> bool,
) -> Vec<Command> {
    let able = candidates(duties, members, goes);
    // A fleet that forms: the first owners are chosen when those who are here were heard from.
    let waits =
        |one: &Duty| one.token == 0 && duties.time().saturating_sub(one.free_since) < duties.terms().lease;
    let given = give(duties, &able, &waits);
    if !given.is_empty() {
        return vec![Command::Assign(given)];
    }
    recalls(duties, members, &able, goes).into_iter().map(Command::Recall).collect()
}

/// Owners for what is free and does not wait.
pub fn give(duties: &Duties, able: &[Candidate], waits: &dyn Fn(&Duty) -> bool) -> Vec<(DutyName, Name)> {
    let free = duties.duties().iter();
    let free = free.filter(|(_, one)| one.lease.is_none() && one.parked.is_none() && !waits(one));
    let free: Vec<(&DutyName, u32)> = free.map(|(name, one)| (name, one.declared.weight)).collect();
    if free.is_empty() {
        return Vec::new();
    }
    let mut room = Room::new(duties, able);
    free.into_iter().filter_map(|(duty, weight)| Some((duty.clone(), room.take(duty, weight)?))).collect()
}

/// Who gets a duty that its owner lets go of.
pub fn next(duties: &Duties, able: &[Candidate], duty: &str, owner: &str) -> Option<Name> {
    let one = duties.duties().get(duty).filter(|one| one.parked.is_none())?;
    let others: Vec<Candidate> = able.iter().filter(|other| other.name != owner).cloned().collect();
    Room::new(duties, &others).take(duty, one.declared.weight)
}

/// What is to be handed over: all of who leaves; of who is in overload, or over its bound by more than one duty, a few.
fn recalls(
    duties: &Duties,
    members: &BTreeMap<Name, Seen>,
    able: &[Candidate],
    goes: &dyn Fn(&str) -> bool,
) -> Vec<DutyName> {
    let under_way =
        duties.duties().values().filter(|one| one.lease.as_ref().is_some_and(|l| l.recalled)).count();
    if under_way > 0 || !able.iter().any(|one| one.takes) {
        return Vec::new();
    }
    let bounds = Room::new(duties, able);
    let mut moved = Vec::new();
    for (duty, one) in duties.duties() {
        let Some(lease) = &one.lease else { continue };
        let digest = members.get(&lease.owner).and_then(|seen| seen.digest);
        let full = digest.is_some_and(|digest| digest.share < KEEPS);
        let settled = duties.time().saturating_sub(lease.since) >= STAYS;
        let weight = f64::from(one.declared.weight);
        let over = bounds.is_over(&lease.owner, weight);
        let leaves = goes(&lease.owner) && able.iter().any(|other| other.name != lease.owner);
        if leaves || (settled && (full || over) && moved.len() < MOVED_AT_ONCE) {
            moved.push(duty.clone());
        }
    }
    moved
}

/// How much each server owns, and may own.
struct Room<'a> {
    able: &'a [Candidate],
    /// Where all are in overload, all take: a duty without an owner is worse.
    all_take: bool,
    has: BTreeMap<&'a str, f64>,
    /// What one of weight 1 may have; none has less room than for the heaviest duty.
    bound: f64,
    heaviest: f64,
}

impl<'a> Room<'a> {
    fn new(duties: &'a Duties, able: &'a [Candidate]) -> Room<'a> {
        let mut has: BTreeMap<&str, f64> = able.iter().map(|one| (one.name.as_str(), 0.0)).collect();
        let (mut all, mut heaviest) = (0.0, 0.0_f64);
        for one in duties.duties().values().filter(|one| one.parked.is_none()) {
            let weight = f64::from(one.declared.weight);
            all += weight;
            heaviest = heaviest.max(weight);
            if let Some(has) = one.lease.as_ref().and_then(|lease| has.get_mut(lease.owner.as_str())) {
                *has += weight;
            }
        }
        let weights: f64 = able.iter().map(|one| one.weight).sum();
        let bound = SPREAD * all / weights.max(f64::MIN_POSITIVE);
        Room { able, all_take: !able.iter().any(|one| one.takes), has, bound, heaviest }
    }

    fn takers(&self) -> impl Iterator<Item = &'a Candidate> {
        let all = self.all_take;
        self.able.iter().filter(move |one| one.takes || all)
    }

    fn fits(&self, one: &Candidate, weight: f64) -> bool {
        self.over(one) + weight <= 0.0
    }

    /// By how much a server has more than its bound.
    fn over(&self, one: &Candidate) -> f64 {
        self.has[one.name.as_str()] - (self.bound * one.weight).max(self.heaviest)
    }

    /// Whether a server has so much more than its bound that another has room for.
    fn is_over(&self, name: &str, weight: f64) -> bool {
        let over = self.able.iter().find(|one| one.name == name).map_or(0.0, |one| self.over(one));
        over >= weight && self.takers().any(|one| one.name != name && self.fits(one, weight))
    }

    /// The first of the duty's ranking with room; where nobody has room, the one with the least in hand by its weight.
    fn take(&mut self, duty: &str, weight: u32) -> Option<Name> {
        let weight = f64::from(weight);
        let in_hand = |one: &Candidate| self.has[one.name.as_str()] / one.weight;
        let best = self
            .takers()
            .filter(|one| self.fits(one, weight))
            .max_by(|a, b| score(duty, a).total_cmp(&score(duty, b)))
            .or_else(|| self.takers().min_by(|a, b| in_hand(a).total_cmp(&in_hand(b))))?;
        *self.has.get_mut(best.name.as_str())? += weight;
        Some(best.name.clone())
    }
}

/// A server's place in a duty's ranking: the greatest goes first. Weighted rendezvous hashing, `-w / ln u`, with u drawn
/// evenly between 0 and 1 from both names (Schindelhauer and Schomaker, "Weighted distributed hash tables").
fn score(duty: &str, one: &Candidate) -> f64 {
    let mut hasher = DefaultHasher::new();
    (duty, one.name.as_str()).hash(&mut hasher);
    let u = ((hasher.finish() >> 11) as f64 + 0.5) / (1u64 << 53) as f64;
    -one.weight / u.ln()
}

/// How duties are spread: the most that one has over the mean, by weight; for measurements.
pub fn spread(duties: &Duties, able: &[Candidate]) -> f64 {
    let room = Room::new(duties, able);
    let all: f64 = room.has.values().sum();
    let weights: f64 = able.iter().map(|one| one.weight).sum();
    let most = able.iter().map(|one| room.has[one.name.as_str()] / one.weight).fold(0.0, f64::max);
    most / (all / weights).max(f64::MIN_POSITIVE)
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::duty::{Declared, Holder, Terms};
    use proptest::prelude::*;

    fn able(count: usize) -> Vec<Candidate> {
        (0..count).map(|n| Candidate { name: format!("n{n}"), weight: 1.0, takes: true }).collect()
    }

    /// So many duties, all free, and so many servers with a session.
    fn made(duties: usize, servers: usize) -> Duties {
        let mut state = Duties::default();
        let declared = (0..duties).map(|n| Declared::plain(&format!("d{n}"))).collect();
        state.apply(&Command::Declare(Terms::default(), declared));
        let holder = |n| Holder { name: format!("n{n}"), incarnation: 1 };
        state.apply(&Command::KeepAlive((0..servers).map(holder).collect()));
        state
    }

    fn owners(duties: &Duties) -> BTreeMap<DutyName, Name> {
        let owner = |(name, one): (&DutyName, &Duty)| Some((name.clone(), one.lease.as_ref()?.owner.clone()));
        duties.duties().iter().filter_map(owner).collect()
    }

    #[test]
    fn when_one_dies_only_its_duties_move_and_all_stay_within_the_bound() {
        let mut duties = made(1_000, 300);
        let all = able(300);
        duties.apply(&Command::Assign(give(&duties, &all, &|_| false)));
        assert!(spread(&duties, &all) <= SPREAD, "{}", spread(&duties, &all));
        let before = owners(&duties);
        let (dead, rest): (Vec<_>, Vec<_>) = all.into_iter().partition(|one| one.name == "n7");
        duties.apply(&Command::End(Holder { name: dead[0].name.clone(), incarnation: 1 }));
        duties.apply(&Command::Assign(give(&duties, &rest, &|_| false)));
        let after = owners(&duties);
        let moved = before.iter().filter(|(duty, owner)| after[*duty] != **owner).count();
        assert_eq!(moved, before.values().filter(|owner| **owner == "n7").count());
        assert!(spread(&duties, &rest) <= SPREAD);
    }

    #[test]
    fn who_is_in_overload_takes_nothing_new_unless_all_are() {
        let mut duties = made(40, 4);
        let mut servers = able(4);
        (servers[0].takes, servers[0].weight) = (false, 0.3);
        duties.apply(&Command::Assign(give(&duties, &servers, &|_| false)));
        assert!(owners(&duties).values().all(|owner| owner != "n0"));
        assert_eq!(owners(&duties).len(), 40);
        let mut duties = made(40, 4);
        servers.iter_mut().for_each(|one| one.takes = false);
        duties.apply(&Command::Assign(give(&duties, &servers, &|_| false)));
        assert_eq!(owners(&duties).len(), 40, "a duty without an owner is worse");
    }

    #[test]
    fn fewer_duties_than_servers_go_to_one_each() {
        let mut duties = made(5, 20);
        let all = able(20);
        duties.apply(&Command::Assign(give(&duties, &all, &|_| false)));
        let owners = owners(&duties);
        let names: std::collections::BTreeSet<&Name> = owners.values().collect();
        assert_eq!((owners.len(), names.len()), (5, 5));
    }

    proptest! {
        #[test]
        fn every_free_duty_has_an_owner_that_takes(
            count in 1usize..120,
            servers in proptest::collection::vec((0.01f64..1.0, any::<bool>()), 1..12),
        ) {
            let mut duties = made(count, servers.len());
            let able: Vec<Candidate> = servers
                .iter()
                .enumerate()
                .map(|(n, (weight, takes))| Candidate { name: format!("n{n}"), weight: *weight, takes: *takes })
                .collect();
            duties.apply(&Command::Assign(give(&duties, &able, &|_| false)));
            let owners = owners(&duties);
            prop_assert_eq!(owners.len(), count);
            if able.iter().any(|one| one.takes) {
                let takes = |name: &Name| able.iter().any(|one| one.name == *name && one.takes);
                prop_assert!(owners.values().all(takes));
            }
            prop_assert!(give(&duties, &able, &|_| false).is_empty());
        }
    }
}
