use super::*;

/// Messages that a driver delivers in one turn (`driver::MAX_MESSAGES_PER_TURN`).
const MESSAGES_PER_TURN: usize = 16;

#[test]
fn violations_are_bounded_and_decay_one_per_interval() {
    let start = Instant::now();
    let mut violations = Violations::new(start);
    (0..1_000).for_each(|_| violations.record(start));
    assert_eq!(violations.current(start), MAX_VIOLATIONS);
    // Repeated reads of the count within an interval cause no decay.
    let almost = DECAY_INTERVAL.saturating_sub(Duration::from_millis(1));
    assert_eq!((0..5).map(|_| violations.current(start + almost)).last(), Some(MAX_VIOLATIONS));
    assert_eq!(violations.current(start + DECAY_INTERVAL), MAX_VIOLATIONS - 1);
    // Violations at the maximum rate that throttling allows keep the count at its maximum.
    let mut now = start;
    for _ in 0..100 {
        now += THROTTLE_STEP * MAX_VIOLATIONS;
        (0..MESSAGES_PER_TURN).for_each(|_| violations.record(now));
    }
    assert_eq!(violations.current(now), MAX_VIOLATIONS);
    assert_eq!(violations.current(now + DECAY_INTERVAL * MAX_VIOLATIONS), 0);
    // Time without violations does not count towards the decay of a later one.
    violations.record(now + Duration::from_secs(86_400));
    assert_eq!(violations.current(now + Duration::from_secs(86_400)), 1);
    assert_eq!(violations.current(now + Duration::from_secs(10 * 365 * 86_400)), 0);
}

#[test]
fn each_recent_violation_delays_reading_by_a_step() {
    let start = Instant::now();
    let mut violations = Violations::new(start);
    assert_eq!(violations.throttle_delay(start), Duration::ZERO);
    violations.record(start);
    violations.record(start);
    assert_eq!(violations.throttle_delay(start), THROTTLE_STEP * 2);
    assert_eq!(violations.throttle_delay(start + DECAY_INTERVAL), THROTTLE_STEP);
}
