//! Event orders that are rare in production, forced with scripted peers (`docs/design/crossings.md`): a drain right after a
//! reload, a kill right after an accept, split messages, late responses of the control plane, and a silent engine.

mod common;

use std::collections::BTreeSet;
use std::time::Duration;

use common::*;
use loomflow_test_servers::*;

/// Ends the runs that the server sends to an engine at a new address, until `count` have ended. The run `calling` must
/// not be started again; it ends when the reply to its call is fed.
fn end_runs(engine: &PeerConnection, calling: &str, count: usize) {
    let (mut ended, mut number) = (BTreeSet::new(), 1);
    while ended.len() < count {
        let line = engine.line();
        let id = line.word(1).to_owned();
        let ends = match line.word(0) {
            "FEED" => id == calling,
            "RUN" => id != calling,
            other => panic!("{other} is neither RUN nor FEED"),
        };
        if ends && ended.insert(id.clone()) {
            number += 1;
            engine.send_done(number, &id, b"y");
        }
    }
}

/// Each request, whether queued, running or waiting for the reply to its call, is answered once.
#[test]
fn a_reload_followed_by_a_drain_answers_all_open_requests() {
    let (mut fixture, engine) = ServerFixture::start_serving(site(LONG_TIMEOUT));
    let former_ledger = fixture.ledger.open();
    let mut gateway = fixture.gateway();
    (1..=7).for_each(|tag| drop(gateway.call(tag, "pay", b"x")));
    let calling = expect_run(&engine);
    engine.send_need(1, &calling, b"call");
    let call = former_ledger.link();
    call.expect("post");
    let _former_peers = fixture.move_peers();
    fixture.signal("HUP");
    fixture.wait_for_log("the configuration was reloaded");
    fixture.terminate();
    fixture.wait_for_log("shutdown requested");
    let moved = attach(&fixture, "ATTACH 1");
    call.send_with_body(&format!("{calling} posted"), b"ok");
    end_runs(&moved, &calling, 7);
    let mut statuses: Vec<String> = (0..8).map(|_| gateway.response().status).collect();
    statuses.sort();
    assert_eq!(statuses, ["BYE", "OK", "OK", "OK", "OK", "OK", "OK", "OK"]);
    expect_exit(&mut fixture, gateway);
}

/// The process is killed with none, a part or all of a request received. The next process does not run it, and serves.
#[test]
fn a_restart_after_a_kill_on_accept_serves() {
    let mut fixture = ServerFixture::new(site(LONG_TIMEOUT));
    let request = call(1, "pay", &fields(&next_attempt_id()), b"x");
    for sent in [0, 20, request.len()] {
        fixture.start(SERVE);
        attach(&fixture, "ATTACH 0");
        fixture.wait_for_service();
        let mut gateway = fixture.gateway();
        gateway.send(&request[..sent]);
        fixture.kill();
        gateway.expect_closed();
        // The next process asks for notices from the first one on, and repeats no command of the killed process.
        fixture.start(SERVE);
        let engine = attach(&fixture, "ATTACH 0");
        engine.expect_quiet();
        fixture.wait_for_service();
        serve_request(&mut fixture.gateway(), &engine, 1, "pay", 1);
        fixture.kill();
    }
}

/// Messages in every form that the protocol allows, each with its tag and the status of its response.
fn message_forms() -> Vec<(Vec<u8>, u64, &'static str)> {
    let all_fields = || fields(&next_attempt_id());
    let reversed = || all_fields().split(',').rev().collect::<Vec<_>>().join(",");
    let without_work = || all_fields().replace("ms=12.50,", "");
    let whole_numbers = || all_fields().replace("need=24.5", "need=24").replace("level=0.6250", "level=0");
    let without_body = |tag: &str| array(&[b"RPC.CALL", tag.as_bytes(), b"read", all_fields().as_bytes()]);
    vec![
        (call(1, "read", &all_fields(), b"body"), 1, "OK"),
        (call(2, "pay", &all_fields(), b""), 2, "OK"),
        (without_body("3"), 3, "OK"),
        (call(4, "book", &format!("{},opkey=k", all_fields()), b"*1\r\n$4\r\nbody\r\n"), 4, "OK"),
        (call(5, "read", &format!("{},subject=7f3a9c21e0b4d655", all_fields()), &[0; 2048]), 5, "OK"),
        (call(6, "read", &reversed(), b"\r\n"), 6, "OK"),
        // The expected work (`ms`) is an estimate and optional.
        (call(7, "read", &without_work(), b"x"), 7, "OK"),
        (call(8, "read", &whole_numbers(), b"x"), 8, "OK"),
        // Unknown fields are ignored.
        (call(9, "read", &format!("colour=red,{}", all_fields()), b"x"), 9, "OK"),
        (health(10, true), 10, "UP"),
        (health(11, false), 11, "UP"),
        (array(&[b"RPC.HEALTH", b"12"]), 12, "UP"),
        (array(&[b"RPC.HEALTH", b"13", b"real=0"]), 13, "UP"),
    ]
}

