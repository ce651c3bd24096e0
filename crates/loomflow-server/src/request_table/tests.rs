use super::*;

#[test]
fn answered_run_without_end_is_unreported_after_timeout() {
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
    assert!(table.unreported_runs(9.0 + RUN_END_TIMEOUT_MS).is_empty());
    assert_eq!(table.unreported_runs(10.0 + RUN_END_TIMEOUT_MS), [1]);
    // Request 2 is not returned: it is unanswered, and the controller ends it.
    assert_eq!(table.unreported_runs(1e9), [1]);
}
