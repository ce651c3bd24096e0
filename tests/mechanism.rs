//! The controller's mechanisms against the sentences of the design, one test for each: the send share, the concurrency limit
//! and the permits for calls.

mod common;
use common::*;
use loomflow::interface::*;

#[test]
fn the_share_is_one_below_the_setpoint() {
    let mut d = Driver::new(settings());
    d.run_each(1..=100, 20.0);
    assert_eq!(d.signal(), 1.0);
    assert!(!d.log.iter().any(|(_, a)| matches!(a, Action::SetSignal(_))));
}

#[test]
fn the_share_falls_in_bounded_steps_to_its_floor_and_recovers() {
    let mut d = Driver::new(settings());
    d.run_each(1..=200, 1500.0);
    let shares = d.signals();
    assert!(shares[0] < 1.0, "it fell at once: {shares:?}");
    let mut last = 1.0;
    for x in &shares {
        assert!((0.05..=1.0).contains(x));
        assert!((x - last).abs() <= 0.2 + 1e-9, "step from {last} to {x}");
        last = *x;
    }
    assert!((last - 0.05).abs() < 1e-6, "ended at {last}");
    // The integral was frozen at the clamp: minutes of overload are not paid back for minutes.
    d.run_each(1000..=1599, 1500.0);
    d.run_each(2000..=2399, 10.0);
    assert_eq!(d.signal(), 1.0);
}

#[test]
fn without_finished_runs_the_oldest_queued_request_is_the_delay() {
    let mut d = Driver::new(settings());
    d.gauges = FULL;
    for id in 1..=8 {
        d.arrive(id, SAFE);
    }
    assert_eq!(d.started(), 4);
    d.pass(1500.0);
    assert!(d.signal() < 1.0, "four have been held for 1.5 s and none finished");
}

#[test]
fn unread_wait_counts_as_delay_with_an_empty_queue() {
    let mut d = Driver::new(settings());
    // A slow server: what is read has waited long, and next to nothing finishes.
    for id in 1..=4 {
        let mut a = arrival(id, UNSAFE);
        a.attributes.age = 1500.0;
        d.one(Event::RequestArrived(a));
        d.pass(400.0);
    }
    assert!(d.signal() < 0.8, "signal {}", d.signal());
}

#[test]
fn a_stalled_server_lowers_its_share() {
    let mut d = Driver::new(settings());
    for id in 1..=12 {
        d.arrive(id, UNSAFE);
        d.pass(100.0);
    }
    d.pass(800.0);
    assert!(d.signal() < 0.5, "silence is not health: {}", d.signal());
}

#[test]
fn the_run_limit_starts_at_the_number_of_cores() {
    let mut d = Driver::new(settings());
    let batch = (1..=10).map(|id| Event::RequestArrived(arrival(id, SAFE))).collect();
    assert_eq!(runs(&d.batch(batch)).len(), 4);
}

#[test]
fn the_run_limit_rises_by_one_per_run_only_while_cores_idle_and_requests_are_queued() {
    let mut d = Driver::new(settings());
    d.batch((1..=10).map(|id| Event::RequestArrived(arrival(id, SAFE))).collect());
    d.gauges = FULL;
    d.pass(60.0);
    assert_eq!(runs(&d.finish(1, 60.0)).len(), 1, "one in for one out on full cores");
    d.gauges = IDLE;
    d.pass(60.0);
    assert_eq!(runs(&d.finish(2, 120.0)).len(), 2, "one more on idle cores");
}

#[test]
fn the_run_limit_is_cut_at_most_once_per_period_and_not_below_the_cores() {
    let mut d = Driver::new(settings());
    d.batch((1..=60).map(|id| Event::RequestArrived(arrival(id, UNSAFE))).collect());
    d.pass(60.0);
    for _ in 0..6 {
        d.finish_next(60.0);
    }
    let running = d.started() - 6;
    assert_eq!(running, 10, "six rises over four cores");
    d.gauges = FULL;
    d.pass(300.0);
    // Past the aim on full cores: 10 becomes 8; a second one within the period cuts nothing.
    assert_eq!(runs(&d.finish_next(2100.0)).len(), 0);
    assert_eq!(runs(&d.finish_next(2100.0)).len(), 0);
    assert_eq!(runs(&d.finish_next(2100.0)).len(), 1, "seven are left under a limit of eight");
    for id in 10..=18 {
        d.pass(300.0);
        d.batch((0..3).map(|n| Event::RequestArrived(arrival(id * 100 + n, UNSAFE))).collect());
        d.finish_next(2100.0);
    }
    let running = d.started() - 18;
    assert_eq!(running, 4, "the cores are the floor");
}

