//! What makes two messages the same, and what a repeat is given: the decision that keeps archive from running twice.
//!
//! A broker says "redelivered" of a message that it gave to somebody before. That is a hint: it may have been us, in
//! this connection or an earlier one, or another process, and it may never have been begun. What this process knows
//! of the key counts first; where it knows nothing, work with an effect that may have been begun is not run.

use std::collections::{BTreeMap, VecDeque};
use std::hash::{BuildHasher, RandomState};
use std::sync::Arc;

use crate::retired_keys::RetiredKeys;

#[cfg(test)]
mod tests;

pub type DeliveryId = u64;
/// Tells messages of one key apart that we have published anew; the sender's own has none.
pub type CopyId = u64;

/// A class, whose message it is, and what its sender names it by. The same text of another tenant is another key, so that
/// no result of one customer reaches another.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct IdempotencyKey {
    pub class: usize,
    pub tenant: usize,
    pub text: String,
}

/// How the run of a key ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RunResult {
    Served(Arc<[u8]>),
    /// It was served; its reply is no longer kept.
    ReplyDiscarded,
    /// It failed, perhaps after it took effect.
    Failed,
    /// It may have been run where nobody here knows of.
    Unknown,
}

#[derive(Clone, Debug, PartialEq, Eq)]
enum KeyState {
    /// In hand, nothing begun; further deliveries of it wait with the first.
    Queued,
    Running,
    Finished(RunResult),
    /// It was here, as this instance, and was never begun.
    NotStarted(Option<CopyId>),
    /// It was never begun here and was published anew: back to its queue, or to where dead letters go. Until the broker
    /// has confirmed that, there may be a second message or not.
    Republished {
        from: Option<CopyId>,
        to: CopyId,
        is_confirmed: bool,
    },
}

/// What a message tells of itself beside its key.
#[derive(Clone, Copy, Debug, Default)]
pub struct MessageInfo {
    /// Running it twice is one time too many.
    pub has_effect: bool,
    /// The broker gave it to somebody before.
    pub redelivered: bool,
    /// Which of those of its key it is, where we have published it.
    pub copy: Option<CopyId>,
    /// Names its caller.
    pub caller_digest: u64,
    /// Tells its body from others (`Identities::digest`).
    pub body_digest: u64,
}

/// What is to be done with a message that has come.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum DuplicateDecision {
    Run,
    /// It waits for the one that is in hand, and is answered with it.
    AwaitOriginal,
    /// It has run: it is answered from what is known, and `told` says whether its own caller has heard already.
    AnswerFromRecord {
        result: RunResult,
        is_answered: bool,
    },
    /// Another message was published in its place, and confirmed: only the word to the broker is missing.
    Superseded,
    /// It may have run where nobody here knows of.
    MayHaveRun,
    /// Its key is that of another message, which runs or has run: neither is it run, nor is it given that one's result.
    BodyMismatch,
}

/// What is known of keys from before this process, or beside it. The seam for a store that outlasts a restart.
pub trait IdempotencyStore {
    /// Whether a run of this key may have begun; none where that is not known.
    fn may_have_started(&self, key: &IdempotencyKey) -> Option<bool>;
}

/// Nothing is known of the past.
pub struct NoHistory;

impl IdempotencyStore for NoHistory {
    fn may_have_started(&self, _: &IdempotencyKey) -> Option<bool> {
        None
    }
}

struct Record {
    state: KeyState,
    /// The digest of its body.
    body_digest: u64,
    expires_at: f64,
    waiters: Vec<DeliveryId>,
    /// Marks of deliveries whose caller's reply has been confirmed, the newest last.
    answered_callers: VecDeque<u64>,
}

/// How much is remembered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Capacity {
    /// Keys with all that is known of them.
    pub records: usize,
    /// Bytes of their replies.
    pub reply_bytes: usize,
    /// Keys of which only a hash is left.
    pub retired_keys: usize,
}

/// Callers of one key that are remembered as told.
const MAX_ANSWERED_CALLERS: usize = 4;

/// All keys that were in hand of late. Where there is no room for more, the oldest that are not in hand are kept as a
/// hash alone; where only those in hand are left, nothing more is to be taken (`is_full`).
pub struct IdempotencyRecords {
    store: Box<dyn IdempotencyStore + Send>,
    retention: f64,
    max_records: usize,
    max_reply_bytes: usize,
    records: BTreeMap<IdempotencyKey, Record>,
    /// How many of them are held or begun.
    unfinished: usize,
    retired_keys: RetiredKeys,
    /// Keys by the time at which they may be forgotten. All are remembered for as long, so that this is in order; a
    /// key whose time was put off since stands here with an older one.
    expiries: VecDeque<(f64, IdempotencyKey)>,
    /// Keys whose reply is kept, the oldest first, and its bytes.
    reply_order: VecDeque<IdempotencyKey>,
    reply_bytes: usize,
    /// Its seed is new with each start, so that nobody can make two bodies look the same.
    hasher: RandomState,
}

