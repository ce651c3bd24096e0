use super::*;

const REASONS_AFTER_CONNECT: [CloseReason; 5] = [
    CloseReason::PeerClosed,
    CloseReason::Reset,
    CloseReason::ProtocolViolation("x"),
    CloseReason::IdleTimeout,
    CloseReason::Aborted,
];

#[test]
fn only_a_message_sent_on_an_open_connection_may_have_run() {
    for reason in REASONS_AFTER_CONNECT {
        assert_eq!(reason.outcome(true), AttemptOutcome::ConnectionLost, "{reason}");
        assert_eq!(reason.outcome(false), AttemptOutcome::Unreachable, "{reason}");
    }
    for reason in [CloseReason::ConnectionRefused, CloseReason::ConnectFailed] {
        assert_eq!(reason.outcome(true), AttemptOutcome::Unreachable, "{reason}");
    }
}

#[test]
fn log_values_equal_those_of_the_first_release() {
    let values: Vec<String> = REASONS_AFTER_CONNECT.iter().map(CloseReason::to_string).collect();
    assert_eq!(values, ["PeerClosed", "Reset", "Malformed(\"x\")", "Idle", "GivenUp"]);
    assert_eq!(CloseReason::ConnectionRefused.to_string(), "Refused");
    assert_eq!(CloseReason::ConnectFailed.to_string(), "NotOpened");
}
