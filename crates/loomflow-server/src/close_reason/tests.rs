use super::*;

const OPENED: [CloseReason; 5] = [
    CloseReason::PeerClosed,
    CloseReason::Reset,
    CloseReason::ProtocolViolation("x"),
    CloseReason::IdleTimeout,
    CloseReason::Aborted,
];

#[test]
fn a_message_never_ran_if_the_connection_was_not_opened_or_it_was_not_sent_and_may_have_run_otherwise() {
    for reason in OPENED {
        assert_eq!(reason.outcome(true), AttemptOutcome::ConnectionLost, "{reason}");
        assert_eq!(reason.outcome(false), AttemptOutcome::Unreachable, "{reason}");
    }
    for reason in [CloseReason::ConnectionRefused, CloseReason::ConnectFailed] {
        assert_eq!(reason.outcome(true), AttemptOutcome::Unreachable, "{reason}");
    }
}

#[test]
fn the_log_has_the_words_of_the_first_release() {
    let words: Vec<String> = OPENED.iter().map(CloseReason::to_string).collect();
    assert_eq!(words, ["PeerClosed", "Reset", "Malformed(\"x\")", "Idle", "GivenUp"]);
    assert_eq!(CloseReason::ConnectionRefused.to_string(), "Refused");
    assert_eq!(CloseReason::ConnectFailed.to_string(), "NotOpened");
}
