//! Idempotency records: which messages are duplicates, and what they are answered with, so that work with an effect never
//! runs twice.
//!
//! A broker marks a message as redelivered that it gave to a consumer before. That is a hint: it may have been this one, in
//! this connection or an earlier one, or another process, and the message may never have been run. What this process
//! knows of the key counts first; where it knows nothing, work with an effect that may have run is not run.
//!
//! The cache of the server's own requests (`loomflow-server`, `idempotency`) decides by the time of arrival; here that is no
//! evidence, since a broker
//! redelivers at any time, and a key is retained for a fixed time after its message ended here, by a run or without one.
//! Unfinished keys do not expire, and republishing a message or answering its caller does not extend the time.

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;

pub use loomflow_idempotency::IdempotencyKey;
use loomflow_idempotency::{BodyHasher, ResultBudget, ResultSequence};

use crate::Millis;
use crate::retired_keys::RetiredKeys;

/// Names a delivery for as long as the process lives.
pub type DeliveryId = u64;
/// Identifies a copy that was republished from here; the sender's own message has none.
pub type CopyId = u64;

/// How the run of a key ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RunResult {
    /// It was served with this reply.
    Served(Arc<[u8]>),
    /// It was served; its reply is no longer retained.
    ReplyDiscarded,
    /// It failed, perhaps after it took effect.
    Failed,
    /// It may have run elsewhere.
    Unknown,
}

#[derive(Clone, Debug, PartialEq, Eq)]
enum KeyState {
    /// Submitted and not started; further deliveries wait with the first.
    Queued,
    Running,
    Finished(RunResult),
    /// This server had it (as this copy, if it is one) and never started it.
    NotStarted(Option<CopyId>),
    /// It never started here and was republished: to its queue, or as a dead letter. Until the broker has confirmed that,
    /// there may be a second message or not.
    Republished {
        from: Option<CopyId>,
        to: CopyId,
        is_confirmed: bool,
    },
}

/// What is known of a message beside its key.
#[derive(Clone, Copy, Debug, Default)]
pub struct MessageInfo {
    /// It must not run twice.
    pub has_effect: bool,
    /// The broker delivered it before.
    pub redelivered: bool,
    /// Which copy it is, where it was republished from here.
    pub copy: Option<CopyId>,
    /// Identifies its caller among those with the same key.
    pub caller_digest: u64,
    /// Digest of its body ([`IdempotencyRecords::digest`]).
    pub body_digest: u64,
}

/// What is to be done with a message.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum DuplicateDecision {
    /// It is run.
    Run,
    /// It waits for its original, and is answered with that.
    AwaitOriginal,
    /// Its original has run: it is answered from the record.
    AnswerFromRecord {
        /// How the original ended.
        result: RunResult,
        /// The reply to its own caller was confirmed before.
        is_answered: bool,
    },
    /// A copy was published in its place and confirmed: it only has to be settled.
    Superseded,
    /// It may have run elsewhere.
    MayHaveRun,
    /// Its key belongs to another message, with another body: it is neither run nor answered with that one's result.
    BodyMismatch,
}

/// What is known of keys from before this process, or elsewhere. A store that outlasts a restart would implement it.
pub trait IdempotencyStore {
    /// Whether a run of this key may have started; none where that is not known.
    fn may_have_started(&self, key: &IdempotencyKey) -> Option<bool>;
}

/// A store that knows nothing.
pub struct NoHistory;

impl IdempotencyStore for NoHistory {
    fn may_have_started(&self, _: &IdempotencyKey) -> Option<bool> {
        None
    }
}

struct Record {
    state: KeyState,
    body_digest: u64,
    /// Set while a reply is retained.
    reply_sequence: Option<ResultSequence>,
    expires_at: Millis,
    /// Deliveries that wait for the original.
    waiters: Vec<DeliveryId>,
    /// Callers whose reply was confirmed, the newest last.
    answered_callers: VecDeque<u64>,
}

impl Record {
    fn is_unfinished(&self) -> bool {
        matches!(self.state, KeyState::Queued | KeyState::Running)
    }
}

