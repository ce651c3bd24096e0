use super::*;
use crate::failure_reason::FailureReason;
use crate::remaining_steps::MAX_CALLERS;
use proptest::prelude::*;

const MAY_HAVE_RUN: DuplicateDecision = DuplicateDecision::MayHaveRun { remaining: RemainingSteps::ALL };

fn key(text: &str) -> IdempotencyKey {
    IdempotencyKey { class: 0, tenant: 0, text: text.into() }
}

fn message_info(has_effect: bool, redelivered: bool, caller_digest: u64) -> MessageInfo {
    let identity = MessageIdentity { copy: None, caller_digest };
    MessageInfo { has_effect, redelivered, identity, body_digest: 0 }
}

fn capacity(records: usize, replies: usize) -> Capacity {
    Capacity { records, reply_bytes: replies, retired_keys: 1_000 }
}

fn records_without_history() -> IdempotencyRecords {
    IdempotencyRecords::new(1_000.0, capacity(100, 64), Box::new(NoHistory))
}

#[test]
fn keys_of_different_tenants_are_distinct() {
    let mut records = records_without_history();
    let (ours, theirs) = (key("a"), IdempotencyKey { tenant: 1, ..key("a") });
    assert_eq!(records.decide(1, Some(&ours), message_info(true, false, 0), 0.0), DuplicateDecision::Run);
    assert_eq!(records.decide(2, Some(&theirs), message_info(true, false, 0), 0.0), DuplicateDecision::Run);
    records.run_started(&ours);
    records.run_finished(&ours, RunResult::Served(b"ours".as_slice().into()), 1.0);
    // A duplicate of the other tenant waits for the run of that tenant.
    assert_eq!(
        records.decide(3, Some(&theirs), message_info(true, false, 0), 2.0),
        DuplicateDecision::AwaitOriginal
    );
    assert_eq!(records.run_finished(&theirs, RunResult::Failed, 3.0), [3]);
}

#[test]
fn a_different_body_under_a_known_key_is_rejected() {
    let mut records = records_without_history();
    let a = key("a");
    let with_body = |body_digest| MessageInfo { body_digest, ..message_info(true, false, 0) };
    assert_ne!(records.digest(b"one"), records.digest(b"two"));
    assert_eq!(records.decide(1, Some(&a), with_body(1), 0.0), DuplicateDecision::Run);
    assert_eq!(records.decide(2, Some(&a), with_body(2), 0.0), DuplicateDecision::BodyMismatch);
    records.run_started(&a);
    assert_eq!(records.decide(3, Some(&a), with_body(2), 0.0), DuplicateDecision::BodyMismatch);
    // Messages with a different body are not among the waiting duplicates.
    assert_eq!(records.run_finished(&a, RunResult::Failed, 1.0), [0; 0]);
    assert_eq!(records.decide(4, Some(&a), with_body(2), 2.0), DuplicateDecision::BodyMismatch);
    // A key whose run was not started can be used with a different body.
    let b = key("b");
    assert_eq!(records.decide(5, Some(&b), with_body(1), 3.0), DuplicateDecision::Run);
    records.not_started(&b, None, 4.0);
    assert_eq!(records.decide(6, Some(&b), with_body(2), 5.0), DuplicateDecision::Run);
}

#[test]
fn an_unknown_redelivery_runs_only_without_an_effect() {
    let mut records = records_without_history();
    let a = key("a");
    assert_eq!(records.decide(1, Some(&a), message_info(true, true, 0), 0.0), MAY_HAVE_RUN);
    assert_eq!(records.decide(2, None, message_info(true, true, 0), 0.0), MAY_HAVE_RUN);
    assert_eq!(records.decide(3, None, message_info(true, false, 0), 0.0), DuplicateDecision::Run);
    assert_eq!(records.decide(4, None, message_info(false, true, 0), 0.0), DuplicateDecision::Run);
    assert_eq!(records.decide(5, Some(&key("b")), message_info(false, true, 0), 0.0), DuplicateDecision::Run);
    // A duplicate that is not redelivered gets the same result.
    let unknown =
        DuplicateDecision::ReplyFromRecord { result: RunResult::Unknown, remaining: RemainingSteps::ALL };
    assert_eq!(records.decide(6, Some(&a), message_info(true, false, 0), 0.0), unknown);
}

