use super::*;

#[test]
fn a_run_whose_end_is_not_reported_is_lost_after_a_timeout() {
    let mut table = RequestTable::default();
    for id in [1, 2] {
        table.insert(
            id,
            RequestEntry::queued(
                ResponseHandle::Tag(1, id.into()),
                AttemptId(id.into()),
                0,
                Idempotency::Always,
                None,
                Vec::new(),
            ),
        );
    }
    assert!(table.mark_answered(1, 10.0).is_some() && table.mark_answered(1, 10.0).is_none());
    assert_eq!(table.unanswered_count(), 1);
    assert!(table.lost_runs(9.0 + RUN_END_TIMEOUT_MS).is_empty());
    assert_eq!(table.lost_runs(10.0 + RUN_END_TIMEOUT_MS), [1]);
    // An unanswered request is ended by the controller.
    assert_eq!(table.lost_runs(1e9), [1]);
}