/// Starts a server with an engine that runs requests by itself.
fn start_with_worker() -> (ServerFixture, AutonomousEngine) {
    let worker = AutonomousEngine::start(4, Duration::from_millis(1));
    let mut fixture = ServerFixture::new(site(LONG_TIMEOUT));
    fixture.serve_with(&worker);
    (fixture, worker)
}

#[test]
fn fragmented_requests_are_answered() {
    let (fixture, _worker) = start_with_worker();
    for size in [1, 2, 3, 5, 16, 61, 700, usize::MAX] {
        let forms = message_forms();
        let bytes: Vec<u8> = forms.iter().flat_map(|(bytes, ..)| bytes.clone()).collect();
        let mut gateway = fixture.gateway();
        bytes.chunks(size.min(bytes.len())).for_each(|part| gateway.send(part));
        let mut responses: Vec<(u64, String)> = forms
            .iter()
            .map(|_| gateway.response())
            .map(|response| (response.tag, response.status))
            .collect();
        responses.sort();
        let expected: Vec<(u64, String)> =
            forms.iter().map(|(_, tag, status)| (*tag, (*status).to_owned())).collect();
        assert_eq!(responses, expected, "responses to messages in parts of {size} bytes");
    }
}

/// A health check of another gateway ensures that the server has read the first part before the second one is sent.
#[test]
fn a_request_split_at_any_byte_is_answered() {
    let (fixture, _worker) = start_with_worker();
    let mut other = fixture.gateway();
    let mut checks = 0;
    for (number, form) in (0..message_forms().len()).zip(1_usize..) {
        let mut gateway = fixture.gateway();
        let length = message_forms()[number].0.len();
        // Each form is split at every seventh byte; the offsets of successive forms differ, and together cover all seven.
        for at in (form % 7..length).step_by(7) {
            // Each message needs a new attempt id.
            let (bytes, tag, status) = message_forms().swap_remove(number);
            gateway.send(&bytes[..at]);
            checks += 1;
            check_health(&mut other, checks);
            gateway.send(&bytes[at..]);
            let response = gateway.response();
            assert_eq!((response.tag, response.status.as_str()), (tag, status), "split at {at}");
        }
    }
}

/// The control plane sends no response, then several at once, late or twice.
#[test]
fn reports_continue_past_silent_late_or_batched_responses() {
    const ONE: &str = "HTTP/1.1 204 No Content\r\n\r\n";
    const THREE: &str =
        "HTTP/1.1 204 No Content\r\n\r\nHTTP/1.1 204 No Content\r\n\r\nHTTP/1.1 204 No Content\r\n\r\n";
    let (mut fixture, engine) = ServerFixture::start_serving(site(LONG_TIMEOUT));
    for (number, response) in (1..).zip([ONE, "", THREE, "", ONE]) {
        fixture.control.set_response(response);
        fixture.control.discard_reports();
        for _ in 0..3 {
            expect_ready_report(&fixture.control);
        }
        serve_request(&mut fixture.gateway(), &engine, number, "read", number);
    }
    assert!(fixture.is_running());
}

/// Without requests and with no peer listening, the server must neither spin, leak descriptors nor flood its log.
#[test]
fn an_idle_server_without_peers_does_not_spin() {
    let mut fixture = ServerFixture::new(site(LONG_TIMEOUT));
    for peer in ["engine", "ledger", "control"] {
        fixture.config[peer] = loopback_address().to_string().into();
    }
    fixture.start(SERVE);
    fixture.wait_for_log("a report failed");
    let before = fixture.descriptors();
    std::thread::sleep(Duration::from_secs(2));
    assert_eq!(fixture.spinning_threads(), Vec::<String>::new());
    assert!(fixture.descriptors() <= before + 2, "{} after {before}", fixture.descriptors());
    assert!(fixture.log().lines().count() <= 3, "{}", fixture.log());
    fixture.terminate();
    assert_eq!(fixture.exit_code(), Some(0));
}

/// The engine has started runs and sends no results, while the gateway stays connected.
#[test]
fn requests_without_a_result_are_answered_once_in_time() {
    let (mut fixture, engine) = ServerFixture::start_serving(site(1_000.0));
    let mut gateway = fixture.gateway();
    let classes = ["read", "pay", "book"];
    for tag in 1..=6 {
        gateway.call(tag, classes[tag as usize % 3], b"x");
    }
    let runs: Vec<String> = (0..4).map(|_| expect_run(&engine)).collect();
    expect_each_answered_once(&mut gateway, 6);
    // Late results free the capacity of their runs and cause no second response.
    for (id, number) in runs.iter().zip(1..) {
        engine.send_done(number, id, b"late");
    }
    let id = gateway.call(7, "pay", b"x");
    loop {
        let line = engine.line();
        if line.word(0) == "RUN" && line.word(1) == id {
            break;
        }
    }
    engine.send_done(5, &id, b"y");
    let response = gateway.response();
    assert_eq!((response.tag, response.body.as_slice()), (7, &b"y"[..]));
    assert!(fixture.is_running());
}
