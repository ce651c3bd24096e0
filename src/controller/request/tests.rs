use super::{Request, RequestStage};

#[test]
fn calls_and_stalls_do_not_count_as_run_time() {
    let mut request = Request { arrived_at: 100.0, ..Request::default() };
    assert!(request.stage.is_before_run());
    request.start_run(150.0, 30.0);
    assert_eq!(request.queue_time, 50.0);
    request.await_call(200.0);
    request.start_call();
    assert_eq!((request.stage, request.call_attempts), (RequestStage::Calling, 1));
    request.resume_run(300.0);
    assert_eq!((request.off_cores_time, request.on_cores_since), (100.0, 300.0));
    // 250 since the start, of which 100 off the cores and 40 of a stall that began later.
    assert_eq!(request.run_time(250.0, 70.0), 110.0);
    assert!(!request.stage.is_before_run());
}
