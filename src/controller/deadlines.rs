//! Deadlines (rule 1, one response in time): the latest time at which each request gets its response, and
//! when it is checked before that.
//!
//! Inputs: deadline and objective of the request, its expected time, batch interval (all ms). A response is
//! due a margin before the deadline, since timers may fire late. A queued request is checked earlier, when
//! it can no longer meet its objective, so that its caller gets the rejection at once.

use std::collections::BTreeSet;

use super::TICK_MS;
use crate::interface::{Class, RequestAttributes, RequestId};
use crate::time::{Micros, Millis, micros};

/// The margin before a deadline covers a delay of this many batches, in addition to one tick.
const MARGIN_BATCHES: f64 = 2.0;

/// A scheduled check of a request; ordered by time.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Check {
    at: Micros,
    id: RequestId,
}

/// The scheduled checks of all requests.
pub(super) struct Deadlines {
    checks: BTreeSet<Check>,
    margin: Millis,
}

impl Deadlines {
    pub(super) fn new(batch_interval: Millis) -> Deadlines {
        Deadlines { checks: BTreeSet::new(), margin: TICK_MS + MARGIN_BATCHES * batch_interval }
    }

    /// How long before its deadline a response is due.
    pub(super) fn margin(&self) -> Millis {
        self.margin
    }

    /// The latest time at which a request with this deadline gets its response.
    pub(super) fn respond_by(&self, deadline: Millis) -> Millis {
        deadline - self.margin
    }

    /// Whether the response to a request with this deadline is due. Compared in whole microseconds as the
    /// checks are, because a check that is due before its response would be scheduled again for now.
    pub(super) fn is_response_due(&self, deadline: Millis, now: Millis) -> bool {
        micros(now) >= micros(self.respond_by(deadline))
    }

    pub(super) fn schedule(&mut self, at: Millis, id: RequestId) {
        self.checks.insert(Check { at: micros(at), id });
    }

    /// Removes and returns the next request whose check is due.
    pub(super) fn pop_due(&mut self, now: Millis) -> Option<RequestId> {
        let is_due = self.checks.first()?.at <= micros(now);
        if is_due { self.checks.pop_first().map(|check| check.id) } else { None }
    }
}

/// When the caller of a request stops waiting: at the time that it states, or at the timeout of the class.
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

/// When a queued request that can still meet its objective is checked next. Its expected time may have fallen
/// since the last check was scheduled, which leaves it more time to start.
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
