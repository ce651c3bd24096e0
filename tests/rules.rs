//! The controller against the four rules (responses in time, effects, shutdown, memory and concurrency), one case after the
//! other, and against the failures of earlier incidents.

mod common;
use common::*;
use loomflow::interface::*;

// ---- Rule 1 ----

#[test]
fn every_request_is_answered_in_time_although_its_run_never_ends() {
    let mut d = Driver::new(settings());
    d.batch((1..=12).map(|id| Event::RequestArrived(arrival(id, id as usize % 3))).collect());
    let all = d.pass(8000.0);
    for id in 1..=12 {
        assert!(answered(&all, id), "request {id}");
    }
}

#[test]
fn the_deadline_is_the_wait_of_the_caller_if_it_is_known() {
    let mut s = settings();
    s.has_caller_deadlines = true;
    let mut d = Driver::new(s);
    let mut a = arrival(1, UNSAFE);
    a.attributes.remaining_wait = 700.0;
    d.one(Event::RequestArrived(a));
    assert!(answered(&d.pass(700.0), 1));
}

#[test]
fn the_deadline_counts_from_the_arrival_at_the_machine() {
    let mut s = settings();
    s.classes[UNSAFE].latency_objective = 8000.0;
    let mut d = Driver::new(s);
    let mut a = arrival(1, UNSAFE);
    a.attributes.age = 7000.0;
    assert_eq!(runs(&d.one(Event::RequestArrived(a))), [1]);
    assert!(answered(&d.pass(1000.0), 1));
}

#[test]
fn a_request_that_is_hopeless_on_arrival_is_answered_immediately() {
    let mut d = Driver::new(settings());
    let mut a = arrival(1, SAFE);
    a.attributes.age = 7990.0;
    assert!(refused(&d.one(Event::RequestArrived(a)), 1));
}

#[test]
fn requests_in_a_call_or_waiting_for_a_result_are_answered_too() {
    let mut d = Driver::new(settings());
    d.batch(vec![Event::RequestArrived(arrival(1, KEYED)), Event::RequestArrived(arrival(2, SAFE))]);
    let mut again = arrival(3, KEYED);
    again.original = Some(1);
    assert!(d.one(Event::RequestArrived(again)).contains(&Action::ReuseResult(3)));
    d.one(Event::CallNeeded(2));
    let all = d.pass(8000.0);
    for id in 1..=3 {
        assert!(answered(&all, id), "request {id}");
    }
}

#[test]
fn no_response_is_sent_after_a_cancellation() {
    let mut d = Driver::new(settings());
    d.batch(arrivals(1..=6, SAFE));
    d.batch((1..=6).map(Event::RequestCancelled).collect());
    let all = d.pass(9000.0);
    assert!((1..=6).all(|id| !answered(&all, id)));
}

// ---- Rule 2 ----

#[test]
fn a_key_is_retained_before_the_run_until_the_end_of_its_window() {
    let mut d = Driver::new(settings());
    let mut a = arrival(1, KEYED);
    a.attributes.age = 300.0;
    let actions = d.one(Event::RequestArrived(a));
    let remember =
        actions.iter().position(|a| matches!(a, Action::RetainKey { id: 1, .. })).expect("remembered");
    let run = actions.iter().position(|a| *a == Action::Run(1)).expect("run");
    assert!(remember < run);
    let Action::RetainKey { ttl: span, .. } = actions[remember] else { unreachable!() };
    assert!((19_700.0..19_800.0).contains(&span), "{span}");
}

#[test]
fn repeats_of_an_idempotent_request_share_its_result() {
    let mut d = Driver::new(settings());
    d.arrive(1, KEYED);
    let repeat = |id| {
        let mut a = arrival(id, KEYED);
        a.original = Some(1);
        Event::RequestArrived(a)
    };
    // While it runs, after it ended well, several in one batch, and after it failed.
    let actions = d.one(repeat(2));
    assert!(actions.contains(&Action::ReuseResult(2)) && runs(&actions).is_empty());
    d.finish(1, 100.0);
    let actions = d.batch(vec![repeat(3), repeat(4)]);
    assert!(actions.contains(&Action::ReuseResult(3)) && actions.contains(&Action::ReuseResult(4)));
    assert!(runs(&actions).is_empty());
    // One read too late for anything is failed, not refused: what it repeats has run.
    let mut late = arrival(5, KEYED);
    (late.original, late.attributes.age) = (Some(1), 7990.0);
    assert!(d.one(Event::RequestArrived(late)).contains(&Action::Fail(5)));
}

