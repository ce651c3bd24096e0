//! The controller in the smallest cases in which generated days (`tests/generated`) broke a rule, with settings beyond those of
//! any site: one test for each.

mod common;
use common::*;
use loomflow::interface::*;

fn calls(actions: &[Action]) -> usize {
    actions.iter().filter(|a| matches!(a, Action::Call { .. })).count()
}

/// An entry ran out while its request was still held; a later try, unconnected, ran beside it.
#[test]
fn a_retained_key_outlives_its_request() {
    let mut s = settings();
    s.classes[KEYED].idempotency_window = 100.0;
    let mut d = Driver::new(s);
    let actions = d.arrive(1, KEYED);
    let remembered = actions.iter().find_map(|a| match a {
        Action::RetainKey { id: 1, ttl: span } => Some(*span),
        _ => None,
    });
    assert!(remembered.is_some_and(|span| span >= 8000.0), "{remembered:?}");
}

/// Repeats that waited for another's result were in no account that gives way, and filled the memory.
#[test]
fn waiting_repeats_are_shed_before_memory_is_exhausted() {
    let mut s = settings();
    s.memory_kb = 1000.0;
    let mut d = Driver::new(s);
    d.arrive(1, KEYED);
    let mut gone = 0;
    for batch in 0..20u32 {
        let repeat = |n: u32| {
            Event::RequestArrived(Arrival { original: Some(1), ..arrival(100 + batch * 10 + n, KEYED) })
        };
        let actions = d.batch((0..10).map(repeat).collect());
        gone += actions.iter().filter(|a| matches!(a, Action::Fail(_))).count();
    }
    // One runs at eight times its 10 KB and has an entry of 10 KB.
    let used = 90.0 + (200 - gone) as f64 * 10.0;
    assert!(used <= 1000.0, "{used} KB");
    assert!(gone < 150, "{gone} gave way");
}

/// With one core that survives one and a half runs, two were begun: the last run was begun under the bound, not within it.
#[test]
fn the_concurrency_limit_includes_the_run_started_last() {
    let mut s = settings();
    (s.cores, s.core_concurrency) = (1.0, 1.5);
    let mut d = Driver::new(s);
    d.gauges.runnable = Some(0.0);
    d.pass(60.0);
    d.batch(arrivals(1..=4, SAFE));
    // A run that ends on an idle core with work held raises the limit.
    assert_eq!(runs(&d.finish_next(60.0)).len(), 1);
}

/// Runs waiting for a permit were bounded by the running limit alone, calls in hand by their permits alone; a
/// dependency that came back returned both to the cores at once.
#[test]
fn runs_and_returning_calls_stay_within_the_survivable_concurrency() {
    let mut s = settings();
    (s.cores, s.core_concurrency, s.downstream, s.call_quota) = (2.0, 8.0, Downstream::Shared, 12.0);
    let mut d = Driver::new(s);
    let (mut begun, mut next): (Vec<RequestId>, RequestId) = (vec![], 1);
    // Quick runs on idle cores with work held raise the limit to its ceiling.
    for _ in 0..30 {
        begun.extend(runs(&d.batch(arrivals(next..=next + 3, UNSAFE))));
        next += 4;
        d.pass(60.0);
        let id = begun.remove(0);
        begun.extend(runs(&d.finish(id, 60.0)));
    }
    // From now on everything goes to a dependency that does not answer.
    let mut waiting = 0;
    while let Some(id) = begun.pop() {
        begun.extend(runs(&d.one(Event::CallNeeded(id))));
        waiting += 1;
    }
    assert!(waiting <= 16, "{waiting} may come back to cores that survive 16");
    assert!(waiting >= 8, "{waiting} make use of it");
}

/// A loan is never shorter than a call may linger; where the share has no room for that, there is none.
#[test]
fn no_call_is_made_that_would_exceed_the_call_quota() {
    let mut s = settings();
    (s.downstream, s.call_quota, s.call_quota_window, s.call_linger) =
        (Downstream::Shared, 0.02, 1000.0, 200.0);
    let mut d = Driver::new(s);
    d.arrive(1, SAFE);
    let mut actions = d.one(Event::CallNeeded(1));
    actions.extend(d.pass(1500.0));
    assert_eq!(calls(&actions), 0, "200 ms of a span of 1,000 are ten times the share");
}

/// With room on the cores, but none under the limit, the only one held was to be tried, and stood to its end.
#[test]
fn a_hopeless_request_is_rejected_although_cores_are_idle() {
    let mut d = Driver::new(settings());
    for id in 1..=6 {
        d.arrive(id, SAFE);
        d.pass(300.0);
        d.finish(id, 300.0);
    }
    d.batch(arrivals(11..=14, UNSAFE));
    d.arrive(20, SAFE);
    // All four wait for a disk: the cores are idle and the limit is full. 300 of its 2,000 ms are needed.
    assert!(refused(&d.pass(1760.0), 20));
}

/// What calls take was learnt to be less while it was held; its last look was then the one before its due time.
#[test]
fn a_request_is_rejected_once_it_becomes_hopeless() {
    let mut d = Driver::new(settings());
    for id in 1..=30 {
        d.arrive(id, SAFE);
        d.one(Event::CallNeeded(id));
        d.pass(500.0);
        d.one(Event::CallEnded { id, outcome: AttemptOutcome::Ok, duration: 500.0 });
        d.finish(id, 510.0);
    }
    d.gauges = FULL;
    d.pass(60.0);
    d.batch(arrivals(100..=103, SAFE));
    d.batch((100..=103).map(Event::CallNeeded).collect());
    d.batch(arrivals(201..=204, UNSAFE));
    assert!(runs(&d.arrive(300, SAFE)).is_empty());
    d.pass(20.0);
    let back = |id| Event::CallEnded { id, outcome: AttemptOutcome::Ok, duration: 20.0 };
    d.batch((100..=103).map(back).collect());
    (100..=103).for_each(|id| drop(d.finish(id, 30.0)));
    assert!(refused(&d.pass(2060.0), 300));
}

/// The stop came before the next heartbeat.
#[test]
fn a_shutdown_shorter_than_a_tick_answers_everything_immediately() {
    let mut d = Driver::new(settings());
    d.batch(arrivals(1..=9, SAFE));
    d.pass(55.0);
    let actions = d.one(Event::ShutdownRequested { time_left: 30.0 });
    assert!((1..=9).all(|id| answered(&actions, id)), "{actions:?}");
}
