//! Idempotency records: detect duplicate messages and decide how they are handled, so that work with an external effect
//! never runs twice.
//!
//! A broker marks a message as redelivered if it delivered it to any consumer before. This is only a hint: the earlier
//! delivery may have been to this process, on this or an earlier connection, or to another one, and the message may
//! never have run. The record of the key takes precedence; without a record, a message with an effect that may have run
//! is not run.
//!
//! The idempotency cache for requests of gateways (`loomflow-server`, `idempotency`) decides by the arrival time. That
//! is not possible here, because a broker can redeliver at any time. Instead, a key is retained for a fixed time after
//! its message ended here, with or without a run. Unfinished keys do not expire, and republishing a message or replying
//! to its caller does not extend the time.

mod decision;

use std::collections::{BTreeMap, VecDeque};

pub use decision::{DuplicateDecision, MessageIdentity, MessageInfo, RunResult};
pub use loomflow_idempotency::IdempotencyKey;
use loomflow_idempotency::{BodyHasher, ResultBudget, ResultSequence};

use crate::Millis;
use crate::remaining_steps::{CallerSteps, RemainingSteps};
use crate::retired_keys::{RetiredKey, RetiredKeys};
use crate::settlement::FailureBeforeRun;

/// Identifies a delivery within this process; ids are not reused.
pub type DeliveryId = u64;
/// Publish id of a copy of a message that loomflow republished; the original message of the sender has none.
pub type CopyId = u64;

#[derive(Clone, Debug, PartialEq)]
enum KeyState {
    /// Submitted and not started. Duplicates wait for the first delivery.
    Queued,
    Running,
    Finished(RunResult),
    /// The last delivery to this server, of the original or of this copy, ended without a run.
    NotStarted(Option<CopyId>),
    /// This message was not started and has a final failure that its caller may have been told.
    FailedBeforeRun(MessageIdentity, FailureBeforeRun),
    /// The message `from` was not started here and was republished to its queue. Until the broker confirms the copy `to`,
    /// a second message may or may not exist.
    Republished {
        from: MessageIdentity,
        to: CopyId,
        is_confirmed: bool,
    },
}

/// Knowledge about runs that this process did not perform, such as a store that persists across restarts.
pub trait IdempotencyStore {
    /// Whether a run of this key may have started; `None` if unknown.
    fn may_have_started(&self, key: &IdempotencyKey) -> Option<bool>;
}

/// An [`IdempotencyStore`] without any knowledge.
pub struct NoHistory;

impl IdempotencyStore for NoHistory {
    fn may_have_started(&self, _: &IdempotencyKey) -> Option<bool> {
        None
    }
}

struct Record {
    state: KeyState,
    body_digest: u64,
    /// Position of the reply in the eviction order; set while a reply is retained.
    reply_sequence: Option<ResultSequence>,
    expires_at: Millis,
    /// Other deliveries of the key, which wait for the first one to end.
    waiters: Vec<DeliveryId>,
    /// What is left to be done for the callers whose reply or dead letter was confirmed.
    caller_steps: CallerSteps,
}

impl Record {
    fn is_unfinished(&self) -> bool {
        matches!(self.state, KeyState::Queued | KeyState::Running)
    }
}

/// Limits on what [`IdempotencyRecords`] retains.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Capacity {
    /// Maximum number of keys with a complete record.
    pub records: usize,
    /// Maximum total size of the retained replies, bytes.
    pub reply_bytes: usize,
    /// Maximum number of keys of which only a hash is retained.
    pub retired_keys: usize,
}

/// Records of the keys of recent messages. Above the capacity, the oldest records of messages that ended are dropped; of
/// a key that has run, a hash is retained. If only unfinished records are left, no more messages may be consumed
/// ([`IdempotencyRecords::is_full`]).
pub struct IdempotencyRecords {
    store: Box<dyn IdempotencyStore + Send>,
    retention: Millis,
    max_records: usize,
    records: BTreeMap<IdempotencyKey, Record>,
    /// Number of unfinished records.
    unfinished: usize,
    retired_keys: RetiredKeys,
    /// Expiry times with their keys, in ascending order because all keys have the same retention. An entry is stale if
    /// the expiry of its key was postponed afterwards.
    expiries: VecDeque<(Millis, IdempotencyKey)>,
    replies: ResultBudget<IdempotencyKey>,
    body_hasher: BodyHasher,
}

