use super::plan::{MAX_RETRY_AFTER_MS, MIN_RETRY_AFTER_MS};
use super::*;
use proptest::prelude::*;

fn context() -> SettlementContext {
    SettlementContext {
        has_reply_to: true,
        has_dead_letter: true,
        retry_count: 0,
        max_retries: 2,
        has_effect: true,
        time_left: None,
        remaining: RemainingSteps::ALL,
    }
}

fn rejected(retry_after: f64) -> MessageOutcome {
    MessageOutcome::Rejected { retry_after, is_final: false }
}

/// All actions of a settlement whose publishes are all confirmed.
fn run_to_settlement(outcome: MessageOutcome, context: SettlementContext) -> Vec<SettlementAction> {
    let mut settling = PendingSettlement::new(&outcome, context, 0.0);
    let (mut now, mut actions) = (0.0, Vec::new());
    loop {
        while let Some(action) = settling.next_action(now) {
            match &action {
                SettlementAction::Reply(_) => settling.reply_published(PublishResult::Confirmed, now),
                SettlementAction::Republish(_) => settling.republished(PublishResult::Confirmed, now),
                SettlementAction::Settle(_) => {}
            }
            actions.push(action);
        }
        match settling.next_deadline() {
            Some(at) => now = at,
            None => return actions,
        }
    }
}

fn failed(reason: FailureReason, may_have_run: bool) -> SettlementAction {
    SettlementAction::Reply(ReplyStatus::Failed { reason, may_have_run, retry_after: None })
}

fn dead_letter(reason: FailureReason) -> SettlementAction {
    SettlementAction::Republish(Republish::DeadLetter(reason))
}

fn requeue(retry_count: u32) -> SettlementAction {
    SettlementAction::Republish(Republish::Requeue { retry_count })
}

fn ack() -> SettlementAction {
    SettlementAction::Settle(Settlement::Ack)
}

#[test]
fn each_outcome_has_its_reply_destination_and_settlement() {
    let served = RunResult::Served(b"r"[..].into());
    let cases = [
        (
            MessageOutcome::Finished(served.clone()),
            vec![SettlementAction::Reply(ReplyStatus::Served(served)), ack()],
        ),
        (MessageOutcome::Superseded, vec![ack()]),
        (rejected(300.0), vec![SettlementAction::Reply(ReplyStatus::Rejected(300.0)), requeue(1), ack()]),
        (
            MessageOutcome::Finished(RunResult::Failed),
            vec![failed(FailureReason::FAILED, true), dead_letter(FailureReason::MAY_HAVE_RUN), ack()],
        ),
        (
            MessageOutcome::NotRun,
            vec![failed(FailureReason::NOT_RUN, false), dead_letter(FailureReason::NOT_RUN), ack()],
        ),
        (
            MessageOutcome::MayHaveRun,
            vec![failed(FailureReason::RUN_UNKNOWN, true), dead_letter(FailureReason::RUN_UNKNOWN), ack()],
        ),
        (MessageOutcome::Returned, vec![requeue(0), ack()]),
    ];
    for (outcome, actions) in cases {
        assert_eq!(run_to_settlement(outcome.clone(), context()), actions, "{outcome:?}");
    }
}

#[test]
fn settlement_follows_retries_effect_and_destinations() {
    let at_max_retries = SettlementContext { retry_count: 2, ..context() };
    assert_eq!(
        run_to_settlement(rejected(1.0), at_max_retries)[1..],
        [dead_letter(FailureReason::RETRIES_EXHAUSTED), ack()]
    );
    assert_eq!(
        run_to_settlement(MessageOutcome::Returned, SettlementContext { has_effect: false, ..context() }),
        [SettlementAction::Settle(Settlement::Requeue)]
    );
    let without_reply_or_dead_letter =
        SettlementContext { has_reply_to: false, has_dead_letter: false, ..context() };
    assert_eq!(
        run_to_settlement(MessageOutcome::Finished(RunResult::Failed), without_reply_or_dead_letter),
        [SettlementAction::Settle(Settlement::Reject(FailureReason::MAY_HAVE_RUN))]
    );
}

#[test]
fn a_rejected_message_is_requeued_after_its_reply_and_backoff() {
    let mut settling = PendingSettlement::new(&rejected(300.0), context(), 0.0);
    assert_eq!(settling.next_action(0.0), Some(SettlementAction::Reply(ReplyStatus::Rejected(300.0))));
    settling.reply_published(PublishResult::Confirmed, 1.0);
    assert_eq!((settling.next_action(299.0), settling.next_deadline()), (None, Some(300.0)));
    assert_eq!(
        settling.next_action(300.0),
        Some(SettlementAction::Republish(Republish::Requeue { retry_count: 1 }))
    );
    let mut draining = PendingSettlement::new(&rejected(300.0), context(), 0.0);
    draining.skip_delay(10.0);
    draining.next_action(10.0);
    assert_eq!(
        draining.next_action(10.0),
        Some(SettlementAction::Republish(Republish::Requeue { retry_count: 1 }))
    );
    // A draining server does not skip the backoff after a publish that the broker rejected.
    draining.republished(PublishResult::Nacked, 10.0);
    draining.skip_delay(10.0);
    assert_eq!(draining.republish_state, PublishState::Scheduled(10.0 + MIN_PUBLISH_BACKOFF_MS));
    // A rejection without a delay still backs off.
    let backoffs = [0, 1, 30].map(|retry_count| {
        let context = SettlementContext { retry_count, max_retries: 99, ..context() };
        PendingSettlement::new(&rejected(0.0), context, 0.0).republish_state
    });
    assert_eq!(
        backoffs,
        [MIN_RETRY_AFTER_MS, 2.0 * MIN_RETRY_AFTER_MS, MAX_RETRY_AFTER_MS].map(PublishState::Scheduled)
    );
}

