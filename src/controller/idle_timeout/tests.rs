use super::IdleTimeout;
use crate::interface::{Gauges, Settings};

const MAX_MS: f64 = 10_000.0;

fn idle_timeout(caller_count: f64) -> IdleTimeout {
    IdleTimeout::new(1000.0, &Settings { idle_timeout: MAX_MS, caller_count, ..Settings::default() }, 0.0)
}

fn gauges(core_utilization: f64, connections: f64) -> Gauges {
    Gauges { core_utilization: Some(core_utilization), connections: Some(connections), ..Gauges::default() }
}

/// Ten arrivals of different callers, all within 100 ms.
fn arrivals(timeout: &mut IdleTimeout) {
    for caller in 0..10 {
        timeout.record_arrival(caller, 10.0 * caller as f64);
    }
}

#[test]
fn connections_are_closed_at_once_where_callers_rarely_return() {
    let mut many = idle_timeout(100_000.0);
    arrivals(&mut many);
    assert_eq!(many.sample(250.0, &gauges(0.9, 10.0)), Some(50.0));
    let mut few = idle_timeout(10.0);
    arrivals(&mut few);
    assert_eq!(few.sample(250.0, &gauges(0.9, 10.0)), None);
}

#[test]
fn on_idle_cores_fewer_returning_callers_suffice() {
    // New callers are expected to return with a probability of 0.3 to 0.6.
    let closes = |utilization| {
        let mut timeout = idle_timeout(1000.0);
        arrivals(&mut timeout);
        timeout.sample(250.0, &gauges(utilization, 10.0)).is_some()
    };
    assert!(closes(1.0));
    assert!(!closes(0.5));
}

#[test]
fn a_high_overhead_keeps_connections_while_the_cores_are_busy() {
    let mut timeout = idle_timeout(100_000.0);
    arrivals(&mut timeout);
    assert_eq!(timeout.sample(250.0, &gauges(0.9, 10.0)), Some(50.0));
    timeout.record_overhead(10.0, 4.0, 4.0);
    assert_eq!(timeout.sample(500.0, &gauges(0.85, 10.0)), Some(50.0 * 1.3 + 50.0));
    assert_eq!(timeout.sample(750.0, &gauges(0.84, 10.0)), Some(69.0));
}

#[test]
fn idle_cores_beside_a_table_that_may_be_full_shorten_the_timeout() {
    let mut timeout = idle_timeout(100.0);
    for caller in 0..40 {
        timeout.record_arrival(caller % 5, 100.0 * caller as f64);
    }
    assert_eq!(timeout.sample(4000.0, &gauges(0.5, 20.0)), Some(MAX_MS * 0.6));
    assert_eq!(timeout.sample(4250.0, &gauges(0.5, 17.0)), Some(MAX_MS), "under nine tenths of 20");
    assert_eq!(timeout.sample(4500.0, &gauges(0.5, 25.0)), None, "a quarter of the callers");
}
