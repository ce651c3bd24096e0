//! The server's health, and the deep health checks that wait for the engine.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use loomflow::time::Millis;

use crate::front::interface::ResponseHandle;

/// Timeout of a deep health check. A check whose reply the engine has not sent by then fails.
const HEALTH_CHECK_TIMEOUT_MS: Millis = 1000.0;

/// A deep health check that was sent to the engine and has no reply yet.
struct PendingHealthCheck {
    response_handle: ResponseHandle,
    deadline: Millis,
}

/// The server's health as the controller last set it, and the deep checks that wait for the engine.
pub(super) struct HealthChecks {
    is_healthy: bool,
    /// Whether all checks are handled without the engine. The controller's first decision sets it and no later one resets it,
    /// so a deep check reaches the engine only before the first decision.
    is_cached: bool,
    /// Readiness that is reported to the control plane; equal to `is_healthy`.
    ready: Arc<AtomicBool>,
    /// Deep checks by the tag of the command to the engine.
    pending: BTreeMap<u64, PendingHealthCheck>,
}

impl HealthChecks {
    /// Creates the state of a healthy server; from then on `ready` is set whenever the health changes.
    pub(super) fn new(ready: Arc<AtomicBool>) -> HealthChecks {
        HealthChecks { is_healthy: true, is_cached: false, ready, pending: BTreeMap::new() }
    }

    /// Whether the server is healthy, as stated in responses to health checks and in load reports.
    pub(super) fn is_healthy(&self) -> bool {
        self.is_healthy
    }

    /// Sets the health for health checks, load reports and the control plane.
    pub(super) fn set_healthy(&mut self, is_healthy: bool) {
        self.is_healthy = is_healthy;
        self.ready.store(is_healthy, Ordering::Release);
    }

    /// Sets whether all checks are handled without the engine.
    pub(super) fn set_cached(&mut self, is_cached: bool) {
        self.is_cached = is_cached;
    }

    /// Whether a check must be sent to the engine.
    pub(super) fn needs_engine(&self, is_deep: bool, has_deep_checks: bool) -> bool {
        is_deep && has_deep_checks && !self.is_cached
    }

    /// Adds a check that was sent to the engine with this tag.
    pub(super) fn add_pending(&mut self, tag: u64, response_handle: ResponseHandle, now: Millis) {
        let deadline = now + HEALTH_CHECK_TIMEOUT_MS;
        self.pending.insert(tag, PendingHealthCheck { response_handle, deadline });
    }

    /// Removes the check with the tag of an engine reply and returns its response handle; `None` if no check has it.
    pub(super) fn take_pending(&mut self, tag: &str) -> Option<ResponseHandle> {
        let tag: u64 = tag.parse().ok()?;
        self.pending.remove(&tag).map(|check| check.response_handle)
    }

    /// Removes one check that has timed out, and returns its response handle.
    pub(super) fn take_expired(&mut self, now: Millis) -> Option<ResponseHandle> {
        let check = self.pending.first_entry().filter(|check| now >= check.get().deadline)?;
        Some(check.remove().response_handle)
    }
}

#[cfg(test)]
mod tests;
