//! Which owners are to release a duty. What is owned stays where it is unless its owner shuts down, is in overload, or owns
//! more than its bound: each change of the owner interrupts the work.

use std::collections::BTreeMap;

use super::DutyName;
use super::assign::Candidate;
use super::load::Loads;
use super::state::{Duties, Duty, Lease};
use crate::member::{MemberView, ServerName};
use crate::time::FleetMillis;

/// A server that requests less than this share of its traffic releases what it owns.
const MIN_SHARE_TO_KEEP: f32 = 0.5;
/// A duty is owned for at least this long before it is recalled for balance, ms.
const MIN_OWNED_MILLIS: FleetMillis = 30_000;
/// Duties that are recalled for balance at once.
const MAX_RECALLED_AT_ONCE: usize = 4;

/// Duties to be released: all of a server that has a place for maintenance; several of one that is in overload, or over its
/// bound by more than one duty.
pub(super) fn recalls(
    duties: &Duties,
    members: &BTreeMap<ServerName, MemberView>,
    candidates: &[Candidate],
    has_place: &dyn Fn(&str) -> bool,
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
    let mut recalled = Vec::new();
    for (name, duty) in duties.duties() {
        let Some(lease) = &duty.lease else { continue };
        let has_other = candidates.iter().any(|other| other.name != lease.owner);
        let was_owned_long_enough = duties.time().saturating_sub(lease.since) >= MIN_OWNED_MILLIS;
        let is_over_bound = loads.is_over_bound(&lease.owner, f64::from(duty.spec.weight));
        let is_misplaced = was_owned_long_enough && (is_in_overload(lease) || is_over_bound);
        if (has_place(&lease.owner) && has_other) || (is_misplaced && recalled.len() < MAX_RECALLED_AT_ONCE) {
            recalled.push(name.clone());
        }
    }
    recalled
}

#[cfg(test)]
mod tests;
