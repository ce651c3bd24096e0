use super::*;
use proptest::prelude::*;

fn key(text: &str) -> IdempotencyKey {
    IdempotencyKey { class: 0, tenant: 0, text: text.into() }
}

fn hints(effect: bool, redelivered: bool, mark: u64) -> MessageInfo {
    MessageInfo { has_effect: effect, redelivered, copy: None, caller_digest: mark, body_digest: 0 }
}

fn room(records: usize, replies: usize) -> Capacity {
    Capacity { records, reply_bytes: replies, retired_keys: 1_000 }
}

fn identities() -> IdempotencyRecords {
    IdempotencyRecords::new(1_000.0, room(100, 64), Box::new(NoHistory))
}

#[test]
fn the_same_text_of_another_tenant_is_another_key() {
    let mut all = identities();
    let (ours, theirs) = (key("a"), IdempotencyKey { tenant: 1, ..key("a") });
    assert_eq!(all.decide(1, Some(&ours), hints(true, false, 0), 0.0), DuplicateDecision::Run);
    assert_eq!(all.decide(2, Some(&theirs), hints(true, false, 0), 0.0), DuplicateDecision::Run);
    all.run_started(&ours);
    all.run_finished(&ours, RunResult::Served(b"ours".as_slice().into()), 1.0);
    // Theirs still runs, and waits for its own result.
    assert_eq!(all.decide(3, Some(&theirs), hints(true, false, 0), 2.0), DuplicateDecision::AwaitOriginal);
    assert_eq!(all.run_finished(&theirs, RunResult::Failed, 3.0), [3]);
}

#[test]
fn another_body_under_a_key_is_neither_run_nor_given_the_result_of_the_first() {
    let mut all = identities();
    let a = key("a");
    let other = |body| MessageInfo { body_digest: body, ..hints(true, false, 0) };
    assert_ne!(all.digest(b"one"), all.digest(b"two"));
    assert_eq!(all.decide(1, Some(&a), other(1), 0.0), DuplicateDecision::Run);
    assert_eq!(all.decide(2, Some(&a), other(2), 0.0), DuplicateDecision::BodyMismatch);
    all.run_started(&a);
    assert_eq!(all.decide(3, Some(&a), other(2), 0.0), DuplicateDecision::BodyMismatch);
    // It does not wait with those that do.
    assert_eq!(all.run_finished(&a, RunResult::Failed, 1.0), [0; 0]);
    assert_eq!(all.decide(4, Some(&a), other(2), 2.0), DuplicateDecision::BodyMismatch);
    // Of one that has never begun nothing stands in the way of another.
    let b = key("b");
    assert_eq!(all.decide(5, Some(&b), other(1), 3.0), DuplicateDecision::Run);
    all.not_started(&b, None, 4.0);
    assert_eq!(all.decide(6, Some(&b), other(2), 5.0), DuplicateDecision::Run);
}

#[test]
fn a_redelivery_that_nobody_knows_of_is_run_only_where_no_effect_hangs_on_it() {
    let mut all = identities();
    let a = key("a");
    assert_eq!(all.decide(1, Some(&a), hints(true, true, 0), 0.0), DuplicateDecision::MayHaveRun);
    assert_eq!(all.decide(2, None, hints(true, true, 0), 0.0), DuplicateDecision::MayHaveRun);
    assert_eq!(all.decide(3, None, hints(true, false, 0), 0.0), DuplicateDecision::Run);
    assert_eq!(all.decide(4, None, hints(false, true, 0), 0.0), DuplicateDecision::Run);
    assert_eq!(all.decide(5, Some(&key("b")), hints(false, true, 0), 0.0), DuplicateDecision::Run);
    // Who asks again is told the same, although this one is no redelivery.
    let unknown = DuplicateDecision::AnswerFromRecord { result: RunResult::Unknown, is_answered: false };
    assert_eq!(all.decide(6, Some(&a), hints(true, false, 0), 0.0), unknown);
}

#[test]
fn a_store_that_knows_the_past_lets_what_was_never_begun_run() {
    struct Store;
    impl IdempotencyStore for Store {
        fn may_have_started(&self, key: &IdempotencyKey) -> Option<bool> {
            Some(key.text == "begun")
        }
    }
    let mut all = IdempotencyRecords::new(1.0, room(10, 10), Box::new(Store));
    assert_eq!(all.decide(1, Some(&key("begun")), hints(true, true, 0), 0.0), DuplicateDecision::MayHaveRun);
    assert_eq!(all.decide(2, Some(&key("not")), hints(true, true, 0), 0.0), DuplicateDecision::Run);
}

#[test]
fn repeats_join_what_is_open_and_get_what_has_run() {
    let mut all = identities();
    let a = key("a");
    assert_eq!(all.decide(1, Some(&a), hints(true, false, 7), 0.0), DuplicateDecision::Run);
    assert_eq!(all.decide(2, Some(&a), hints(true, true, 7), 0.0), DuplicateDecision::AwaitOriginal);
    all.run_started(&a);
    assert_eq!(all.decide(3, Some(&a), hints(true, false, 8), 0.0), DuplicateDecision::AwaitOriginal);
    all.leave(&a, 2);
    assert_eq!(all.run_finished(&a, RunResult::Served(b"r"[..].into()), 1.0), [3]);
    let again = |told| DuplicateDecision::AnswerFromRecord {
        result: RunResult::Served(b"r"[..].into()),
        is_answered: told,
    };
    assert_eq!(all.decide(4, Some(&a), hints(true, true, 7), 1.0), again(false));
    all.caller_answered(&a, 7);
    assert_eq!(all.decide(5, Some(&a), hints(true, true, 7), 1.0), again(true));
    assert_eq!(
        all.decide(6, Some(&a), hints(true, true, 8), 1.0),
        again(false),
        "another caller of the same key"
    );
    assert_eq!(
        all.decide(7, Some(&a), hints(true, false, 7), 1.0),
        again(false),
        "who asks anew is told anew"
    );
    let copied = MessageInfo { copy: Some(1), ..hints(true, false, 7) };
    assert_eq!(all.decide(8, Some(&a), copied, 1.0), again(true), "one that was put back is no new question");
}