/// Result of looking up the key of a message.
enum Lookup {
    /// The record determines the decision.
    Decided(DuplicateDecision),
    /// The records do not prevent a run.
    Undecided { may_have_run_elsewhere: bool },
}

impl IdempotencyRecords {
    /// Creates records that retain a key for `retention` ms after its message finished or was found not to be started
    /// here. A key does not expire while its message is queued or running.
    pub fn new(
        retention: Millis,
        capacity: Capacity,
        store: Box<dyn IdempotencyStore + Send>,
    ) -> IdempotencyRecords {
        IdempotencyRecords {
            store,
            retention,
            max_records: capacity.records,
            records: BTreeMap::new(),
            unfinished: 0,
            retired_keys: RetiredKeys::new(retention, capacity.retired_keys),
            expiries: VecDeque::new(),
            replies: ResultBudget::new(capacity.reply_bytes),
            body_hasher: BodyHasher::default(),
        }
    }

    /// Digest of a message body.
    pub fn digest(&self, body: &[u8]) -> u64 {
        self.body_hasher.digest(body)
    }

    /// Whether the capacity is used up by unfinished messages.
    pub fn is_full(&self) -> bool {
        self.unfinished >= self.max_records
    }

    /// Number of retained keys, with a record or as a hash.
    pub fn len(&self) -> usize {
        self.records.len() + self.retired_keys.len()
    }

    /// Whether no key is retained.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Total size of the retained replies, bytes.
    pub fn reply_bytes(&self) -> usize {
        self.replies.bytes()
    }

    /// Decides how a message is handled. If it has to wait for the first delivery of its key, `id` is added to the
    /// waiters.
    pub fn decide(
        &mut self,
        id: DeliveryId,
        key: Option<&IdempotencyKey>,
        message: MessageInfo,
        now: Millis,
    ) -> DuplicateDecision {
        self.expire(now);
        let Some(key) = key else {
            let may_have_run = message.has_effect && message.redelivered;
            return if may_have_run {
                DuplicateDecision::MayHaveRun { remaining: RemainingSteps::ALL }
            } else {
                DuplicateDecision::Run
            };
        };
        let may_have_run_elsewhere = match self.look_up(id, key, &message) {
            Lookup::Decided(decision) => return decision,
            Lookup::Undecided { may_have_run_elsewhere } => may_have_run_elsewhere,
        };
        if message.has_effect && may_have_run_elsewhere {
            // Recorded as unknown, so that further duplicates get the same reply. An existing record is kept, because a
            // republished copy may still arrive.
            if !self.records.contains_key(key) {
                self.start_record(key, message.body_digest);
                self.finish(key, KeyState::Finished(RunResult::Unknown), now);
            }
            return DuplicateDecision::MayHaveRun { remaining: self.remaining_steps(key, &message) };
        }
        self.discard_reply(key);
        self.start_record(key, message.body_digest);
        DuplicateDecision::Run
    }

