use super::*;
use proptest::prelude::*;

fn terms() -> SettlementContext {
    SettlementContext {
        has_reply_to: true,
        has_dead_letter: true,
        retry_count: 0,
        max_retries: 2,
        has_effect: true,
        time_left: None,
    }
}

fn refused(pause: f64) -> MessageOutcome {
    MessageOutcome::Rejected { retry_after: pause, is_final: false }
}

/// All that is done where the broker takes everything.
fn all(ended: MessageOutcome, terms: SettlementContext) -> Vec<SettlementAction> {
    let mut exit = Settling::new(&ended, terms, 0.0);
    let (mut now, mut done) = (0.0, Vec::new());
    loop {
        while let Some(one) = exit.next_action(now) {
            match &one {
                SettlementAction::Reply(_) => exit.reply_published(PublishResult::Confirmed, now),
                SettlementAction::Republish(_) => exit.republished(PublishResult::Confirmed, now),
                SettlementAction::Settle(_) => {}
            }
            done.push(one);
        }
        match exit.next_deadline() {
            Some(at) => now = at,
            None => return done,
        }
    }
}

#[test]
fn each_ending_has_its_reply_its_way_and_its_word() {
    let served = RunResult::Served(b"r"[..].into());
    let failed = |reason, may_have_run| {
        SettlementAction::Reply(ReplyStatus::Failed { reason, may_have_run, retry_after: None })
    };
    let (ack, dead) = (SettlementAction::Settle(Settlement::Ack), |why| {
        SettlementAction::Republish(Republish::DeadLetter(why))
    });
    let back = |rounds| SettlementAction::Republish(Republish::Requeue { retry_count: rounds });
    let cases = [
        (
            MessageOutcome::Finished(served.clone()),
            vec![SettlementAction::Reply(ReplyStatus::Served(served)), ack.clone()],
        ),
        (MessageOutcome::AlreadyAnswered, vec![ack.clone()]),
        (refused(300.0), vec![SettlementAction::Reply(ReplyStatus::Rejected(300.0)), back(1), ack.clone()]),
        (
            MessageOutcome::Finished(RunResult::Failed),
            vec![failed("failed", true), dead("may-have-run"), ack.clone()],
        ),
        (MessageOutcome::NotRun, vec![failed("not-run", false), dead("not-run"), ack.clone()]),
        (MessageOutcome::MayHaveRun, vec![failed("run-unknown", true), dead("run-unknown"), ack.clone()]),
        (MessageOutcome::Returned, vec![back(0), ack.clone()]),
    ];
    for (ended, done) in cases {
        assert_eq!(all(ended.clone(), terms()), done, "{ended:?}");
    }
    let again = SettlementContext { retry_count: 2, ..terms() };
    assert_eq!(all(refused(1.0), again)[1..], [dead("refused-too-often"), ack]);
    assert_eq!(
        all(MessageOutcome::Returned, SettlementContext { has_effect: false, ..terms() }),
        [SettlementAction::Settle(Settlement::Requeue)]
    );
    let bare = SettlementContext { has_reply_to: false, has_dead_letter: false, ..terms() };
    assert_eq!(
        all(MessageOutcome::Finished(RunResult::Failed), bare),
        [SettlementAction::Settle(Settlement::Reject)]
    );
}

#[test]
fn a_refused_message_goes_back_after_its_pause_and_its_caller_hears_before() {
    let mut exit = Settling::new(&refused(300.0), terms(), 0.0);
    assert_eq!(exit.next_action(0.0), Some(SettlementAction::Reply(ReplyStatus::Rejected(300.0))));
    exit.reply_published(PublishResult::Confirmed, 1.0);
    assert_eq!((exit.next_action(299.0), exit.next_deadline()), (None, Some(300.0)));
    assert_eq!(
        exit.next_action(300.0),
        Some(SettlementAction::Republish(Republish::Requeue { retry_count: 1 }))
    );
    let mut leaving = Settling::new(&refused(300.0), terms(), 0.0);
    leaving.skip_backoff(10.0);
    leaving.next_action(10.0);
    assert_eq!(
        leaving.next_action(10.0),
        Some(SettlementAction::Republish(Republish::Requeue { retry_count: 1 }))
    );
    // Refused without a pause it still does not turn in a hot loop.
    let pauses = [0, 1, 30].map(|rounds| {
        let terms = SettlementContext { retry_count: rounds, max_retries: 99, ..terms() };
        Settling::new(&refused(0.0), terms, 0.0).republish_state
    });
    assert_eq!(
        pauses,
        [MIN_RETRY_AFTER_MS, 2.0 * MIN_RETRY_AFTER_MS, MAX_RETRY_AFTER_MS].map(PublishState::Due)
    );
}

#[test]
fn what_cannot_be_back_in_time_ends_at_once_with_its_reason() {
    let ends = |pause, last, left, rounds| {
        let terms = SettlementContext { time_left: left, retry_count: rounds, max_retries: 9, ..terms() };
        all(MessageOutcome::Rejected { retry_after: pause, is_final: last }, terms)[1]
            == SettlementAction::Republish(Republish::DeadLetter("out-of-time"))
    };
    // Its sender is gone by the end of the pause, or of the least one in this round; or the module's word is final.
    assert!(ends(300.0, false, Some(300.0), 0) && !ends(300.0, false, Some(301.0), 0));
    assert!(ends(0.0, false, Some(399.0), 2) && !ends(0.0, false, Some(401.0), 2));
    assert!(ends(0.0, true, Some(5_000.0), 0));
    // Where nobody says when it was sent it waits at the broker for as long as it takes.
    assert!(!ends(1e9, true, None, 0));
    let exit = Settling::new(
        &MessageOutcome::Rejected { retry_after: 40.0, is_final: true },
        SettlementContext { time_left: Some(9.0), ..terms() },
        0.0,
    );
    let told = ReplyStatus::Failed { reason: "out-of-time", may_have_run: false, retry_after: Some(40.0) };
    assert_eq!((exit.reply, exit.reply_state), (Some(told), PublishState::Due(0.0)));
}

