//! SIGTERM: everything read is answered before the exit, and nothing late is run.

mod common;

use std::io::{Read, Write};

use common::{expect_goodbye, finish_run, idle_gateway, start_configured, start_run};
use loomflow_test_servers::*;

const LONG: f64 = 20_000.0;

#[test]
fn an_idle_server_sends_goodbyes_and_exits() {
    let (mut fixture, _engine) = ServerFixture::start_serving(site(LONG));
    let mut gateway = idle_gateway(&fixture);
    fixture.terminate();
    expect_goodbye(&mut gateway);
    drop(gateway);
    assert_eq!(fixture.exit_code(), Some(0));
}

#[test]
fn new_requests_are_served_until_the_end_of_the_grace_period() {
    let (mut fixture, engine) = ServerFixture::start_serving(site(LONG));
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
        std::thread::sleep(std::time::Duration::from_millis(5));
        gateway.call(3, "pay", b"x");
        assert_eq!(gateway.response().status, "BUSY");
    }
    drop(both);
    engine.expect_closed();
    assert_eq!(fixture.exit_code(), Some(0));
}

#[test]
fn shutdown_does_not_wait_for_a_gateway_that_does_not_close() {
    let (mut fixture, _engine) = ServerFixture::start_serving(site(LONG));
    let mut gateway = fixture.gateway();
    fixture.terminate();
    expect_goodbye(&mut gateway);
    assert_eq!(fixture.exit_code(), Some(0));
}

#[test]
fn shutdown_waits_for_runs_and_answers_them() {
    let (mut fixture, engine) = ServerFixture::start_serving(site(LONG));
    let ledger = fixture.ledger.open();
    let mut gateway = fixture.gateway();
    let a = gateway.call(1, "read", b"a");
    engine.expect("RUN");
    let b = gateway.call(2, "pay", b"b");
    engine.expect("RUN");
    engine.send_need(1, &b, b"call");
    let below = ledger.link();
    below.expect("post");
    fixture.terminate();
    expect_goodbye(&mut gateway);
    assert!(fixture.is_running());
    below.send_with_body(&format!("{b} posted"), b"ok");
    engine.expect("FEED");
    engine.send_done(2, &b, b"B");
    assert_eq!(gateway.response().body, b"B");
    engine.send_done(3, &a, &[9; 4096]);
    assert_eq!(gateway.response().body, [9; 4096]);
    drop(gateway);
    assert_eq!(fixture.exit_code(), Some(0));
}

#[test]
fn endless_runs_are_answered_before_the_kill() {
    let (mut fixture, engine) = ServerFixture::start_serving(site(LONG));
    let mut gateway = fixture.gateway();
    for tag in 1..=3 {
        gateway.call(tag, ["read", "pay", "book"][tag as usize - 1], b"x");
    }
    engine.expect("RUN");
    // Neither a result nor a link: all the same everything is answered.
    engine.disconnect();
    let start = std::time::Instant::now();
    fixture.terminate();
    expect_goodbye(&mut gateway);
    let mut tags: Vec<u64> = (0..3).map(|_| gateway.response().tag).collect();
    tags.sort_unstable();
    assert_eq!(tags, [1, 2, 3]);
    drop(gateway);
    assert_eq!(fixture.exit_code(), Some(0));
    assert!(start.elapsed() < RESPONSE_TIMEOUT / 2);
}

#[test]
fn a_second_shutdown_request_has_no_effect() {
    let (mut fixture, engine) = ServerFixture::start_serving(site(LONG));
    let mut gateway = fixture.gateway();
    let id = start_run(&mut gateway, &engine, 1, "read");
    fixture.terminate();
    expect_goodbye(&mut gateway);
    fixture.terminate();
    gateway.expect_quiet();
    finish_run(&mut gateway, &engine, 1, &id);
    drop(gateway);
    assert_eq!(fixture.exit_code(), Some(0));
}

#[test]
fn a_shutdown_request_before_the_engine_connects_is_obeyed() {
    let mut fixture = ServerFixture::new(site(LONG));
    fixture.start("exec \"$0\" serve");
    let _engine = fixture.engine.link();
    let mut gateway = idle_gateway(&fixture);
    fixture.terminate();
    expect_goodbye(&mut gateway);
    drop(gateway);
    assert_eq!(fixture.exit_code(), Some(0));
}

#[test]
fn a_shutdown_request_before_the_engine_connects_holds_once_it_does() {
    let mut fixture = ServerFixture::new(site(LONG));
    fixture.start("exec \"$0\" serve");
    let engine = fixture.engine.link();
    let mut gateway = fixture.gateway();
    gateway.send(&health(1, true));
    assert_eq!(gateway.response().tag, 1);
    fixture.terminate();
    fixture.wait_for_log("shutdown requested");
    engine.accept_attach("ATTACH 0");
    engine.expect_quiet();
    gateway.call(2, "pay", b"x");
    assert_eq!(gateway.response().status, "BUSY");
    gateway.send(&health(3, false));
    assert_eq!(gateway.response().status, "DOWN");
    engine.expect_quiet();
    drop(gateway);
    assert_eq!(fixture.exit_code(), Some(0));
}