#[test]
fn upstream_time_counts_against_objective_and_timeout_but_not_as_delay() {
    let mut d = Driver::new(settings());
    let spent = |id, class, spent| {
        let mut a = arrival(id, class);
        a.attributes.upstream_time = spent;
        Event::RequestArrived(a)
    };
    // Four run, one with 6,500 ms left of its 8,000; what is held has 100 ms left of its aim of 2,000.
    let mut first: Vec<Event> = (1..=3).map(|id| Event::RequestArrived(arrival(id, UNSAFE))).collect();
    first.push(spent(4, UNSAFE, 1_500.0));
    assert_eq!(runs(&d.batch(first)).len(), 4);
    assert!(!answered(&d.one(spent(5, UNSAFE, 1_900.0)), 5));
    assert!(answered(&d.pass(150.0), 5));
    assert!(!answered(&d.pass(6_200.0), 4) && answered(&d.pass(140.0), 4));
    // Nothing is left of its time, and nothing of its aim.
    assert!(refused(&d.one(spent(6, SAFE, 7_990.0)), 6));
    d.one(spent(7, SAFE, 2_000.0));
    assert!(refused(&d.pass(60.0), 7));
    d.batch((8..60).map(|id| spent(id, SAFE, 1_990.0)).collect());
    (1..=3).for_each(|id| drop(d.finish(id, 60.0)));
    d.pass(300.0);
    assert_eq!(d.signal(), 1.0);
}

#[test]
fn time_at_calls_is_not_run_latency() {
    let mut d = Driver::new(settings());
    d.batch((1..=30).map(|id| Event::RequestArrived(arrival(id, UNSAFE))).collect());
    d.pass(60.0);
    for id in 1..=4 {
        d.finish(id, 60.0);
    }
    d.gauges = FULL;
    d.pass(300.0);
    d.one(Event::CallNeeded(5));
    d.pass(1900.0);
    d.one(Event::CallEnded { id: 5, outcome: AttemptOutcome::Ok, duration: 1900.0 });
    d.batch((31..=40).map(|id| Event::RequestArrived(arrival(id, UNSAFE))).collect());
    let before = d.started();
    d.finish(5, 2200.0);
    d.finish(6, 300.0);
    assert_eq!(d.started() - before, 1, "the request back from its call was counted again, no cut");
}

#[test]
fn a_request_in_a_call_frees_its_run_slot_and_one_waiting_for_a_call_does_not() {
    let mut s = settings();
    // A permit for one call, none lent: it could linger past what the share leaves beyond it.
    (s.cores, s.core_concurrency, s.downstream, s.call_quota, s.call_linger) =
        (1.0, 8.0, Downstream::Shared, 1.2, 5000.0);
    let mut d = Driver::new(s);
    d.gauges = FULL;
    d.pass(60.0);
    d.batch((1..=5).map(|id| Event::RequestArrived(arrival(id, SAFE))).collect());
    assert_eq!(d.started(), 1);
    let actions = d.one(Event::CallNeeded(1));
    assert!(actions.iter().any(|a| matches!(a, Action::Call { id: 1, .. })));
    assert_eq!(runs(&actions).len(), 1, "its core is free");
    let second = runs(&actions)[0];
    let actions = d.one(Event::CallNeeded(second));
    assert!(!actions.iter().any(|a| matches!(a, Action::Call { .. })), "one call in hand at a time");
    assert!(runs(&actions).is_empty(), "it waits for a free call and stays counted");
}

/// One call a core idled both tiers; without any bound, all that came back at once would crowd the cores.
#[test]
fn calls_to_a_tier_are_bounded_by_the_concurrency_of_their_return() {
    let in_hand = |cold: bool| {
        let mut s = settings();
        (s.cores, s.is_slow_start, s.slow_start_share) = (2.0, cold, 0.1);
        let mut d = Driver::new(s);
        d.gauges.runnable = Some(0.0);
        d.pass(60.0);
        d.batch((1..=30).map(|id| Event::RequestArrived(arrival(id, SAFE))).collect());
        let mut calls = 0;
        for id in 1..=30 {
            let actions = d.one(Event::CallNeeded(id));
            calls += actions.iter().filter(|a| matches!(a, Action::Call { .. })).count();
        }
        calls
    };
    assert!((5..=7).contains(&in_hand(false)), "{}", in_hand(false));
    assert!((1..=2).contains(&in_hand(true)), "{}", in_hand(true));
}

