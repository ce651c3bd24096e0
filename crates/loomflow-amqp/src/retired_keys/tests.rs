use super::*;

/// What is retained of a key whose newest completed caller is `caller`; 0 for none.
fn retired_key(caller: u64) -> RetiredKey {
    RetiredKey { completed_caller: NonZeroU64::new(caller) }
}

#[test]
fn keys_expire_after_the_retention_time_and_are_bounded() {
    let key = |number: usize| number.to_string();
    let mut retired = RetiredKeys::new(800.0, 100);
    for number in 0..100 {
        retired.insert(&key(number), retired_key(number as u64 % 2), number as f64 * 10.0);
    }
    assert!(retired.len() <= 100);
    assert!((20..100).all(|number| retired.get(&key(number)) == Some(retired_key(number as u64 % 2))));
    retired.expire(990.0 + 800.0 + 100.0);
    assert_eq!((retired.len(), retired.get(&key(99))), (0, None));
    for number in 0..1_000 {
        retired.insert(&key(number), retired_key(1), 5_000.0);
        assert!(retired.len() <= 100);
    }
}

#[test]
fn the_oldest_generation_is_dropped_above_the_bound() {
    let mut retired = RetiredKeys::new(800.0, 100);
    for number in 0..110_u32 {
        let generation = number / 30;
        retired.insert(&number, retired_key(1), f64::from(generation) * 100.0);
    }
    assert!((0..30).all(|number| retired.get(&number).is_none()));
    assert!((30..110).all(|number| retired.get(&number) == Some(retired_key(1))));
    assert_eq!(retired.len(), 80);
}