    /// Looks up the key of a message. A redelivered message may have run in another process, unless its last delivery
    /// was to this one.
    fn look_up(&mut self, id: DeliveryId, key: &IdempotencyKey, message: &MessageInfo) -> Lookup {
        let Some(record) = self.records.get_mut(key) else { return self.look_up_retired(key, message) };
        let is_same_body = record.body_digest == message.body_digest;
        let completed =
            record.caller_steps.get(message.identity.caller_digest).filter(|_| message.may_be_known());
        let may_have_run_elsewhere = match record.state.clone() {
            KeyState::Queued | KeyState::Running | KeyState::Finished(_) if !is_same_body => {
                return Lookup::Decided(DuplicateDecision::BodyMismatch);
            }
            KeyState::Queued | KeyState::Running => {
                record.waiters.push(id);
                return Lookup::Decided(DuplicateDecision::AwaitOriginal);
            }
            KeyState::Finished(result)
                if message.has_effect || matches!(result, RunResult::Served(_)) || completed.is_some() =>
            {
                let remaining = completed.unwrap_or(RemainingSteps::ALL);
                return Lookup::Decided(DuplicateDecision::ReplyFromRecord { result, remaining });
            }
            KeyState::Finished(_) => false,
            KeyState::Republished { from, is_confirmed: true, .. }
                if message.redelivered && message.identity == from =>
            {
                return Lookup::Decided(DuplicateDecision::Superseded);
            }
            KeyState::Republished { .. } => message.redelivered,
            KeyState::FailedBeforeRun(last, failure)
                if is_same_body && message.redelivered && message.identity == last =>
            {
                let remaining = completed.unwrap_or(RemainingSteps::ALL);
                return Lookup::Decided(DuplicateDecision::RepeatFailure { failure, remaining });
            }
            KeyState::NotStarted(copy) | KeyState::FailedBeforeRun(MessageIdentity { copy, .. }, _) => {
                message.redelivered && message.identity.copy != copy
            }
        };
        Lookup::Undecided { may_have_run_elsewhere }
    }

    /// What earlier deliveries of a message did not complete.
    fn remaining_steps(&self, key: &IdempotencyKey, message: &MessageInfo) -> RemainingSteps {
        let record = self.records.get(key).filter(|_| message.may_be_known());
        let completed = record.and_then(|record| record.caller_steps.get(message.identity.caller_digest));
        completed.unwrap_or(RemainingSteps::ALL)
    }

    /// Looks up a key without a record among the retired keys and in the store.
    fn look_up_retired(&self, key: &IdempotencyKey, message: &MessageInfo) -> Lookup {
        if let Some(retired) = self.retired_keys.get(key).filter(|_| message.has_effect) {
            let is_completed =
                retired.completed_caller.is_some_and(|caller| caller.get() == message.identity.caller_digest);
            let remaining = if message.may_be_known() && is_completed {
                RemainingSteps::NONE
            } else {
                RemainingSteps::ALL
            };
            let result = RunResult::ReplyDiscarded;
            return Lookup::Decided(DuplicateDecision::ReplyFromRecord { result, remaining });
        }
        let may_have_run_elsewhere = message.redelivered && self.store.may_have_started(key) != Some(false);
        Lookup::Undecided { may_have_run_elsewhere }
    }

    fn start_record(&mut self, key: &IdempotencyKey, body_digest: u64) {
        self.unfinished += 1;
        let record = Record {
            state: KeyState::Queued,
            body_digest,
            reply_sequence: None,
            expires_at: f64::INFINITY,
            waiters: Vec::new(),
            caller_steps: CallerSteps::default(),
        };
        self.records.insert(key.clone(), record);
    }

    /// Records that the message `from`, which was not started, is being republished; `to` is the id of the new copy.
    pub fn republishing(&mut self, key: &IdempotencyKey, from: MessageIdentity, to: CopyId) {
        self.update_not_started(key, |state| {
            *state = KeyState::Republished { from, to, is_confirmed: false };
        });
    }

    /// Records whether the broker accepted a republished copy. Must not be called if that is unknown.
    pub fn republished(&mut self, key: &IdempotencyKey, copy: CopyId, is_confirmed: bool) {
        self.update_not_started(key, |state| {
            if let KeyState::Republished { from, to, .. } = *state
                && to == copy
            {
                *state = if is_confirmed {
                    KeyState::Republished { from, to, is_confirmed: true }
                } else {
                    KeyState::NotStarted(from.copy)
                };
            }
        });
    }

    fn update_not_started(&mut self, key: &IdempotencyKey, update: impl FnOnce(&mut KeyState)) {
        let is_not_started = |record: &&mut Record| {
            matches!(
                record.state,
                KeyState::NotStarted(_) | KeyState::FailedBeforeRun(..) | KeyState::Republished { .. }
            )
        };
        if let Some(record) = self.records.get_mut(key).filter(is_not_started) {
            update(&mut record.state);
        }
    }

    /// Records that the run of a key may have started.
    pub fn run_started(&mut self, key: &IdempotencyKey) {
        if let Some(record) = self.records.get_mut(key) {
            record.state = KeyState::Running;
        }
    }