#[test]
fn no_idempotent_request_runs_without_memory_for_its_key() {
    let mut s = settings();
    s.memory_kb = 400.0;
    s.key_kb = 500.0;
    let mut d = Driver::new(s);
    let actions = d.arrive(1, KEYED);
    assert!(refused(&actions, 1) && runs(&actions).is_empty());
}

#[test]
fn the_key_of_a_request_that_never_ran_is_released() {
    let mut d = Driver::new(settings());
    d.gauges = FULL;
    d.batch(arrivals(1..=5, KEYED));
    let all = d.pass(7990.0);
    let never_ran = (1..=5).find(|id| refused(&all, *id)).expect("one was held to its end");
    assert!(all.contains(&Action::ReleaseKey(never_ran)));
}

#[test]
fn a_request_that_ran_and_must_not_run_again_fails_and_is_not_rejected() {
    for class in [KEYED, UNSAFE] {
        let mut d = Driver::new(settings());
        d.arrive(1, class);
        let all = d.pass(8000.0);
        assert!(all.contains(&Action::Fail(1)) && !refused(&all, 1));
    }
}

#[test]
fn a_call_is_retried_only_if_it_never_ran_or_is_idempotent() {
    use AttemptOutcome::*;
    for class in [SAFE, KEYED, UNSAFE] {
        for outcome in [Error, Rejected, TimedOut, Unreachable, ConnectionLost, NotStarted] {
            let mut d = Driver::new(settings());
            d.arrive(1, class);
            d.one(Event::CallNeeded(1));
            let mut all = d.one(Event::CallEnded { id: 1, outcome, duration: 20.0 });
            all.extend(d.pass(500.0));
            let repeated = all.iter().any(|a| matches!(a, Action::Call { .. }));
            let allowed = class == SAFE || matches!(outcome, Rejected | Unreachable | NotStarted);
            assert_eq!(repeated, allowed, "class {class} after {outcome:?}");
            assert_eq!(all.contains(&Action::Fail(1)), !allowed, "class {class} after {outcome:?}");
        }
    }
}

// ---- Rule 3 ----

#[test]
fn on_shutdown_health_changes_immediately_and_the_share_when_intake_stops() {
    let mut d = Driver::new(settings());
    let actions = d.one(Event::ShutdownRequested { time_left: 5000.0 });
    assert!(actions.contains(&Action::SetHealth { is_healthy: false, is_cached: true }));
    d.pass(1900.0);
    assert_eq!(d.signal(), 1.0);
    assert_eq!(runs(&d.arrive(1, SAFE)), [1]);
    d.pass(600.0);
    assert_eq!(d.signal(), 0.0);
}

#[test]
fn requests_that_arrive_after_the_grace_period_are_rejected_by_arrival_time() {
    let mut d = Driver::new(settings());
    d.one(Event::ShutdownRequested { time_left: 6000.0 });
    d.pass(2500.0);
    let mut early = arrival(1, SAFE);
    early.attributes.age = 600.0;
    assert_eq!(runs(&d.one(Event::RequestArrived(early))), [1]);
    let actions = d.arrive(2, SAFE);
    assert!(runs(&actions).is_empty());
    assert!(actions.iter().any(
        |a| matches!(a, Action::Reject { id: 2, retry_after, is_final: false } if *retry_after == 1000.0)
    ));
}

#[test]
fn everything_is_answered_before_the_kill() {
    let mut d = Driver::new(settings());
    d.gauges = FULL;
    d.batch((1..=9).map(|id| Event::RequestArrived(arrival(id, id as usize % 3))).collect());
    d.one(Event::ShutdownRequested { time_left: 3000.0 });
    let all = d.pass(2900.0);
    for id in 1..=9 {
        assert!(answered(&all, id), "request {id}");
    }
}

// ---- Rule 4 ----

#[test]
fn queued_requests_are_shed_before_memory_is_exhausted() {
    let mut s = settings();
    s.memory_kb = 1000.0;
    let mut d = Driver::new(s);
    let mut actions = d.batch(arrivals(1..=100, SAFE));
    actions.extend(d.batch(arrivals(101..=200, SAFE)));
    let gone = (1..=200).filter(|id| answered(&actions, *id)).count();
    let running = runs(&actions).len();
    assert!(running > 0);
    let used = (200 - gone - running) as f64 * 10.0 + running as f64 * 80.0;
    assert!(used <= 1000.0, "{used} kB");
}