/// How much is remembered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Capacity {
    /// Keys with their complete records.
    pub records: usize,
    /// Bytes of replies.
    pub reply_bytes: usize,
    /// Keys of which only a hash is left.
    pub retired_keys: usize,
}

/// Callers of one key that are remembered as answered.
const MAX_ANSWERED_CALLERS: usize = 4;

/// The keys of recent messages. At the capacity the oldest that are finished are retired to a hash; where only
/// unfinished ones are left, no more messages are to be consumed ([`IdempotencyRecords::is_full`]).
pub struct IdempotencyRecords {
    store: Box<dyn IdempotencyStore + Send>,
    retention: Millis,
    max_records: usize,
    records: BTreeMap<IdempotencyKey, Record>,
    /// How many of the records are unfinished.
    unfinished: usize,
    retired_keys: RetiredKeys,
    /// Keys by their expiry. All are retained for as long, so this is in order; a key whose expiry was put off since is
    /// here with an earlier one.
    expiries: VecDeque<(Millis, IdempotencyKey)>,
    replies: ResultBudget<IdempotencyKey>,
    body_hasher: BodyHasher,
}

impl MessageInfo {
    /// Whether the message was delivered to this server before, so that its caller may have its reply already. The caller
    /// of a new message asks again.
    fn was_here(&self) -> bool {
        self.redelivered || self.copy.is_some()
    }
}

/// What the records decide about a message.
enum Lookup {
    /// They decide.
    Decided(DuplicateDecision),
    /// They do not rule out a run here.
    Undecided { may_have_run_elsewhere: bool },
}

impl IdempotencyRecords {
    /// A key is remembered for `retention` after its message finished or is known not to have been started here; while it is
    /// queued or running it does not expire.
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

    /// The digest of a body.
    pub fn digest(&self, body: &[u8]) -> u64 {
        self.body_hasher.digest(body)
    }

    /// Whether there is no capacity for a further unfinished message.
    pub fn is_full(&self) -> bool {
        self.unfinished >= self.max_records
    }

    /// The number of keys that are remembered.
    pub fn len(&self) -> usize {
        self.records.len() + self.retired_keys.len()
    }

    /// Whether no key is remembered.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Bytes of retained replies.
    pub fn reply_bytes(&self) -> usize {
        self.replies.bytes()
    }

