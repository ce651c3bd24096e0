//! Tests of the controller against the four rules (responses in time, effects, shutdown, memory and
//! concurrency) and against failures found in benchmarks.

mod common;

use std::sync::mpsc::channel;
use std::thread;
use std::time::Duration;

use common::*;
use loomflow::interface::*;

/// Timeout of a batch that must return. Only a failing test takes this long.
const RETURN_TIMEOUT: Duration = Duration::from_secs(10);

// ---- Rule 1: one response in time ----

#[test]
fn requests_whose_runs_never_end_get_a_response_in_time() {
    let mut driver = Driver::new(settings());
    driver.batch((1..=12).map(|id| Event::RequestArrived(arrival(id, id as usize % 3))).collect());
    let all = driver.advance(8000.0);
    for id in 1..=12 {
        assert!(has_response(&all, id), "request {id} has no response");
    }
}

#[test]
fn the_deadline_is_the_remaining_wait_of_the_caller_if_known() {
    let mut settings = settings();
    settings.has_caller_deadlines = true;
    let mut driver = Driver::new(settings);
    let mut request = arrival(1, UNSAFE);
    request.attributes.remaining_wait = 700.0;
    driver.event(Event::RequestArrived(request));
    assert!(has_response(&driver.advance(700.0), 1));
}

#[test]
fn the_deadline_counts_from_the_arrival_at_the_machine() {
    let mut settings = settings();
    settings.classes[UNSAFE].latency_objective = 8000.0;
    let mut driver = Driver::new(settings);
    let mut request = arrival(1, UNSAFE);
    request.attributes.age = 7000.0;
    assert_eq!(started_runs(&driver.event(Event::RequestArrived(request))), [1]);
    assert!(has_response(&driver.advance(1000.0), 1));
}

#[test]
fn a_request_past_its_objective_on_arrival_is_rejected_at_once() {
    let mut driver = Driver::new(settings());
    let mut request = arrival(1, SAFE);
    request.attributes.age = 7990.0;
    assert!(is_rejected(&driver.event(Event::RequestArrived(request)), 1));
}

/// Guards against a batch that does not return because it falls before the last check of a request, into its microsecond.
#[test]
fn a_batch_in_the_microsecond_of_the_last_check_returns() {
    let (sender, receiver) = channel();
    // Left running if the batch does not return.
    thread::spawn(move || {
        let mut driver = Driver::new(settings());
        driver.now = 1_000_000.000_4;
        driver.event(Event::RequestArrived(arrival(1, UNSAFE)));
        // The response is due 60 ms before the timeout of 8,000 ms.
        driver.now = 1_007_940.000_2;
        let _ = sender.send(driver.batch(vec![]));
    });
    let actions = receiver.recv_timeout(RETURN_TIMEOUT).expect("the batch returns");
    assert!(has_response(&actions, 1));
}

#[test]
fn requests_in_calls_and_duplicates_get_a_response_in_time() {
    let mut driver = Driver::new(settings());
    driver.batch(vec![Event::RequestArrived(arrival(1, KEYED)), Event::RequestArrived(arrival(2, SAFE))]);
    let mut duplicate = arrival(3, KEYED);
    duplicate.original = Some(1);
    assert!(driver.event(Event::RequestArrived(duplicate)).contains(&Action::ReuseResult(3)));
    driver.event(Event::CallNeeded(2));
    let all = driver.advance(8000.0);
    for id in 1..=3 {
        assert!(has_response(&all, id), "request {id} has no response");
    }
}

#[test]
fn no_response_is_sent_after_a_cancellation() {
    let mut driver = Driver::new(settings());
    driver.batch(arrivals(1..=6, SAFE));
    driver.batch((1..=6).map(Event::RequestCancelled).collect());
    let all = driver.advance(9000.0);
    assert!((1..=6).all(|id| !has_response(&all, id)));
}

// ---- Rule 2: no effect twice ----

#[test]
fn a_key_is_retained_before_the_run_until_the_end_of_its_window() {
    let mut driver = Driver::new(settings());
    let mut request = arrival(1, KEYED);
    request.attributes.age = 300.0;
    let actions = driver.event(Event::RequestArrived(request));
    let retained_at = actions
        .iter()
        .position(|action| matches!(action, Action::RetainKey { id: 1, .. }))
        .expect("the key is not retained");
    let run_at = actions.iter().position(|action| *action == Action::Run(1)).expect("request 1 does not run");
    assert!(retained_at < run_at);
    let Action::RetainKey { ttl, .. } = actions[retained_at] else { unreachable!() };
    assert!(
        (19_700.0..19_800.0).contains(&ttl),
        "the key is retained for {ttl} ms, 19,700 to 19,800 are expected"
    );
}

