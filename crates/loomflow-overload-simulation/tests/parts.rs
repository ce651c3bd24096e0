//! Tests of the parts of the model (event queue, cores, connection tables, checker, quota experiment), of the
//! reproducibility of a simulation, and of how its results depend on the idle policy and on faults.

use loomflow_overload_simulation::checker::{Checker, Violation};
use loomflow_overload_simulation::clock::{EventQueue, MILLISECOND, SECOND};
use loomflow_overload_simulation::connections::{ConnectionTable, Connections};
use loomflow_overload_simulation::cores::{Cores, Job};
use loomflow_overload_simulation::fault::FaultKind;
use loomflow_overload_simulation::fleet::Fleet;
use loomflow_overload_simulation::quota::{SteadyTenant, over_quota_part};
use loomflow_overload_simulation::recovery::{Recovery, Timeline, recovery};
use loomflow_overload_simulation::setup::IdlePolicy;
use loomflow_overload_simulation::setup::Setup;

#[test]
fn events_are_ordered_by_time_then_by_scheduling() {
    let mut queue = EventQueue::default();
    queue.schedule(20, 'c');
    queue.schedule(10, 'a');
    queue.schedule(10, 'b');
    queue.schedule(30, 'd');
    let order: Vec<char> = std::iter::from_fn(|| queue.pop_before(30)).collect();
    assert_eq!(order, ['a', 'b', 'c']);
    assert_eq!(queue.now(), 20);
}

#[test]
fn jobs_share_the_cores_evenly() {
    let mut cores = Cores::new(2.0, 0);
    // Each job gets two thirds of a core until the shortest one completes after 150 ms; then the others get a
    // core each.
    for (id, work) in [(1, 100.0), (2, 200.0), (3, 200.0)] {
        cores.add(0, Job::Run(id), work);
    }
    assert_eq!(cores.next_completion(), Some(150 * MILLISECOND));
    assert_eq!(cores.take_completed(150 * MILLISECOND), Some(Job::Run(1)));
    assert_eq!(cores.next_completion(), Some(250 * MILLISECOND));
    // At half the speed, the remaining work takes twice as long.
    cores.set_speed(150 * MILLISECOND, 0.5);
    assert_eq!(cores.next_completion(), Some(350 * MILLISECOND));
    assert!(cores.remove(350 * MILLISECOND - 1, Job::Run(2)));
    assert_eq!(cores.take_completed(350 * MILLISECOND), Some(Job::Run(3)));
    assert_eq!(cores.busy_time(400 * MILLISECOND).round(), 350.0);
}

#[test]
fn connection_table_is_bounded_and_expires_idle_connections() {
    let mut connections = Connections::default();
    let mut table = ConnectionTable::new(2);
    assert!(table.accept() && table.accept() && !table.accept());
    let (first, second) = (connections.open(0, 0), connections.open(1, 0));
    for (connection, since) in [(first, 10), (second, 20)] {
        connections.set_idle(connection, Some(since));
        table.connection_idle(since, connection);
    }
    // The first connection was used again and became idle later.
    connections.set_idle(first, Some(30));
    table.connection_idle(30, first);
    assert_eq!(table.take_expired(25, 5, &connections), [second]);
    assert_eq!(table.take_expired(35, 5, &connections), [first]);
}

#[test]
fn checker_detects_duplicate_late_and_missing_responses() {
    let mut checker = Checker::new(100);
    for attempt in 1..=5 {
        checker.attempt_arrived(0, attempt);
    }
    checker.response_sent(50, 1);
    checker.response_sent(60, 1);
    checker.response_sent(101, 2);
    checker.connection_lost(3);
    checker.response_sent(100, 4);
    checker.response_sent(70, 9);
    let expected = [
        Violation::DuplicateResponse(1),
        Violation::LateResponse(2),
        Violation::DuplicateResponse(9),
        Violation::MissingResponse(5),
    ];
    assert_eq!(checker.violations(101), expected);
}

#[test]
fn same_setup_gives_same_results() {
    let run = |seed| {
        let mut setup = Setup::fleet(5, 15, seed);
        setup.duration = 5 * SECOND;
        Fleet::new(setup).run().counts
    };
    assert_eq!(run(1), run(1));
    assert_ne!(run(1), run(2));
}

#[test]
fn idle_policy_determines_handshakes_per_attempt() {
    let run = |policy| {
        let mut setup = Setup::fleet(5, 15, 1);
        setup.duration = 24 * SECOND;
        setup.load = 0.5;
        setup.server.idle_policy = policy;
        let counts = Fleet::new(setup).run().counts;
        counts.sum(12, 24, |second| second.handshakes) / counts.sum(12, 24, |second| second.attempts)
    };
    let (kept, closed) = (run(IdlePolicy::NeverClose), run(IdlePolicy::CloseImmediately));
    assert!(kept < 0.1, "handshakes per attempt while idle connections are kept: {kept}");
    assert!(closed > 0.9, "handshakes per attempt while idle connections are closed: {closed}");
}

#[test]
fn unused_connections_reduce_service_without_idle_policy() {
    let run = |policy| {
        let mut setup = Setup::fleet(80, 240, 1);
        setup.server.idle_policy = policy;
        // By second 11, many connection tables are full under a policy that closes no connections.
        let timeline = Timeline { settled_s: 11, lost_s: 15, returned_s: 17, end_s: 31 };
        recovery(setup, FaultKind::ServersDown { fraction: 0.2 }, timeline)
    };
    let (trimmed, kept) = (run(IdlePolicy::CloseWhenFull), run(IdlePolicy::NeverClose));
    assert!(trimmed.before > 0.9 && trimmed.has_recovered(), "{} {}", trimmed.before, trimmed.after);
    // Tables full of unused connections cause rejected connections even before the failure.
    let connections_rejected =
        |recovery: &Recovery| recovery.counts.sum(11, 15, |second| second.connections_rejected);
    assert!(kept.before < 0.9 * trimmed.before, "{} {}", kept.before, trimmed.before);
    assert!(connections_rejected(&trimmed) == 0.0 && connections_rejected(&kept) > 0.0);
}

#[test]
fn service_drops_while_servers_are_down() {
    let mut setup = Setup::fleet(10, 30, 1);
    setup.load = 0.6;
    let timeline = Timeline { settled_s: 2, lost_s: 5, returned_s: 9, end_s: 20 };
    let result = recovery(setup, FaultKind::ServersDown { fraction: 0.9 }, timeline);
    // During the failure of 4 s, one of ten servers is up and serves a sixth of the offered load. Only
    // requests sent within one latency objective (1.8 s) before the return may still be served by all
    // servers. 0.1 is a margin.
    let max_during = ((4.0 - 1.8) / 6.0 + 1.8) / 4.0 + 0.1;
    assert!(
        result.before > 0.9 && result.during < max_during,
        "{} {} {max_during}",
        result.before,
        result.during
    );
    assert_eq!(result.violations, []);
}

#[test]
fn only_requests_over_the_quota_are_classified_so() {
    let tenant =
        |sent_part| SteadyTenant { servers: 1, quota_per_s: 4.0, sent_part, seconds: 200.0, seed: 1 };
    assert_eq!(over_quota_part(tenant(0.3)), 0.0);
    let beyond = over_quota_part(tenant(2.0));
    assert!((0.45..0.55).contains(&beyond), "fraction over the quota: {beyond}");
}
