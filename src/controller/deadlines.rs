//! Deadlines (rule 1, one response in time): when each request gets its response at the latest, and when
//! it is checked before that.
//!
//! Inputs: deadline and objective of the request, its expected time, interval between batches (all ms). A
//! response is due a margin before the deadline, since timers may fire late. A queued request is checked
//! earlier, when its objective comes out of reach, so that its caller learns of it at once.

use std::collections::BTreeSet;

use super::TICK_MS;
use crate::interface::{Class, RequestAttributes, RequestId};
use crate::time::{Micros, Millis, micros};

/// Batches of delay that the margin of a response covers.
const MARGIN_BATCHES: f64 = 2.0;

/// A request that is checked at a time; ordered by time.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Check {
    at: Micros,
    id: RequestId,
}

/// The checks that are due.
pub(super) struct Deadlines {
    checks: BTreeSet<Check>,
    margin: Millis,
}

impl Deadlines {
    pub(super) fn new(batch_interval: Millis) -> Deadlines {
        Deadlines { checks: BTreeSet::new(), margin: TICK_MS + MARGIN_BATCHES * batch_interval }
    }

    /// Responses are given this long before their deadline.
    pub(super) fn margin(&self) -> Millis {
        self.margin
    }

    /// When a request with this deadline gets its response at the latest.
    pub(super) fn respond_by(&self, deadline: Millis) -> Millis {
        deadline - self.margin
    }

    pub(super) fn schedule(&mut self, at: Millis, id: RequestId) {
        self.checks.insert(Check { at: micros(at), id });
    }

    /// Takes out the next request that is due for a check.
    pub(super) fn pop_due(&mut self, now: Millis) -> Option<RequestId> {
        let is_due = self.checks.first()?.at <= micros(now);
        if is_due { self.checks.pop_first().map(|check| check.id) } else { None }
    }
}

/// When the caller of a request stops waiting: as it states, or after the timeout of its class.
pub(super) fn caller_deadline(
    request: &RequestAttributes,
    class: &Class,
    now: Millis,
    has_caller_deadlines: bool,
) -> Millis {
    if has_caller_deadlines {
        return now + request.remaining_wait;
    }
    let arrived_at = now - request.age;
    arrived_at + class.timeout - request.upstream_time
}

/// When a queued request is checked next. Its expected time may have fallen since the last check, so that
/// its objective is within reach for longer.
pub(super) fn next_queue_check(
    now: Millis,
    objective_at: Millis,
    expected_time: Millis,
    respond_by: Millis,
) -> Millis {
    let start_by = (objective_at - expected_time).max(now + TICK_MS);
    respond_by.min(start_by)
}

#[cfg(test)]
mod tests;
