use super::*;

#[test]
fn delays_grow_to_a_bound_differ_by_seed_and_reset_after_a_stable_connection() {
    let delays = |seed| {
        let mut backoff = Backoff::new(3, seed);
        let sequence: Vec<f64> = (0..40).map(|_| backoff.disconnected(0.0)).collect();
        let tried: std::collections::BTreeSet<usize> =
            (0..3).map(|_| (backoff.disconnected(0.0), backoff.broker()).1).collect();
        assert_eq!(tried.len(), 3);
        backoff.connected(1_000.0);
        assert!(backoff.disconnected(2_000.0) <= MAX_LIMIT_MS);
        backoff.connected(3_000.0);
        assert!(backoff.disconnected(3_000.0 + STABLE_AFTER_MS) <= MIN_LIMIT_MS);
        sequence
    };
    let (one, other) = (delays(1), delays(2));
    assert_ne!(one, other);
    assert!(one.iter().all(|delay| *delay <= MAX_LIMIT_MS) && one[0] <= MIN_LIMIT_MS);
    assert!(one[8..].iter().copied().fold(0.0, f64::max) > MAX_LIMIT_MS / 2.0);
}
