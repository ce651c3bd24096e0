use super::*;
use proptest::prelude::*;

fn key(text: &str) -> IdempotencyKey {
    IdempotencyKey { class: 0, tenant: 0, text: text.into() }
}

fn message_info(has_effect: bool, redelivered: bool, caller_digest: u64) -> MessageInfo {
    MessageInfo { has_effect, redelivered, copy: None, caller_digest, body_digest: 0 }
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
    // The other tenant's run continues and waits for its own result.
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
    let other = |body| MessageInfo { body_digest: body, ..message_info(true, false, 0) };
    assert_ne!(records.digest(b"one"), records.digest(b"two"));
    assert_eq!(records.decide(1, Some(&a), other(1), 0.0), DuplicateDecision::Run);
    assert_eq!(records.decide(2, Some(&a), other(2), 0.0), DuplicateDecision::BodyMismatch);
    records.run_started(&a);
    assert_eq!(records.decide(3, Some(&a), other(2), 0.0), DuplicateDecision::BodyMismatch);
    // It does not join the waiting duplicates.
    assert_eq!(records.run_finished(&a, RunResult::Failed, 1.0), [0; 0]);
    assert_eq!(records.decide(4, Some(&a), other(2), 2.0), DuplicateDecision::BodyMismatch);
    // A run that never started does not block a different body.
    let b = key("b");
    assert_eq!(records.decide(5, Some(&b), other(1), 3.0), DuplicateDecision::Run);
    records.not_started(&b, None, 4.0);
    assert_eq!(records.decide(6, Some(&b), other(2), 5.0), DuplicateDecision::Run);
}

#[test]
fn an_unknown_redelivery_runs_only_without_an_external_effect() {
    let mut records = records_without_history();
    let a = key("a");
    assert_eq!(records.decide(1, Some(&a), message_info(true, true, 0), 0.0), DuplicateDecision::MayHaveRun);
    assert_eq!(records.decide(2, None, message_info(true, true, 0), 0.0), DuplicateDecision::MayHaveRun);
    assert_eq!(records.decide(3, None, message_info(true, false, 0), 0.0), DuplicateDecision::Run);
    assert_eq!(records.decide(4, None, message_info(false, true, 0), 0.0), DuplicateDecision::Run);
    assert_eq!(records.decide(5, Some(&key("b")), message_info(false, true, 0), 0.0), DuplicateDecision::Run);
    // A duplicate gets the same answer, although it is no redelivery.
    let unknown = DuplicateDecision::AnswerFromRecord { result: RunResult::Unknown, is_answered: false };
    assert_eq!(records.decide(6, Some(&a), message_info(true, false, 0), 0.0), unknown);
}

#[test]
fn a_store_with_history_lets_a_run_that_never_started_start() {
    struct Store;
    impl IdempotencyStore for Store {
        fn may_have_started(&self, key: &IdempotencyKey) -> Option<bool> {
            Some(key.text == "begun")
        }
    }
    let mut records = IdempotencyRecords::new(1.0, capacity(10, 10), Box::new(Store));
    assert_eq!(
        records.decide(1, Some(&key("begun")), message_info(true, true, 0), 0.0),
        DuplicateDecision::MayHaveRun
    );
    assert_eq!(
        records.decide(2, Some(&key("not")), message_info(true, true, 0), 0.0),
        DuplicateDecision::Run
    );
}

