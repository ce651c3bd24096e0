//! Shutdown of a server process by SIGTERM, between scripted peers: every request that was received is answered before the
//! exit, none is run that comes too late, and the process ends by itself.

mod common;

use std::io::{Read, Write};
use std::net::TcpListener;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use common::*;
use loomflow_test_servers::*;

#[test]
fn an_idle_server_sends_goodbyes_and_exits() {
    let (mut fixture, _engine) = ServerFixture::start_serving(site(LONG_TIMEOUT));
    let mut gateway = idle_gateway(&fixture);
    shut_down(&fixture, &mut gateway);
    expect_exit(&mut fixture, gateway);
}

#[test]
fn new_requests_are_served_until_the_end_of_the_grace_period() {
    let (mut fixture, engine) = ServerFixture::start_serving(site(LONG_TIMEOUT));
    let old = idle_gateway(&fixture);
    fixture.terminate();
    let mut both = [old, fixture.gateway()];
    for (gateway, number) in both.iter_mut().zip(1..) {
        let id = start_run(gateway, &engine, 2, "pay");
        finish_run(gateway, &engine, number, &id);
    }
    for gateway in &mut both {
        expect_goodbye(gateway);
        // A request that comes later never runs; its stamp is in whole ms.
        thread::sleep(Duration::from_millis(5));
        gateway.call(3, "pay", b"x");
        assert_eq!(gateway.response().status, "BUSY");
    }
    drop(both);
    engine.expect_closed();
    assert_eq!(fixture.exit_code(), Some(0));
}

#[test]
fn shutdown_does_not_wait_for_a_gateway_that_does_not_close() {
    let (mut fixture, _engine) = ServerFixture::start_serving(site(LONG_TIMEOUT));
    let mut gateway = fixture.gateway();
    shut_down(&fixture, &mut gateway);
    assert_eq!(fixture.exit_code(), Some(0));
}

#[test]
fn shutdown_waits_for_runs_and_answers_them() {
    let (mut fixture, engine) = ServerFixture::start_serving(site(LONG_TIMEOUT));
    let ledger = fixture.ledger.open();
    let OpenRequests { mut gateway, running, calling, call } =
        start_open_requests(&fixture, &engine, &ledger, "read");
    shut_down(&fixture, &mut gateway);
    assert!(fixture.is_running());
    call.send_with_body(&format!("{calling} posted"), b"ok");
    engine.expect("FEED");
    engine.send_done(2, &calling, b"B");
    assert_eq!(gateway.response().body, b"B");
    engine.send_done(3, &running, &[9; 4096]);
    assert_eq!(gateway.response().body, [9; 4096]);
    expect_exit(&mut fixture, gateway);
}

#[test]
fn endless_runs_are_answered_before_the_kill() {
    let (mut fixture, engine) = ServerFixture::start_serving(site(LONG_TIMEOUT));
    let mut gateway = fixture.gateway();
    for tag in 1..=3 {
        gateway.call(tag, ["read", "pay", "book"][tag as usize - 1], b"x");
    }
    engine.expect("RUN");
    // Without results, and without a connection to the engine.
    engine.disconnect();
    let start = Instant::now();
    shut_down(&fixture, &mut gateway);
    expect_each_answered_once(&mut gateway, 3);
    expect_exit(&mut fixture, gateway);
    assert!(start.elapsed() < RESPONSE_TIMEOUT / 2);
}

#[test]
fn a_second_shutdown_request_has_no_effect() {
    let (mut fixture, engine) = ServerFixture::start_serving(site(LONG_TIMEOUT));
    let mut gateway = fixture.gateway();
    let id = start_run(&mut gateway, &engine, 1, "read");
    shut_down(&fixture, &mut gateway);
    fixture.terminate();
    gateway.expect_quiet();
    finish_run(&mut gateway, &engine, 1, &id);
    expect_exit(&mut fixture, gateway);
}

#[test]
fn a_shutdown_request_before_the_engine_connects_is_obeyed() {
    let (mut fixture, _engine) = start_unattached();
    let mut gateway = idle_gateway(&fixture);
    shut_down(&fixture, &mut gateway);
    expect_exit(&mut fixture, gateway);
}

#[test]
fn a_shutdown_request_before_the_engine_connects_holds_once_it_does() {
    let (mut fixture, engine) = start_unattached();
    let mut gateway = fixture.gateway();
    gateway.send(&health(1, true));
    assert_eq!(gateway.response().tag, 1);
    fixture.terminate();
    fixture.wait_for_log("shutdown requested");
    engine.accept_attach("ATTACH 0");
    engine.expect_quiet();
    gateway.call(2, "pay", b"x");
    expect_status(&mut gateway, 2, "BUSY");
    gateway.send(&health(3, false));
    expect_status(&mut gateway, 3, "DOWN");
    engine.expect_quiet();
    expect_exit(&mut fixture, gateway);
}

