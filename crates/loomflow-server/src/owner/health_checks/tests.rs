use super::*;

fn checks() -> HealthChecks {
    HealthChecks::new(Arc::new(AtomicBool::new(true)))
}

#[test]
fn only_deep_checks_need_the_engine_where_the_site_has_them_and_none_is_cached() {
    let mut checks = checks();
    assert!(checks.needs_engine(true, true));
    assert!(!checks.needs_engine(false, true) && !checks.needs_engine(true, false));
    checks.set_cached(true);
    assert!(!checks.needs_engine(true, true));
}

#[test]
fn a_check_that_the_engine_does_not_answer_expires() {
    let mut checks = checks();
    let handles = [ResponseHandle::Tag(1, 1), ResponseHandle::Tag(1, 2)];
    checks.sent(5, handles[0], 0.0);
    checks.sent(6, handles[1], 10.0);
    assert_eq!(checks.take_expired(HEALTH_CHECK_TIMEOUT_MS - 1.0), None);
    assert_eq!(checks.take_expired(HEALTH_CHECK_TIMEOUT_MS), Some(handles[0]));
    assert_eq!(checks.take_expired(HEALTH_CHECK_TIMEOUT_MS), None);
    assert_eq!((checks.answered("5"), checks.answered("x")), (None, None));
    assert_eq!(checks.answered("6"), Some(handles[1]));
}

#[test]
fn the_control_plane_is_told_the_health() {
    let ready = Arc::new(AtomicBool::new(true));
    let mut checks = HealthChecks::new(ready.clone());
    checks.set_healthy(false);
    assert!(!checks.is_healthy() && !ready.load(Ordering::Acquire));
}
