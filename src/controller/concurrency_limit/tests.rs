use super::ConcurrencyLimit;
use crate::interface::{Gauges, Settings};

const IDLE: Gauges =
    Gauges { core_utilization: Some(0.3), runnable: Some(1.0), memory_utilization: None, connections: None };
const BUSY: Gauges = Gauges { core_utilization: Some(0.75), ..IDLE };

fn limit() -> ConcurrencyLimit {
    ConcurrencyLimit::new(&Settings { cores: 4.0, core_concurrency: 5.0, ..Settings::default() }, 250.0, 0.0)
}

#[test]
fn limit_rises_by_one_per_run_and_falls_once_per_period() {
    let mut limit = limit();
    for _ in 0..6 {
        limit.run_finished(0.0, false, true, &IDLE);
    }
    assert_eq!(limit.effective(false), 10.0);
    limit.run_finished(0.0, false, false, &IDLE);
    limit.run_finished(0.0, false, true, &BUSY);
    limit.run_finished(0.0, false, true, &Gauges { runnable: Some(4.0), ..IDLE });
    assert_eq!(limit.effective(false), 10.0, "no rise without a queue or without idle cores");
    limit.run_finished(250.0, true, true, &BUSY);
    limit.run_finished(499.0, true, true, &BUSY);
    assert_eq!(limit.effective(false), 8.0);
    for period in 2..20 {
        limit.run_finished(f64::from(period) * 250.0, true, true, &BUSY);
    }
    assert_eq!(limit.effective(false), 4.0, "not below the number of cores");
}

#[test]
fn late_reading_lowers_the_limit_to_a_third_of_the_cores() {
    let mut limit = limit();
    for period in 1..20 {
        limit.decrease_for_late_reading(f64::from(period) * 250.0);
    }
    assert_eq!(limit.effective(true), 4.0 / 3.0);
    assert_eq!(limit.effective(false), 4.0);
    assert_eq!(limit.queue_wait(400.0), 300.0);
}

#[test]
fn survivable_concurrency_bounds_runs_and_calls() {
    let mut limit = limit();
    assert_eq!(limit.survivable(1.0), 14.0);
    assert!((limit.survivable(0.0) - 2.8).abs() < 1e-9);
    assert!(limit.allows_one_more(6.0, 7.0, 1.0));
    assert!(!limit.allows_one_more(7.0, 7.0, 1.0));
    assert!(limit.allows_one_more(0.0, 19.0, 1.0), "the first run may use the reserve");
    for _ in 0..40 {
        limit.run_finished(0.0, false, true, &IDLE);
    }
    limit.cap();
    assert_eq!(limit.effective(false), 14.0);
}