#[test]
fn a_retry_past_the_deadline_is_dead_lettered_at_once() {
    let is_dead_lettered = |retry_after, is_final, time_left, retry_count| {
        let context = SettlementContext { time_left, retry_count, max_retries: 9, ..context() };
        run_to_settlement(MessageOutcome::Rejected { retry_after, is_final }, context)[1]
            == SettlementAction::Republish(Republish::DeadLetter(FailureReason::OUT_OF_TIME))
    };
    // Dead-lettered if the time left ends within the delay or the minimum backoff, or if the rejection is final.
    assert!(
        is_dead_lettered(300.0, false, Some(300.0), 0) && !is_dead_lettered(300.0, false, Some(301.0), 0)
    );
    assert!(is_dead_lettered(0.0, false, Some(399.0), 2) && !is_dead_lettered(0.0, false, Some(401.0), 2));
    assert!(is_dead_lettered(0.0, true, Some(5_000.0), 0));
    // Without a sending time there is no deadline, and the message is requeued.
    assert!(!is_dead_lettered(1e9, true, None, 0));
    let settling = PendingSettlement::new(
        &MessageOutcome::Rejected { retry_after: 40.0, is_final: true },
        SettlementContext { time_left: Some(9.0), ..context() },
        0.0,
    );
    let expected = ReplyStatus::Failed {
        reason: FailureReason::OUT_OF_TIME,
        may_have_run: false,
        retry_after: Some(40.0),
    };
    assert_eq!((settling.reply, settling.reply_state), (Some(expected), PublishState::Scheduled(0.0)));
}

#[test]
fn a_copy_with_an_effect_is_not_republished_if_its_result_is_unknown() {
    for (has_effect, expected) in [
        (true, Republish::DeadLetter(FailureReason::RUN_UNKNOWN)),
        (false, Republish::Requeue { retry_count: 1 }),
    ] {
        let mut settling = PendingSettlement::new(
            &rejected(0.0),
            SettlementContext { has_reply_to: false, has_effect, ..context() },
            0.0,
        );
        assert_eq!(
            settling.next_action(MIN_RETRY_AFTER_MS),
            Some(SettlementAction::Republish(Republish::Requeue { retry_count: 1 }))
        );
        settling.republished(PublishResult::Unknown, MIN_RETRY_AFTER_MS);
        assert_eq!(settling.next_action(1e6), Some(SettlementAction::Republish(expected)));
    }
}

#[test]
fn a_message_is_dead_lettered_after_the_last_reply_attempt() {
    let mut settling =
        PendingSettlement::new(&MessageOutcome::Finished(RunResult::Served(b"r"[..].into())), context(), 0.0);
    for _ in 0..MAX_REPLY_ATTEMPTS {
        assert!(matches!(settling.next_action(1e9), Some(SettlementAction::Reply(_))));
        settling.reply_published(PublishResult::Nacked, 0.0);
    }
    assert_eq!(
        settling.next_action(1e9),
        Some(SettlementAction::Republish(Republish::DeadLetter(FailureReason::REPLY_REJECTED)))
    );
    settling.republished(PublishResult::Confirmed, 0.0);
    assert_eq!(settling.next_action(1e9), Some(SettlementAction::Settle(Settlement::Ack)));
}

/// Guards against a message that is acknowledged although its reply was given up and no `dead_letter` is configured.
#[test]
fn a_message_is_rejected_after_the_last_reply_attempt_without_a_dead_letter_destination() {
    let context = SettlementContext { has_dead_letter: false, ..context() };
    let served = MessageOutcome::Finished(RunResult::Served(b"r"[..].into()));
    let mut settling = PendingSettlement::new(&served, context, 0.0);
    for _ in 0..MAX_REPLY_ATTEMPTS {
        assert!(matches!(settling.next_action(1e9), Some(SettlementAction::Reply(_))));
        settling.reply_published(PublishResult::Nacked, 0.0);
    }
    assert_eq!(
        settling.next_action(1e9),
        Some(SettlementAction::Settle(Settlement::Reject(FailureReason::REPLY_REJECTED)))
    );
}