#[test]
fn a_copy_of_unknown_fate_is_not_published_again_where_both_would_run() {
    for (effect, then) in
        [(true, Republish::DeadLetter("run-unknown")), (false, Republish::Requeue { retry_count: 1 })]
    {
        let mut exit = Settling::new(
            &refused(0.0),
            SettlementContext { has_reply_to: false, has_effect: effect, ..terms() },
            0.0,
        );
        assert_eq!(
            exit.next_action(MIN_RETRY_AFTER_MS),
            Some(SettlementAction::Republish(Republish::Requeue { retry_count: 1 }))
        );
        exit.republished(PublishResult::Unknown, MIN_RETRY_AFTER_MS);
        assert_eq!(exit.next_action(1e6), Some(SettlementAction::Republish(then)));
    }
}

#[test]
fn a_reply_that_is_refused_for_long_leaves_its_message_in_the_dead_letters() {
    let mut exit = Settling::new(&MessageOutcome::Finished(RunResult::Served(b"r"[..].into())), terms(), 0.0);
    for _ in 0..MAX_REPLY_ATTEMPTS {
        assert!(matches!(exit.next_action(1e9), Some(SettlementAction::Reply(_))));
        exit.reply_published(PublishResult::Nacked, 0.0);
    }
    assert_eq!(
        exit.next_action(1e9),
        Some(SettlementAction::Republish(Republish::DeadLetter("reply-refused")))
    );
    exit.republished(PublishResult::Confirmed, 0.0);
    assert_eq!(exit.next_action(1e9), Some(SettlementAction::Settle(Settlement::Ack)));
}

#[test]
fn only_the_last_word_on_a_key_counts_as_told() {
    let told = |ended: MessageOutcome| {
        let mut exit = Settling::new(&ended, terms(), 0.0);
        exit.next_action(1e6);
        exit.reply_published(PublishResult::Confirmed, 1e6);
        exit.next_action(1e6);
        exit.republished(PublishResult::Confirmed, 1e6);
        exit.is_caller_answered()
    };
    assert!(told(MessageOutcome::Finished(RunResult::Failed)) && told(MessageOutcome::MayHaveRun));
    assert!(!told(refused(0.0)) && !told(MessageOutcome::NotRun));
}

fn outcomes() -> impl Strategy<Value = MessageOutcome> {
    prop_oneof![
        Just(MessageOutcome::Finished(RunResult::Served(b"r"[..].into()))),
        Just(MessageOutcome::Finished(RunResult::Failed)),
        Just(MessageOutcome::Finished(RunResult::ReplyDiscarded)),
        Just(MessageOutcome::AlreadyAnswered),
        (0.0f64..500.0, any::<bool>())
            .prop_map(|(retry_after, is_final)| MessageOutcome::Rejected { retry_after, is_final }),
        Just(MessageOutcome::NotRun),
        Just(MessageOutcome::MayHaveRun),
        Just(MessageOutcome::Returned),
    ]
}

fn publish_results() -> impl Strategy<Value = PublishResult> {
    prop_oneof![
        Just(PublishResult::Confirmed),
        Just(PublishResult::Unroutable),
        Just(PublishResult::Nacked),
        Just(PublishResult::Unknown)
    ]
}

proptest! {
    /// Whatever the broker does with what is published: one word settles a message, last of all, the message is
    /// elsewhere by then if it was to be, and its caller is told no second time once the broker has confirmed it.
    #[test]
    fn a_message_is_settled_once_and_last(
        outcome in outcomes(), has_reply_to in any::<bool>(), has_dead_letter in any::<bool>(), retry_count in 0u32..4,
        has_effect in any::<bool>(), time_left in proptest::option::of(0.0f64..900.0),
        results in proptest::collection::vec(publish_results(), 1..12),
    ) {
        let terms = SettlementContext { has_reply_to, has_dead_letter, retry_count, max_retries: 2, has_effect, time_left };
        let mut settling = Settling::new(&outcome, terms, 0.0);
        let (mut now, mut settlement, mut replies, mut is_republished) = (0.0, None, 0, false);
        let mut results = results.into_iter().chain(std::iter::repeat(PublishResult::Confirmed));
        for _ in 0..100 {
            while let Some(action) = settling.next_action(now) {
                prop_assert!(settlement.is_none(), "{action:?} after the end");
                let result = results.next().unwrap();
                let is_confirmed = result == PublishResult::Confirmed;
                match action {
                    SettlementAction::Reply(_) => {
                        prop_assert_eq!(replies, 0);
                        replies += u32::from(is_confirmed);
                        settling.reply_published(result, now);
                    }
                    SettlementAction::Republish(_) => {
                        prop_assert!(!is_republished);
                        is_republished = is_confirmed;
                        settling.republished(result, now);
                    }
                    SettlementAction::Settle(how) => settlement = Some(how),
                }
            }
            match settling.next_deadline() { Some(at) => { prop_assert!(at >= now); now = at } None => break }
        }
        let settlement = settlement.expect("it is settled");
        let is_answered =
            matches!(outcome, MessageOutcome::Finished(RunResult::Served(_)) | MessageOutcome::AlreadyAnswered);
        prop_assert!(is_republished || settlement != Settlement::Ack || is_answered);
        prop_assert!(!is_republished || settlement == Settlement::Ack);
    }
}