#[test]
fn a_redelivery_runs_if_the_store_rules_out_a_run() {
    struct Store;
    impl IdempotencyStore for Store {
        fn may_have_started(&self, key: &IdempotencyKey) -> Option<bool> {
            Some(key.text == "started")
        }
    }
    let mut records = IdempotencyRecords::new(1.0, capacity(10, 10), Box::new(Store));
    assert_eq!(records.decide(1, Some(&key("started")), message_info(true, true, 0), 0.0), MAY_HAVE_RUN);
    assert_eq!(
        records.decide(2, Some(&key("not started")), message_info(true, true, 0), 0.0),
        DuplicateDecision::Run
    );
}

#[test]
fn duplicates_wait_for_the_run_and_get_its_result() {
    let mut records = records_without_history();
    let a = key("a");
    assert_eq!(records.decide(1, Some(&a), message_info(true, false, 7), 0.0), DuplicateDecision::Run);
    assert_eq!(
        records.decide(2, Some(&a), message_info(true, true, 7), 0.0),
        DuplicateDecision::AwaitOriginal
    );
    records.run_started(&a);
    assert_eq!(
        records.decide(3, Some(&a), message_info(true, false, 8), 0.0),
        DuplicateDecision::AwaitOriginal
    );
    records.remove_waiter(&a, 2);
    assert_eq!(records.run_finished(&a, RunResult::Served(b"r"[..].into()), 1.0), [3]);
    let from_record = |remaining| DuplicateDecision::ReplyFromRecord {
        result: RunResult::Served(b"r"[..].into()),
        remaining,
    };
    assert_eq!(
        records.decide(4, Some(&a), message_info(true, true, 7), 1.0),
        from_record(RemainingSteps::ALL)
    );
    records.steps_completed(&a, 7, RemainingSteps::NONE);
    assert_eq!(
        records.decide(5, Some(&a), message_info(true, true, 7), 1.0),
        from_record(RemainingSteps::NONE)
    );
    assert_eq!(
        records.decide(6, Some(&a), message_info(true, true, 8), 1.0),
        from_record(RemainingSteps::ALL),
        "the reply to another caller of the key is not confirmed"
    );
    assert_eq!(
        records.decide(7, Some(&a), message_info(true, false, 7), 1.0),
        from_record(RemainingSteps::ALL),
        "a new message of the same caller gets a reply again"
    );
    let identity = MessageIdentity { copy: Some(1), caller_digest: 7 };
    let copied = MessageInfo { identity, ..message_info(true, false, 7) };
    assert_eq!(
        records.decide(8, Some(&a), copied, 1.0),
        from_record(RemainingSteps::NONE),
        "a requeued copy is not a new request"
    );
}

#[test]
fn a_failure_without_an_effect_is_repeated_only_for_a_redelivery_of_its_message() {
    let mut records = records_without_history();
    let a = key("a");
    records.decide(1, Some(&a), message_info(false, false, 7), 0.0);
    records.run_finished(&a, RunResult::Failed, 0.0);
    let remaining = RemainingSteps { reply: false, dead_letter: true };
    records.steps_completed(&a, 7, remaining);
    assert_eq!(
        records.decide(2, Some(&a), message_info(false, true, 7), 1.0),
        DuplicateDecision::ReplyFromRecord { result: RunResult::Failed, remaining },
        "its caller has the failure as its reply"
    );
    assert_eq!(records.decide(3, Some(&a), message_info(false, false, 7), 1.0), DuplicateDecision::Run);
}

#[test]
fn a_message_that_was_not_started_runs_when_redelivered() {
    let mut records = records_without_history();
    let a = key("a");
    records.decide(1, Some(&a), message_info(true, false, 0), 0.0);
    records.decide(2, Some(&a), message_info(true, false, 0), 0.0);
    assert_eq!(records.not_started(&a, None, 0.0), [2]);
    assert_eq!(records.decide(3, Some(&a), message_info(true, true, 0), 1.0), DuplicateDecision::Run);
}

