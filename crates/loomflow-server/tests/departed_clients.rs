//! Clients that close their connection before their requests are answered.

mod common;

use std::time::Duration;

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
