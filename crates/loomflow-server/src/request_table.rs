//! The request table: all requests that have no response yet or whose run has not ended.

use std::collections::BTreeMap;

use loomflow::interface::{Idempotency, RequestId};
use loomflow::time::Millis;
use loomflow_protocol::AttemptId;

use crate::engine::{Delivery, PendingCommand, SentCommand};
use crate::front::interface::ResponseHandle;

/// The stage of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Progress {
    /// The controller has not started it.
    Queued,
    /// A duplicate that waits for its original's result.
    AwaitingResult,
    /// The run was sent to the engine, or is to be sent once the link is ready.
    Running,
    /// The run waits for the reply to its call to the ledger.
    AwaitingCall,
}

/// How long after the response to a request the engine may take to report the end of its run. The engine reports every end;
/// without a report by then the run counts as ended, so that its entry does not stay forever.
const RUN_END_TIMEOUT_MS: Millis = 60_000.0;

/// The state of one request.
#[derive(Debug)]
pub struct RequestEntry {
    /// Identifies to the front the connection or message that gets the response.
    pub response_handle: ResponseHandle,
    /// Identifies the request to the engine and the ledger.
    pub attempt_id: AttemptId,
    /// Index of the class in the settings.
    pub class: usize,
    /// Whether the request may run more than once.
    pub idempotency: Idempotency,
    /// The retained request with the same key, if this request is a duplicate.
    pub original: Option<RequestId>,
    /// The body as received. Cleared once the request is answered or the engine is known to have received it.
    pub body: Vec<u8>,
    /// Whether the request was answered or cancelled: it gets no further response.
    pub is_answered: bool,
    /// When the request was answered or cancelled; 0 before.
    pub answered_at: Millis,
    /// The stage that the request has reached.
    pub progress: Progress,
    /// The last command sent to the engine for the request, until a notice confirms that it arrived.
    pub pending_command: Option<PendingCommand>,
    /// Tag of the fence (see `EngineLink::send_fence`) ahead of the resent reply to the run's last call;
    /// `None` if that reply was not resent.
    pub resent_reply_fence: Option<u64>,
    /// Body of the run's last call.
    pub call_body: Vec<u8>,
}

impl RequestEntry {
    /// The entry of a request that was just submitted.
    pub fn queued(
        response_handle: ResponseHandle,
        attempt_id: AttemptId,
        class: usize,
        idempotency: Idempotency,
        original: Option<RequestId>,
        body: Vec<u8>,
    ) -> RequestEntry {
        RequestEntry {
            response_handle,
            attempt_id,
            class,
            idempotency,
            original,
            body,
            is_answered: false,
            answered_at: 0.0,
            progress: Progress::Queued,
            pending_command: None,
            resent_reply_fence: None,
            call_body: Vec::new(),
        }
    }

    /// Whether the last command for the request is its run and no notice has confirmed it.
    pub fn is_run_unconfirmed(&self) -> bool {
        self.pending_command.as_ref().is_some_and(|pending| pending.command == SentCommand::Run)
    }

    /// Whether the engine may have started the run.
    pub fn may_have_started(&self) -> bool {
        let is_run_not_sent = |pending: &PendingCommand| {
            pending.command == SentCommand::Run && pending.delivery == Delivery::NotSent
        };
        matches!(self.progress, Progress::Running | Progress::AwaitingCall)
            && !self.pending_command.as_ref().is_some_and(is_run_not_sent)
    }
}

/// All requests in progress, indexed by id, attempt id and response handle.
#[derive(Default)]
pub struct RequestTable {
    entries: BTreeMap<RequestId, RequestEntry>,
    by_attempt: BTreeMap<AttemptId, RequestId>,
    /// Only unanswered requests are indexed by response handle.
    by_response_handle: BTreeMap<ResponseHandle, RequestId>,
    last_id: RequestId,
    unanswered_count: usize,
}

impl RequestTable {
    /// Returns an id that is not 0 and that no request in the table has.
    pub fn next_id(&mut self) -> RequestId {
        loop {
            self.last_id = self.last_id.wrapping_add(1);
            if self.last_id != 0 && !self.entries.contains_key(&self.last_id) {
                return self.last_id;
            }
        }
    }

    /// Adds an unanswered request under an id from [`RequestTable::next_id`].
    pub fn insert(&mut self, id: RequestId, entry: RequestEntry) {
        self.by_attempt.insert(entry.attempt_id, id);
        self.by_response_handle.insert(entry.response_handle, id);
        self.unanswered_count += 1;
        self.entries.insert(id, entry);
    }

    /// Returns the entry of a request, answered or not.
    pub fn get_mut(&mut self, id: RequestId) -> Option<&mut RequestEntry> {
        self.entries.get_mut(&id)
    }

    /// Returns the request with this attempt id, answered or not.
    pub fn find_attempt(&self, attempt_id: AttemptId) -> Option<RequestId> {
        self.by_attempt.get(&attempt_id).copied()
    }

    /// Returns the unanswered request with this response handle.
    pub fn find_unanswered(&self, response_handle: ResponseHandle) -> Option<RequestId> {
        self.by_response_handle.get(&response_handle).copied()
    }

    /// Marks a request as answered. Returns its entry, or `None` if it was answered before or is not in the table.
    pub fn mark_answered(&mut self, id: RequestId, now: Millis) -> Option<&mut RequestEntry> {
        let entry = self.entries.get_mut(&id).filter(|entry| !entry.is_answered)?;
        entry.is_answered = true;
        entry.answered_at = now;
        self.unanswered_count -= 1;
        self.by_response_handle.remove(&entry.response_handle);
        Some(entry)
    }

    /// Removes a request, answered or not, and returns its entry.
    pub fn remove(&mut self, id: RequestId) -> Option<RequestEntry> {
        let entry = self.entries.remove(&id)?;
        self.by_attempt.remove(&entry.attempt_id);
        if !entry.is_answered {
            self.by_response_handle.remove(&entry.response_handle);
            self.unanswered_count -= 1;
        }
        Some(entry)
    }

    /// Returns the requests that were answered at least [`RUN_END_TIMEOUT_MS`] ago and still have an entry,
    /// because the end of their run was not reported.
    pub fn unreported_runs(&self, now: Millis) -> Vec<RequestId> {
        let is_overdue =
            |entry: &RequestEntry| entry.is_answered && now - entry.answered_at >= RUN_END_TIMEOUT_MS;
        self.entries.iter().filter(|(_, entry)| is_overdue(entry)).map(|(id, _)| *id).collect()
    }

    /// The number of requests in the table, answered or not.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// The number of requests in the table that have not been answered.
    pub fn unanswered_count(&self) -> usize {
        self.unanswered_count
    }

    /// Whether a request of this class is in the table. Such a class cannot be removed by a reload.
    pub fn has_class(&self, class: usize) -> bool {
        self.entries.values().any(|entry| entry.class == class)
    }

    /// Iterates over all requests in the order of their ids.
    pub fn iter_mut(&mut self) -> impl Iterator<Item = (RequestId, &mut RequestEntry)> {
        self.entries.iter_mut().map(|(id, entry)| (*id, entry))
    }
}

#[cfg(test)]
mod tests;
