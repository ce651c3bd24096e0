use super::*;

#[test]
fn intake_stops_at_the_end_of_the_grace_period() {
    let mut shutdown = GracefulShutdown::new(3_000.0);
    assert!(!shutdown.is_requested() && shutdown.stop_intake(1e9).is_none());
    let deadlines = shutdown.request(400.0, 100.0).expect("the first request");
    assert_eq!(deadlines, ShutdownDeadlines { complete_by: 2_800.0, kill_deadline: 3_100.0 });
    assert_eq!(shutdown.next_deadline(), 500.0);
    assert_eq!(shutdown.request(400.0, 200.0), None, "a second request has no effect");
    assert_eq!(shutdown.stop_intake(499.0), None);
    assert_eq!(shutdown.stop_intake(500.0), Some(deadlines));
    assert_eq!(shutdown.stop_intake(501.0), None);
    assert!(shutdown.is_requested() && shutdown.next_deadline().is_infinite());
}

#[test]
fn grace_period_and_margin_are_shares_of_a_short_time_until_the_kill() {
    let mut shutdown = GracefulShutdown::new(400.0);
    let deadlines = shutdown.request(1_000.0, 0.0).expect("the first request");
    assert_eq!(deadlines.complete_by, 300.0);
    assert_eq!(shutdown.next_deadline(), 200.0);
}

#[test]
fn a_shutdown_is_complete_once_intake_has_stopped_and_everything_is_answered_and_sent() {
    let mut shutdown = GracefulShutdown::new(1_000.0);
    shutdown.request(100.0, 0.0);
    assert!(!shutdown.is_complete(0, || true), "during the grace period");
    shutdown.stop_intake(100.0);
    assert!(!shutdown.is_complete(1, || true) && !shutdown.is_complete(0, || false));
    assert!(shutdown.is_complete(0, || true));
}
