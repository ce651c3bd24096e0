//! Decides when the process of an owner has to end: before its lease can expire, first by SIGTERM and then by
//! SIGKILL. The effects of a process that survives both, for example one that left its process group, are
//! rejected by the fences of their receivers.

use super::LeaseSettings;
use crate::time::{IntegerMillis, scaled};

/// A process is sent SIGTERM when this fraction of the lease remains. A lease is renewed four times in its length, so this
/// fraction is not reached while the fleet responds.
const TERMINATE_AT_LEASE_FRACTION: f64 = 0.3;
/// A process is sent SIGKILL when this fraction of the lease remains.
const KILL_AT_LEASE_FRACTION: f64 = 0.1;
/// Time from SIGTERM to SIGKILL, as a fraction of the lease.
pub const GRACE_LEASE_FRACTION: f64 = 0.5;

/// Why a process has to end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StopReason {
    /// The owner has to release the duty or is shutting down.
    HandOver,
    /// The lease is about to expire or was lost.
    LeaseExpiring,
    /// The process exceeded its maximum duration.
    TimedOut,
}

/// A signal to a process that has to end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StopSignal {
    /// SIGTERM, which the process may handle.
    Terminate,
    /// SIGKILL, which ends the process at once.
    Kill,
}

/// Supervises one process of an owner. All times are ms on the clock that the caller passes as `now`.
#[derive(Clone, Debug)]
pub struct ProcessSupervisor {
    lease_settings: LeaseSettings,
    started_at: IntegerMillis,
    max_duration: IntegerMillis,
    /// When the ownership of the duty expires.
    owned_until: IntegerMillis,
    stop_requested: Option<(IntegerMillis, StopReason)>,
    is_killed: bool,
}

impl ProcessSupervisor {
    /// Supervises a process that starts at `now`.
    pub fn new(
        lease_settings: LeaseSettings,
        owned_until: IntegerMillis,
        max_duration: IntegerMillis,
        now: IntegerMillis,
    ) -> ProcessSupervisor {
        ProcessSupervisor {
            lease_settings,
            started_at: now,
            max_duration,
            owned_until,
            stop_requested: None,
            is_killed: false,
        }
    }

    /// Extends the ownership of the duty until `until`; an earlier time has no effect.
    pub fn extend_ownership(&mut self, until: IntegerMillis) {
        self.owned_until = self.owned_until.max(until);
    }

    /// Requests the end of the process because the owner has to release the duty or shuts down.
    pub fn request_stop(&mut self, now: IntegerMillis) {
        self.stop_requested.get_or_insert((now, StopReason::HandOver));
    }

    /// Records that the duty is no longer owned, whatever time remained.
    pub fn ownership_lost(&mut self, now: IntegerMillis) {
        self.owned_until = self.owned_until.min(now);
        self.stop_requested.get_or_insert((now, StopReason::LeaseExpiring));
    }

    /// Why the process has to end; `None` while it may continue.
    pub fn stop_reason(&self) -> Option<StopReason> {
        self.stop_requested.map(|(_, reason)| reason)
    }

    /// The signal that has to be sent to the process at `now`. Each signal is returned once.
    pub fn step(&mut self, now: IntegerMillis) -> Option<StopSignal> {
        let lease_millis = self.lease_settings.lease_millis as f64;
        let remaining = self.owned_until.saturating_sub(now) as f64;
        let was_requested = self.stop_requested.is_some();
        if remaining <= lease_millis * TERMINATE_AT_LEASE_FRACTION {
            self.stop_requested.get_or_insert((now, StopReason::LeaseExpiring));
        }
        if now.saturating_sub(self.started_at) >= self.max_duration {
            self.stop_requested.get_or_insert((now, StopReason::TimedOut));
        }
        let (requested_at, _) = self.stop_requested?;
        let grace_period = scaled(self.lease_settings.lease_millis, GRACE_LEASE_FRACTION);
        let is_grace_over = now.saturating_sub(requested_at) >= grace_period;
        if !self.is_killed && (is_grace_over || remaining <= lease_millis * KILL_AT_LEASE_FRACTION) {
            self.is_killed = true;
            return Some(StopSignal::Kill);
        }
        let is_first_step = !was_requested || requested_at == now;
        (is_first_step && !self.is_killed).then_some(StopSignal::Terminate)
    }
}

#[cfg(test)]
mod tests;
