//! Regression tests of the controller: one for each rule violation found by generated cases
//! (`tests/generated`), reduced to the smallest case. Some settings are outside the ranges of all sites.

mod common;
use common::*;
use loomflow::interface::*;

fn call_count(actions: &[Action]) -> usize {
    actions.iter().filter(|action| matches!(action, Action::Call { .. })).count()
}

/// Failure: a key expired while its request was still queued, and a later attempt ran beside that request as a new one.
#[test]
fn a_retained_key_outlives_its_request() {
    let mut settings = settings();
    settings.classes[KEYED].idempotency_window = 100.0;
    let mut driver = Driver::new(settings);
    let actions = driver.arrive(1, KEYED);
    let ttl = actions.iter().find_map(|action| match action {
        Action::RetainKey { id: 1, ttl } => Some(*ttl),
        _ => None,
    });
    assert!(
        ttl.is_some_and(|ttl| ttl >= 8000.0),
        "the key is retained for {ttl:?} ms, at least 8000 ms are needed"
    );
}

/// Load shedding did not count duplicates that wait for the result of their original, so they filled the
/// memory.
#[test]
fn waiting_duplicates_are_shed_before_memory_is_exhausted() {
    let mut settings = settings();
    settings.memory_kb = 1000.0;
    let mut driver = Driver::new(settings);
    driver.arrive(1, KEYED);
    let mut failed = 0;
    for batch in 0..20u32 {
        let duplicate = |n: u32| {
            Event::RequestArrived(Arrival { original: Some(1), ..arrival(100 + batch * 10 + n, KEYED) })
        };
        let actions = driver.batch((0..10).map(duplicate).collect());
        failed += actions.iter().filter(|action| matches!(action, Action::Fail(_))).count();
    }
    // The original, of 10 KB, occupies eight times its size while it runs, and its retained key occupies 10 KB.
    let used = 90.0 + (200 - failed) as f64 * 10.0;
    assert!(used <= 1000.0, "{used} KB in use, 1000 KB are available");
    assert!(failed < 150, "{failed} duplicates failed, at most 149 may");
}

/// On one core with a survivable concurrency of 1.5, two runs started: the bound was compared without the new
/// run.
#[test]
fn the_concurrency_limit_includes_the_run_started_last() {
    let mut settings = settings();
    (settings.cores, settings.core_concurrency) = (1.0, 1.5);
    let mut driver = Driver::new(settings);
    driver.gauges.runnable = Some(0.0);
    driver.advance(60.0);
    driver.batch(arrivals(1..=4, SAFE));
    // A run that ends on an idle core while requests are queued raises the limit.
    assert_eq!(started_runs(&driver.finish_next(60.0)).len(), 1);
}

/// Runs that wait for a permit were bounded by the concurrency limit alone, and calls in flight by their
/// permits alone; a dependency that recovered returned both to the cores at once.
#[test]
fn runs_and_returning_calls_stay_within_the_survivable_concurrency() {
    let mut settings = settings();
    (settings.cores, settings.core_concurrency, settings.downstream, settings.call_quota) =
        (2.0, 8.0, Downstream::Shared, 12.0);
    let mut driver = Driver::new(settings);
    let (mut started, mut next): (Vec<RequestId>, RequestId) = (vec![], 1);
    // Short runs on idle cores with a queue raise the limit to its maximum.
    for _ in 0..30 {
        started.extend(started_runs(&driver.batch(arrivals(next..=next + 3, UNSAFE))));
        next += 4;
        driver.advance(60.0);
        let id = started.remove(0);
        started.extend(started_runs(&driver.finish(id, 60.0)));
    }
    // From now on every run calls a dependency that does not reply.
    let mut waiting = 0;
    while let Some(id) = started.pop() {
        started.extend(started_runs(&driver.event(Event::CallNeeded(id))));
        waiting += 1;
    }
    assert!(waiting <= 16, "{waiting} runs may return from calls, 16 are survivable");
    assert!(waiting >= 8, "{waiting} runs wait for calls, at least 8 are expected");
}

/// A permit is borrowed only if the credit covers the linger of an abandoned call; a quota whose credit never
/// does allows no call.
#[test]
fn no_call_is_made_that_would_exceed_the_call_quota() {
    let mut settings = settings();
    (settings.downstream, settings.call_quota, settings.call_quota_window, settings.call_linger) =
        (Downstream::Shared, 0.02, 1000.0, 200.0);
    let mut driver = Driver::new(settings);
    driver.arrive(1, SAFE);
    let mut actions = driver.event(Event::CallNeeded(1));
    actions.extend(driver.advance(1500.0));
    assert_eq!(
        call_count(&actions),
        0,
        "a call that lingers for 200 ms of a window of 1,000 ms uses ten times the quota"
    );
}

/// With idle cores but a full concurrency limit, the only queued request was treated as able to start and
/// stayed until its deadline.
#[test]
fn a_request_that_would_be_late_is_rejected_although_cores_are_idle() {
    let mut driver = Driver::new(settings());
    for id in 1..=6 {
        driver.arrive(id, SAFE);
        driver.advance(300.0);
        driver.finish(id, 300.0);
    }
    driver.batch(arrivals(11..=14, UNSAFE));
    driver.arrive(20, SAFE);
    // Four runs wait for a disk, so the cores are idle and the limit is full. A run of request 20 would take
    // 300 ms, of an objective of 2,000 ms.
    assert!(is_rejected(&driver.advance(1760.0), 20));
}

/// The expected call time fell while the request was queued, and the request was not checked again before its
/// deadline.
#[test]
fn a_request_is_rejected_once_it_would_be_late() {
    let mut driver = Driver::new(settings());
    for id in 1..=30 {
        driver.arrive(id, SAFE);
        driver.event(Event::CallNeeded(id));
        driver.advance(500.0);
        driver.event(Event::CallEnded { id, outcome: AttemptOutcome::Ok, duration: 500.0 });
        driver.finish(id, 510.0);
    }
    driver.gauges = FULL;
    driver.advance(60.0);
    driver.batch(arrivals(100..=103, SAFE));
    driver.batch((100..=103).map(Event::CallNeeded).collect());
    driver.batch(arrivals(201..=204, UNSAFE));
    assert!(started_runs(&driver.arrive(300, SAFE)).is_empty());
    driver.advance(20.0);
    let call_ended = |id| Event::CallEnded { id, outcome: AttemptOutcome::Ok, duration: 20.0 };
    driver.batch((100..=103).map(call_ended).collect());
    (100..=103).for_each(|id| drop(driver.finish(id, 30.0)));
    assert!(is_rejected(&driver.advance(2060.0), 300));
}

/// Failure: the process was killed before the next tick, so responses that were due in between were not sent.
#[test]
fn a_shutdown_shorter_than_a_tick_responds_to_all_requests_at_once() {
    let mut driver = Driver::new(settings());
    driver.batch(arrivals(1..=9, SAFE));
    driver.advance(55.0);
    let actions = driver.event(Event::ShutdownRequested { time_left: 30.0 });
    assert!((1..=9).all(|id| has_response(&actions, id)), "some requests have no response: {actions:?}");
}
