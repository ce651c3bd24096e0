use super::RunEstimates;
use crate::controller::request::Request;

#[test]
fn estimates_follow_the_runs_of_the_class() {
    let mut estimates = RunEstimates::new(2);
    let request = Request { class: 1, off_cores_time: 30.0, ..Request::default() };
    for run in 0..6 {
        assert_eq!(estimates.usual_run(&request), None, "after {run} runs");
        estimates.record(&request, 100.0);
    }
    assert_eq!(estimates.usual_run(&request), Some(100.0));
    assert_eq!(estimates.expected_run(1, None), 100.0);
    assert_eq!(estimates.expected_run(0, None), 0.0, "another class");
    let queued = Request { class: 1, expected_run: 80.0, ..Request::default() };
    assert_eq!(estimates.expected_time(&queued), 110.0);
    // A run of three times its expected time lengthens the usual run by the mean square of the overrun.
    estimates.record(&request, 300.0);
    assert!(estimates.usual_run(&request).is_some_and(|usual| usual > 200.0));
}