#[test]
fn duplicates_of_an_idempotent_request_share_its_result() {
    let mut driver = Driver::new(settings());
    driver.arrive(1, KEYED);
    let duplicate = |id| {
        let mut request = arrival(id, KEYED);
        request.original = Some(1);
        Event::RequestArrived(request)
    };
    // A duplicate that arrives while its original runs.
    let actions = driver.event(duplicate(2));
    assert!(actions.contains(&Action::ReuseResult(2)) && started_runs(&actions).is_empty());
    driver.finish(1, 100.0);
    // Two duplicates that arrive in one batch after their original has succeeded.
    let actions = driver.batch(vec![duplicate(3), duplicate(4)]);
    assert!(actions.contains(&Action::ReuseResult(3)) && actions.contains(&Action::ReuseResult(4)));
    assert!(started_runs(&actions).is_empty());
    // A duplicate that is read too late fails and is not rejected, since its original has run.
    let mut late = arrival(5, KEYED);
    (late.original, late.attributes.age) = (Some(1), 7990.0);
    assert!(driver.event(Event::RequestArrived(late)).contains(&Action::Fail(5)));
}

#[test]
fn no_idempotent_request_runs_without_memory_for_its_key() {
    let mut settings = settings();
    settings.memory_kb = 400.0;
    settings.key_kb = 500.0;
    let mut driver = Driver::new(settings);
    let actions = driver.arrive(1, KEYED);
    assert!(is_rejected(&actions, 1) && started_runs(&actions).is_empty());
}

#[test]
fn the_key_of_a_request_that_never_ran_is_released() {
    let mut driver = Driver::new(settings());
    driver.gauges = FULL;
    driver.batch(arrivals(1..=5, KEYED));
    let all = driver.advance(7990.0);
    let never_ran = (1..=5).find(|id| is_rejected(&all, *id)).expect("no request was rejected without a run");
    assert!(all.contains(&Action::ReleaseKey(never_ran)));
}

#[test]
fn a_started_request_that_must_not_repeat_fails_at_its_deadline() {
    for class in [KEYED, UNSAFE] {
        let mut driver = Driver::new(settings());
        driver.arrive(1, class);
        let all = driver.advance(8000.0);
        assert!(all.contains(&Action::Fail(1)) && !is_rejected(&all, 1));
    }
}

#[test]
fn a_call_is_retried_only_if_it_never_ran_or_is_idempotent() {
    use AttemptOutcome::*;
    for class in [SAFE, KEYED, UNSAFE] {
        for outcome in [Error, Rejected, TimedOut, Unreachable, ConnectionLost, NotStarted] {
            let mut driver = Driver::new(settings());
            driver.arrive(1, class);
            driver.event(Event::CallNeeded(1));
            let mut all = driver.event(Event::CallEnded { id: 1, outcome, duration: 20.0 });
            all.extend(driver.advance(500.0));
            let repeated = all.iter().any(|action| matches!(action, Action::Call { .. }));
            let allowed = class == SAFE || matches!(outcome, Rejected | Unreachable | NotStarted);
            assert_eq!(repeated, allowed, "whether class {class} repeats its call after {outcome:?}");
            assert_eq!(
                all.contains(&Action::Fail(1)),
                !allowed,
                "whether class {class} fails after {outcome:?}"
            );
        }
    }
}

// ---- Rule 3: shutdown ----

#[test]
fn on_shutdown_health_changes_immediately_and_the_share_when_intake_stops() {
    let mut driver = Driver::new(settings());
    let actions = driver.event(Event::ShutdownRequested { time_left: 5000.0 });
    assert!(actions.contains(&Action::SetHealth { is_healthy: false, is_cached: true }));
    driver.advance(1900.0);
    assert_eq!(driver.signal(), 1.0);
    assert_eq!(started_runs(&driver.arrive(1, SAFE)), [1]);
    driver.advance(600.0);
    assert_eq!(driver.signal(), 0.0);
}

