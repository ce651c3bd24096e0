use super::*;

const WITHOUT_RESPONSE: RequestState = RequestState {
    has_response: false,
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
fn run_is_resent_until_its_request_has_a_response() {
    let with_response = RequestState { has_response: true, ..WITHOUT_RESPONSE };
    for delivery in [Delivery::NotSent, Delivery::Uncertain, Delivery::Delivered] {
        assert_eq!(run(delivery).resend(WITHOUT_RESPONSE), Resend::Send, "{delivery:?}");
    }
    assert_eq!(run(Delivery::Delivered).resend(with_response), Resend::Confirm);
    assert_eq!(run(Delivery::Uncertain).resend(with_response), Resend::EndRun);
    assert_eq!(run(IN_FLIGHT).resend(with_response), Resend::Nothing);
}

#[test]
fn uncertain_reply_is_resent_only_if_idempotent_and_after_a_confirmed_replay() {
    let idempotent = RequestState { idempotency: Idempotency::Always, ..WITHOUT_RESPONSE };
    let during_replay = RequestState { is_replay_complete: false, ..idempotent };
    assert_eq!(reply(Delivery::Uncertain).resend(idempotent), Resend::SendBehindFence);
    assert_eq!(reply(Delivery::Uncertain).resend(during_replay), Resend::Nothing);
    assert_eq!(reply(Delivery::Uncertain).resend(WITHOUT_RESPONSE), Resend::Nothing);
    let keyed = RequestState { idempotency: Idempotency::ByKey, ..WITHOUT_RESPONSE };
    assert_eq!(reply(Delivery::Uncertain).resend(keyed), Resend::Nothing);
    assert_eq!(reply(Delivery::Delivered).resend(WITHOUT_RESPONSE), Resend::Confirm);
}

#[test]
fn unsent_reply_is_sent_unless_an_earlier_copy_may_have_arrived() {
    assert_eq!(reply(Delivery::NotSent).resend(WITHOUT_RESPONSE), Resend::Send);
    let resent = RequestState { has_resent_reply: true, ..WITHOUT_RESPONSE };
    assert_eq!(reply(Delivery::NotSent).resend(resent), Resend::Nothing);
    let idempotent = RequestState { idempotency: Idempotency::Always, ..resent };
    assert_eq!(reply(Delivery::NotSent).resend(idempotent), Resend::SendBehindFence);
}

#[test]
fn run_whose_command_may_be_lost_has_an_outcome() {
    assert_eq!(run(Delivery::NotSent).lost_run_outcome(), Some(AttemptOutcome::NotStarted));
    assert_eq!(run(Delivery::Uncertain).lost_run_outcome(), Some(AttemptOutcome::Cancelled));
    assert_eq!(reply(Delivery::NotSent).lost_run_outcome(), Some(AttemptOutcome::Cancelled));
    assert_eq!(run(Delivery::Delivered).lost_run_outcome(), None);
    assert_eq!(run(IN_FLIGHT).lost_run_outcome(), None);
}
