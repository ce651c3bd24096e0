use super::SlowStart;
use crate::interface::Settings;

#[test]
fn speed_rises_linearly_to_one() {
    let settings = Settings {
        is_slow_start: true,
        slow_start_share: 0.2,
        slow_start_duration: 1000.0,
        ..Settings::default()
    };
    let slow_start = SlowStart::new(&settings, 5000.0);
    assert_eq!(slow_start.speed(5000.0), 0.2);
    assert!((slow_start.speed(5500.0) - 0.6).abs() < 1e-9);
    assert_eq!(slow_start.speed(6000.0), 1.0);
    let warm = SlowStart::new(&Settings { is_slow_start: false, ..settings }, 5000.0);
    assert_eq!(warm.speed(5000.0), 1.0);
}
