use super::Jitter;

#[test]
fn factors_have_a_mean_of_one_and_repeat_for_a_seed() {
    let factors = |seed| {
        let mut jitter = Jitter::new(seed);
        (0..1000).map(|_| jitter.next_factor()).collect::<Vec<f64>>()
    };
    let first = factors(7);
    assert_eq!(first, factors(7));
    assert_ne!(first, factors(8));
    assert!(first.iter().all(|factor| (0.75..1.25).contains(factor)));
    let mean = first.iter().sum::<f64>() / 1000.0;
    assert!((0.98..1.02).contains(&mean), "{mean}");
}

#[test]
fn state_follows_the_generator() {
    let mut jitter = Jitter { state: 1 };
    jitter.next_factor();
    assert_eq!(jitter.state, 6_364_136_223_846_793_005 + 1_442_695_040_888_963_407);
}
