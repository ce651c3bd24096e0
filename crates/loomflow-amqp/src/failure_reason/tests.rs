use super::*;

/// Operators filter dead letters by these values, so they must not change.
#[test]
fn reasons_keep_their_header_values() {
    let reasons = [
        (FailureReason::NO_CLASS, "no-class"),
        (FailureReason::UNKNOWN_CLASS, "unknown-class"),
        (FailureReason::NO_TENANT, "no-tenant"),
        (FailureReason::UNKNOWN_TENANT, "unknown-tenant"),
        (FailureReason::KEY_TOO_LONG, "key-too-long"),
        (FailureReason::KEY_MISMATCH, "key-of-another"),
        (FailureReason::TOO_LARGE, "too-large"),
        (FailureReason::FAILED, "failed"),
        (FailureReason::MAY_HAVE_RUN, "may-have-run"),
        (FailureReason::RESULT_DISCARDED, "result-gone"),
        (FailureReason::RUN_UNKNOWN, "run-unknown"),
        (FailureReason::NOT_RUN, "not-run"),
        (FailureReason::OUT_OF_TIME, "out-of-time"),
        (FailureReason::RETRIES_EXHAUSTED, "refused-too-often"),
        (FailureReason::REPLY_REJECTED, "reply-refused"),
        (FailureReason::REPLY_UNROUTABLE, "reply-unroutable"),
    ];
    for (reason, text) in reasons {
        assert_eq!((reason.as_str(), reason.to_string().as_str()), (text, text));
    }
}
