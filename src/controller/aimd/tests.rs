use super::AimdValue;

#[test]
fn decreases_once_per_period_and_stays_within_bounds() {
    let mut value = AimdValue::new(10.0, 250.0, 0.0);
    value.decrease(249.0, 4.0);
    assert_eq!(value.value(), 10.0, "within the period");
    value.decrease(250.0, 4.0);
    value.decrease(499.0, 4.0);
    assert_eq!(value.value(), 8.0);
    value.decrease(500.0, 7.0);
    assert_eq!(value.value(), 7.0);
    value.increase(1.0);
    value.cap(9.0);
    assert_eq!(value.value(), 8.0, "below the cap");
    value.cap(6.0);
    assert_eq!(value.value(), 6.0);
}
