use super::*;

#[test]
fn gauges_are_polled_once_ahead_of_timers() {
    let mut timers = Timers::new();
    timers.set(100.0, 0.0);
    timers.set(104.0, 0.0);
    assert_eq!(timers.next_deadline(), 100.0 - GAUGE_POLL_LEAD_MS);
    assert!(!timers.take_due_gauge_poll(99.0 - GAUGE_POLL_LEAD_MS));
    assert!(timers.take_due_gauge_poll(100.0 - GAUGE_POLL_LEAD_MS));
    assert!(!timers.take_due_gauge_poll(100.0), "the poll was taken already");
    assert_eq!(timers.next_deadline(), 100.0);
    // For a timer that is due within [`GAUGE_POLL_LEAD_MS`], the poll is due immediately.
    timers.set(101.0, 98.0);
    assert!(timers.take_due_gauge_poll(98.0));
}

#[test]
fn timers_fire_once_in_order() {
    let mut timers = Timers::new();
    timers.set(20.0, 0.0);
    timers.set(10.0, 0.0);
    assert!(!timers.take_due_timer(9.0));
    assert!(timers.take_due_timer(20.0) && timers.take_due_timer(20.0) && !timers.take_due_timer(20.0));
    assert_eq!(Timers::new().next_deadline(), f64::INFINITY);
}
