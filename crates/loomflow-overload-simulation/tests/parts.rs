//! The parts of the model by themselves: time, cores, tables, the checker, and that a play repeats itself.

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
fn events_come_by_time_and_then_in_the_order_they_were_scheduled_in() {
    let mut queue = EventQueue::default();
    queue.schedule(20, 'c');
    queue.schedule(10, 'a');
    queue.schedule(10, 'b');
    queue.schedule(30, 'd');
    let order: Vec<char> = std::iter::from_fn(|| queue.next_before(30)).collect();
    assert_eq!(order, ['a', 'b', 'c']);
    assert_eq!(queue.now(), 20);
}

#[test]
fn jobs_share_the_cores_evenly() {
    let mut cores = Cores::new(2.0, 0);
    // Two thirds of a core each until the shortest is done after 150 ms; then a whole one for each of the others.
    for (id, work) in [(1, 100.0), (2, 200.0), (3, 200.0)] {
        cores.add(0, Job::Run(id), work);
    }
    assert_eq!(cores.next_done(), Some(150 * MILLISECOND));
    assert_eq!(cores.take_done(150 * MILLISECOND), Some(Job::Run(1)));
    assert_eq!(cores.next_done(), Some(250 * MILLISECOND));
    // At half the speed what is left takes twice as long.
    cores.set_speed(150 * MILLISECOND, 0.5);
    assert_eq!(cores.next_done(), Some(350 * MILLISECOND));
    assert!(cores.remove(350 * MILLISECOND - 1, Job::Run(2)));
    assert_eq!(cores.take_done(350 * MILLISECOND), Some(Job::Run(3)));
    assert_eq!(cores.busy_time(400 * MILLISECOND).round(), 350.0);
}

#[test]
fn a_table_is_bounded_and_gives_up_what_is_idle_for_too_long() {
    let mut connections = Connections::default();
    let mut table = ConnectionTable::new(2);
    assert!(table.accept() && table.accept() && !table.accept());
    let (first, second) = (connections.open(0, 0), connections.open(1, 0));
    for (connection, since) in [(first, 10), (second, 20)] {
        connections.set_idle(connection, Some(since));
        table.idle(since, connection);
    }
    // Used again meanwhile: idle from a later moment on.
    connections.set_idle(first, Some(30));
    table.idle(30, first);
    assert_eq!(table.overdue(25, 5, &connections), [second]);
    assert_eq!(table.overdue(35, 5, &connections), [first]);
}

#[test]
fn the_checker_sees_answers_that_are_doubled_late_or_missing() {
    let mut checker = Checker::new(100);
    for attempt in 1..=5 {
        checker.reached(0, attempt);
    }
    checker.answered(50, 1);
    checker.answered(60, 1);
    checker.answered(101, 2);
    checker.broke(3);
    checker.answered(100, 4);
    checker.answered(70, 9);
    let expected = [
        Violation::AnsweredTwice(1),
        Violation::AnsweredLate(2),
        Violation::AnsweredTwice(9),
        Violation::NeverAnswered(5),
    ];
    assert_eq!(checker.violations(101), expected);
}

#[test]
fn the_same_setup_gives_the_same_play() {
    let play = |seed| {
        let mut setup = Setup::fleet(5, 15, seed);
        setup.duration = 5 * SECOND;
        Fleet::new(setup).play().counts
    };
    assert_eq!(play(1), play(1));
    assert_ne!(play(1), play(2));
}

#[test]
fn kept_connections_save_handshakes_and_closed_ones_are_opened_for_every_attempt() {
    let play = |policy| {
        let mut setup = Setup::fleet(5, 15, 1);
        setup.duration = 24 * SECOND;
        setup.load = 0.5;
        setup.server.idle_policy = policy;
        let counts = Fleet::new(setup).play().counts;
        counts.sum(12, 24, |s| s.handshakes) / counts.sum(12, 24, |s| s.attempts)
    };
    let (kept, closed) = (play(IdlePolicy::NeverClose), play(IdlePolicy::CloseImmediately));
    assert!(kept < 0.1, "{kept}");
    assert!(closed > 0.9, "{closed}");
}

#[test]
fn the_model_tells_policies_for_idle_connections_apart() {
    let play = |policy| {
        let mut setup = Setup::fleet(80, 240, 1);
        setup.server.idle_policy = policy;
        // By second 11 many tables that are never cleared are full.
        let timeline = Timeline { settled_s: 11, lost_s: 15, returned_s: 17, end_s: 31 };
        recovery(setup, FaultKind::ServersDown { fraction: 0.2 }, timeline)
    };
    let (room, kept) = (play(IdlePolicy::CloseWhenFull), play(IdlePolicy::NeverClose));
    assert!(room.before > 0.9 && room.is_back(), "{} {}", room.before, room.after);
    // Tables full of connections that nobody uses in time turn callers away before anything goes wrong.
    let refused = |play: &Recovery| play.counts.sum(11, 15, |s| s.connections_rejected);
    assert!(kept.before < 0.9 * room.before, "{} {}", kept.before, room.before);
    assert!(refused(&room) == 0.0 && refused(&kept) > 0.0);
}

#[test]
fn a_lost_part_shows_while_it_is_lost() {
    let mut setup = Setup::fleet(10, 30, 1);
    setup.load = 0.6;
    let timeline = Timeline { settled_s: 2, lost_s: 5, returned_s: 9, end_s: 20 };
    let lost = recovery(setup, FaultKind::ServersDown { fraction: 0.9 }, timeline);
    // One server does a sixth of the work; only what is asked within an aim of the return may yet be served by all.
    let most = ((4.0 - 1.8) / 6.0 + 1.8) / 4.0 + 0.1;
    assert!(lost.before > 0.9 && lost.during < most, "{} {} {most}", lost.before, lost.during);
    assert_eq!(lost.violations, []);
}

#[test]
fn a_tenant_far_beyond_its_quota_is_seen_and_one_far_below_it_is_not() {
    let tenant =
        |sent_part| SteadyTenant { servers: 1, quota_per_s: 4.0, sent_part, seconds: 200.0, seed: 1 };
    assert_eq!(over_quota_part(tenant(0.3)), 0.0);
    let beyond = over_quota_part(tenant(2.0));
    assert!((0.45..0.55).contains(&beyond), "{beyond}");
}
