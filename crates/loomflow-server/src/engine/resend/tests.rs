use super::*;

const UNANSWERED: RequestState = RequestState {
    is_answered: false,
    idempotency: Idempotency::Never,
    has_resent_reply: false,
    is_replay_complete: true,
};
const IN_FLIGHT: Delivery = Delivery::InFlight { link: 1, end: 9 };

fn run(delivery: Delivery) -> PendingCommand {
    PendingCommand { command: SentCommand::Run, delivery, sent_at: 0.0 }
}

fn reply(delivery: Delivery) -> PendingCommand {
    PendingCommand { command: SentCommand::Reply(Vec::new()), delivery, sent_at: 0.0 }
}

#[test]
fn a_run_is_sent_again_whatever_its_effect_unless_its_request_is_answered() {
    let answered = RequestState { is_answered: true, ..UNANSWERED };
    for delivery in [Delivery::NotSent, Delivery::Uncertain, Delivery::Delivered] {
        assert_eq!(run(delivery).resend(UNANSWERED), Resend::Send, "{delivery:?}");
    }
    assert_eq!(run(Delivery::Delivered).resend(answered), Resend::Confirm);
    assert_eq!(run(Delivery::Uncertain).resend(answered), Resend::EndRun);
    assert_eq!(run(IN_FLIGHT).resend(answered), Resend::Nothing);
}

#[test]
fn an_uncertain_reply_is_sent_again_only_without_an_effect_and_after_a_complete_replay() {
    let idempotent = RequestState { idempotency: Idempotency::Always, ..UNANSWERED };
    let during_replay = RequestState { is_replay_complete: false, ..idempotent };
    assert_eq!(reply(Delivery::Uncertain).resend(idempotent), Resend::SendBehindFence);
    assert_eq!(reply(Delivery::Uncertain).resend(during_replay), Resend::Nothing);
    assert_eq!(reply(Delivery::Uncertain).resend(UNANSWERED), Resend::Nothing);
    let keyed = RequestState { idempotency: Idempotency::ByKey, ..UNANSWERED };
    assert_eq!(reply(Delivery::Uncertain).resend(keyed), Resend::Nothing);
    assert_eq!(reply(Delivery::Delivered).resend(UNANSWERED), Resend::Confirm);
}

#[test]
fn a_reply_that_was_not_sent_is_sent_unless_a_former_copy_may_have_arrived() {
    assert_eq!(reply(Delivery::NotSent).resend(UNANSWERED), Resend::Send);
    let resent = RequestState { has_resent_reply: true, ..UNANSWERED };
    assert_eq!(reply(Delivery::NotSent).resend(resent), Resend::Nothing);
    let idempotent = RequestState { idempotency: Idempotency::Always, ..resent };
    assert_eq!(reply(Delivery::NotSent).resend(idempotent), Resend::SendBehindFence);
}

#[test]
fn an_answered_run_whose_command_may_not_have_arrived_ends_without_a_report() {
    assert_eq!(run(Delivery::NotSent).lost_run_outcome(), Some(AttemptOutcome::NotStarted));
    assert_eq!(run(Delivery::Uncertain).lost_run_outcome(), Some(AttemptOutcome::Cancelled));
    assert_eq!(reply(Delivery::NotSent).lost_run_outcome(), Some(AttemptOutcome::Cancelled));
    assert_eq!(run(Delivery::Delivered).lost_run_outcome(), None);
    assert_eq!(run(IN_FLIGHT).lost_run_outcome(), None);
}