#[test]
fn a_server_in_slow_start_runs_fewer_requests_at_once() {
    let started = |cold: bool| {
        let mut s = settings();
        (s.is_slow_start, s.slow_start_share) = (cold, 0.05);
        let mut d = Driver::new(s);
        d.gauges.runnable = Some(0.0);
        d.pass(60.0);
        d.batch(arrivals(1..=80, SAFE));
        for id in 1..=30 {
            d.finish(id, 60.0);
        }
        d.started() - 30
    };
    assert!(started(true) <= 5, "{}", started(true));
    assert!(started(false) > 10 && started(false) < 20, "{}", started(false));
}

#[test]
fn open_calls_stay_within_the_call_quota_including_abandoned_ones() {
    let mut s = settings();
    s.downstream = Downstream::Shared;
    s.call_quota = 2.5;
    let mut d = Driver::new(s);
    let first = runs(&d.batch(arrivals(1..=4, UNSAFE)));
    let mut calls = vec![];
    for id in first {
        calls.extend(d.one(Event::CallNeeded(id)));
    }
    // Two whole permits, and the half one, lent now.
    assert_eq!(calls.iter().filter(|a| matches!(a, Action::Call { .. })).count(), 3);
    let actions = d.one(Event::CallEnded { id: 1, outcome: AttemptOutcome::TimedOut, duration: 50.0 });
    assert!(!actions.iter().any(|a| matches!(a, Action::Call { .. })), "the abandoned call lingers below");
    let later = d.pass(260.0);
    assert!(later.iter().any(|a| matches!(a, Action::Call { .. })));
}

// ---- Found on the bench ----

/// Under a share far below one, calls were abandoned half way, lingered, and used up the share for nothing; and
/// as only short calls ended well, a slow dependency was never learnt.
#[test]
fn calls_on_a_borrowed_permit_finish_when_the_downstream_slows_down() {
    let mut s = settings();
    s.downstream = Downstream::Shared;
    s.call_quota = 0.4;
    let mut d = Driver::new(s);
    let (mut done, mut abandoned) = (0, 0);
    for id in 1..=60 {
        let time: f64 = if id <= 20 { 20.0 } else { 120.0 };
        d.arrive(id, SAFE);
        let mut actions = d.one(Event::CallNeeded(id));
        for _ in 0..100 {
            let call = actions.iter().find_map(|a| {
                if let Action::Call { deadline: abandon_at, .. } = a { Some(*abandon_at) } else { None }
            });
            let Some(abandon_at) = call else {
                actions = d.pass(50.0);
                continue;
            };
            let took = time.min(abandon_at - d.now);
            d.pass(took);
            let outcome = if took < time { AttemptOutcome::TimedOut } else { AttemptOutcome::Ok };
            actions = d.one(Event::CallEnded { id, outcome, duration: took });
            if outcome == AttemptOutcome::Ok {
                done += 1;
                d.finish(id, 200.0);
                break;
            }
            abandoned += 1;
        }
        d.pass(300.0);
    }
    assert!(done >= 55 && abandoned <= 6, "{done} calls finished, {abandoned} abandoned");
}

/// A quiet day refused large requests at once by their estimate, on idle cores.
#[test]
fn a_large_request_runs_while_cores_are_idle() {
    let mut d = Driver::new(settings());
    d.pass(60.0);
    for id in 1..=30 {
        let mut a = arrival(id, SAFE);
        a.attributes.estimated_work = Some(100.0);
        d.one(Event::RequestArrived(a));
        d.pass(150.0);
        d.finish(id, 150.0);
    }
    let mut big = arrival(99, SAFE);
    big.attributes.estimated_work = Some(2000.0);
    assert_eq!(runs(&d.one(Event::RequestArrived(big))), [99]);
}

/// Slow servers with an empty hold and seconds of unread wait advised no pause.
#[test]
fn retry_after_covers_the_unread_wait() {
    let mut d = Driver::new(settings());
    let mut a = arrival(1, SAFE);
    a.attributes.age = 7990.0;
    let actions = d.one(Event::RequestArrived(a));
    assert!(
        matches!(actions.first(), Some(Action::Reject { retry_after, .. }) if *retry_after == 1000.0),
        "{actions:?}"
    );
}

/// Under overload, what can only be late gives way at once to what can be in time.
#[test]
fn no_late_service_under_overload() {
    let mut d = Driver::new(settings());
    d.gauges = FULL;
    d.run_each(1..=60, 1200.0);
    assert!(d.signal() < 0.9);
    d.batch(arrivals(100..=103, SAFE));
    d.arrive(104, SAFE);
    assert!(refused(&d.pass(2100.0), 104));
}

