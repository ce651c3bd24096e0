//! When a duty is parked: its runs failed, or its owners were lost, so often in a row that the next attempt would only bring
//! down another server.

use super::LeaseSettings;
use super::state::Duty;
use crate::member::ServerName;
use crate::time::FleetMillis;

/// An owner that was lost after it owned a duty for this many leases was not brought down by it.
const SETTLED_AFTER_LEASES: u64 = 3;

impl Duty {
    /// Records a failed attempt. True where it was the last that the settings permit: the duty is to be parked.
    pub(super) fn record_failure(&mut self, reason: &str, settings: LeaseSettings) -> bool {
        self.recent_failures.push(reason.to_owned());
        self.recent_failures.len() >= settings.max_attempts as usize
    }

    /// Records that the owner's session expired. Returns the reason for which the duty is to be parked, if it is.
    pub(super) fn record_lost_owner(
        &mut self,
        server: &ServerName,
        settings: LeaseSettings,
        now: FleetMillis,
    ) -> Option<String> {
        let since = self.lease.as_ref().map_or(now, |lease| lease.since);
        if now.saturating_sub(since) >= SETTLED_AFTER_LEASES * settings.lease_millis {
            self.recent_failures.clear();
            return None;
        }
        let reason = format!("{server} was lost while it owned it");
        self.record_failure(&reason, settings).then_some(reason)
    }
}

#[cfg(test)]
mod tests;
