//! Clients that close their connection before their requests are answered.

mod common;

use std::time::{Duration, Instant};

use common::*;
use loomflow_test_servers::*;

/// Sends `count` requests of class `pay` on one connection, with the tags 1 to `count`.
fn send_requests(gateway: &mut Gateway, count: u64) {
    let requests = (1..=count).flat_map(|tag| call(tag, "pay", &fields(&next_attempt_id()), b"x"));
    gateway.send(&requests.collect::<Vec<u8>>());
}

/// A client sends more requests than may be open on a connection and leaves by `close` while runs go on. Returns the number of
/// runs that were started before and after it left.
fn count_runs_around(close: impl FnOnce(Gateway)) -> (usize, usize) {
    let engine = AutonomousEngine::start(1, Duration::from_millis(1));
    engine.set_held(true);
    let fixture = ServerFixture::start_with(site(LONG_TIMEOUT), "", &engine);
    let mut gateway = fixture.gateway();
    send_requests(&mut gateway, 100);
    engine.wait_for_runs(1);
    std::thread::sleep(QUIET_PERIOD);
    let before = engine.run_count();
    close(gateway);
    std::thread::sleep(QUIET_PERIOD);
    // The runs that end make room for others.
    engine.set_held(false);
    std::thread::sleep(QUIET_PERIOD);
    let after = engine.run_count() - before;
    // The server still serves others.
    let mut other = fixture.gateway();
    other.call(1, "pay", b"y");
    assert_eq!(other.response().status, "OK");
    (before, after)
}

/// Guards against a server that does not notice that a client has left while it does not read from its connection, and sends
/// the client's requests on.
#[test]
fn requests_of_a_client_that_has_reset_its_connection_are_not_started() {
    let (before, after) = count_runs_around(Gateway::reset);
    assert!(before > 0);
    assert_eq!(after, 0, "runs started after the client has left; {before} before");
}

/// As above, for a client that closes its connection without a reset.
#[test]
fn requests_of_a_client_that_has_closed_its_connection_are_not_started() {
    let (before, after) = count_runs_around(drop);
    assert!(before > 0);
    assert_eq!(after, 0, "runs started after the client has left; {before} before");
}

/// Sends the request with attempt id `id`; its body is the id, so that the engine's record shows which attempt has run.
fn send_attempt(gateway: &mut Gateway, tag: u64, class: &str, id: &str) {
    gateway.send(&call(tag, class, &fields(id), id.as_bytes()));
}

/// The attempts that have run more than once.
fn repeated_runs(engine: &AutonomousEngine) -> Vec<(String, Vec<u8>)> {
    engine.run_counts().into_iter().filter(|(_, count)| *count > 1).map(|(run, _)| run).collect()
}

/// Guards against a second run of an attempt whose id comes again after its client has left.
#[test]
fn an_attempt_that_has_run_does_not_run_again_for_a_client_that_returns() {
    let engine = AutonomousEngine::start(4, Duration::from_millis(50));
    let fixture = ServerFixture::start_with(site(LONG_TIMEOUT), "", &engine);
    let attempts = [("pay", next_attempt_id()), ("read", next_attempt_id())];
    let mut former = fixture.gateway();
    for (tag, (class, id)) in (1..).zip(&attempts) {
        send_attempt(&mut former, tag, class, id);
    }
    engine.wait_for_runs(attempts.len());
    former.reset();
    // The server has learned that the runs have ended when a later run of the same duration has.
    let mut other = fixture.gateway();
    let until = Instant::now() + RESPONSE_TIMEOUT;
    while Instant::now() < until && engine.run_count() < 8 {
        other.call(engine.run_count() as u64, "pay", b"other");
        assert_eq!(other.response().status, "OK");
    }
    let mut returned = fixture.gateway();
    for (tag, (class, id)) in (1..).zip(&attempts) {
        send_attempt(&mut returned, tag, class, id);
        assert_eq!(returned.response().status, "FAILED");
    }
    let repeated = repeated_runs(&engine);
    assert!(repeated.iter().all(|(_, body)| body == b"other"), "{repeated:?}");
}

/// Guards against a refusal of an attempt that never ran: a gateway may send it again.
#[test]
fn an_attempt_that_was_cancelled_before_its_run_may_run_when_it_comes_again() {
    let engine = AutonomousEngine::start(1, Duration::from_millis(1));
    engine.set_held(true);
    let fixture = ServerFixture::start_with(site(LONG_TIMEOUT), "", &engine);
    let ids: Vec<String> = (0..20).map(|_| next_attempt_id()).collect();
    let mut former = fixture.gateway();
    for (tag, id) in (1..).zip(&ids) {
        send_attempt(&mut former, tag, "pay", id);
    }
    engine.wait_for_runs(1);
    std::thread::sleep(QUIET_PERIOD);
    former.reset();
    std::thread::sleep(QUIET_PERIOD);
    let started: Vec<Vec<u8>> = engine.run_order();
    let not_started = ids.iter().find(|id| !started.contains(&id.as_bytes().to_vec()));
    let not_started = not_started.expect("the engine is held, so that some attempts wait");
    engine.set_held(false);
    let mut returned = fixture.gateway();
    send_attempt(&mut returned, 1, "pay", not_started);
    assert_eq!(returned.response().status, "OK");
    assert_eq!(repeated_runs(&engine), []);
}
