//! Selects the duties that their owners have to release. A duty stays with its owner unless the owner holds a maintenance
//! slot, is in overload or owns more than its bound, because each change of the owner interrupts the work.

use std::collections::BTreeMap;

use super::DutyName;
use super::assign::Candidate;
use super::load::Loads;
use super::state::{Duties, Duty, Lease};
use crate::member::{MemberView, ServerName};
use crate::time::FleetMillis;

/// An owner that requests a smaller share of its traffic is in overload and releases duties.
const MIN_SHARE_TO_KEEP: f32 = 0.5;
/// Minimum time from the assignment of a duty to its recall for balance, ms.
const MIN_OWNED_MILLIS: FleetMillis = 30_000;
/// Maximum number of duties recalled for balance at once.
const MAX_RECALLED_AT_ONCE: usize = 4;

/// The duties to recall: all of an owner that holds a maintenance slot, and up to [`MAX_RECALLED_AT_ONCE`] of owners that are
/// in overload or over their bound by at least the weight of the duty. Empty while an earlier recall is not complete, and
/// while no candidate may acquire duties.
pub(super) fn recalls(
    duties: &Duties,
    members: &BTreeMap<ServerName, MemberView>,
    candidates: &[Candidate],
    holds_slot: &dyn Fn(&str) -> bool,
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
        let has_other_candidate = candidates.iter().any(|other| other.name != lease.owner);
        let was_owned_long_enough = duties.time().saturating_sub(lease.since) >= MIN_OWNED_MILLIS;
        let is_over_bound = loads.is_over_bound(&lease.owner, f64::from(duty.spec.weight));
        let should_move = was_owned_long_enough && (is_in_overload(lease) || is_over_bound);
        if (holds_slot(&lease.owner) && has_other_candidate)
            || (should_move && recalled.len() < MAX_RECALLED_AT_ONCE)
        {
            recalled.push(name.clone());
        }
    }
    recalled
}

#[cfg(test)]
mod tests;
