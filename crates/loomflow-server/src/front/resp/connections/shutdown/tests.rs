use super::*;

#[test]
fn half_of_a_short_shutdown_is_for_the_peers_to_close() {
    let long = ConnectionDeadlines::new(2_000.0, 2_300.0, 0.0);
    assert_eq!((long.goodbye_timeout, long.partial_message_deadline), (GOODBYE_TIMEOUT_MS, 1_700.0));
    let short = ConnectionDeadlines::new(300.0, 400.0, 100.0);
    assert_eq!((short.goodbye_timeout, short.partial_message_deadline), (100.0, 200.0));
    let passed = ConnectionDeadlines::new(100.0, 400.0, 200.0);
    assert_eq!((passed.goodbye_timeout, passed.partial_message_deadline), (0.0, 200.0));
}

#[test]
fn the_process_ends_shortly_before_the_kill() {
    let shutdown = ConnectionDeadlines::new(700.0, 1_000.0, 0.0);
    assert!(!shutdown.is_kill_imminent(1_000.0 - KILL_MARGIN_MS - 1.0));
    assert!(shutdown.is_kill_imminent(1_000.0 - KILL_MARGIN_MS));
}
