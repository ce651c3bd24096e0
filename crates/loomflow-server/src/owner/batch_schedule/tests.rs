use super::*;

#[test]
fn timeout_ends_at_next_deadline_or_maximum_sleep() {
    let schedule = BatchSchedule::new(10.0, 2.0, 15.5);
    assert_eq!(schedule.timeout(11.0), Duration::from_micros(4_500));
    assert_eq!(schedule.timeout(16.0), Duration::ZERO);
    let without_deadline = BatchSchedule::new(10.0, 2.0, f64::INFINITY);
    assert_eq!(without_deadline.timeout(10.0), Duration::from_millis(100));
}

#[test]
fn batch_long_after_its_deadline_follows_a_pause() {
    let schedule = BatchSchedule::new(0.0, 2.0, 5.0);
    assert!(!schedule.follows_pause(5.0 + PAUSE_THRESHOLD_MS));
    assert!(schedule.follows_pause(5.1 + PAUSE_THRESHOLD_MS));
}

#[test]
fn batch_is_delayed_until_interval_has_passed() {
    let schedule = BatchSchedule::new(10.0, 2.0, 50.0);
    assert_eq!(schedule.delay(11.0), Some(Duration::from_millis(1)));
    assert_eq!(schedule.delay(12.0), None);
}
