//! State of a connection to the ledger: which calls it may carry, and when it should be closed.

use std::sync::Arc;

use loomflow::interface::RequestId;
use loomflow::time::Millis;

use crate::connection::ConnectionHandle;

/// A connection that has been idle for this long takes no further call and is closed, because the ledger may have
/// dropped its end.
pub(super) const MAX_IDLE_MS: Millis = 120.0;
/// Maximum number of calls that a connection carries in its lifetime; after that it is closed once it is idle. This
/// bounds the list of calls that is searched before another one is placed on the connection.
pub(super) const MAX_CALLS_PER_CONNECTION: usize = 64;
/// How long a retired connection may take to finish the calls in flight; it is aborted then.
pub(super) const RETIRED_DRAIN_MS: Millis = 1_500.0;

/// A connection to the ledger.
pub(super) struct LedgerConnection {
    pub(super) handle: Arc<ConnectionHandle>,
    /// When the last call was sent or the last reply received.
    pub(super) last_used_at: Millis,
    pub(super) calls_in_flight: usize,
    /// The requests of all calls that the connection has carried.
    carried_calls: Vec<RequestId>,
    /// When the connection is aborted if calls are still in flight on it; set once it is retired.
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

    /// Records that a call was sent on the connection.
    pub(super) fn call_started(&mut self, id: RequestId, now: Millis) {
        self.last_used_at = now;
        self.calls_in_flight += 1;
        self.carried_calls.push(id);
    }

    /// Retires the connection: it carries no further call, and those in flight have [`RETIRED_DRAIN_MS`] to finish.
    /// If it is retired already, the time starts again.
    pub(super) fn retire(&mut self, now: Millis) {
        self.abort_at = Some(now + RETIRED_DRAIN_MS);
    }

    /// Retires the connection, unless it is retired already: the time for the calls in flight does not start again.
    pub(super) fn retire_once(&mut self, now: Millis) {
        if self.abort_at.is_none() {
            self.retire(now);
        }
    }

    /// Whether the connection may carry a call of this request. Two calls of a request never share a
    /// connection: a late copy of the reply to the first could be taken for the reply to the second.
    fn may_carry(&self, id: RequestId) -> bool {
        self.abort_at.is_none()
            && self.carried_calls.len() < MAX_CALLS_PER_CONNECTION
            && !self.carried_calls.contains(&id)
    }

    /// Whether the connection is idle and may carry a call of this request. Only calls without an effect
    /// reuse an idle connection: if the ledger had dropped the connection, there would be no proof that the
    /// call was not executed.
    pub(super) fn is_reusable(&self, id: RequestId, has_effect: bool, now: Millis) -> bool {
        !has_effect
            && self.calls_in_flight == 0
            && now - self.last_used_at < MAX_IDLE_MS
            && self.may_carry(id)
    }

    /// Whether calls are in flight on the connection and a call of this request may share it.
    pub(super) fn is_shareable(&self, id: RequestId) -> bool {
        self.calls_in_flight > 0 && self.may_carry(id)
    }

    /// Whether to close the connection: it has been idle for too long, or it is retired and has no call in flight or no
    /// time left.
    pub(super) fn should_close(&self, now: Millis) -> bool {
        let is_idle_too_long = now - self.last_used_at >= MAX_IDLE_MS;
        let is_unused = self.calls_in_flight == 0 && (self.abort_at.is_some() || is_idle_too_long);
        is_unused || self.abort_at.is_some_and(|abort_at| now >= abort_at)
    }
}

#[cfg(test)]
mod tests;
