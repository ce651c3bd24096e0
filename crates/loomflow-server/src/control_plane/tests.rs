use super::*;

/// A server is unlisted this long after its last report.
const UNLISTED_AFTER: Duration = Duration::from_secs(3);

#[test]
fn reports_are_regular_however_long_each_takes() {
    for took in [0, 100, 500].map(Duration::from_millis) {
        assert_eq!(took + wait_after_report(false, took), REPORT_INTERVAL);
    }
}

#[test]
fn a_failed_report_is_retried_soon_and_never_at_once() {
    assert_eq!(wait_after_report(true, Duration::ZERO), RETRY_INTERVAL);
    for has_failed in [true, false] {
        assert_eq!(wait_after_report(has_failed, UNLISTED_AFTER), RETRY_INTERVAL);
    }
}

#[test]
fn a_lost_report_does_not_unlist_the_server() {
    let failed = REPORT_TIMEOUT + wait_after_report(true, REPORT_TIMEOUT);
    assert!(REPORT_INTERVAL + failed + REPORT_TIMEOUT < UNLISTED_AFTER);
}

#[test]
fn only_a_final_response_of_success_ends_a_report_well() {
    let is_success = |status| report_result(HttpStatus(status)).map(|result| result.is_ok());
    assert_eq!([100, 102, 199].map(is_success), [None; 3]);
    assert_eq!([200, 204, 299].map(is_success), [Some(true); 3]);
    assert_eq!([0, 304, 404, 503].map(is_success), [Some(false); 4]);
}
