use super::*;

#[test]
fn delays_grow_up_to_the_limit_and_reset_after_a_stable_connection() {
    let delays = |seed| {
        let mut backoff = Backoff::new(3, seed);
        let sequence: Vec<f64> = (0..40).map(|_| backoff.disconnected(0.0)).collect();
        let brokers: std::collections::BTreeSet<usize> =
            (0..3).map(|_| (backoff.disconnected(0.0), backoff.broker()).1).collect();
        assert_eq!(brokers.len(), 3);
        backoff.connected(1_000.0);
        assert!(backoff.disconnected(2_000.0) <= MAX_LIMIT_MS);
        backoff.connected(3_000.0);
        assert!(backoff.disconnected(3_000.0 + STABLE_AFTER_MS) <= MIN_LIMIT_MS);
        sequence
    };
    let first = delays(1);
    assert_ne!(first, delays(2), "seeds differ");
    assert!(first.iter().all(|delay| *delay <= MAX_LIMIT_MS) && first[0] <= MIN_LIMIT_MS);
    assert!(first[8..].iter().copied().fold(0.0, f64::max) > MAX_LIMIT_MS / 2.0);
}