#[test]
fn a_call_quota_below_one_is_a_permit_for_part_of_the_time() {
    let mut s = settings();
    s.downstream = Downstream::Shared;
    s.call_quota = 0.4;
    s.classes[SAFE].timeout = 60_000.0;
    s.classes[SAFE].latency_objective = 50_000.0;
    let mut d = Driver::new(s);
    let mut in_hand = 0.0;
    let (mut seen, mut calling) = (0, None::<(RequestId, f64)>);
    for next in 1..=600 {
        for id in runs(&d.arrive(next, SAFE)) {
            d.one(Event::CallNeeded(id));
        }
        d.pass(50.0);
        for (at, action) in &d.log[seen..] {
            if let Action::Call { id, .. } = action {
                assert!(calling.is_none(), "a second call at a share under one");
                calling = Some((*id, *at));
            }
        }
        seen = d.log.len();
        if let Some((id, at)) = calling.filter(|(_, at)| d.now - at >= 200.0) {
            calling = None;
            in_hand += d.now - at;
            d.one(Event::CallEnded { id, outcome: AttemptOutcome::Ok, duration: d.now - at });
            for started in runs(&d.finish(id, d.now - at)) {
                d.one(Event::CallNeeded(started));
            }
        }
    }
    let mean = in_hand / (600.0 * 50.0);
    assert!(mean <= 0.4, "mean in hand {mean}");
    assert!(mean > 0.1, "it is used: {mean}");
}

#[test]
fn a_server_in_slow_start_asks_for_its_reduced_speed_only() {
    let mut s = settings();
    s.is_slow_start = true;
    let mut d = Driver::new(s);
    d.run_each(1..=10, 20.0);
    assert!(d.signal() < 0.5, "signal {}", d.signal());
    d.pass(16_000.0);
    assert_eq!(d.signal(), 1.0);
}

#[test]
fn the_share_is_expressed_in_the_feedback_signal_of_the_site() {
    for (signal, low) in [(FeedbackSignal::LowestRank, true), (FeedbackSignal::Credit, false)] {
        let mut s = settings();
        s.feedback_signal = signal;
        let mut d = Driver::new(s);
        d.run_each(1..=200, 1500.0);
        let value = d.signal();
        assert!(if low { value > 0.9 } else { value > 0.0 && value < 1.0 }, "{signal:?} {value}");
    }
    let mut s = settings();
    s.feedback_signal = FeedbackSignal::Unused;
    let mut d = Driver::new(s);
    d.run_each(1..=100, 1500.0);
    assert!(!d.log.iter().any(|(_, a)| matches!(a, Action::SetSignal(_))));
}

#[test]
fn reloaded_settings_apply_to_new_requests_only() {
    let mut set = settings();
    let mut d = Driver::new(set.clone());
    d.gauges = FULL;
    // Four run; the fifth waits, and has its whole time from its arrival.
    for id in 1..=5 {
        d.arrive(id, SAFE);
    }
    let whole = set.classes[SAFE].timeout;
    set.classes.iter_mut().for_each(|class| class.timeout = 20.0);
    set.tenants.push(tenant(1.0));
    let terms =
        ReloadableSettings { classes: set.classes.clone(), tenants: set.tenants.clone(), drain_grace: 1.0 };
    d.one(Event::SettingsChanged(Box::new(terms)));
    d.arrive(6, SAFE);
    d.pass(100.0);
    let over = |d: &Driver, id| {
        d.log.iter().any(|(_, a)| matches!(a, Action::Reject { id: of, .. } | Action::Fail(of) if *of == id))
    };
    assert!(over(&d, 6) && !over(&d, 5), "the newer has run out of time, the older has {whole} ms");
    // Terms that do not fit are not taken up, and nothing falls over.
    let none = ReloadableSettings { classes: Vec::new(), tenants: Vec::new(), drain_grace: 0.0 };
    d.one(Event::SettingsChanged(Box::new(none)));
    d.arrive(7, SAFE);
}

