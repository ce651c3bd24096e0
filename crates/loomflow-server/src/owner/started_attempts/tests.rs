use super::*;

#[test]
fn ids_are_kept_for_the_retention_time() {
    let mut started = StartedAttempts::new(10);
    started.record(AttemptId(1), 0.0);
    started.record(AttemptId(2), 1.0);
    started.record(AttemptId(1), 2.0);
    started.expire(RETENTION_MS - 0.5);
    assert!(started.contains(AttemptId(1)) && started.contains(AttemptId(2)));
    started.expire(RETENTION_MS + 0.5);
    assert!(!started.contains(AttemptId(1)) && started.contains(AttemptId(2)));
}

#[test]
fn the_oldest_id_is_forgotten_beyond_the_maximum() {
    let mut started = StartedAttempts::new(3);
    for number in 0..1_000 {
        started.record(AttemptId(number), 0.0);
    }
    let kept: Vec<u64> = (0..1_000).filter(|number| started.contains(AttemptId(*number))).collect();
    assert_eq!(kept, [997, 998, 999]);
    assert_eq!((started.ended_runs.len(), started.ids.len()), (3, 3));
}