#[test]
fn unexpected_events_do_not_panic() {
    let mut d = Driver::new(settings());
    d.batch(vec![
        Event::RequestArrived(arrival(1, 99)),
        Event::RequestCancelled(77),
        Event::CallNeeded(77),
        Event::CallEnded { id: 77, outcome: AttemptOutcome::Ok, duration: 1.0 },
        Event::RunEnded { id: 77, outcome: AttemptOutcome::NotStarted, duration: 0.0 },
        Event::TimerFired(Gauges::default()),
        Event::ShutdownRequested { time_left: 0.0 },
        Event::RequestArrived(arrival(2, SAFE)),
    ]);
    d.pass(1000.0);
}

/// Where estimates are rough, runs grow far less than their estimates; a large request was refused for nothing.
#[test]
fn rough_estimates_are_corrected_by_measured_runs() {
    let mut d = Driver::new(settings());
    d.pass(60.0);
    for id in 1..=60 {
        let mut a = arrival(id, SAFE);
        let work = if id % 2 == 0 { 50.0 } else { 250.0 };
        a.attributes.estimated_work = Some(work);
        d.one(Event::RequestArrived(a));
        d.pass(300.0);
        // Five times the estimate took a fifth longer.
        d.finish(id, 270.0 + work * 0.3);
    }
    d.gauges = FULL;
    let mut big = arrival(99, SAFE);
    big.attributes.estimated_work = Some(2000.0);
    d.batch(vec![Event::RequestArrived(arrival(98, SAFE)), Event::RequestArrived(big)]);
    assert!(d.log.iter().any(|(_, a)| *a == Action::Run(99)));
}

/// On a slow server ten runs beside six reads left arrivals unread for seconds, where nothing can refuse them.
#[test]
fn starved_reading_cuts_the_limit_before_runs_miss_their_objective() {
    let mut d = Driver::new(settings());
    d.batch(arrivals(1..=30, UNSAFE));
    d.pass(60.0);
    for id in 1..=6 {
        d.finish(id, 60.0);
    }
    d.gauges = FULL;
    for id in 100..108 {
        let mut a = arrival(id, UNSAFE);
        a.attributes.age = 1000.0;
        d.one(Event::RequestArrived(a));
        d.pass(250.0);
    }
    let before = d.started();
    // Ten run; the limit is down to a third of the cores, so eight may end before another begins.
    for id in 7..=14 {
        d.finish(id, 500.0);
    }
    assert_eq!(d.started(), before);
    d.finish(15, 500.0);
    assert_eq!(d.started(), before + 1);
}

/// A server whose runs all failed at once emptied its hold, said 1 and drew in a fleet's traffic.
#[test]
fn fast_failures_do_not_count_as_healthy() {
    let mut d = Driver::new(settings());
    for id in 1..=20 {
        d.arrive(id, SAFE);
        d.pass(100.0);
        d.one(Event::RunEnded { id, outcome: AttemptOutcome::Error, duration: 1.0 });
    }
    assert!(d.signal() < 0.5, "signal {}", d.signal());
}

/// A slow dependency let requests queue for permits until the last moment, with the limit full of them.
#[test]
fn a_call_is_skipped_early_if_permits_are_scarce() {
    let mut s = settings();
    s.downstream = Downstream::Shared;
    s.call_quota = 1.3;
    s.classes[SAFE].degraded_weight = 0.6;
    let mut d = Driver::new(s);
    d.arrive(1, SAFE);
    d.one(Event::CallNeeded(1));
    d.pass(400.0);
    d.one(Event::CallEnded { id: 1, outcome: AttemptOutcome::Ok, duration: 400.0 });
    d.finish(1, 500.0);
    let started = runs(&d.batch(arrivals(2..=4, SAFE)));
    let all: Vec<Action> = started.iter().flat_map(|id| d.one(Event::CallNeeded(*id))).collect();
    assert!(all.iter().any(|a| matches!(a, Action::SkipCall(_))), "{all:?}");
}

/// A hot server of the tier below held calls until its own aim, long after their callers had abandoned them.
#[test]
fn a_lower_tier_queues_for_a_part_of_the_objective() {
    for (tier, held) in [(0, true), (1, false)] {
        let mut s = settings();
        s.tier = tier;
        let mut d = Driver::new(s);
        d.gauges = FULL;
        d.batch(arrivals(1..=9, SAFE));
        let all = d.pass(1000.0);
        assert_eq!(answered(&all, 9), !held, "tier {tier}");
    }
}

