//! Placement of duties by weighted rendezvous hashing with a bound on load. Each duty ranks all servers by a score computed
//! from both names and the server's weight, and is placed on the first one in that order that has capacity. So when a server
//! joins or leaves, few duties move beyond those that it gains or loses.

use std::collections::BTreeMap;
use std::hash::{DefaultHasher, Hash, Hasher};

use super::assign::Candidate;
use super::state::Duties;
use crate::member::ServerName;

/// Maximum load of a server, as a multiple of its share of the total weight.
pub const MAX_IMBALANCE: f64 = 1.25;

/// The load of each candidate and its bound, both in weights of duties.
pub(super) struct Loads<'a> {
    candidates: &'a [Candidate],
    /// Whether servers in overload may acquire duties too. Set if all candidates are in overload: an
    /// overloaded owner is better than none.
    can_all_acquire: bool,
    owned: BTreeMap<&'a str, f64>,
    /// Bound of a server of weight 1. The bound of any server is at least the weight of the heaviest duty.
    bound: f64,
    heaviest: f64,
}

impl<'a> Loads<'a> {
    pub fn new(duties: &'a Duties, candidates: &'a [Candidate]) -> Loads<'a> {
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

    fn has_capacity(&self, candidate: &Candidate, weight: f64) -> bool {
        self.excess(candidate) + weight <= 0.0
    }

    /// The load of a server above its bound; negative below it.
    fn excess(&self, candidate: &Candidate) -> f64 {
        let bound = (self.bound * candidate.weight).max(self.heaviest);
        self.owned[candidate.name.as_str()] - bound
    }

    /// Whether a server exceeds its bound by at least this weight and another server has capacity for that weight.
    pub fn is_over_bound(&self, name: &str, weight: f64) -> bool {
        let candidate = self.candidates.iter().find(|candidate| candidate.name == name);
        candidate.is_some_and(|candidate| self.excess(candidate) >= weight)
            && self.acquirers().any(|other| other.name != name && self.has_capacity(other, weight))
    }

    /// Places a duty on the server with the highest score of those with capacity, or, if none has capacity, on the one with
    /// the lowest load relative to its weight.
    pub fn place(&mut self, duty: &str, weight: u32) -> Option<ServerName> {
        let weight = f64::from(weight);
        let relative_load = |candidate: &Candidate| self.owned[candidate.name.as_str()] / candidate.weight;
        let best = self
            .acquirers()
            .filter(|candidate| self.has_capacity(candidate, weight))
            .max_by(|a, b| score(duty, a).total_cmp(&score(duty, b)))
            .or_else(|| self.acquirers().min_by(|a, b| relative_load(a).total_cmp(&relative_load(b))))?;
        *self.owned.get_mut(best.name.as_str())? += weight;
        Some(best.name.clone())
    }
}

fn total_weight(candidates: &[Candidate]) -> f64 {
    candidates.iter().map(|candidate| candidate.weight).sum()
}

/// The score of a server for a duty; the highest wins. Weighted rendezvous hashing: `-w / ln u`, where u is a hash of both
/// names, uniform between 0 and 1 (Schindelhauer and Schomaker, "Weighted distributed hash tables").
fn score(duty: &str, candidate: &Candidate) -> f64 {
    let mut hasher = DefaultHasher::new();
    (duty, candidate.name.as_str()).hash(&mut hasher);
    let u = ((hasher.finish() >> 11) as f64 + 0.5) / (1u64 << 53) as f64;
    -candidate.weight / u.ln()
}

/// The highest load of a server divided by the mean load, both relative to the weights of the servers; for
/// measurements.
pub fn imbalance(duties: &Duties, candidates: &[Candidate]) -> f64 {
    let loads = Loads::new(duties, candidates);
    let total: f64 = loads.owned.values().sum();
    let relative_load = |candidate: &Candidate| loads.owned[candidate.name.as_str()] / candidate.weight;
    let highest = candidates.iter().map(relative_load).fold(0.0, f64::max);
    highest / (total / total_weight(candidates)).max(f64::MIN_POSITIVE)
}