#[test]
fn only_a_final_outcome_completes_steps() {
    let is_completed = |outcome: MessageOutcome| {
        let mut settling = PendingSettlement::new(&outcome, context(), 0.0);
        settling.next_action(1e6);
        settling.reply_published(PublishResult::Confirmed, 1e6);
        settling.next_action(1e6);
        settling.republished(PublishResult::Confirmed, 1e6);
        settling.remaining_steps() == RemainingSteps::NONE
    };
    assert!(
        is_completed(MessageOutcome::Finished(RunResult::Failed)) && is_completed(MessageOutcome::MayHaveRun)
    );
    assert!(is_completed(MessageOutcome::NotRun), "a redelivery must not run it");
    assert!(!is_completed(rejected(0.0)));
}

#[test]
fn a_step_is_completed_only_by_a_confirm() {
    let served = MessageOutcome::Finished(RunResult::Served(b"r"[..].into()));
    let failed = MessageOutcome::Finished(RunResult::Failed);
    let after_reply = |outcome: &MessageOutcome, has_dead_letter, result| {
        let context = SettlementContext { has_dead_letter, ..context() };
        let mut settling = PendingSettlement::new(outcome, context, 0.0);
        settling.next_action(0.0);
        settling.reply_published(result, 0.0);
        settling.remaining_steps()
    };
    let only_dead_letter = RemainingSteps { reply: false, dead_letter: true };
    for has_dead_letter in [true, false] {
        let confirmed = PublishResult::Confirmed;
        assert_eq!(after_reply(&served, has_dead_letter, confirmed), RemainingSteps::NONE);
        // A reject may be lost, so that a message without a destination of dead letters is never known to be kept.
        assert_eq!(after_reply(&failed, has_dead_letter, confirmed), only_dead_letter);
        for result in [PublishResult::Nacked, PublishResult::Unroutable, PublishResult::Unknown] {
            assert_eq!(after_reply(&served, has_dead_letter, result), RemainingSteps::ALL, "{result:?}");
        }
    }
}

#[test]
fn a_redelivery_does_only_what_remains() {
    let actions = |outcome: MessageOutcome, has_dead_letter, reply, dead_letter| {
        let remaining = RemainingSteps { reply, dead_letter };
        run_to_settlement(outcome, SettlementContext { has_dead_letter, remaining, ..context() })
    };
    let failure = MessageOutcome::Finished(RunResult::Failed);
    let reject = SettlementAction::Settle(Settlement::Reject(FailureReason::MAY_HAVE_RUN));
    assert_eq!(
        actions(failure.clone(), true, false, true),
        [dead_letter(FailureReason::MAY_HAVE_RUN), ack()]
    );
    assert_eq!(actions(failure.clone(), false, false, true), [reject]);
    assert_eq!(actions(failure.clone(), true, true, false), [failed(FailureReason::FAILED, true), ack()]);
    assert_eq!(actions(failure, true, false, false), [ack()]);
    let served = MessageOutcome::Finished(RunResult::Served(b"r"[..].into()));
    assert_eq!(actions(served, false, false, false), [ack()]);
}

fn outcomes() -> impl Strategy<Value = MessageOutcome> {
    prop_oneof![
        Just(MessageOutcome::Finished(RunResult::Served(b"r"[..].into()))),
        Just(MessageOutcome::Finished(RunResult::Failed)),
        Just(MessageOutcome::Finished(RunResult::ReplyDiscarded)),
        Just(MessageOutcome::Superseded),
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
    /// For any results of its publishes, a message is settled exactly once, as the last action. A required copy is
    /// confirmed before that, and no reply is repeated after it was confirmed.
    #[test]
    fn a_message_is_settled_once_as_the_last_action(
        outcome in outcomes(), has_reply_to in any::<bool>(), has_dead_letter in any::<bool>(), retry_count in 0u32..4,
        has_effect in any::<bool>(), time_left in proptest::option::of(0.0f64..900.0),
        results in proptest::collection::vec(publish_results(), 1..12),
    ) {
        let context = SettlementContext { has_reply_to, has_dead_letter, retry_count, max_retries: 2, has_effect, time_left, remaining: RemainingSteps::ALL };
        let mut settling = PendingSettlement::new(&outcome, context, 0.0);
        let (mut now, mut settlement, mut replies, mut is_republished) = (0.0, None, 0, false);
        let mut results = results.into_iter().chain(std::iter::repeat(PublishResult::Confirmed));
        for _ in 0..100 {
            while let Some(action) = settling.next_action(now) {
                prop_assert!(settlement.is_none(), "{action:?} after the settlement");
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
                    SettlementAction::Settle(value) => settlement = Some(value),
                }
            }
            match settling.next_deadline() { Some(at) => { prop_assert!(at >= now); now = at } None => break }
        }
        let settlement = settlement.expect("the message is settled");
        let needs_no_copy =
            matches!(outcome, MessageOutcome::Finished(RunResult::Served(_)) | MessageOutcome::Superseded);
        prop_assert!(is_republished || settlement != Settlement::Ack || needs_no_copy);
        prop_assert!(!is_republished || settlement == Settlement::Ack);
    }
}