#[test]
fn requests_that_arrive_after_the_grace_period_are_rejected_by_arrival_time() {
    let mut driver = Driver::new(settings());
    driver.event(Event::ShutdownRequested { time_left: 6000.0 });
    driver.advance(2500.0);
    let mut early = arrival(1, SAFE);
    early.attributes.age = 600.0;
    assert_eq!(started_runs(&driver.event(Event::RequestArrived(early))), [1]);
    let actions = driver.arrive(2, SAFE);
    assert!(started_runs(&actions).is_empty());
    let is_retryable = |action: &Action| {
        let Action::Reject { id: 2, retry_after, is_final: false } = action else { return false };
        *retry_after == 1000.0
    };
    assert!(actions.iter().any(is_retryable));
}

#[test]
fn every_request_gets_a_response_before_the_kill() {
    let mut driver = Driver::new(settings());
    driver.gauges = FULL;
    driver.batch((1..=9).map(|id| Event::RequestArrived(arrival(id, id as usize % 3))).collect());
    driver.event(Event::ShutdownRequested { time_left: 3000.0 });
    let all = driver.advance(2900.0);
    for id in 1..=9 {
        assert!(has_response(&all, id), "request {id} has no response");
    }
}

// ---- Rule 4: no overload ----

#[test]
fn queued_requests_are_shed_before_memory_is_exhausted() {
    let mut settings = settings();
    settings.memory_kb = 1000.0;
    let mut driver = Driver::new(settings);
    let mut actions = driver.batch(arrivals(1..=100, SAFE));
    actions.extend(driver.batch(arrivals(101..=200, SAFE)));
    let ended = (1..=200).filter(|id| has_response(&actions, *id)).count();
    let running = started_runs(&actions).len();
    assert!(running > 0);
    let used = (200 - ended - running) as f64 * 10.0 + running as f64 * 80.0;
    assert!(used <= 1000.0, "{used} kB in use, 1000 kB are available");
}

#[test]
fn a_server_in_slow_start_runs_fewer_requests_at_once() {
    let started = |is_slow_start: bool| {
        let mut settings = settings();
        (settings.is_slow_start, settings.slow_start_share) = (is_slow_start, 0.05);
        let mut driver = Driver::new(settings);
        driver.gauges.runnable = Some(0.0);
        driver.advance(60.0);
        driver.batch(arrivals(1..=80, SAFE));
        for id in 1..=30 {
            driver.finish(id, 60.0);
        }
        driver.started_count() - 30
    };
    assert!(started(true) <= 5, "{} runs in slow start, at most 5 are expected", started(true));
    assert!(
        started(false) > 10 && started(false) < 20,
        "{} runs at full speed, 11 to 19 are expected",
        started(false)
    );
}

#[test]
fn open_calls_stay_within_the_call_quota_including_abandoned_ones() {
    let mut settings = settings();
    settings.downstream = Downstream::Shared;
    settings.call_quota = 2.5;
    let mut driver = Driver::new(settings);
    let first = started_runs(&driver.batch(arrivals(1..=4, UNSAFE)));
    let mut calls = vec![];
    for id in first {
        calls.extend(driver.event(Event::CallNeeded(id)));
    }
    // Two calls use the full permits; the third uses a permit that is borrowed on the remaining half.
    assert_eq!(calls.iter().filter(|action| matches!(action, Action::Call { .. })).count(), 3);
    let actions = driver.event(Event::CallEnded { id: 1, outcome: AttemptOutcome::TimedOut, duration: 50.0 });
    assert!(
        !actions.iter().any(|action| matches!(action, Action::Call { .. })),
        "a call started while the abandoned one lingers in the dependency"
    );
    let later = driver.advance(260.0);
    assert!(later.iter().any(|action| matches!(action, Action::Call { .. })));
}

// ---- Failures found in benchmarks ----

