//! Assignment of duties to servers. [`super::load`] ranks the servers and bounds their load; `recall` selects the duties
//! that their owners have to release.
//!
//! A server's weight is the share of traffic that its controller requests. A server in overload acquires no further duties.

use std::collections::BTreeMap;

use super::load::Loads;
use super::recall::recalls;
use super::state::{Duties, Duty};
use super::{DutyCommand, DutyName};
use crate::member::{MemberView, ServerName};

/// Minimum share of its usual traffic, 0 to 1, that a server must request to acquire further duties.
const MIN_SHARE_TO_ACQUIRE: f32 = 0.9;
/// Minimum weight of a server, for one that requests a share of 0.
const MIN_WEIGHT: f32 = 0.01;

/// A server that is eligible to own duties.
#[derive(Clone, Debug, PartialEq)]
pub struct Candidate {
    /// The server's name.
    pub name: ServerName,
    /// Capacity for duties relative to other servers; above 0, at most 1.
    pub weight: f64,
    /// Whether the server may acquire further duties; false in overload.
    pub can_acquire: bool,
}

/// The servers that are eligible to own duties: those that have a session, serve with a recent load report that says
/// healthy, and hold no maintenance slot.
pub fn candidates(
    duties: &Duties,
    members: &BTreeMap<ServerName, MemberView>,
    holds_slot: &dyn Fn(&str) -> bool,
) -> Vec<Candidate> {
    let candidates = duties.sessions().keys().filter_map(|name| {
        let member = members.get(name)?;
        let report = member.load_report.filter(|report| member.is_serving() && report.healthy)?;
        let weight = f64::from(report.share.max(MIN_WEIGHT));
        let can_acquire = report.share >= MIN_SHARE_TO_ACQUIRE;
        (!holds_slot(name)).then(|| Candidate { name: name.clone(), weight, can_acquire })
    });
    candidates.collect()
}

/// The commands that the leader proposes: assignments of available duties or, if there are none, recalls of duties that
/// should move.
pub fn commands(
    duties: &Duties,
    members: &BTreeMap<ServerName, MemberView>,
    holds_slot: &dyn Fn(&str) -> bool,
) -> Vec<DutyCommand> {
    let candidates = candidates(duties, members, holds_slot);
    // The first assignment waits for one lease, so that all servers of a new fleet have had time to open a session.
    let lease_millis = duties.lease_settings().lease_millis;
    let must_wait =
        |duty: &Duty| duty.token == 0 && duties.time().saturating_sub(duty.available_since) < lease_millis;
    let assignments = assign_available(duties, &candidates, &must_wait);
    if !assignments.is_empty() {
        return vec![DutyCommand::Assign(assignments)];
    }
    recalls(duties, members, &candidates, holds_slot).into_iter().map(DutyCommand::Recall).collect()
}

/// Selects owners for the available duties for which `must_wait` is false.
pub fn assign_available(
    duties: &Duties,
    candidates: &[Candidate],
    must_wait: &dyn Fn(&Duty) -> bool,
) -> Vec<(DutyName, ServerName)> {
    let available = duties.duties().iter().filter(|(_, duty)| duty.is_available() && !must_wait(duty));
    let available: Vec<(&DutyName, u32)> = available.map(|(name, duty)| (name, duty.spec.weight)).collect();
    if available.is_empty() {
        return Vec::new();
    }
    let mut loads = Loads::new(duties, candidates);
    available
        .into_iter()
        .filter_map(|(name, weight)| Some((name.clone(), loads.place(name, weight)?)))
        .collect()
}

/// Selects the next owner of a duty that its owner releases; `None` for a parked duty or without another candidate.
pub fn successor(duties: &Duties, candidates: &[Candidate], name: &str, owner: &str) -> Option<ServerName> {
    let duty = duties.duties().get(name).filter(|duty| duty.parked.is_none())?;
    let others: Vec<Candidate> = candidates.iter().filter(|other| other.name != owner).cloned().collect();
    Loads::new(duties, &others).place(name, duty.spec.weight)
}

#[cfg(test)]
mod tests;
