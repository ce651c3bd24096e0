use super::{Availability, Forecast};

#[test]
fn a_request_that_cannot_meet_its_objective_is_hopeless() {
    let forecast = Forecast { wait: 100.0, expected_time: 300.0, objective_at: 1000.0 };
    assert!(!forecast.is_hopeless(599.0, false));
    assert!(forecast.is_hopeless(600.0, false));
    assert!(forecast.is_hopeless(600.0, true), "it does not start now");
}

#[test]
fn on_idle_cores_a_request_may_start_until_its_objective() {
    let forecast = Forecast { wait: 0.0, expected_time: 300.0, objective_at: 1000.0 };
    assert!(forecast.misses_objective(999.0));
    assert!(!forecast.is_hopeless(999.0, true));
    assert!(forecast.is_hopeless(1000.0, true));
}

#[test]
fn retry_after_is_half_the_wait_of_a_newcomer_up_to_what_callers_honour() {
    let open = Availability { wait: 400.0, is_unavailable: false, max_retry_after: 1000.0 };
    assert_eq!(open.retry_after(1.0), 200.0);
    assert_eq!(open.retry_after(1.25), 250.0);
    assert_eq!(Availability { wait: 9000.0, ..open }.retry_after(1.0), 1000.0);
    assert_eq!(Availability { is_unavailable: true, ..open }.retry_after(1.0), 1000.0);
}
