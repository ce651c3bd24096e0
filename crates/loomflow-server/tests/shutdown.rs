//! Shutdown of a server process by SIGTERM with scripted peers: every received request is answered before the exit,
//! requests after the grace period are not run, and the process exits by itself.

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
fn an_idle_server_sends_bye_and_exits() {
    let (mut fixture, _engine) = ServerFixture::start_serving(site(LONG_TIMEOUT));
    let mut gateway = idle_gateway(&fixture);
    shut_down(&fixture, &mut gateway);
    expect_exit(&mut fixture, gateway);
}

#[test]
fn requests_are_served_until_the_grace_period_ends() {
    let (mut fixture, engine) = ServerFixture::start_serving(site(LONG_TIMEOUT));
    let old = idle_gateway(&fixture);
    fixture.terminate();
    let mut both = [old, fixture.gateway()];
    for (gateway, number) in both.iter_mut().zip(1..) {
        let id = start_run(gateway, &engine, 2, "pay");
        finish_run(gateway, &engine, number, &id);
    }
    for gateway in &mut both {
        expect_bye(gateway);
        // A request stamped after the grace period never runs; the stamp has a resolution of 1 ms.
        thread::sleep(Duration::from_millis(5));
        gateway.call(3, "pay", b"x");
        assert_eq!(gateway.response().status, "BUSY");
    }
    drop(both);
    engine.expect_closed();
    assert_eq!(fixture.exit_code(), Some(0));
}

#[test]
fn an_open_gateway_does_not_block_shutdown() {
    let (mut fixture, _engine) = ServerFixture::start_serving(site(LONG_TIMEOUT));
    let mut gateway = fixture.gateway();
    shut_down(&fixture, &mut gateway);
    assert_eq!(fixture.exit_code(), Some(0));
}

#[test]
fn shutdown_waits_for_open_runs() {
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
fn unfinished_runs_are_answered_before_the_stop_deadline() {
    let (mut fixture, engine) = ServerFixture::start_serving(site(LONG_TIMEOUT));
    let mut gateway = fixture.gateway();
    for tag in 1..=3 {
        gateway.call(tag, ["read", "pay", "book"][tag as usize - 1], b"x");
    }
    engine.expect("RUN");
    // The engine disconnects, so the runs get no result.
    engine.disconnect();
    let start = Instant::now();
    shut_down(&fixture, &mut gateway);
    expect_each_answered_once(&mut gateway, 3);
    expect_exit(&mut fixture, gateway);
    assert!(start.elapsed() < RESPONSE_TIMEOUT / 2);
}

#[test]
fn a_second_sigterm_has_no_effect() {
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
fn sigterm_before_the_engine_connects_is_obeyed() {
    let (mut fixture, _engine) = start_unattached();
    let mut gateway = idle_gateway(&fixture);
    shut_down(&fixture, &mut gateway);
    expect_exit(&mut fixture, gateway);
}

#[test]
fn sigterm_before_the_engine_connects_rejects_later_requests() {
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

/// Starts a server whose address is in use and waits until it logs that; returns the listener that holds the address.
fn start_with_address_in_use() -> (ServerFixture, TcpListener) {
    let mut fixture = ServerFixture::new(site(LONG_TIMEOUT));
    let listener = TcpListener::bind(fixture.listen).expect("the address is free");
    fixture.start(SERVE);
    fixture.wait_for_log("the address is in use");
    (fixture, listener)
}

#[test]
fn sigterm_is_obeyed_while_the_address_is_in_use() {
    let (mut fixture, _listener) = start_with_address_in_use();
    fixture.terminate();
    assert_eq!(fixture.exit_code(), Some(0));
}

#[test]
fn startup_waits_over_a_second_for_the_address() {
    let (mut fixture, listener) = start_with_address_in_use();
    thread::sleep(Duration::from_millis(1_500));
    assert!(fixture.is_running());
    release(listener);
    attach(&fixture, "ATTACH 0");
    fixture.wait_for_service();
}

/// Connections beyond the limit wait in the listen queue. The kernel has completed their handshake and received their
/// requests, which therefore need a response.
#[test]
fn requests_in_the_listen_queue_are_answered_at_shutdown() {
    // Gateways may use half of the 50 descriptors.
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
    accepted.iter_mut().for_each(expect_bye);
    // Connections are taken from the queue only after the accepted ones have closed.
    queued.expect_quiet();
    drop(accepted);
    let response = next_response_to(&mut queued, 7);
    assert_eq!(response.status, "BUSY");
    expect_exit(&mut fixture, queued);
}

/// Returns the response with this tag; only `BYE` may come before it.
fn next_response_to(gateway: &mut Gateway, tag: u64) -> GatewayResponse {
    loop {
        let response = gateway.response();
        if response.tag == tag {
            return response;
        }
        assert_eq!(response.status, "BYE");
    }
}

/// First bytes of a call, up to its fields of 1,000 bytes.
const CALL_HEAD: &[u8] = b"*4\r\n$8\r\nRPC.CALL\r\n$4\r\n1234\r\n$1000\r\n";

/// Writes one byte every 2 ms until `is_stopped` is set.
fn write_slowly(mut writer: impl Write, is_stopped: &AtomicBool) {
    while !is_stopped.load(Ordering::SeqCst) {
        let _ = writer.write(b"x");
        thread::sleep(Duration::from_millis(2));
    }
}

/// The kernel resets a connection that is closed with unread input, and its peer loses the responses that it has not read
/// yet.
#[test]
fn a_late_write_does_not_reset_the_connection() {
    let (mut fixture, _engine) = ServerFixture::start_serving(site(LONG_TIMEOUT));
    let mut gateway = idle_gateway(&fixture);
    shut_down(&fixture, &mut gateway);
    let mut writer = gateway.stream.try_clone().expect("the stream can be cloned");
    let _ = writer.write_all(CALL_HEAD);
    let is_stopped = Arc::new(AtomicBool::new(false));
    let stop = is_stopped.clone();
    let writes = thread::spawn(move || write_slowly(writer, &stop));
    gateway.stream.set_read_timeout(Some(RESPONSE_TIMEOUT)).expect("the read timeout is valid");
    let end = gateway.stream.read_to_end(&mut Vec::new());
    is_stopped.store(true, Ordering::SeqCst);
    writes.join().expect("the writer ends");
    assert!(end.is_ok(), "{end:?}");
    expect_exit(&mut fixture, gateway);
}

/// With a `stop_ms` of 200 to 800 a shutdown still answers all received requests, and the process exits by itself.
#[test]
fn a_short_stop_timeout_answers_all_open_requests() {
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
        let answered: Vec<u64> = responses
            .iter()
            .filter(|response| response.status != "BYE")
            .map(|response| response.tag)
            .collect();
        assert_eq!(answered, (1..=8).collect::<Vec<u64>>(), "stop_ms {stop_ms}");
        expect_bye(&mut idle);
        assert_eq!(fixture.exit_code(), Some(0));
        idle.expect_closed();
    }
}