/// Starts a server whose address is in use, and waits until it has noticed; returns the listener that has the address.
fn start_with_address_in_use() -> (ServerFixture, TcpListener) {
    let mut fixture = ServerFixture::new(site(LONG_TIMEOUT));
    let former = TcpListener::bind(fixture.listen).expect("the address");
    fixture.start(SERVE);
    fixture.wait_for_log("the address is in use");
    (fixture, former)
}

#[test]
fn a_shutdown_request_is_obeyed_while_the_address_is_in_use() {
    let (mut fixture, _former) = start_with_address_in_use();
    fixture.terminate();
    assert_eq!(fixture.exit_code(), Some(0));
}

#[test]
fn an_address_in_use_for_more_than_a_second_is_awaited() {
    let (mut fixture, former) = start_with_address_in_use();
    thread::sleep(Duration::from_millis(1_500));
    assert!(fixture.is_running());
    release(former);
    attach(&fixture, "ATTACH 0");
    fixture.wait_for_service();
}

/// Connections beyond the limit wait in the listen queue, where the system has accepted them: what was sent on them is
/// received.
#[test]
fn requests_in_the_listen_queue_at_its_close_are_answered() {
    // Half of the descriptors are for gateways.
    let (mut fixture, _engine) =
        start_configured(site(LONG_TIMEOUT), |fixture| fixture.config["limits"]["sockets"] = 50.into());
    let mut accepted: Vec<Gateway> = (0..25).map(|_| fixture.gateway()).collect();
    for gateway in &mut accepted {
        gateway.call(1, "pay", b"x");
    }
    let mut queued = fixture.gateway();
    queued.call(7, "pay", b"x");
    queued.expect_quiet();
    fixture.terminate();
    accepted.iter_mut().for_each(expect_goodbye);
    // The queue is read only once the others have closed.
    queued.expect_quiet();
    drop(accepted);
    let answer = next_response_to(&mut queued, 7);
    assert_eq!(answer.status, "BUSY");
    expect_exit(&mut fixture, queued);
}

/// The response to a request; before it only goodbyes are expected.
fn next_response_to(gateway: &mut Gateway, tag: u64) -> GatewayResponse {
    loop {
        let answer = gateway.response();
        if answer.tag == tag {
            return answer;
        }
        assert_eq!(answer.status, "BYE");
    }
}

/// The head of a call whose fields are a thousand bytes.
const CALL_HEAD: &[u8] = b"*4\r\n$8\r\nRPC.CALL\r\n$4\r\n1234\r\n$1000\r\n";

/// Writes a byte of a message every 2 ms until it is told to stop.
fn write_slowly(mut writer: impl Write, is_stopped: &AtomicBool) {
    while !is_stopped.load(Ordering::SeqCst) {
        let _ = writer.write(b"x");
        thread::sleep(Duration::from_millis(2));
    }
}

/// A process that ends with unread bytes resets their connection, and its peer loses what it has not read yet.
#[test]
fn a_gateway_that_writes_at_the_last_moment_reads_all_responses() {
    let (mut fixture, _engine) = ServerFixture::start_serving(site(LONG_TIMEOUT));
    let mut gateway = idle_gateway(&fixture);
    shut_down(&fixture, &mut gateway);
    let mut writer = gateway.stream.try_clone().expect("a clone");
    let _ = writer.write_all(CALL_HEAD);
    let is_stopped = Arc::new(AtomicBool::new(false));
    let stop = is_stopped.clone();
    let writes = thread::spawn(move || write_slowly(writer, &stop));
    gateway.stream.set_read_timeout(Some(RESPONSE_TIMEOUT)).expect("a time-out");
    let end = gateway.stream.read_to_end(&mut Vec::new());
    is_stopped.store(true, Ordering::SeqCst);
    writes.join().expect("the writer ends");
    assert!(end.is_ok(), "{end:?}");
    expect_exit(&mut fixture, gateway);
}

/// A shutdown answers everything that was received, however little time it has, and the process ends by itself.
#[test]
fn a_very_short_shutdown_answers_all_open_requests() {
    for stop_ms in [200.0, 400.0, 800.0] {
        let (mut fixture, engine) =
            start_configured(site(LONG_TIMEOUT), |fixture| fixture.config["stop_ms"] = stop_ms.into());
        let (mut busy, mut idle) = (fixture.gateway(), idle_gateway(&fixture));
        for tag in 1..=8 {
            busy.call(tag, "pay", b"x");
        }
        engine.expect("RUN");
        fixture.terminate();
        let responses = responses_by_tag(&mut busy, 9);
        let answered: Vec<u64> =
            responses.iter().filter(|answer| answer.status != "BYE").map(|answer| answer.tag).collect();
        assert_eq!(answered, (1..=8).collect::<Vec<u64>>(), "stop_ms {stop_ms}");
        expect_goodbye(&mut idle);
        assert_eq!(fixture.exit_code(), Some(0));
        idle.expect_closed();
    }
}
