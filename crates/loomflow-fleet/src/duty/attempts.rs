//! Parks a duty whose runs failed or whose owners were lost too often in a row, because another attempt would probably bring
//! down another server.

use super::LeaseSettings;
use super::state::Duty;
use crate::member::ServerName;
use crate::time::FleetMillis;

/// The duty is not blamed for the loss of an owner that had it for at least this many leases.
const STABLE_AFTER_LEASES: u64 = 3;

impl Duty {
    /// Records a failed attempt. Returns true if it was the last that the settings permit, so that the duty has to be parked.
    pub(super) fn record_failure(&mut self, reason: &str, settings: LeaseSettings) -> bool {
        self.recent_failures.push(reason.to_owned());
        self.recent_failures.len() >= settings.max_attempts as usize
    }

    /// Records that the owner's session expired. Returns the reason to park the duty if that was the last attempt, and
    /// resets the failures if the owner was stable.
    pub(super) fn record_lost_owner(
        &mut self,
        server: &ServerName,
        settings: LeaseSettings,
        now: FleetMillis,
    ) -> Option<String> {
        let since = self.lease.as_ref().map_or(now, |lease| lease.since);
        if now.saturating_sub(since) >= STABLE_AFTER_LEASES * settings.lease_millis {
            self.recent_failures.clear();
            return None;
        }
        let reason = format!("{server} was lost while it owned it");
        self.record_failure(&reason, settings).then_some(reason)
    }
}

#[cfg(test)]
mod tests;