/// With a call quota far below 1, calls on a borrowed permit were abandoned half way; they lingered and used
/// up the quota without a result. As only short calls succeeded, the mean call time did not reflect the slow
/// dependency.
#[test]
fn calls_on_a_borrowed_permit_finish_when_the_downstream_slows_down() {
    let mut settings = settings();
    settings.downstream = Downstream::Shared;
    settings.call_quota = 0.4;
    let mut driver = Driver::new(settings);
    let (mut finished, mut abandoned) = (0, 0);
    for id in 1..=60 {
        let time: f64 = if id <= 20 { 20.0 } else { 120.0 };
        driver.arrive(id, SAFE);
        let mut actions = driver.event(Event::CallNeeded(id));
        for _ in 0..100 {
            let call = actions.iter().find_map(|action| {
                if let Action::Call { deadline, .. } = action { Some(*deadline) } else { None }
            });
            let Some(deadline) = call else {
                actions = driver.advance(50.0);
                continue;
            };
            let duration = time.min(deadline - driver.now);
            driver.advance(duration);
            let outcome = if duration < time { AttemptOutcome::TimedOut } else { AttemptOutcome::Ok };
            actions = driver.event(Event::CallEnded { id, outcome, duration });
            if outcome == AttemptOutcome::Ok {
                finished += 1;
                driver.finish(id, 200.0);
                break;
            }
            abandoned += 1;
        }
        driver.advance(300.0);
    }
    assert!(
        finished >= 55 && abandoned <= 6,
        "{finished} calls finished, at least 55 are expected; {abandoned} abandoned, at most 6 may be"
    );
}

/// Large requests were rejected for their estimates although the cores were idle.
#[test]
fn a_large_request_runs_while_cores_are_idle() {
    let mut driver = Driver::new(settings());
    driver.advance(60.0);
    for id in 1..=30 {
        let mut request = arrival(id, SAFE);
        request.attributes.estimated_work = Some(100.0);
        driver.event(Event::RequestArrived(request));
        driver.advance(150.0);
        driver.finish(id, 150.0);
    }
    let mut large = arrival(99, SAFE);
    large.attributes.estimated_work = Some(2000.0);
    assert_eq!(started_runs(&driver.event(Event::RequestArrived(large))), [99]);
}

/// Slow servers with an empty queue and a read delay of seconds sent no Retry-After.
#[test]
fn retry_after_covers_the_read_delay() {
    let mut driver = Driver::new(settings());
    let mut request = arrival(1, SAFE);
    request.attributes.age = 7990.0;
    let actions = driver.event(Event::RequestArrived(request));
    assert!(
        matches!(actions.first(), Some(Action::Reject { retry_after, .. }) if *retry_after == 1000.0),
        "no rejection with a Retry-After of 1000 ms: {actions:?}"
    );
}

/// Under overload, requests that can only be late must not take cores from requests that can be in time.
#[test]
fn a_queued_request_is_rejected_under_overload_once_it_would_be_late() {
    let mut driver = Driver::new(settings());
    driver.gauges = FULL;
    driver.run_each(1..=60, 1200.0);
    assert!(driver.signal() < 0.9);
    driver.batch(arrivals(100..=103, SAFE));
    driver.arrive(104, SAFE);
    assert!(is_rejected(&driver.advance(2100.0), 104));
}

#[test]
fn unexpected_events_do_not_panic() {
    let mut driver = Driver::new(settings());
    driver.batch(vec![
        Event::RequestArrived(arrival(1, 99)),
        Event::RequestCancelled(77),
        Event::CallNeeded(77),
        Event::CallEnded { id: 77, outcome: AttemptOutcome::Ok, duration: 1.0 },
        Event::RunEnded { id: 77, outcome: AttemptOutcome::NotStarted, duration: 0.0 },
        Event::TimerFired(Gauges::default()),
        Event::ShutdownRequested { time_left: 0.0 },
        Event::RequestArrived(arrival(2, SAFE)),
    ]);
    driver.advance(1000.0);
}

/// With rough estimates, run times grow far less than the estimates: a large request was rejected needlessly.
#[test]
fn rough_estimates_are_corrected_by_measured_runs() {
    let mut driver = Driver::new(settings());
    driver.advance(60.0);
    for id in 1..=60 {
        let mut request = arrival(id, SAFE);
        let work = if id % 2 == 0 { 50.0 } else { 250.0 };
        request.attributes.estimated_work = Some(work);
        driver.event(Event::RequestArrived(request));
        driver.advance(300.0);
        // A run with five times the estimated work takes only a fifth longer: 345 ms instead of 285 ms.
        driver.finish(id, 270.0 + work * 0.3);
    }
    driver.gauges = FULL;
    let mut large = arrival(99, SAFE);
    large.attributes.estimated_work = Some(2000.0);
    driver.batch(vec![Event::RequestArrived(arrival(98, SAFE)), Event::RequestArrived(large)]);
    assert!(driver.log.iter().any(|(_, action)| *action == Action::Run(99)));
}

