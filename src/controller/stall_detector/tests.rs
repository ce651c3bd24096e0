use super::StallDetector;

#[test]
fn six_overdue_completions_are_a_stall_until_a_run_ends() {
    let mut detector = StallDetector::new(0.0);
    assert!(detector.has_progress_within(300.0, 299.0));
    assert!(!detector.has_progress_within(300.0, 300.0));
    assert_eq!(detector.overdue_completions(100.0, 0.0, 500.0), 5.0);
    assert_eq!(detector.overdue_completions(100.0, 300.0, 500.0), 2.0, "the run came on the cores at 300 ms");
    assert!(!detector.update(5.9));
    assert!(detector.update(6.0));
    assert!(detector.update(1.0), "a stall lasts until a run ends");
    detector.record_progress(2000.0);
    assert!(!detector.is_stalled());
    assert_eq!(detector.stall_time(), 2000.0);
    detector.record_progress(3000.0);
    assert_eq!(detector.stall_time(), 2000.0, "a gap without a stall does not count");
}
