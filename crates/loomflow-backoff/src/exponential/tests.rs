use super::*;

fn delays(mut backoff: ExponentialBackoff) -> [Millis; 5] {
    std::array::from_fn(|_| backoff.advance())
}

#[test]
fn delays_double_up_to_the_maximum() {
    assert_eq!(delays(ExponentialBackoff::new(100.0, 500.0)), [100.0, 200.0, 400.0, 500.0, 500.0]);
}

#[test]
fn delay_after_doubles_up_to_the_maximum() {
    let delays =
        [0, 1, 2, 3, u32::MAX].map(|attempts| ExponentialBackoff::delay_after(100.0, 500.0, attempts));
    assert_eq!(delays, [100.0, 200.0, 400.0, 500.0, 500.0]);
}

#[test]
fn immediate_first_begins_without_a_delay() {
    assert_eq!(delays(ExponentialBackoff::immediate_first(100.0, 300.0)), [0.0, 100.0, 200.0, 300.0, 300.0]);
}

#[test]
fn reset_restores_the_first_delay() {
    for initial in [ExponentialBackoff::new(1.0, 8.0), ExponentialBackoff::immediate_first(1.0, 8.0)] {
        let mut backoff = initial;
        backoff.advance();
        backoff.advance();
        assert_ne!(backoff.delay(), initial.delay());
        backoff.reset();
        assert_eq!(backoff, initial);
    }
}