#[test]
fn repeats_join_what_is_open_and_get_what_has_run() {
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
    records.leave(&a, 2);
    assert_eq!(records.run_finished(&a, RunResult::Served(b"r"[..].into()), 1.0), [3]);
    let again = |told| DuplicateDecision::AnswerFromRecord {
        result: RunResult::Served(b"r"[..].into()),
        is_answered: told,
    };
    assert_eq!(records.decide(4, Some(&a), message_info(true, true, 7), 1.0), again(false));
    records.caller_answered(&a, 7);
    assert_eq!(records.decide(5, Some(&a), message_info(true, true, 7), 1.0), again(true));
    assert_eq!(
        records.decide(6, Some(&a), message_info(true, true, 8), 1.0),
        again(false),
        "another caller of the same key"
    );
    assert_eq!(
        records.decide(7, Some(&a), message_info(true, false, 7), 1.0),
        again(false),
        "who asks anew is told anew"
    );
    let copied = MessageInfo { copy: Some(1), ..message_info(true, false, 7) };
    assert_eq!(records.decide(8, Some(&a), copied, 1.0), again(true), "a requeued message is no new request");
}

#[test]
fn what_went_back_unbegun_may_run_when_it_comes_again() {
    let mut records = records_without_history();
    let a = key("a");
    records.decide(1, Some(&a), message_info(true, false, 0), 0.0);
    records.decide(2, Some(&a), message_info(true, false, 0), 0.0);
    assert_eq!(records.not_started(&a, None, 0.0), [2]);
    assert_eq!(records.decide(3, Some(&a), message_info(true, true, 0), 1.0), DuplicateDecision::Run);
}

#[test]
fn of_a_message_and_the_one_that_took_its_place_only_one_may_run() {
    let as_instance =
        |instance, redelivered| MessageInfo { copy: instance, ..message_info(true, redelivered, 0) };
    let moved = |confirmed: bool| {
        let mut records = records_without_history();
        records.decide(1, Some(&key("a")), as_instance(None, false), 0.0);
        records.not_started(&key("a"), None, 0.0);
        records.republishing(&key("a"), None, 77);
        if confirmed {
            records.republished(&key("a"), 77, true);
        }
        records
    };
    // The first copy is delivered again: its run was handed over, or its fate is unknown.
    assert_eq!(
        moved(true).decide(2, Some(&key("a")), as_instance(None, true), 1.0),
        DuplicateDecision::Superseded
    );
    assert_eq!(
        moved(false).decide(2, Some(&key("a")), as_instance(None, true), 1.0),
        DuplicateDecision::MayHaveRun
    );
    // The second copy runs, unless another server may have run it.
    for confirmed in [true, false] {
        let judge = |again| moved(confirmed).decide(2, Some(&key("a")), as_instance(Some(77), again), 1.0);
        assert_eq!((judge(false), judge(true)), (DuplicateDecision::Run, DuplicateDecision::MayHaveRun));
    }
    // A new message of the sender is neither.
    assert_eq!(moved(true).decide(2, Some(&key("a")), as_instance(None, false), 1.0), DuplicateDecision::Run);
    // A copy that this server never received may have run elsewhere.
    let mut records = records_without_history();
    records.decide(1, Some(&key("a")), as_instance(None, false), 0.0);
    records.not_started(&key("a"), None, 0.0);
    assert_eq!(
        records.decide(2, Some(&key("a")), as_instance(Some(5), true), 1.0),
        DuplicateDecision::MayHaveRun
    );
    // A copy that the broker certainly did not accept leaves the first one as it was.
    let mut records = moved(false);
    records.republished(&key("a"), 77, false);
    assert_eq!(records.decide(2, Some(&key("a")), as_instance(None, true), 1.0), DuplicateDecision::Run);
}

#[test]
fn replies_are_bounded_and_one_that_is_gone_is_still_known_to_have_run() {
    let mut records = records_without_history();
    for text in ["a", "b", "c"] {
        records.decide(1, Some(&key(text)), message_info(true, false, 0), 0.0);
        records.run_finished(&key(text), RunResult::Served(vec![0; 30].into()), 0.0);
    }
    assert!(records.reply_bytes() <= 64);
    let gone = DuplicateDecision::AnswerFromRecord { result: RunResult::ReplyDiscarded, is_answered: false };
    assert_eq!(records.decide(2, Some(&key("a")), message_info(true, true, 0), 1.0), gone);
    records.expire(2_000.0);
    assert!(records.is_empty() && records.reply_bytes() == 0 && records.replies.is_empty());
}

