use super::{CallTimes, may_linger, may_run_again};
use crate::estimate::SmoothedMean;
use crate::interface::AttemptOutcome;

const TIMES: CallTimes = CallTimes { mean: SmoothedMean { value: 100.0, samples: 30 }, batch_interval: 5.0 };

#[test]
fn idempotent_call_times_out_in_time_for_a_retry() {
    assert_eq!(TIMES.deadline(0.0, true, 500.0, 3000.0), 400.0, "four mean call times");
    assert_eq!(TIMES.deadline(0.0, true, 2000.0, 3000.0), 1000.0, "half the time left");
    assert_eq!(TIMES.deadline(0.0, true, 500.0, 300.0), 300.0);
    assert_eq!(TIMES.deadline(0.0, true, 500.0, 3.0), 5.0, "at least one batch");
    assert_eq!(TIMES.deadline(0.0, false, 500.0, 3000.0), 3000.0);
    let unmeasured = CallTimes { mean: SmoothedMean::default(), ..TIMES };
    assert_eq!(unmeasured.deadline(0.0, true, 500.0, 3000.0), 3000.0);
}

#[test]
fn retries_back_off_until_attempts_or_time_run_out() {
    assert_eq!(TIMES.retry_at(0.0, 1, 3000.0), Some(100.0));
    assert_eq!(TIMES.retry_at(0.0, 2, 3000.0), Some(200.0));
    assert_eq!(TIMES.retry_at(0.0, 3, 3000.0), Some(400.0));
    assert_eq!(TIMES.retry_at(0.0, 4, 3000.0), None);
    assert_eq!(TIMES.retry_at(0.0, 2, 300.0), None);
}

#[test]
fn retry_and_linger_depend_on_the_outcome() {
    use AttemptOutcome::{ConnectionLost, Error, NotStarted, Rejected, TimedOut, Unreachable};
    for outcome in [Error, TimedOut, ConnectionLost, Rejected, Unreachable, NotStarted] {
        let never_ran = [Rejected, Unreachable, NotStarted].contains(&outcome);
        assert!(may_run_again(outcome, true));
        assert_eq!(may_run_again(outcome, false), never_ran, "{outcome:?}");
        assert_eq!(may_linger(outcome), [TimedOut, ConnectionLost].contains(&outcome), "{outcome:?}");
    }
}

#[test]
fn permit_wait_counts_four_times() {
    assert_eq!(TIMES.permit_wait(3, 2.0), 900.0, "two rounds and the call");
    assert_eq!(TIMES.permit_wait(1, 0.0), 500.0);
}