/// On a slow server, ten runs beside six reads left arrivals unread for seconds, and unread requests cannot
/// be rejected.
#[test]
fn late_reading_lowers_the_limit_before_runs_are_late() {
    let mut driver = Driver::new(settings());
    driver.batch(arrivals(1..=30, UNSAFE));
    driver.advance(60.0);
    for id in 1..=6 {
        driver.finish(id, 60.0);
    }
    driver.gauges = FULL;
    for id in 100..108 {
        let mut request = arrival(id, UNSAFE);
        request.attributes.age = 1000.0;
        driver.event(Event::RequestArrived(request));
        driver.advance(250.0);
    }
    let before = driver.started_count();
    // Ten requests run and the limit has fallen to a third of the cores, so eight runs end before another one starts.
    for id in 7..=14 {
        driver.finish(id, 500.0);
    }
    assert_eq!(driver.started_count(), before);
    driver.finish(15, 500.0);
    assert_eq!(driver.started_count(), before + 1);
}

/// A server whose runs all failed at once emptied its queue, sent a share of 1 and attracted the traffic of
/// the fleet.
#[test]
fn fast_failures_do_not_count_as_healthy() {
    let mut driver = Driver::new(settings());
    for id in 1..=20 {
        driver.arrive(id, SAFE);
        driver.advance(100.0);
        driver.event(Event::RunEnded { id, outcome: AttemptOutcome::Error, duration: 1.0 });
    }
    assert!(driver.signal() < 0.5, "share {}, less than 0.5 is expected", driver.signal());
}

/// With a slow dependency, requests waited for permits until shortly before their objective and filled the
/// concurrency limit.
#[test]
fn a_call_is_skipped_early_if_permits_are_scarce() {
    let mut settings = settings();
    settings.downstream = Downstream::Shared;
    settings.call_quota = 1.3;
    settings.classes[SAFE].degraded_weight = 0.6;
    let mut driver = Driver::new(settings);
    driver.arrive(1, SAFE);
    driver.event(Event::CallNeeded(1));
    driver.advance(400.0);
    driver.event(Event::CallEnded { id: 1, outcome: AttemptOutcome::Ok, duration: 400.0 });
    driver.finish(1, 500.0);
    let started = started_runs(&driver.batch(arrivals(2..=4, SAFE)));
    let all: Vec<Action> = started.iter().flat_map(|id| driver.event(Event::CallNeeded(*id))).collect();
    assert!(all.iter().any(|action| matches!(action, Action::SkipCall(_))), "no call is skipped: {all:?}");
}

/// An overloaded server of a lower tier queued calls up to its own objective, long after their callers had
/// abandoned them.
#[test]
fn a_lower_tier_queues_for_a_part_of_the_objective() {
    for (tier, is_queued) in [(0, true), (1, false)] {
        let mut settings = settings();
        settings.tier = tier;
        let mut driver = Driver::new(settings);
        driver.gauges = FULL;
        driver.batch(arrivals(1..=9, SAFE));
        let all = driver.advance(1000.0);
        assert_eq!(has_response(&all, 9), !is_queued, "whether request 9 has its response in tier {tier}");
    }
}

/// Hundreds of gateways filled the connection table with connections that they did not reuse.
#[test]
fn idle_connections_are_closed_if_callers_rarely_return() {
    let closes_idle = |caller_count: u64, core_utilization: f64| {
        let mut driver = Driver::new(settings());
        driver.gauges.core_utilization = Some(core_utilization);
        let mut random = 1u64;
        for id in 1..=120 {
            let mut request = arrival(id, SAFE);
            random = random.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1);
            request.attributes.caller = (random >> 33) % caller_count;
            driver.event(Event::RequestArrived(request));
            driver.finish(id, 100.0);
            driver.advance(250.0);
        }
        driver.log.iter().any(|(_, action)| matches!(action, Action::SetIdleTimeout(ttl) if *ttl < 200.0))
    };
    assert!(closes_idle(400, 0.9));
    assert!(closes_idle(400, 0.3));
    assert!(!closes_idle(4, 0.9));
    // Connections of callers that return occasionally stay open while the cores have spare capacity.
    assert!(!closes_idle(60, 0.3));
    assert!(closes_idle(60, 0.9));
}