#[test]
fn the_last_answered_callers_of_a_key_are_remembered() {
    let mut records = records_without_history();
    let a = key("a");
    records.decide(1, Some(&a), message_info(true, false, 0), 0.0);
    records.run_finished(&a, RunResult::Served(b"r"[..].into()), 0.0);
    let callers = MAX_ANSWERED_CALLERS as u64 + 1;
    for caller in (1..=callers).chain([callers]) {
        records.caller_answered(&a, caller);
    }
    let mut is_answered = |caller| {
        let decision = records.decide(2, Some(&a), message_info(true, true, caller), 1.0);
        matches!(decision, DuplicateDecision::AnswerFromRecord { is_answered: true, .. })
    };
    assert!(!is_answered(1) && (2..=callers).all(is_answered));
}

#[test]
fn beyond_the_capacity_it_is_remembered_what_has_run_and_nothing_else() {
    let mut records = IdempotencyRecords::new(1_000.0, capacity(2, 64), Box::new(NoHistory));
    let redelivered = message_info(true, true, 0);
    for text in ["ran", "not started", "open"] {
        assert!(!records.is_full());
        records.decide(1, Some(&key(text)), message_info(true, false, 0), 0.0);
        match text {
            "ran" => {
                records.run_finished(&key(text), RunResult::Served(b"r"[..].into()), 0.0);
                records.caller_answered(&key(text), 0);
            }
            "not started" => drop(records.not_started(&key(text), None, 0.0)),
            _ => {}
        }
    }
    records.decide(1, Some(&key("open too")), message_info(true, false, 0), 0.0);
    assert!(records.is_full(), "as many are unfinished as may be remembered");
    records.run_finished(&key("open too"), RunResult::Failed, 0.0);
    assert!(!records.is_full());
    let discarded =
        |is_answered| DuplicateDecision::AnswerFromRecord { result: RunResult::ReplyDiscarded, is_answered };
    assert_eq!(records.decide(2, Some(&key("ran")), redelivered, 1.0), discarded(true));
    let new = message_info(true, false, 0);
    assert_eq!(records.decide(2, Some(&key("ran")), new, 1.0), discarded(false), "a new message asks again");
    assert_eq!(
        records.decide(2, Some(&key("not started")), redelivered, 1.0),
        DuplicateDecision::MayHaveRun,
        "it may have run elsewhere meanwhile"
    );
    assert_eq!(records.decide(2, Some(&key("open")), redelivered, 1.0), DuplicateDecision::AwaitOriginal);
}

proptest! {
    /// A key with an external effect never runs a second time within the retention time once it may have started.
    #[test]
    fn nothing_with_an_effect_runs_twice(records in 1usize..5, moves in proptest::collection::vec((0u8..5, 0usize..3, any::<bool>()), 1..150)) {
        let mut records = IdempotencyRecords::new(1e9, capacity(records, 50), Box::new(NoHistory));
        let (mut began, mut held) = ([0; 3], [false; 3]);
        for (at, (kind, which, redelivered)) in moves.into_iter().enumerate() {
            let key = key(&which.to_string());
            match kind {
                0 | 1 => {
                    let verdict = records.decide(at as u64, Some(&key), message_info(true, redelivered, 0), at as f64);
                    let runs = verdict == DuplicateDecision::Run;
                    prop_assert!(!runs || began[which] == 0 && !held[which]);
                    held[which] |= runs;
                }
                2 if held[which] && began[which] == 0 => { records.run_started(&key); began[which] = 1; }
                3 if held[which] && began[which] == 0 => { records.not_started(&key, None, at as f64); held[which] = false; }
                4 if began[which] == 1 => { records.run_finished(&key, RunResult::Served(vec![1; 20].into()), at as f64); began[which] = 2; }
                _ => {}
            }
            prop_assert!(records.reply_bytes() <= 50 + 20);
        }
    }
}