impl IdempotencyRecords {
    /// Keys are remembered for `remember` ms after their last change.
    pub fn new(
        retention: f64,
        room: Capacity,
        store: Box<dyn IdempotencyStore + Send>,
    ) -> IdempotencyRecords {
        IdempotencyRecords {
            store,
            retention,
            max_records: room.records,
            max_reply_bytes: room.reply_bytes,
            records: BTreeMap::new(),
            unfinished: 0,
            retired_keys: RetiredKeys::new(retention, room.retired_keys),
            expiries: VecDeque::new(),
            reply_order: VecDeque::new(),
            reply_bytes: 0,
            hasher: RandomState::new(),
        }
    }

    /// Tells this body from others.
    pub fn digest(&self, body: &[u8]) -> u64 {
        self.hasher.hash_one(body)
    }

    pub fn is_full(&self) -> bool {
        self.unfinished >= self.max_records
    }

    pub fn len(&self) -> usize {
        self.records.len() + self.retired_keys.len()
    }

    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Bytes of kept replies.
    pub fn reply_bytes(&self) -> usize {
        self.reply_bytes
    }

    /// A message has come, to be waited with under `id` where it joins another.
    pub fn decide(
        &mut self,
        id: DeliveryId,
        key: Option<&IdempotencyKey>,
        hints: MessageInfo,
        now: f64,
    ) -> DuplicateDecision {
        let MessageInfo {
            has_effect: effect,
            redelivered,
            copy: instance,
            caller_digest: mark,
            body_digest: body,
        } = hints;
        self.expire(now);
        let Some(key) = key else {
            return if effect && redelivered {
                DuplicateDecision::MayHaveRun
            } else {
                DuplicateDecision::Run
            };
        };
        // Another server may have had any message that is redelivered, except one that was last here.
        let elsewhere = match self.records.get_mut(key).map(|record| (record.state.clone(), record)) {
            Some((KeyState::Queued | KeyState::Running | KeyState::Finished(_), record))
                if record.body_digest != body =>
            {
                return DuplicateDecision::BodyMismatch;
            }
            Some((KeyState::Queued | KeyState::Running, record)) => {
                record.waiters.push(id);
                return DuplicateDecision::AwaitOriginal;
            }
            Some((KeyState::Finished(ended), record)) if effect || matches!(ended, RunResult::Served(_)) => {
                // A message that was here before may be one whose caller has heard; a new one asks anew.
                let told = (redelivered || instance.is_some()) && record.answered_callers.contains(&mark);
                return DuplicateDecision::AnswerFromRecord { result: ended, is_answered: told };
            }
            Some((KeyState::Finished(_), _)) => false,
            Some((KeyState::Republished { from, is_confirmed: true, .. }, _))
                if redelivered && instance == from =>
            {
                return DuplicateDecision::Superseded;
            }
            Some((KeyState::Republished { .. }, _)) => redelivered,
            Some((KeyState::NotStarted(last), _)) => redelivered && instance != last,
            None => match self.retired_keys.get(key).filter(|_| effect) {
                Some(heard) => {
                    let told = (redelivered || instance.is_some()) && heard;
                    return DuplicateDecision::AnswerFromRecord {
                        result: RunResult::ReplyDiscarded,
                        is_answered: told,
                    };
                }
                None => redelivered && self.store.may_have_started(key) != Some(false),
            },
        };
        if effect && elsewhere {
            // Whoever asks again is told the same, unless a message of ours is still to come.
            if !self.records.contains_key(key) {
                self.start_record(key, body);
                self.finish(key, KeyState::Finished(RunResult::Unknown), now);
            }
            return DuplicateDecision::MayHaveRun;
        }
        self.discard_reply(key);
        self.start_record(key, body);
        DuplicateDecision::Run
    }

    fn start_record(&mut self, key: &IdempotencyKey, body: u64) {
        let (waiting, told) = (Vec::new(), VecDeque::new());
        self.unfinished += 1;
        let record = Record {
            state: KeyState::Queued,
            body_digest: body,
            expires_at: f64::INFINITY,
            waiters: waiting,
            answered_callers: told,
        };
        self.records.insert(key.clone(), record);
    }

    /// A message that was never begun is being published anew.
    pub fn republishing(&mut self, key: &IdempotencyKey, from: Option<CopyId>, to: CopyId) {
        self.update_republished(key, |state| {
            *state = KeyState::Republished { from, to, is_confirmed: false }
        });
    }