    /// Decides about a message; it waits under `id` where it has to await its original.
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
            return if may_have_run { DuplicateDecision::MayHaveRun } else { DuplicateDecision::Run };
        };
        let may_have_run_elsewhere = match self.look_up(id, key, &message) {
            Lookup::Decided(decision) => return decision,
            Lookup::Undecided { may_have_run_elsewhere } => may_have_run_elsewhere,
        };
        if message.has_effect && may_have_run_elsewhere {
            // Further duplicates are answered alike, unless a copy from here is still to come.
            if !self.records.contains_key(key) {
                self.start_record(key, message.body_digest);
                self.finish(key, KeyState::Finished(RunResult::Unknown), now);
            }
            return DuplicateDecision::MayHaveRun;
        }
        self.discard_reply(key);
        self.start_record(key, message.body_digest);
        DuplicateDecision::Run
    }

    /// Looks up the key of a message. Another server may have run any message that is redelivered, except one that was
    /// last here.
    fn look_up(&mut self, id: DeliveryId, key: &IdempotencyKey, message: &MessageInfo) -> Lookup {
        let Some(record) = self.records.get_mut(key) else { return self.look_up_retired(key, message) };
        let is_same_body = record.body_digest == message.body_digest;
        let may_have_run_elsewhere = match record.state.clone() {
            KeyState::Queued | KeyState::Running | KeyState::Finished(_) if !is_same_body => {
                return Lookup::Decided(DuplicateDecision::BodyMismatch);
            }
            KeyState::Queued | KeyState::Running => {
                record.waiters.push(id);
                return Lookup::Decided(DuplicateDecision::AwaitOriginal);
            }
            KeyState::Finished(result) if message.has_effect || matches!(result, RunResult::Served(_)) => {
                let is_answered =
                    message.was_here() && record.answered_callers.contains(&message.caller_digest);
                return Lookup::Decided(DuplicateDecision::AnswerFromRecord { result, is_answered });
            }
            KeyState::Finished(_) => false,
            KeyState::Republished { from, is_confirmed: true, .. }
                if message.redelivered && message.copy == from =>
            {
                return Lookup::Decided(DuplicateDecision::Superseded);
            }
            KeyState::Republished { .. } => message.redelivered,
            KeyState::NotStarted(last) => message.redelivered && message.copy != last,
        };
        Lookup::Undecided { may_have_run_elsewhere }
    }

    /// Looks up a key that has no record any more.
    fn look_up_retired(&self, key: &IdempotencyKey, message: &MessageInfo) -> Lookup {
        if let Some(was_answered) = self.retired_keys.get(key).filter(|_| message.has_effect) {
            let is_answered = message.was_here() && was_answered;
            let result = RunResult::ReplyDiscarded;
            return Lookup::Decided(DuplicateDecision::AnswerFromRecord { result, is_answered });
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
            answered_callers: VecDeque::new(),
        };
        self.records.insert(key.clone(), record);
    }

    /// A message that was never started is being republished.
    pub fn republishing(&mut self, key: &IdempotencyKey, from: Option<CopyId>, to: CopyId) {
        self.update_republished(key, |state| {
            *state = KeyState::Republished { from, to, is_confirmed: false };
        });
    }

    /// Whether the copy is at the broker, or certainly is not.
    pub fn republished(&mut self, key: &IdempotencyKey, copy: CopyId, is_confirmed: bool) {
        self.update_republished(key, |state| {
            if let KeyState::Republished { from, to, .. } = *state
                && to == copy
            {
                *state = if is_confirmed {
                    KeyState::Republished { from, to, is_confirmed: true }
                } else {
                    KeyState::NotStarted(from)
                };
            }
        });
    }

    fn update_republished(&mut self, key: &IdempotencyKey, update: impl FnOnce(&mut KeyState)) {
        let is_not_started = |record: &&mut Record| {
            matches!(record.state, KeyState::NotStarted(_) | KeyState::Republished { .. })
        };
        if let Some(record) = self.records.get_mut(key).filter(is_not_started) {
            update(&mut record.state);
        }
    }

    /// The run of a key may have started.
    pub fn run_started(&mut self, key: &IdempotencyKey) {
        if let Some(record) = self.records.get_mut(key) {
            record.state = KeyState::Running;
        }
    }

    /// A message is no longer here and was never started, as this copy. Returns the deliveries that waited for it.
    pub fn not_started(
        &mut self,
        key: &IdempotencyKey,
        copy: Option<CopyId>,
        now: Millis,
    ) -> Vec<DeliveryId> {
        self.finish(key, KeyState::NotStarted(copy), now)
    }

    /// The run of a key has ended. Returns the deliveries that waited for it.
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

    /// Retires the oldest finished keys: only that they have run is remembered. One that has not is forgotten: if its
    /// message is redelivered, it counts as one that may have run elsewhere.
    fn retire_oldest(&mut self, now: Millis) {
        while self.records.len() > self.max_records {
            let Some((expires_at, key)) = self.expiries.pop_front() else { return };
            if self.records.get(&key).is_none_or(|record| record.expires_at != expires_at) {
                continue;
            }
            self.discard_reply(&key);
            let Some(record) = self.records.remove(&key) else { continue };
            if matches!(record.state, KeyState::Finished(_)) {
                self.retired_keys.insert(&key, !record.answered_callers.is_empty(), now);
            }
        }
    }

    /// The reply to this caller was confirmed.
    pub fn caller_answered(&mut self, key: &IdempotencyKey, caller_digest: u64) {
        let is_new = |record: &&mut Record| !record.answered_callers.contains(&caller_digest);
        let Some(record) = self.records.get_mut(key).filter(is_new) else { return };
        if record.answered_callers.len() >= MAX_ANSWERED_CALLERS {
            record.answered_callers.pop_front();
        }
        record.answered_callers.push_back(caller_digest);
    }

    /// A delivery no longer waits.
    pub fn leave(&mut self, key: &IdempotencyKey, id: DeliveryId) {
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

    /// Forgets what has expired.
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
