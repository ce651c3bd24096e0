//! One connection to the ledger: which calls it may carry, and when it is closed.

use std::sync::Arc;

use loomflow::interface::RequestId;
use loomflow::time::Millis;

use crate::connection::ConnectionHandle;

/// A connection that has been idle for this long carries no further call and is closed: the ledger may have forgotten it.
pub(super) const MAX_IDLE_MS: Millis = 120.0;
/// A connection takes no further call after this many; it is closed once it is idle. This bounds the requests that are
/// checked before a call is placed on it.
pub(super) const MAX_CALLS_PER_CONNECTION: usize = 64;
/// A connection that was retired finishes its calls within this time.
pub(super) const RETIRED_DRAIN_MS: Millis = 1_500.0;

/// A connection to the ledger.
pub(super) struct LedgerConnection {
    pub(super) handle: Arc<ConnectionHandle>,
    pub(super) last_used_at: Millis,
    pub(super) calls_in_flight: usize,
    carried_calls: Vec<RequestId>,
    /// It is retired: it carries no further call, and is aborted at this time if calls are still in flight on it.
    abort_at: Option<Millis>,
}

impl LedgerConnection {
    pub(super) fn new(handle: Arc<ConnectionHandle>, now: Millis) -> LedgerConnection {
        LedgerConnection {
            handle,
            last_used_at: now,
            calls_in_flight: 0,
            carried_calls: Vec::new(),
            abort_at: None,
        }
    }

    /// A call is sent on it.
    pub(super) fn call_started(&mut self, id: RequestId, now: Millis) {
        self.last_used_at = now;
        self.calls_in_flight += 1;
        self.carried_calls.push(id);
    }

    /// It carries no further call from now on. Its calls have [`RETIRED_DRAIN_MS`] to finish, counted anew where it is retired
    /// already.
    pub(super) fn retire(&mut self, now: Millis) {
        self.abort_at = Some(now + RETIRED_DRAIN_MS);
    }

    /// Retires it unless it is retired already: the time for its calls to finish is not counted anew.
    pub(super) fn retire_once(&mut self, now: Millis) {
        if self.abort_at.is_none() {
            self.retire(now);
        }
    }

    /// Whether it may carry a call of this request: a late copy of a reply must not meet a later call of the same one.
    fn may_carry(&self, id: RequestId) -> bool {
        self.abort_at.is_none()
            && self.carried_calls.len() < MAX_CALLS_PER_CONNECTION
            && !self.carried_calls.contains(&id)
    }

    /// Whether it is idle and may carry this call. Only calls without an effect reuse an idle connection: if the ledger had
    /// forgotten the connection, nothing would prove that the call never ran.
    pub(super) fn is_reusable(&self, id: RequestId, has_effect: bool, now: Millis) -> bool {
        !has_effect
            && self.calls_in_flight == 0
            && now - self.last_used_at < MAX_IDLE_MS
            && self.may_carry(id)
    }

    /// Whether a call may share it with others in flight.
    pub(super) fn is_shareable(&self, id: RequestId) -> bool {
        self.calls_in_flight > 0 && self.may_carry(id)
    }

    /// Whether it is closed at the next check: idle for too long, or retired and drained or out of time.
    pub(super) fn is_due(&self, now: Millis) -> bool {
        let is_idle_too_long = now - self.last_used_at >= MAX_IDLE_MS;
        let is_unused = self.calls_in_flight == 0 && (self.abort_at.is_some() || is_idle_too_long);
        is_unused || self.abort_at.is_some_and(|abort_at| now >= abort_at)
    }
}

#[cfg(test)]
mod tests;
