use super::*;

#[test]
fn keys_are_known_for_their_time_and_the_oldest_make_room() {
    let key = |number: usize| number.to_string();
    let mut old = RetiredKeys::new(800.0, 100);
    for number in 0..100 {
        old.insert(&key(number), number % 2 == 0, number as f64 * 10.0);
    }
    assert!(old.len() <= 100);
    assert!((20..100).all(|number| old.get(&key(number)) == Some(number % 2 == 0)));
    old.expire(990.0 + 800.0 + 100.0);
    assert_eq!((old.len(), old.get(&key(99))), (0, None));
    for number in 0..1_000 {
        old.insert(&key(number), true, 5_000.0);
        assert!(old.len() <= 100);
    }
}
