use super::{Availability, Forecast};

#[test]
fn request_that_would_miss_its_objective_is_rejected() {
    let forecast = Forecast { wait: 100.0, expected_time: 300.0, objective_at: 1000.0 };
    assert!(!forecast.should_reject(599.0, false));
    assert!(forecast.should_reject(600.0, false));
    assert!(forecast.should_reject(600.0, true), "idle cores do not matter while it has to wait");
}

#[test]
fn request_for_idle_cores_is_kept_until_its_objective() {
    let forecast = Forecast { wait: 0.0, expected_time: 300.0, objective_at: 1000.0 };
    assert!(forecast.misses_objective(999.0));
    assert!(!forecast.should_reject(999.0, true));
    assert!(forecast.should_reject(1000.0, true));
}

#[test]
fn retry_after_is_half_the_wait_up_to_the_maximum() {
    let open = Availability { wait: 400.0, is_unavailable: false, max_retry_after: 1000.0 };
    assert_eq!(open.retry_after(1.0), 200.0);
    assert_eq!(open.retry_after(1.25), 250.0);
    assert_eq!(Availability { wait: 9000.0, ..open }.retry_after(1.0), 1000.0);
    assert_eq!(Availability { is_unavailable: true, ..open }.retry_after(1.0), 1000.0);
}
