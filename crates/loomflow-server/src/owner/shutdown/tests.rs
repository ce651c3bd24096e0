use super::*;

#[test]
fn intake_stops_once_when_grace_period_ends() {
    let mut shutdown = GracefulShutdown::new(3_000.0);
    assert!(!shutdown.is_requested() && shutdown.stop_intake(1e9).is_none());
    let deadlines = shutdown.request(400.0, 100.0).expect("the first shutdown request sets deadlines");
    assert_eq!(deadlines, ShutdownDeadlines { complete_by: 2_800.0, kill_deadline: 3_100.0 });
    assert_eq!(shutdown.next_deadline(), 500.0);
    assert_eq!(shutdown.request(400.0, 200.0), None, "a second shutdown request has no effect");
    assert_eq!(shutdown.stop_intake(499.0), None);
    assert_eq!(shutdown.stop_intake(500.0), Some(deadlines));
    assert_eq!(shutdown.stop_intake(501.0), None);
    assert!(shutdown.is_requested() && shutdown.next_deadline().is_infinite());
}

#[test]
fn short_stop_timeout_limits_grace_period_and_margin() {
    let mut shutdown = GracefulShutdown::new(400.0);
    let deadlines = shutdown.request(1_000.0, 0.0).expect("the first shutdown request sets deadlines");
    assert_eq!(deadlines.complete_by, 300.0);
    assert_eq!(shutdown.next_deadline(), 200.0);
}

#[test]
fn shutdown_completes_after_intake_stops_and_responses_are_sent() {
    let mut shutdown = GracefulShutdown::new(1_000.0);
    shutdown.request(100.0, 0.0);
    assert!(!shutdown.is_complete(0, || true), "the grace period has not ended");
    shutdown.stop_intake(100.0);
    assert!(!shutdown.is_complete(1, || true) && !shutdown.is_complete(0, || false));
    assert!(shutdown.is_complete(0, || true));
}
