use super::*;

#[test]
fn peers_have_at_most_half_of_the_shutdown_to_close() {
    let long = ConnectionDeadlines::new(2_000.0, 2_300.0, 0.0);
    assert_eq!((long.bye_timeout, long.partial_message_deadline), (BYE_TIMEOUT_MS, 1_700.0));
    let short = ConnectionDeadlines::new(300.0, 400.0, 100.0);
    assert_eq!((short.bye_timeout, short.partial_message_deadline), (100.0, 200.0));
    let passed = ConnectionDeadlines::new(100.0, 400.0, 200.0);
    assert_eq!((passed.bye_timeout, passed.partial_message_deadline), (0.0, 200.0));
}

#[test]
fn the_kill_is_imminent_within_its_margin() {
    let shutdown = ConnectionDeadlines::new(700.0, 1_000.0, 0.0);
    assert!(!shutdown.is_kill_imminent(1_000.0 - KILL_MARGIN_MS - 1.0));
    assert!(shutdown.is_kill_imminent(1_000.0 - KILL_MARGIN_MS));
}
