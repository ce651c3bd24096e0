//! The request table: every request that has not been answered yet, or whose run has not ended.

use std::collections::BTreeMap;

use loomflow::interface::{Idempotency, RequestId};
use loomflow::time::Millis;
use loomflow_protocol::AttemptId;

use crate::engine::{Delivery, PendingCommand, SentCommand};
use crate::front::interface::ResponseHandle;

/// How far a request has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Progress {
    /// Nothing has been started.
    Queued,
    /// It repeats another request and waits for its result.
    AwaitingResult,
    /// The engine runs it, or is about to.
    Running,
    /// The engine waits for the reply to its call.
    AwaitingCall,
}

/// How long after its response the end of a run is waited for. The engine reports every end; a run without a report by then
/// counts as ended, so that its entry does not stay forever.
const RUN_END_TIMEOUT_MS: Millis = 60_000.0;

/// One request.
#[derive(Debug)]
pub struct RequestEntry {
    /// Where its response goes.
    pub response_handle: ResponseHandle,
    /// Its name towards engine and ledger.
    pub attempt_id: AttemptId,
    /// Index of its class in the settings.
    pub class: usize,
    /// Whether it may run more than once.
    pub idempotency: Idempotency,
    /// The request that it repeats.
    pub original: Option<RequestId>,
    /// The body as received; dropped once the engine is known to have it.
    pub body: Vec<u8>,
    /// It has had its response.
    pub is_answered: bool,
    /// When it had its response.
    pub answered_at: Millis,
    /// How far it has come.
    pub progress: Progress,
    /// The last command to the engine, until a notice confirms that it arrived.
    pub pending_command: Option<PendingCommand>,
    /// The last reply to its call was sent a second time, right behind the fence with this tag.
    pub resent_reply_fence: Option<u64>,
    /// The body of its call.
    pub call_body: Vec<u8>,
}

impl RequestEntry {
    /// A request as it is received.
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

    /// Whether the engine was sent the run and has reported nothing of it yet.
    pub fn is_run_unconfirmed(&self) -> bool {
        self.pending_command.as_ref().is_some_and(|pending| pending.command == SentCommand::Run)
    }

    /// Whether the engine may have started to run it.
    pub fn may_have_started(&self) -> bool {
        let is_run_not_sent = |pending: &PendingCommand| {
            pending.command == SentCommand::Run && pending.delivery == Delivery::NotSent
        };
        matches!(self.progress, Progress::Running | Progress::AwaitingCall)
            && !self.pending_command.as_ref().is_some_and(is_run_not_sent)
    }
}

/// All requests, by id, by attempt and by response handle.
#[derive(Default)]
pub struct RequestTable {
    entries: BTreeMap<RequestId, RequestEntry>,
    by_attempt: BTreeMap<AttemptId, RequestId>,
    /// Unanswered requests only.
    by_response_handle: BTreeMap<ResponseHandle, RequestId>,
    last_id: RequestId,
    unanswered_count: usize,
}

impl RequestTable {
    /// A new id; none is used again while its request is in the table.
    pub fn next_id(&mut self) -> RequestId {
        loop {
            self.last_id = self.last_id.wrapping_add(1);
            if self.last_id != 0 && !self.entries.contains_key(&self.last_id) {
                return self.last_id;
            }
        }
    }

    /// Adds a request.
    pub fn insert(&mut self, id: RequestId, entry: RequestEntry) {
        self.by_attempt.insert(entry.attempt_id, id);
        self.by_response_handle.insert(entry.response_handle, id);
        self.unanswered_count += 1;
        self.entries.insert(id, entry);
    }

    /// The entry of a request.
    pub fn get_mut(&mut self, id: RequestId) -> Option<&mut RequestEntry> {
        self.entries.get_mut(&id)
    }

    /// The request of an attempt.
    pub fn find_attempt(&self, attempt_id: AttemptId) -> Option<RequestId> {
        self.by_attempt.get(&attempt_id).copied()
    }

    /// The request whose response to this handle is still due.
    pub fn find_unanswered(&self, response_handle: ResponseHandle) -> Option<RequestId> {
        self.by_response_handle.get(&response_handle).copied()
    }

    /// Marks a request as answered; returns its entry unless it was answered before.
    pub fn mark_answered(&mut self, id: RequestId, now: Millis) -> Option<&mut RequestEntry> {
        let entry = self.entries.get_mut(&id).filter(|entry| !entry.is_answered)?;
        entry.is_answered = true;
        entry.answered_at = now;
        self.unanswered_count -= 1;
        self.by_response_handle.remove(&entry.response_handle);
        Some(entry)
    }

    /// Removes a request, and returns its entry.
    pub fn remove(&mut self, id: RequestId) -> Option<RequestEntry> {
        let entry = self.entries.remove(&id)?;
        self.by_attempt.remove(&entry.attempt_id);
        if !entry.is_answered {
            self.by_response_handle.remove(&entry.response_handle);
            self.unanswered_count -= 1;
        }
        Some(entry)
    }

    /// Requests that were answered [`RUN_END_TIMEOUT_MS`] ago or more: the end of their run will not be reported.
    pub fn lost_runs(&self, now: Millis) -> Vec<RequestId> {
        let is_overdue =
            |entry: &RequestEntry| entry.is_answered && now - entry.answered_at >= RUN_END_TIMEOUT_MS;
        self.entries.iter().filter(|(_, entry)| is_overdue(entry)).map(|(id, _)| *id).collect()
    }

    /// The number of requests.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// The number of requests that have not been answered.
    pub fn unanswered_count(&self) -> usize {
        self.unanswered_count
    }

    /// Whether a request of this class is in the table.
    pub fn has_class(&self, class: usize) -> bool {
        self.entries.values().any(|entry| entry.class == class)
    }

    /// All requests.
    pub fn iter_mut(&mut self) -> impl Iterator<Item = (RequestId, &mut RequestEntry)> {
        self.entries.iter_mut().map(|(id, entry)| (*id, entry))
    }
}

#[cfg(test)]
mod tests;
