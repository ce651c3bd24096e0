use super::{Deadlines, caller_deadline, next_queue_check};
use crate::interface::{Class, Idempotency, RequestAttributes};

#[test]
fn checks_are_due_in_order_and_responses_before_the_deadline() {
    let mut deadlines = Deadlines::new(5.0);
    assert_eq!(deadlines.respond_by(1000.0), 940.0);
    deadlines.schedule(30.0, 1);
    deadlines.schedule(20.0, 2);
    deadlines.schedule(40.0, 3);
    assert_eq!(deadlines.pop_due(30.0), Some(2));
    assert_eq!(deadlines.pop_due(30.0), Some(1));
    assert_eq!(deadlines.pop_due(30.0), None);
}

#[test]
fn response_is_due_in_the_microsecond_of_its_check() {
    let deadlines = Deadlines::new(5.0);
    assert!(!deadlines.is_response_due(1000.0006, 939.9996));
    assert!(deadlines.is_response_due(1000.0006, 940.0002));
    assert!(deadlines.is_response_due(1000.0006, 940.0006));
}

#[test]
fn queued_request_is_checked_when_it_would_miss_its_objective() {
    assert_eq!(next_queue_check(0.0, 800.0, 300.0, 900.0), 500.0);
    assert_eq!(next_queue_check(480.0, 800.0, 300.0, 900.0), 530.0, "not before the next tick");
    assert_eq!(next_queue_check(880.0, 800.0, 300.0, 900.0), 900.0, "not after the response is due");
}

#[test]
fn deadline_comes_from_the_caller_or_the_class_timeout() {
    let class = Class {
        idempotency: Idempotency::Never,
        latency_objective: 500.0,
        objective_per_work: 0.0,
        timeout: 2000.0,
        priority_weight: 1.0,
        late_weight: 0.0,
        idempotency_window: 0.0,
        makes_calls: false,
        degraded_weight: 0.0,
    };
    let request = RequestAttributes {
        class: 0,
        tenant: 0,
        remaining_wait: 300.0,
        estimated_work: None,
        memory_kb: 1.0,
        rank: 0.0,
        is_retry: false,
        caller: 0,
        age: 100.0,
        upstream_time: 50.0,
    };
    assert_eq!(caller_deadline(&request, &class, 1000.0, true), 1300.0);
    assert_eq!(caller_deadline(&request, &class, 1000.0, false), 2850.0);
}
