use super::{ActiveRequests, Request, RequestStage};

#[test]
fn run_time_excludes_calls_and_stalls() {
    let mut request = Request { arrived_at: 100.0, ..Request::default() };
    assert!(request.stage.is_before_run());
    request.start_run(150.0, 30.0);
    assert_eq!(request.queue_time, 50.0);
    request.await_call(200.0);
    request.start_call();
    assert_eq!((request.stage, request.call_attempts), (RequestStage::Calling, 1));
    request.resume_run(300.0);
    assert_eq!((request.off_cores_time, request.on_cores_since), (100.0, 300.0));
    // 250 ms since the start, less 100 ms off the cores and 40 ms of a stall during the run.
    assert_eq!(request.run_time(250.0, 70.0), 110.0);
    assert!(!request.stage.is_before_run());
}

#[test]
fn running_counts_the_requests_on_the_cores() {
    let mut requests = ActiveRequests::default();
    for id in [1, 2] {
        requests.insert(id, Request::default());
        assert!(requests.start_run(id, 0.0, 0.0).is_some());
    }
    requests.insert(3, Request::default());
    assert_eq!(requests.running(), 2.0);
    assert!(requests.await_call(1, 10.0).is_some());
    assert!(requests.await_call(1, 10.0).is_none(), "request 1 is already off the cores");
    assert_eq!(requests.running(), 1.0);
    requests.resume_run(1, 20.0);
    assert_eq!(requests.running(), 2.0);
    assert!(requests.await_call(2, 30.0).is_some());
    for (id, running_after) in [(3, 1.0), (2, 1.0), (1, 0.0)] {
        assert!(requests.remove(id).is_some());
        assert_eq!(requests.running(), running_after);
    }
    assert!(requests.start_run(1, 40.0, 0.0).is_none(), "request 1 was removed");
    assert_eq!(requests.running(), 0.0);
}

#[test]
fn run_of_a_resolved_request_gets_no_call() {
    let mut requests = ActiveRequests::default();
    requests.insert(1, Request { is_resolved: true, ..Request::default() });
    assert!(requests.start_run(1, 0.0, 0.0).is_some());
    assert!(requests.await_call(1, 10.0).is_none());
    assert_eq!(requests.running(), 1.0);
}
