use super::*;
use crate::front::fixtures;

const TIMEOUT_MS: Millis = 1_000.0;
const NOW: ClockReading = ClockReading { ms: 5_000.0, unix: 1_000_000.0 };

/// Checks an otherwise valid request after `modify`.
fn check(modify: impl FnOnce(&mut Call)) -> Result<(), InvalidRequest> {
    let mut call = fixtures::call(NOW.unix);
    modify(&mut call);
    check_ranges(&call, TIMEOUT_MS, NOW)
}

#[test]
fn timestamps_beyond_the_maximum_age_or_skew_are_rejected() {
    let oldest = NOW.unix - TIMEOUT_MS - MAX_TIMESTAMP_AGE_MS;
    assert_eq!(check(|call| call.arrived_at = oldest), Ok(()));
    assert_eq!(check(|call| call.arrived_at = oldest - 1.0), Err(InvalidRequest::TimestampOutOfRange));
    let newest = NOW.unix + MAX_CLOCK_SKEW_MS;
    assert_eq!(check(|call| call.arrived_at = newest), Ok(()));
    assert_eq!(check(|call| call.arrived_at = newest + 1.0), Err(InvalidRequest::TimestampOutOfRange));
}

#[test]
fn estimates_beyond_a_multiple_of_the_timeout_are_rejected() {
    let max = TIMEOUT_MS * MAX_ESTIMATE_FACTOR;
    assert_eq!(check(|call| call.estimated_work = Some(max)), Ok(()));
    assert_eq!(
        check(|call| call.estimated_work = Some(max + 1.0)),
        Err(InvalidRequest::EstimatedWorkOutOfRange)
    );
    assert_eq!(check(|call| call.estimated_work = Some(0.0)), Err(InvalidRequest::EstimatedWorkOutOfRange));
    assert_eq!(check(|call| call.remaining_wait = Some(max)), Ok(()));
    assert_eq!(
        check(|call| call.remaining_wait = Some(max + 1.0)),
        Err(InvalidRequest::RemainingWaitOutOfRange)
    );
}
