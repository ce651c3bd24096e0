use super::*;

/// The control plane unlists a server this long after its last report.
const UNLISTED_AFTER: Duration = Duration::from_secs(3);

#[test]
fn report_interval_includes_the_duration_of_the_report() {
    for elapsed in [0, 100, 500].map(Duration::from_millis) {
        assert_eq!(elapsed + wait_after_report(false, elapsed), REPORT_INTERVAL);
    }
}

#[test]
fn failed_report_is_retried_after_the_retry_interval() {
    assert_eq!(wait_after_report(true, Duration::ZERO), RETRY_INTERVAL);
    for has_failed in [true, false] {
        assert_eq!(wait_after_report(has_failed, UNLISTED_AFTER), RETRY_INTERVAL);
    }
}

#[test]
fn one_lost_report_does_not_unlist_the_server() {
    let retried_after = REPORT_TIMEOUT + wait_after_report(true, REPORT_TIMEOUT);
    assert!(REPORT_INTERVAL + retried_after + REPORT_TIMEOUT < UNLISTED_AFTER);
}

#[test]
fn only_a_2xx_response_is_a_success() {
    let is_success = |status| report_result(HttpStatus(status)).map(|result| result.is_ok());
    assert_eq!([100, 102, 199].map(is_success), [None; 3]);
    assert_eq!([200, 204, 299].map(is_success), [Some(true); 3]);
    assert_eq!([0, 304, 404, 503].map(is_success), [Some(false); 4]);
}
