//! Who should own what. [`super::load`] ranks the servers and bounds their load; `recall` has the reasons for
//! which an owner is to release a duty.
//!
//! A server's weight is the share that it requests, by its controller: one in overload acquires nothing new.

use std::collections::BTreeMap;

use super::load::Loads;
use super::recall::recalls;
use super::state::{Duties, Duty};
use super::{DutyCommand, DutyName};
use crate::member::{MemberView, ServerName};

/// A server that requests less than this share acquires nothing new.
const MIN_SHARE_TO_ACQUIRE: f32 = 0.9;
/// Minimum weight of a server.
const MIN_WEIGHT: f32 = 0.01;

/// A server that may own duties.
#[derive(Clone, Debug, PartialEq)]
pub struct Candidate {
    /// The server.
    pub name: ServerName,
    /// How much it may own beside the others; above 0, up to 1.
    pub weight: f64,
    /// Whether it may acquire further duties.
    pub can_acquire: bool,
}

/// Servers that may own duties: with a session, alive with a recent load report, and without a place for maintenance.
pub fn candidates(
    duties: &Duties,
    members: &BTreeMap<ServerName, MemberView>,
    has_place: &dyn Fn(&str) -> bool,
) -> Vec<Candidate> {
    let candidates = duties.sessions().keys().filter_map(|name| {
        let member = members.get(name)?;
        let report = member.load_report.filter(|report| member.is_serving() && report.healthy)?;
        let weight = f64::from(report.share.max(MIN_WEIGHT));
        let can_acquire = report.share >= MIN_SHARE_TO_ACQUIRE;
        (!has_place(name)).then(|| Candidate { name: name.clone(), weight, can_acquire })
    });
    candidates.collect()
}

/// What the leader puts into the log: owners for duties without one; where there are none, recalls of some that are better
/// elsewhere.
pub fn commands(
    duties: &Duties,
    members: &BTreeMap<ServerName, MemberView>,
    has_place: &dyn Fn(&str) -> bool,
) -> Vec<DutyCommand> {
    let candidates = candidates(duties, members, has_place);
    // In a fleet that forms the first owners are chosen when all servers had time to open a session.
    let lease_millis = duties.lease_settings().lease_millis;
    let must_wait =
        |duty: &Duty| duty.token == 0 && duties.time().saturating_sub(duty.available_since) < lease_millis;
    let assignments = assign_available(duties, &candidates, &must_wait);
    if !assignments.is_empty() {
        return vec![DutyCommand::Assign(assignments)];
    }
    recalls(duties, members, &candidates, has_place).into_iter().map(DutyCommand::Recall).collect()
}

/// Owners for the duties that are available and need not wait.
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

/// Who gets a duty that its owner releases.
pub fn successor(duties: &Duties, candidates: &[Candidate], name: &str, owner: &str) -> Option<ServerName> {
    let duty = duties.duties().get(name).filter(|duty| duty.parked.is_none())?;
    let others: Vec<Candidate> = candidates.iter().filter(|other| other.name != owner).cloned().collect();
    Loads::new(duties, &others).place(name, duty.spec.weight)
}

#[cfg(test)]
mod tests;
