//! The health that is reported, and deep health checks that wait for the engine.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use loomflow::time::Millis;

use crate::front::interface::ResponseHandle;

/// How long the engine may take to answer a deep health check. After that the check has failed.
const HEALTH_CHECK_TIMEOUT_MS: Millis = 1000.0;

/// A deep health check that the engine has not answered.
struct PendingHealthCheck {
    response_handle: ResponseHandle,
    deadline: Millis,
}

/// The server's health, and the checks that wait for the engine.
pub(super) struct HealthChecks {
    is_healthy: bool,
    /// Checks are answered without the engine. The controller's first decision sets it, and the controller never asks for
    /// uncached checks: a deep check reaches the engine only before the first decision.
    is_cached: bool,
    /// What is reported to the control plane.
    ready: Arc<AtomicBool>,
    /// Deep checks by the engine's tag.
    pending: BTreeMap<u64, PendingHealthCheck>,
}

impl HealthChecks {
    /// A healthy server; `ready` follows its health.
    pub(super) fn new(ready: Arc<AtomicBool>) -> HealthChecks {
        HealthChecks { is_healthy: true, is_cached: false, ready, pending: BTreeMap::new() }
    }

    /// The health that is reported.
    pub(super) fn is_healthy(&self) -> bool {
        self.is_healthy
    }

    /// Sets the health that is reported from now on.
    pub(super) fn set_healthy(&mut self, is_healthy: bool) {
        self.is_healthy = is_healthy;
        self.ready.store(is_healthy, Ordering::Release);
    }

    /// Sets whether checks are answered without the engine.
    pub(super) fn set_cached(&mut self, is_cached: bool) {
        self.is_cached = is_cached;
    }

    /// Whether the engine is to do work for a check.
    pub(super) fn needs_engine(&self, is_deep: bool, has_deep_checks: bool) -> bool {
        is_deep && has_deep_checks && !self.is_cached
    }

    /// The engine was sent a check with this tag.
    pub(super) fn sent(&mut self, tag: u64, response_handle: ResponseHandle, now: Millis) {
        let deadline = now + HEALTH_CHECK_TIMEOUT_MS;
        self.pending.insert(tag, PendingHealthCheck { response_handle, deadline });
    }

    /// The engine has answered a check: where the response goes.
    pub(super) fn answered(&mut self, tag: &str) -> Option<ResponseHandle> {
        let tag: u64 = tag.parse().ok()?;
        self.pending.remove(&tag).map(|check| check.response_handle)
    }

    /// Removes a check that the engine has not answered in time.
    pub(super) fn take_expired(&mut self, now: Millis) -> Option<ResponseHandle> {
        let check = self.pending.first_entry().filter(|check| now >= check.get().deadline)?;
        Some(check.remove().response_handle)
    }
}

#[cfg(test)]
mod tests;
