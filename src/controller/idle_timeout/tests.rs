use super::IdleTimeout;
use crate::interface::{Gauges, Settings};

const MAX_MS: f64 = 10_000.0;

fn idle_timeout(caller_count: f64) -> IdleTimeout {
    IdleTimeout::new(1000.0, &Settings { idle_timeout: MAX_MS, caller_count, ..Settings::default() }, 0.0)
}

fn gauges(core_utilization: f64, connections: f64) -> Gauges {
    Gauges { core_utilization: Some(core_utilization), connections: Some(connections), ..Gauges::default() }
}

/// Records the arrivals of ten different callers within 100 ms.
fn record_ten_arrivals(timeout: &mut IdleTimeout) {
    for caller in 0..10 {
        timeout.record_arrival(caller, 10.0 * caller as f64);
    }
}

#[test]
fn connections_close_at_once_if_callers_rarely_return() {
    let mut many = idle_timeout(100_000.0);
    record_ten_arrivals(&mut many);
    assert_eq!(many.sample(250.0, &gauges(0.9, 10.0)), Some(50.0));
    let mut few = idle_timeout(10.0);
    record_ten_arrivals(&mut few);
    assert_eq!(few.sample(250.0, &gauges(0.9, 10.0)), None);
}

#[test]
fn idle_cores_need_fewer_returning_callers() {
    // The expected reuse rate is between the thresholds of the two cases: 0.5 for full and 0.25 for half
    // utilization.
    let closes = |utilization| {
        let mut timeout = idle_timeout(1000.0);
        record_ten_arrivals(&mut timeout);
        timeout.sample(250.0, &gauges(utilization, 10.0)).is_some()
    };
    assert!(closes(1.0));
    assert!(!closes(0.5));
}

#[test]
fn high_overhead_on_busy_cores_lengthens_the_timeout() {
    let mut timeout = idle_timeout(100_000.0);
    record_ten_arrivals(&mut timeout);
    assert_eq!(timeout.sample(250.0, &gauges(0.9, 10.0)), Some(50.0));
    timeout.record_overhead(10.0, 4.0, 4.0);
    assert_eq!(timeout.sample(500.0, &gauges(0.85, 10.0)), Some(50.0 * 1.3 + 50.0));
    assert_eq!(timeout.sample(750.0, &gauges(0.84, 10.0)), Some(69.0));
}

#[test]
fn possibly_full_table_on_idle_cores_shortens_the_timeout() {
    let mut timeout = idle_timeout(100.0);
    for caller in 0..40 {
        timeout.record_arrival(caller % 5, 100.0 * caller as f64);
    }
    assert_eq!(timeout.sample(4000.0, &gauges(0.5, 20.0)), Some(MAX_MS * 0.6));
    assert_eq!(
        timeout.sample(4250.0, &gauges(0.5, 17.0)),
        Some(MAX_MS),
        "fewer than nine tenths of 20 connections"
    );
    assert_eq!(timeout.sample(4500.0, &gauges(0.5, 25.0)), None, "a quarter of the callers is connected");
}