#[test]
fn what_went_back_unbegun_may_run_when_it_comes_again() {
    let mut all = identities();
    let a = key("a");
    all.decide(1, Some(&a), hints(true, false, 0), 0.0);
    all.decide(2, Some(&a), hints(true, false, 0), 0.0);
    assert_eq!(all.not_started(&a, None, 0.0), [2]);
    assert_eq!(all.decide(3, Some(&a), hints(true, true, 0), 1.0), DuplicateDecision::Run);
}

#[test]
fn of_a_message_and_the_one_that_took_its_place_only_one_may_run() {
    let as_instance = |instance, redelivered| MessageInfo { copy: instance, ..hints(true, redelivered, 0) };
    let moved = |confirmed: bool| {
        let mut all = identities();
        all.decide(1, Some(&key("a")), as_instance(None, false), 0.0);
        all.not_started(&key("a"), None, 0.0);
        all.republishing(&key("a"), None, 77);
        if confirmed {
            all.republished(&key("a"), 77, true);
        }
        all
    };
    // The first comes again: its place was taken, or nobody knows.
    assert_eq!(
        moved(true).decide(2, Some(&key("a")), as_instance(None, true), 1.0),
        DuplicateDecision::Superseded
    );
    assert_eq!(
        moved(false).decide(2, Some(&key("a")), as_instance(None, true), 1.0),
        DuplicateDecision::MayHaveRun
    );
    // The second comes: it runs, unless another server has had it.
    for confirmed in [true, false] {
        let judge = |again| moved(confirmed).decide(2, Some(&key("a")), as_instance(Some(77), again), 1.0);
        assert_eq!((judge(false), judge(true)), (DuplicateDecision::Run, DuplicateDecision::MayHaveRun));
    }
    // A sender's own new message is neither.
    assert_eq!(moved(true).decide(2, Some(&key("a")), as_instance(None, false), 1.0), DuplicateDecision::Run);
    // One that was never here as this instance may have been elsewhere.
    let mut all = identities();
    all.decide(1, Some(&key("a")), as_instance(None, false), 0.0);
    all.not_started(&key("a"), None, 0.0);
    assert_eq!(
        all.decide(2, Some(&key("a")), as_instance(Some(5), true), 1.0),
        DuplicateDecision::MayHaveRun
    );
    // One that the broker certainly did not take leaves the first as it was.
    let mut all = moved(false);
    all.republished(&key("a"), 77, false);
    assert_eq!(all.decide(2, Some(&key("a")), as_instance(None, true), 1.0), DuplicateDecision::Run);
}

#[test]
fn replies_are_bounded_and_one_that_is_gone_is_still_known_to_have_run() {
    let mut all = identities();
    for text in ["a", "b", "c"] {
        all.decide(1, Some(&key(text)), hints(true, false, 0), 0.0);
        all.run_finished(&key(text), RunResult::Served(vec![0; 30].into()), 0.0);
    }
    assert!(all.reply_bytes() <= 64);
    let gone = DuplicateDecision::AnswerFromRecord { result: RunResult::ReplyDiscarded, is_answered: false };
    assert_eq!(all.decide(2, Some(&key("a")), hints(true, true, 0), 1.0), gone);
    all.expire(2_000.0);
    assert!(all.is_empty() && all.reply_bytes() == 0 && all.reply_order.is_empty());
}

proptest! {
    /// A key with an effect is never given out to run a second time within its time once it may have begun.
    #[test]
    fn nothing_with_an_effect_runs_twice(records in 1usize..5, moves in proptest::collection::vec((0u8..5, 0usize..3, any::<bool>()), 1..150)) {
        let mut all = IdempotencyRecords::new(1e9, room(records, 50), Box::new(NoHistory));
        let (mut began, mut held) = ([0; 3], [false; 3]);
        for (at, (kind, which, redelivered)) in moves.into_iter().enumerate() {
            let key = key(&which.to_string());
            match kind {
                0 | 1 => {
                    let verdict = all.decide(at as u64, Some(&key), hints(true, redelivered, 0), at as f64);
                    let runs = verdict == DuplicateDecision::Run;
                    prop_assert!(!runs || began[which] == 0 && !held[which]);
                    held[which] |= runs;
                }
                2 if held[which] && began[which] == 0 => { all.run_started(&key); began[which] = 1; }
                3 if held[which] && began[which] == 0 => { all.not_started(&key, None, at as f64); held[which] = false; }
                4 if began[which] == 1 => { all.run_finished(&key, RunResult::Served(vec![1; 20].into()), at as f64); began[which] = 2; }
                _ => {}
            }
            prop_assert!(all.reply_bytes() <= 50 + 20);
        }
    }
}
