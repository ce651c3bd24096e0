use super::*;

const TIMEOUTS: Timeouts = Timeouts { idle: 50.0, bye: BYE_TIMEOUT_MS, waits_for_partial_messages: true };
const IDLE: Idleness = Idleness { idle_since: 0.0, bye_sent_at: None, has_received_message: true };

#[test]
fn an_idle_connection_gets_a_bye_then_is_closed() {
    assert_eq!(TIMEOUTS.idle_action(IDLE, 49.0), IdleAction::Wait);
    assert_eq!(TIMEOUTS.idle_action(IDLE, 50.0), IdleAction::SendBye);
    let after_bye = Idleness { bye_sent_at: Some(50.0), ..IDLE };
    assert_eq!(TIMEOUTS.idle_action(after_bye, 49.0 + BYE_TIMEOUT_MS), IdleAction::Wait);
    assert_eq!(TIMEOUTS.idle_action(after_bye, 50.0 + BYE_TIMEOUT_MS), IdleAction::Close);
    // A response after the `BYE` restarts the timeout.
    let later_response = Idleness { idle_since: 200.0, ..after_bye };
    assert_eq!(TIMEOUTS.idle_action(later_response, 199.0 + BYE_TIMEOUT_MS), IdleAction::Wait);
}

#[test]
fn a_silent_connection_is_closed_without_a_bye() {
    let silent = Idleness { has_received_message: false, ..IDLE };
    let timeouts = Timeouts { idle: f64::INFINITY, ..TIMEOUTS };
    assert_eq!(timeouts.idle_action(silent, FIRST_MESSAGE_TIMEOUT_MS - 1.0), IdleAction::Wait);
    assert_eq!(timeouts.idle_action(silent, FIRST_MESSAGE_TIMEOUT_MS), IdleAction::Close);
}

#[test]
fn the_bye_timeout_is_shorter_near_capacity() {
    assert_eq!(Timeouts::bye_timeout(false), BYE_TIMEOUT_MS);
    assert_eq!(Timeouts::bye_timeout(true), BYE_TIMEOUT_NEAR_CAPACITY_MS);
}
