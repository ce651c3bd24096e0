use super::{Shutdown, ShutdownTimes};

#[test]
fn intake_ends_after_grace_and_responses_are_due_before_the_kill() {
    let times = ShutdownTimes { drain_grace: 2000.0, response_slack: 60.0 };
    let shutdown = Shutdown::requested(1000.0, 6000.0, 70.0, times);
    assert!(!shutdown.has_stopped_intake(2999.0));
    assert!(shutdown.has_stopped_intake(3000.0));
    assert!(!shutdown.is_after_intake(3000.0));
    assert!(shutdown.is_after_intake(3001.0));
    assert_eq!(shutdown.respond_by(), 6870.0);
}

#[test]
fn without_a_shutdown_intake_never_ends() {
    let shutdown = Shutdown::not_requested();
    assert!(!shutdown.has_stopped_intake(f64::MAX) && !shutdown.is_after_intake(f64::MAX));
    assert_eq!(shutdown.respond_by(), f64::INFINITY);
}