    /// Records that a delivery of the message ended here without a run; `copy` is its copy id, `None` for the original.
    /// Returns the deliveries that waited for its end.
    pub fn not_started(
        &mut self,
        key: &IdempotencyKey,
        copy: Option<CopyId>,
        now: Millis,
    ) -> Vec<DeliveryId> {
        self.finish(key, KeyState::NotStarted(copy), now)
    }

    /// Records that this message, which was not started, failed for good.
    pub fn failed_before_run(
        &mut self,
        key: &IdempotencyKey,
        message: MessageIdentity,
        failure: FailureBeforeRun,
    ) {
        self.update_not_started(key, |state| {
            // A republished copy may still run.
            if !matches!(state, KeyState::Republished { .. }) {
                *state = KeyState::FailedBeforeRun(message, failure);
            }
        });
    }

    /// Records the result of the run of a key. Returns the deliveries that waited for it.
    pub fn run_finished(&mut self, key: &IdempotencyKey, result: RunResult, now: Millis) -> Vec<DeliveryId> {
        if let (RunResult::Served(reply), Some(record)) = (&result, self.records.get_mut(key)) {
            record.reply_sequence = Some(self.replies.retain(key.clone(), reply.len()));
        }
        let waiters = self.finish(key, KeyState::Finished(result), now);
        while let Some(oldest) = self.replies.evict() {
            self.discard_reply(&oldest);
        }
        waiters
    }

    fn finish(&mut self, key: &IdempotencyKey, state: KeyState, now: Millis) -> Vec<DeliveryId> {
        let Some(record) = self.records.get_mut(key) else { return Vec::new() };
        self.unfinished -= usize::from(record.is_unfinished());
        record.state = state;
        record.expires_at = now + self.retention;
        self.expiries.push_back((record.expires_at, key.clone()));
        let waiters = std::mem::take(&mut record.waiters);
        self.retire_oldest(now);
        waiters
    }

    /// Evicts the oldest finished records above the capacity. A key that has run is retained as a hash. Other keys are
    /// dropped, and their messages, if redelivered, count as possibly run in another process.
    fn retire_oldest(&mut self, now: Millis) {
        while self.records.len() > self.max_records {
            let Some((expires_at, key)) = self.expiries.pop_front() else { return };
            if self.records.get(&key).is_none_or(|record| record.expires_at != expires_at) {
                continue;
            }
            self.discard_reply(&key);
            let Some(record) = self.records.remove(&key) else { continue };
            if matches!(record.state, KeyState::Finished(_)) {
                let completed_caller = record.caller_steps.newest_completed();
                self.retired_keys.insert(&key, RetiredKey { completed_caller }, now);
            }
        }
    }

    /// Records that only `remaining` is left to be done for the message of a caller.
    pub fn steps_completed(&mut self, key: &IdempotencyKey, caller_digest: u64, remaining: RemainingSteps) {
        if let Some(record) = self.records.get_mut(key) {
            record.caller_steps.complete(caller_digest, remaining);
        }
    }

    /// Removes a delivery from the waiters of a key.
    pub fn remove_waiter(&mut self, key: &IdempotencyKey, id: DeliveryId) {
        if let Some(record) = self.records.get_mut(key) {
            record.waiters.retain(|waiter| *waiter != id);
        }
    }

    fn discard_reply(&mut self, key: &IdempotencyKey) {
        let Some(record) = self.records.get_mut(key) else { return };
        if let Some(sequence) = record.reply_sequence.take() {
            self.replies.release(sequence);
            record.state = KeyState::Finished(RunResult::ReplyDiscarded);
        }
    }

    /// Drops the keys that have expired.
    pub fn expire(&mut self, now: Millis) {
        self.retired_keys.expire(now);
        while self.expiries.front().is_some_and(|(expires_at, _)| *expires_at <= now) {
            let Some((_, key)) = self.expiries.pop_front() else { return };
            let has_expired = |record: &Record| record.expires_at <= now && !record.is_unfinished();
            if self.records.get(&key).is_some_and(has_expired) {
                self.discard_reply(&key);
                self.records.remove(&key);
            }
        }
    }
}

#[cfg(test)]
mod tests;