/// Gateways cancelled long before the objective, so responses reached nobody: two in five served retries were
/// late.
#[test]
fn no_run_starts_that_would_end_after_callers_usually_cancel() {
    let mut driver = Driver::new(settings());
    let mut id = 0;
    let mut starts = |driver: &mut Driver, is_cancelled: bool| {
        id += 1;
        driver.gauges = FULL;
        let mut request = arrival(id, SAFE);
        request.attributes.age = 1500.0;
        let started = started_runs(&driver.event(Event::RequestArrived(request))).contains(&id);
        if is_cancelled {
            driver.event(Event::RequestCancelled(id));
        }
        driver.finish(id, 200.0);
        started
    };
    assert!(starts(&mut driver, false));
    for _ in 0..10 {
        starts(&mut driver, true);
    }
    assert!(
        !starts(&mut driver, false),
        "a run started although callers cancel 1.5 s after arrival, with an objective of 2 s"
    );
}

/// Clients whose first attempt was rejected late retried with little time left: a fifth of the served
/// requests were late.
#[test]
fn a_retry_counts_the_time_of_a_rejected_attempt_as_spent() {
    let mut driver = Driver::new(settings());
    driver.gauges = FULL;
    // Requests 1 to 4 run to the end of the test; the others are rejected 2 s after their arrival, when they can no
    // longer meet their objective.
    driver.batch((1..=40).map(|id| Event::RequestArrived(arrival(id, SAFE))).collect());
    driver.advance(2500.0);
    let is_kept = |driver: &mut Driver, id: RequestId, retry: bool| {
        let mut request = arrival(id, SAFE);
        (request.attributes.age, request.attributes.is_retry) = (600.0, retry);
        let mut actions = driver.event(Event::RequestArrived(request));
        actions.extend(driver.advance(100.0));
        !is_rejected(&actions, id)
    };
    assert!(is_kept(&mut driver, 50, false));
    assert!(!is_kept(&mut driver, 51, true));
}

/// A slow database received calls up to the full quota, far beyond the concurrency at which it is fastest.
#[test]
fn fewer_calls_are_open_while_the_downstream_is_slow() {
    let calls_in_flight = |call_time: f64| {
        let mut settings = settings();
        (settings.downstream, settings.call_quota, settings.cores) = (Downstream::Shared, 12.0, 16.0);
        let mut driver = Driver::new(settings);
        for id in 1..=100 {
            driver.arrive(id, UNSAFE);
            driver.event(Event::CallNeeded(id));
            let duration = if id <= 40 { 20.0 } else { call_time };
            driver.advance(duration);
            driver.event(Event::CallEnded { id, outcome: AttemptOutcome::Ok, duration });
            driver.finish(id, duration + 50.0);
        }
        driver.batch((201..=216).map(|id| Event::RequestArrived(arrival(id, UNSAFE))).collect());
        let calls = driver.batch((201..=216).map(Event::CallNeeded).collect());
        calls.iter().filter(|action| matches!(action, Action::Call { .. })).count()
    };
    assert!(
        calls_in_flight(20.0) >= 10,
        "{} calls in flight, at least 10 are expected",
        calls_in_flight(20.0)
    );
    assert!(
        (3..=6).contains(&calls_in_flight(200.0)),
        "{} calls in flight, 3 to 6 are expected",
        calls_in_flight(200.0)
    );
}

#[test]
fn the_end_of_the_queue_is_rejected_when_the_work_ahead_takes_too_long() {
    let mut driver = Driver::new(settings());
    driver.gauges = FULL;
    for id in 1..=10 {
        driver.arrive(id, SAFE);
        driver.advance(100.0);
        driver.finish(id, 100.0);
    }
    // A hundred runs of 100 ms on four cores take 2,500 ms, of an objective of 2,000 ms.
    let actions = driver.batch(arrivals(101..=200, SAFE));
    let rejected = (101..=200).filter(|id| is_rejected(&actions, *id)).count();
    assert!((20..30).contains(&rejected), "{rejected} requests rejected at once, 20 to 29 are expected");
}

#[test]
fn no_run_starts_without_memory_for_it() {
    let mut settings = settings();
    // A run takes 500 KB of the 920 that may be used.
    (settings.memory_kb, settings.run_memory_factor) = (1000.0, 50.0);
    let mut driver = Driver::new(settings);
    assert_eq!(started_runs(&driver.batch(arrivals(1..=2, UNSAFE))).len(), 1);
    assert_eq!(started_runs(&driver.finish_next(100.0)).len(), 1);
}
