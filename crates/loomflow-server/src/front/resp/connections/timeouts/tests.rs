use super::*;

const TIMEOUTS: Timeouts =
    Timeouts { idle: 50.0, goodbye: GOODBYE_TIMEOUT_MS, waits_for_partial_messages: true };
const IDLE: Idleness = Idleness { idle_since: 0.0, goodbye_sent_at: None, has_received_message: true };

#[test]
fn an_idle_connection_gets_a_goodbye_and_is_closed_after_its_timeout() {
    assert_eq!(TIMEOUTS.idle_action(IDLE, 49.0), IdleAction::Wait);
    assert_eq!(TIMEOUTS.idle_action(IDLE, 50.0), IdleAction::SendGoodbye);
    let with_goodbye = Idleness { goodbye_sent_at: Some(50.0), ..IDLE };
    assert_eq!(TIMEOUTS.idle_action(with_goodbye, 49.0 + GOODBYE_TIMEOUT_MS), IdleAction::Wait);
    assert_eq!(TIMEOUTS.idle_action(with_goodbye, 50.0 + GOODBYE_TIMEOUT_MS), IdleAction::Close);
    // A response after the goodbye starts the timeout anew.
    let answered_later = Idleness { idle_since: 200.0, ..with_goodbye };
    assert_eq!(TIMEOUTS.idle_action(answered_later, 199.0 + GOODBYE_TIMEOUT_MS), IdleAction::Wait);
}

#[test]
fn a_connection_without_a_message_is_closed_without_a_goodbye() {
    let silent = Idleness { has_received_message: false, ..IDLE };
    let timeouts = Timeouts { idle: f64::INFINITY, ..TIMEOUTS };
    assert_eq!(timeouts.idle_action(silent, FIRST_MESSAGE_TIMEOUT_MS - 1.0), IdleAction::Wait);
    assert_eq!(timeouts.idle_action(silent, FIRST_MESSAGE_TIMEOUT_MS), IdleAction::Close);
}

#[test]
fn near_capacity_the_time_after_a_goodbye_is_shorter() {
    assert_eq!(Timeouts::goodbye_timeout(false), GOODBYE_TIMEOUT_MS);
    assert_eq!(Timeouts::goodbye_timeout(true), GOODBYE_TIMEOUT_NEAR_CAPACITY_MS);
}