#[test]
fn a_failure_before_the_run_is_repeated_only_for_a_redelivery_of_its_message() {
    let (a, failure) = (key("a"), FailureBeforeRun::from(FailureReason::RETRIES_EXHAUSTED));
    let ours = MessageIdentity { copy: None, caller_digest: 7 };
    let failed_records = || {
        let mut records = records_without_history();
        records.decide(1, Some(&a), message_info(true, false, 7), 0.0);
        records.not_started(&a, None, 0.0);
        records.failed_before_run(&a, ours, failure);
        records
    };
    let decide = |info| failed_records().decide(2, Some(&a), info, 1.0);
    let redelivered = message_info(true, true, 7);
    let repeated = |remaining| DuplicateDecision::RepeatFailure { failure, remaining };
    assert_eq!(decide(redelivered), repeated(RemainingSteps::ALL));
    assert_eq!(decide(message_info(true, false, 7)), DuplicateDecision::Run, "a new message");
    assert_eq!(
        decide(MessageInfo { body_digest: 1, ..message_info(true, false, 7) }),
        DuplicateDecision::Run
    );
    assert_eq!(
        decide(MessageInfo { identity: MessageIdentity { copy: Some(5), ..ours }, ..redelivered }),
        MAY_HAVE_RUN,
        "another copy may have run in another process"
    );
    let mut records = failed_records();
    records.steps_completed(&a, 7, RemainingSteps::NONE);
    assert_eq!(records.decide(2, Some(&a), redelivered, 1.0), repeated(RemainingSteps::NONE));
    // A copy of another message with the key may still run.
    let mut records = failed_records();
    records.republishing(&a, ours, 77);
    records.failed_before_run(&a, ours, failure);
    assert_eq!(records.decide(2, Some(&a), redelivered, 1.0), MAY_HAVE_RUN);
}

#[test]
fn only_one_of_a_message_and_its_republished_copy_runs() {
    let as_copy = |copy, redelivered| MessageInfo {
        identity: MessageIdentity { copy, caller_digest: 0 },
        ..message_info(true, redelivered, 0)
    };
    let republished = |is_confirmed: bool| {
        let mut records = records_without_history();
        records.decide(1, Some(&key("a")), as_copy(None, false), 0.0);
        records.not_started(&key("a"), None, 0.0);
        records.republishing(&key("a"), MessageIdentity::default(), 77);
        if is_confirmed {
            records.republished(&key("a"), 77, true);
        }
        records
    };
    // The original is redelivered: a confirmed copy replaces it, and an unconfirmed copy may exist and have run.
    assert_eq!(
        republished(true).decide(2, Some(&key("a")), as_copy(None, true), 1.0),
        DuplicateDecision::Superseded
    );
    assert_eq!(republished(false).decide(2, Some(&key("a")), as_copy(None, true), 1.0), MAY_HAVE_RUN);
    // The copy runs, unless it is redelivered and so may have run in another process.
    for is_confirmed in [true, false] {
        let decide = |redelivered| {
            republished(is_confirmed).decide(2, Some(&key("a")), as_copy(Some(77), redelivered), 1.0)
        };
        assert_eq!((decide(false), decide(true)), (DuplicateDecision::Run, MAY_HAVE_RUN));
    }
    // A new message of the sender with the same key is neither the original nor the copy, and runs.
    assert_eq!(
        republished(true).decide(2, Some(&key("a")), as_copy(None, false), 1.0),
        DuplicateDecision::Run
    );
    // A copy that was never delivered to this server may have run in another process.
    let mut records = records_without_history();
    records.decide(1, Some(&key("a")), as_copy(None, false), 0.0);
    records.not_started(&key("a"), None, 0.0);
    assert_eq!(records.decide(2, Some(&key("a")), as_copy(Some(5), true), 1.0), MAY_HAVE_RUN);
    // If the broker did not accept the copy, the original runs when it is redelivered.
    let mut records = republished(false);
    records.republished(&key("a"), 77, false);
    assert_eq!(records.decide(2, Some(&key("a")), as_copy(None, true), 1.0), DuplicateDecision::Run);
}

/// Guards against a message that is acknowledged because the message of another caller of its key was republished.
#[test]
fn a_copy_supersedes_only_the_message_of_its_caller() {
    let mut records = records_without_history();
    let a = key("a");
    records.decide(1, Some(&a), message_info(true, false, 1), 0.0);
    records.not_started(&a, None, 0.0);
    records.republishing(&a, MessageIdentity { copy: None, caller_digest: 1 }, 77);
    records.republished(&a, 77, true);
    assert_eq!(
        records.decide(2, Some(&a), message_info(true, true, 2), 1.0),
        MAY_HAVE_RUN,
        "the copy of the other message may have run"
    );
    assert_eq!(records.decide(3, Some(&a), message_info(true, true, 1), 1.0), DuplicateDecision::Superseded);
}

#[test]
fn retained_replies_are_bounded_and_discarded_ones_still_count_as_run() {
    let mut records = records_without_history();
    for text in ["a", "b", "c"] {
        records.decide(1, Some(&key(text)), message_info(true, false, 0), 0.0);
        records.run_finished(&key(text), RunResult::Served(vec![0; 30].into()), 0.0);
    }
    assert!(records.reply_bytes() <= 64);
    let discarded = DuplicateDecision::ReplyFromRecord {
        result: RunResult::ReplyDiscarded,
        remaining: RemainingSteps::ALL,
    };
    assert_eq!(records.decide(2, Some(&key("a")), message_info(true, true, 0), 1.0), discarded);
    records.expire(2_000.0);
    assert!(records.is_empty() && records.reply_bytes() == 0 && records.replies.is_empty());
}