#[test]
fn a_stalled_server_rejects_its_queue_and_recovers() {
    let mut d = Driver::new(settings());
    d.gauges = Gauges { core_utilization: Some(1.0), runnable: Some(4.0), ..IDLE };
    d.run_each(1..=20, 20.0);
    // Four run, as many as there are cores, three wait; then nothing ends, while requests are still read.
    for id in 101..=107 {
        d.arrive(id, SAFE);
    }
    let early = d.pass(400.0);
    assert!(!early.iter().any(|a| matches!(a, Action::Reject { .. })), "a gap that short is nothing unusual");
    let late = d.pass(400.0);
    for id in 105..=107 {
        assert!(refused(&late, id), "{id} has half its aim left for another server");
    }
    let newcomer = d.arrive(108, SAFE);
    let longest = settings().max_retry_after;
    let away =
        |a: &Action| matches!(a, Action::Reject { id: 108, retry_after, .. } if *retry_after == longest);
    assert!(newcomer.iter().any(away), "{newcomer:?}");
    d.pass(5000.0);
    assert_eq!(d.signal(), 0.05);
    // What ran through it says nothing of how long runs take: the next ones are not taken for hopeless.
    for id in 101..=104 {
        d.finish(id, 5800.0);
    }
    for id in 201..=204 {
        assert_eq!(runs(&d.arrive(id, SAFE)), [id]);
    }
    d.pass(300.0);
    assert_eq!(d.signal(), 1.0, "a stall leaves nothing behind in the loop");
}

/// The part of a tenant's requests that one server of a fleet takes to be beyond the tenant's quota, where they come
/// evenly at random at `load` times the quota. Seen by what runs first: the request, or one of half its worth.
fn part_beyond_quota(servers: f64, quota_per_s: f64, load: f64) -> f64 {
    const REQUESTS: u32 = 30_000;
    let mut set = settings();
    (set.cores, set.server_count) = (1.0, servers);
    set.classes[UNSAFE].priority_weight = 0.5;
    set.tenants = vec![Tenant { quota_per_s }, Tenant { quota_per_s: 1e9 }];
    let mut d = Driver::new(set);
    d.gauges = FULL;
    let mut random = 12345u64;
    let mut beyond = 0;
    for step in 0..REQUESTS {
        random = random.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        let uniform = ((random >> 11) as f64 + 1.0) / (1u64 << 53) as f64;
        d.now += -uniform.ln() * 1000.0 * servers / (quota_per_s * load);
        let [running, watched, other] = [3 * step + 1, 3 * step + 2, 3 * step + 3];
        for (id, class, tenant) in [(running, SAFE, 1), (watched, SAFE, 0), (other, UNSAFE, 1)] {
            let mut a = arrival(id, class);
            a.attributes.tenant = tenant;
            d.one(Event::RequestArrived(a));
        }
        let next = runs(&d.finish(running, 1.0));
        beyond += u32::from(next == [other]);
        for id in [next[0], watched + other - next[0]] {
            d.finish(id, 1.0);
        }
    }
    f64::from(beyond) / f64::from(REQUESTS)
}

#[test]
fn a_tenant_within_its_quota_is_rarely_judged_over_it_at_any_fleet_size() {
    for (servers, quota) in [(20.0, 4.0), (100.0, 4.0), (590.0, 4.0), (20.0, 40.0)] {
        let within = part_beyond_quota(servers, quota, 0.9);
        assert!(within <= 0.05, "{servers} servers: {within} at 0.9 of the quota");
        let twice = part_beyond_quota(servers, quota, 2.0);
        assert!((0.45..0.55).contains(&twice), "{servers} servers: {twice} at twice the quota");
    }
}

#[test]
fn the_share_keeps_its_value_through_a_stall() {
    let mut d = Driver::new(settings());
    d.gauges = Gauges { core_utilization: Some(1.0), runnable: Some(4.0), ..IDLE };
    d.run_each(1..=200, 400.0);
    let before = d.signal();
    assert!((0.5..0.8).contains(&before), "signal {before}");
    for id in 1001..=1008 {
        let mut a = arrival(id, SAFE);
        a.attributes.age = 400.0;
        d.one(Event::RequestArrived(a));
    }
    d.pass(5000.0);
    assert_eq!(d.signal(), 0.05, "a stall");
    d.finish(1001, 5000.0);
    d.pass(300.0);
    assert!((d.signal() - before).abs() < 0.1, "signal {before} before, {} after", d.signal());
}

#[test]
fn reloaded_settings_with_other_classes_are_not_applied() {
    let mut d = Driver::new(settings());
    let mut classes = settings().classes;
    classes.remove(SAFE);
    let reload = ReloadableSettings { classes, tenants: Vec::new(), drain_grace: 0.0 };
    d.one(Event::SettingsChanged(Box::new(reload)));
    assert_eq!(runs(&d.arrive(1, UNSAFE)), [1]);
}