/// Hundreds of gateways filled the table with connections that none of them used again.
#[test]
fn idle_connections_are_closed_if_callers_rarely_return() {
    let closes = |callers: u64, busy: f64| {
        let mut d = Driver::new(settings());
        d.gauges.core_utilization = Some(busy);
        let mut rng = 1u64;
        for id in 1..=120 {
            let mut a = arrival(id, SAFE);
            rng = rng.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1);
            a.attributes.caller = (rng >> 33) % callers;
            d.one(Event::RequestArrived(a));
            d.finish(id, 100.0);
            d.pass(250.0);
        }
        d.log.iter().any(|(_, a)| matches!(a, Action::SetIdleTimeout(ttl) if *ttl < 200.0))
    };
    assert!(closes(400, 0.9));
    assert!(closes(400, 0.3));
    assert!(!closes(4, 0.9));
    // Who comes back now and then is kept while cores have time to spare for the room it takes.
    assert!(!closes(60, 0.3));
    assert!(closes(60, 0.9));
}

/// Gateways that left long before the aim got answers that nobody heard; two in five served retries were late.
#[test]
fn no_run_starts_that_would_end_after_callers_usually_leave() {
    let mut d = Driver::new(settings());
    let mut id = 0;
    let mut late_start = |d: &mut Driver, leave: bool| {
        id += 1;
        d.gauges = FULL;
        let mut a = arrival(id, SAFE);
        a.attributes.age = 1500.0;
        let started = runs(&d.one(Event::RequestArrived(a))).contains(&id);
        if leave {
            d.one(Event::RequestCancelled(id));
        }
        d.finish(id, 200.0);
        started
    };
    assert!(late_start(&mut d, false));
    for _ in 0..10 {
        late_start(&mut d, true);
    }
    assert!(!late_start(&mut d, false), "callers leave 1.5 s after they come, of an aim of 2 s");
}

/// Clients whose first try was refused late came again with little time left; a fifth of what was served was late.
#[test]
fn a_retry_counts_the_time_of_a_rejected_attempt_as_spent() {
    let mut d = Driver::new(settings());
    d.gauges = FULL;
    // Four run for good; the rest are refused when their aim slips out of reach, 2 s after they came.
    d.batch((1..=40).map(|id| Event::RequestArrived(arrival(id, SAFE))).collect());
    d.pass(2500.0);
    let kept = |d: &mut Driver, id: RequestId, retry: bool| {
        let mut a = arrival(id, SAFE);
        (a.attributes.age, a.attributes.is_retry) = (600.0, retry);
        let mut actions = d.one(Event::RequestArrived(a));
        actions.extend(d.pass(100.0));
        !refused(&actions, id)
    };
    assert!(kept(&mut d, 50, false));
    assert!(!kept(&mut d, 51, true));
}

/// A slow database was crowded up to the told share, where it is far past its best.
#[test]
fn fewer_calls_are_open_while_the_downstream_is_slow() {
    let in_hand = |slow: f64| {
        let mut s = settings();
        (s.downstream, s.call_quota, s.cores) = (Downstream::Shared, 12.0, 16.0);
        let mut d = Driver::new(s);
        for id in 1..=100 {
            d.arrive(id, UNSAFE);
            d.one(Event::CallNeeded(id));
            let took = if id <= 40 { 20.0 } else { slow };
            d.pass(took);
            d.one(Event::CallEnded { id, outcome: AttemptOutcome::Ok, duration: took });
            d.finish(id, took + 50.0);
        }
        d.batch((201..=216).map(|id| Event::RequestArrived(arrival(id, UNSAFE))).collect());
        let calls = d.batch((201..=216).map(Event::CallNeeded).collect());
        calls.iter().filter(|a| matches!(a, Action::Call { .. })).count()
    };
    assert!(in_hand(20.0) >= 10, "{}", in_hand(20.0));
    assert!((3..=6).contains(&in_hand(200.0)), "{}", in_hand(200.0));
}

#[test]
fn the_end_of_the_queue_is_rejected_when_the_work_ahead_takes_too_long() {
    let mut d = Driver::new(settings());
    d.gauges = FULL;
    for id in 1..=10 {
        d.arrive(id, SAFE);
        d.pass(100.0);
        d.finish(id, 100.0);
    }
    // A hundred runs of 100 ms on four cores take 2,500 ms, of an objective of 2,000 ms.
    let actions = d.batch(arrivals(101..=200, SAFE));
    let rejected = (101..=200).filter(|id| refused(&actions, *id)).count();
    assert!((20..30).contains(&rejected), "{rejected} rejected at once");
}

#[test]
fn no_run_starts_without_memory_for_it() {
    let mut s = settings();
    // A run takes 500 KB of the 920 that may be used.
    (s.memory_kb, s.run_memory_factor) = (1000.0, 50.0);
    let mut d = Driver::new(s);
    assert_eq!(runs(&d.batch(arrivals(1..=2, UNSAFE))).len(), 1);
    assert_eq!(runs(&d.finish_next(100.0)).len(), 1);
}