#[test]
fn a_shutdown_request_is_obeyed_while_the_address_is_in_use() {
    let mut fixture = ServerFixture::new(site(LONG));
    let _former = std::net::TcpListener::bind(fixture.listen).expect("the address");
    fixture.start("exec \"$0\" serve");
    fixture.wait_for_log("the address is in use");
    fixture.terminate();
    assert_eq!(fixture.exit_code(), Some(0));
}

#[test]
fn an_address_in_use_for_more_than_a_second_is_awaited() {
    let mut fixture = ServerFixture::new(site(LONG));
    let former = std::net::TcpListener::bind(fixture.listen).expect("the address");
    fixture.start("exec \"$0\" serve");
    fixture.wait_for_log("the address is in use");
    std::thread::sleep(std::time::Duration::from_millis(1_500));
    assert!(fixture.is_running());
    drop(former);
    fixture.engine.link().accept_attach("ATTACH 0");
    fixture.wait_for_service();
}

/// Connections over the bound stand in the listen queue, where the system has accepted them: what was sent on them is
/// received.
#[test]
fn requests_in_the_listen_queue_at_its_close_are_answered() {
    // Half of them are for gateways.
    let (mut fixture, _engine) =
        start_configured(site(LONG), |fixture| fixture.config["limits"]["sockets"] = 50.into());
    let mut inside: Vec<Gateway> = Vec::new();
    for _ in 0..25 {
        let mut gateway = fixture.gateway();
        gateway.call(1, "pay", b"x");
        inside.push(gateway);
    }
    let mut outside = fixture.gateway();
    outside.call(7, "pay", b"x");
    outside.expect_quiet();
    fixture.terminate();
    for gateway in &mut inside {
        expect_goodbye(gateway);
    }
    // No room comes at once. Then those inside close, and the last of all hears, too, that it is not served.
    outside.expect_quiet();
    drop(inside);
    let answer = loop {
        let answer = outside.response();
        if answer.tag == 7 {
            break answer;
        }
        assert_eq!(answer.status, "BYE");
    };
    assert_eq!(answer.status, "BUSY");
    drop(outside);
    assert_eq!(fixture.exit_code(), Some(0));
}

/// A process that exits over unread bytes takes back what its peer has not read yet.
#[test]
fn a_gateway_that_writes_at_the_last_moment_reads_all_responses() {
    let (mut fixture, _engine) = ServerFixture::start_serving(site(LONG));
    let mut gateway = idle_gateway(&fixture);
    fixture.terminate();
    expect_goodbye(&mut gateway);
    let over = std::sync::Arc::new(std::sync::atomic::AtomicBool::new(false));
    let (mut writer, told) = (gateway.stream.try_clone().expect("a clone"), over.clone());
    let _ = gateway
        .stream
        .try_clone()
        .expect("a clone")
        .write_all(b"*4\r\n$8\r\nRPC.CALL\r\n$4\r\n1234\r\n$1000\r\n");
    // A word of a thousand bytes that comes byte by byte, for as long as its reader has not seen the end.
    let writes = std::thread::spawn(move || {
        while !told.load(std::sync::atomic::Ordering::SeqCst) {
            let _ = writer.write(b"x");
            std::thread::sleep(std::time::Duration::from_millis(2));
        }
    });
    let mut bytes = [0; 256];
    gateway.stream.set_read_timeout(Some(RESPONSE_TIMEOUT)).expect("a time-out");
    let end = loop {
        match gateway.stream.read(&mut bytes) {
            Ok(0) => break Ok(()),
            Ok(_) => {}
            Err(error) => break Err(error),
        }
    };
    over.store(true, std::sync::atomic::Ordering::SeqCst);
    writes.join().expect("the writer ends");
    assert!(end.is_ok(), "{end:?}");
    drop(gateway);
    assert_eq!(fixture.exit_code(), Some(0));
}

/// However little time there is until the kill: what was read is answered, and the process ends by itself.
#[test]
fn a_very_short_shutdown_answers_all_open_requests() {
    for stop_ms in [200.0, 400.0, 800.0] {
        let (mut fixture, engine) =
            start_configured(site(LONG), |fixture| fixture.config["stop_ms"] = stop_ms.into());
        let (mut asks, mut rests) = (fixture.gateway(), idle_gateway(&fixture));
        for tag in 1..=8 {
            asks.call(tag, "pay", b"x");
        }
        engine.expect("RUN");
        fixture.terminate();
        let mut tags: Vec<u64> =
            (0..9).map(|_| asks.response()).filter(|answer| answer.status != "BYE").map(|a| a.tag).collect();
        tags.sort_unstable();
        assert_eq!(tags, (1..=8).collect::<Vec<u64>>(), "stop_ms {stop_ms}");
        expect_goodbye(&mut rests);
        assert_eq!(fixture.exit_code(), Some(0));
        rests.expect_closed();
    }
}
