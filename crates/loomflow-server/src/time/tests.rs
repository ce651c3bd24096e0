use super::*;

#[test]
fn durations_round_to_microseconds_and_clamp_at_zero() {
    assert_eq!(floor_duration(1.2345), Duration::from_micros(1_234));
    assert_eq!(ceil_duration(1.2345), Duration::from_micros(1_235));
    assert_eq!(floor_duration(-1.0), Duration::ZERO);
    assert_eq!(ceil_duration(-1.0), Duration::ZERO);
}

#[test]
fn exact_duration_keeps_nanoseconds() {
    assert_eq!(exact_duration(1.250_001), Duration::from_nanos(1_250_001));
    assert_eq!(exact_duration(0.000_001), Duration::from_nanos(1));
}

#[test]
fn durations_and_microseconds_convert_to_millis() {
    assert_eq!(duration_millis(Duration::from_millis(300)), 300.0);
    assert_eq!(millis(-1_500), -1.5);
}