#[test]
fn the_last_replied_callers_of_a_key_are_recorded() {
    let mut records = records_without_history();
    let a = key("a");
    records.decide(1, Some(&a), message_info(true, false, 0), 0.0);
    records.run_finished(&a, RunResult::Served(b"r"[..].into()), 0.0);
    let callers = MAX_CALLERS as u64 + 1;
    for caller in (1..=callers).chain([callers]) {
        records.steps_completed(&a, caller, RemainingSteps::NONE);
    }
    let mut is_completed = |caller| {
        let decision = records.decide(2, Some(&a), message_info(true, true, caller), 1.0);
        matches!(decision, DuplicateDecision::ReplyFromRecord { remaining: RemainingSteps::NONE, .. })
    };
    assert!(!is_completed(1) && (2..=callers).all(is_completed));
}

#[test]
fn above_the_capacity_only_keys_that_have_run_are_retained() {
    let mut records = IdempotencyRecords::new(1_000.0, capacity(2, 64), Box::new(NoHistory));
    let redelivered = message_info(true, true, 0);
    for text in ["ran", "not started", "open"] {
        assert!(!records.is_full());
        records.decide(1, Some(&key(text)), message_info(true, false, 0), 0.0);
        match text {
            "ran" => {
                records.run_finished(&key(text), RunResult::Served(b"r"[..].into()), 0.0);
                records.steps_completed(&key(text), 5, RemainingSteps::NONE);
            }
            "not started" => drop(records.not_started(&key(text), None, 0.0)),
            _ => {}
        }
    }
    records.decide(1, Some(&key("open too")), message_info(true, false, 0), 0.0);
    assert!(records.is_full(), "2 records are unfinished, which is the capacity");
    records.run_finished(&key("open too"), RunResult::Failed, 0.0);
    assert!(!records.is_full());
    let discarded =
        |remaining| DuplicateDecision::ReplyFromRecord { result: RunResult::ReplyDiscarded, remaining };
    let mut decide = |info| records.decide(2, Some(&key("ran")), info, 1.0);
    assert_eq!(decide(message_info(true, true, 5)), discarded(RemainingSteps::NONE));
    assert_eq!(
        decide(message_info(true, false, 5)),
        discarded(RemainingSteps::ALL),
        "a new message gets a reply again"
    );
    assert_eq!(decide(redelivered), discarded(RemainingSteps::ALL), "another caller has no reply yet");
    assert_eq!(
        records.decide(2, Some(&key("not started")), redelivered, 1.0),
        MAY_HAVE_RUN,
        "it may have run in another process meanwhile"
    );
    assert_eq!(records.decide(2, Some(&key("open")), redelivered, 1.0), DuplicateDecision::AwaitOriginal);
}

proptest! {
    /// Within the retention time, a key with an external effect never runs again once it may have started.
    #[test]
    fn nothing_with_an_effect_runs_twice(records in 1usize..5, steps in proptest::collection::vec((0u8..5, 0usize..3, any::<bool>()), 1..150)) {
        let mut records = IdempotencyRecords::new(1e9, capacity(records, 50), Box::new(NoHistory));
        // Stage of the run of each key: 0 not started, 1 running, 2 finished.
        let (mut run_stage, mut is_submitted) = ([0; 3], [false; 3]);
        for (at, (kind, which, redelivered)) in steps.into_iter().enumerate() {
            let key = key(&which.to_string());
            match kind {
                0 | 1 => {
                    let decision = records.decide(at as u64, Some(&key), message_info(true, redelivered, 0), at as f64);
                    let runs = decision == DuplicateDecision::Run;
                    prop_assert!(!runs || run_stage[which] == 0 && !is_submitted[which]);
                    is_submitted[which] |= runs;
                }
                2 if is_submitted[which] && run_stage[which] == 0 => { records.run_started(&key); run_stage[which] = 1; }
                3 if is_submitted[which] && run_stage[which] == 0 => { records.not_started(&key, None, at as f64); is_submitted[which] = false; }
                4 if run_stage[which] == 1 => { records.run_finished(&key, RunResult::Served(vec![1; 20].into()), at as f64); run_stage[which] = 2; }
                _ => {}
            }
            prop_assert!(records.reply_bytes() <= 50 + 20);
        }
    }
}
