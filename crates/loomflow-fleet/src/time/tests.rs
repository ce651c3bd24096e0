use super::*;

#[test]
fn conversions_round_down_except_scaled_up() {
    assert_eq!(whole_millis(Duration::from_micros(1_999)), 1);
    assert_eq!(whole_seconds(1_999), 1);
    assert_eq!(scaled(999, 0.5), 499);
    assert_eq!(scaled_up(999, 0.5), 500);
}

#[test]
fn seconds_keep_their_fraction() {
    assert_eq!(seconds(1_250), 1.25);
    assert_eq!(millis_of_seconds(2), 2_000);
}