    /// What came of that: the new message is at the broker, or it certainly is not.
    pub fn republished(&mut self, key: &IdempotencyKey, instance: CopyId, taken: bool) {
        self.update_republished(key, |state| {
            if let KeyState::Republished { from, to, .. } = *state
                && to == instance
            {
                *state = match taken {
                    true => KeyState::Republished { from, to, is_confirmed: true },
                    false => KeyState::NotStarted(from),
                };
            }
        });
    }

    fn update_republished(&mut self, key: &IdempotencyKey, change: impl FnOnce(&mut KeyState)) {
        let open = |record: &&mut Record| {
            matches!(record.state, KeyState::NotStarted(_) | KeyState::Republished { .. })
        };
        if let Some(record) = self.records.get_mut(key).filter(open) {
            change(&mut record.state);
        }
    }

    /// Its run may have begun from now on.
    pub fn run_started(&mut self, key: &IdempotencyKey) {
        if let Some(record) = self.records.get_mut(key) {
            record.state = KeyState::Running;
        }
    }

    /// It is not in hand any more and was never begun, as this instance. Those that waited for it are the answer.
    pub fn not_started(
        &mut self,
        key: &IdempotencyKey,
        instance: Option<CopyId>,
        now: f64,
    ) -> Vec<DeliveryId> {
        self.finish(key, KeyState::NotStarted(instance), now)
    }

    /// Its run is over. Those that waited for it are the answer.
    pub fn run_finished(&mut self, key: &IdempotencyKey, ended: RunResult, now: f64) -> Vec<DeliveryId> {
        if let RunResult::Served(reply) = &ended {
            self.reply_bytes += reply.len();
            self.reply_order.push_back(key.clone());
        }
        let waiting = self.finish(key, KeyState::Finished(ended), now);
        while self.reply_bytes > self.max_reply_bytes {
            let Some(oldest) = self.reply_order.front().cloned() else { break };
            self.discard_reply(&oldest);
        }
        waiting
    }

    fn finish(&mut self, key: &IdempotencyKey, state: KeyState, now: f64) -> Vec<DeliveryId> {
        let Some(record) = self.records.get_mut(key) else { return Vec::new() };
        self.unfinished -= usize::from(matches!(record.state, KeyState::Queued | KeyState::Running));
        (record.state, record.expires_at) = (state, now + self.retention);
        self.expiries.push_back((record.expires_at, key.clone()));
        let waiting = std::mem::take(&mut record.waiters);
        self.retire_oldest(now);
        waiting
    }

    /// Of the oldest that are not in hand only that they have run is kept. One that has not is forgotten: should it
    /// come again, it is marked so, and nobody knows of it.
    fn retire_oldest(&mut self, now: f64) {
        while self.records.len() > self.max_records {
            let Some((until, key)) = self.expiries.pop_front() else { return };
            if self.records.get(&key).is_none_or(|record| record.expires_at != until) {
                continue;
            }
            self.discard_reply(&key);
            let Some(record) = self.records.remove(&key) else { continue };
            if matches!(record.state, KeyState::Finished(_)) {
                self.retired_keys.insert(&key, !record.answered_callers.is_empty(), now);
            }
        }
    }

    /// The reply to this caller has been confirmed.
    pub fn caller_answered(&mut self, key: &IdempotencyKey, mark: u64) {
        let Some(record) = self.records.get_mut(key).filter(|r| !r.answered_callers.contains(&mark)) else {
            return;
        };
        if record.answered_callers.len() >= MAX_ANSWERED_CALLERS {
            record.answered_callers.pop_front();
        }
        record.answered_callers.push_back(mark);
    }

    /// A delivery does not wait any more.
    pub fn leave(&mut self, key: &IdempotencyKey, id: DeliveryId) {
        if let Some(record) = self.records.get_mut(key) {
            record.waiters.retain(|other| *other != id);
        }
    }

    fn discard_reply(&mut self, key: &IdempotencyKey) {
        let Some(record) = self.records.get_mut(key) else { return };
        if let KeyState::Finished(RunResult::Served(reply)) = &record.state {
            self.reply_bytes -= reply.len();
            record.state = KeyState::Finished(RunResult::ReplyDiscarded);
            if let Some(at) = self.reply_order.iter().position(|other| other == key) {
                self.reply_order.remove(at);
            }
        }
    }

    /// Forgets what is past its time.
    pub fn expire(&mut self, now: f64) {
        self.retired_keys.expire(now);
        while self.expiries.front().is_some_and(|(until, _)| *until <= now) {
            let Some((_, key)) = self.expiries.pop_front() else { return };
            let over = |record: &Record| {
                record.expires_at <= now && !matches!(record.state, KeyState::Queued | KeyState::Running)
            };
            if self.records.get(&key).is_some_and(over) {
                self.discard_reply(&key);
                self.records.remove(&key);
            }
        }
    }
}
