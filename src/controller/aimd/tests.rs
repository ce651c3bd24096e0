use super::AimdValue;

#[test]
fn a_value_falls_by_a_factor_once_a_period_and_not_below_its_minimum() {
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
    assert_eq!(value.value(), 8.0, "under its cap");
    value.cap(6.0);
    assert_eq!(value.value(), 6.0);
}
