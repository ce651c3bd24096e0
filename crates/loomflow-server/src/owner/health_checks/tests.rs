use super::*;

fn checks() -> HealthChecks {
    HealthChecks::new(Arc::new(AtomicBool::new(true)))
}

#[test]
fn only_uncached_deep_checks_need_the_engine() {
    let mut checks = checks();
    assert!(checks.needs_engine(true, true));
    assert!(!checks.needs_engine(false, true) && !checks.needs_engine(true, false));
    checks.set_cached(true);
    assert!(!checks.needs_engine(true, true));
}

#[test]
fn check_without_reply_expires_after_its_timeout() {
    let mut checks = checks();
    let handles = [ResponseHandle::Tag(1, 1), ResponseHandle::Tag(1, 2)];
    checks.add_pending(5, handles[0], 0.0);
    checks.add_pending(6, handles[1], 10.0);
    assert_eq!(checks.take_expired(HEALTH_CHECK_TIMEOUT_MS - 1.0), None);
    assert_eq!(checks.take_expired(HEALTH_CHECK_TIMEOUT_MS), Some(handles[0]));
    assert_eq!(checks.take_expired(HEALTH_CHECK_TIMEOUT_MS), None);
    assert_eq!((checks.take_pending("5"), checks.take_pending("x")), (None, None));
    assert_eq!(checks.take_pending("6"), Some(handles[1]));
}

#[test]
fn health_is_shared_with_the_control_plane() {
    let ready = Arc::new(AtomicBool::new(true));
    let mut checks = HealthChecks::new(ready.clone());
    checks.set_healthy(false);
    assert!(!checks.is_healthy() && !ready.load(Ordering::Acquire));
}
