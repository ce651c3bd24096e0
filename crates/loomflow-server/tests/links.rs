//! Connections of a server process to its engine and its ledger. Scripted peers disconnect, stop responding, reply late or
//! send malformed messages at each stage of a run; the tests check the responses to a gateway.

mod common;

use common::*;
use loomflow_test_servers::*;

/// Request timeout in ms, short enough to expire during a test.
const SHORT_TIMEOUT: f64 = 1_500.0;
const CLASSES: [&str; 3] = ["read", "pay", "book"];
/// An attempt id that is not in use.
const UNKNOWN_ID: &str = "00000000000000ff";

/// A server with its scripted peers and a gateway.
struct ServingFixture {
    fixture: ServerFixture,
    engine: PeerConnection,
    ledger: OpenLedger,
    gateway: Gateway,
}

fn start_serving(timeout: f64) -> ServingFixture {
    let (fixture, engine) = ServerFixture::start_serving(site(timeout));
    let (ledger, gateway) = (fixture.ledger.open(), fixture.gateway());
    ServingFixture { fixture, engine, ledger, gateway }
}

/// A serving server whose first request waits for the reply to its call.
struct CallFixture {
    fixture: ServerFixture,
    engine: PeerConnection,
    ledger: OpenLedger,
    call: PeerConnection,
    gateway: Gateway,
    id: String,
}

fn start_calling(class: &str, timeout: f64) -> CallFixture {
    let ServingFixture { fixture, engine, ledger, mut gateway } = start_serving(timeout);
    let id = start_run(&mut gateway, &engine, 1, class);
    let call = start_call(&ledger, &engine, 1, &id, b"call");
    CallFixture { fixture, engine, ledger, call, gateway, id }
}

/// Makes a run call the ledger by the engine's notice `number`; returns the call's connection to the ledger.
fn start_call(
    ledger: &OpenLedger,
    engine: &PeerConnection,
    number: u64,
    id: &str,
    body: &[u8],
) -> PeerConnection {
    engine.send_need(number, id, body);
    let connection = ledger.link();
    let post = connection.expect("post");
    assert_eq!((post.word(1), post.body.as_slice()), (id, body));
    connection
}

/// Sends the reply to a call.
fn reply(connection: &PeerConnection, id: &str, body: &[u8]) {
    connection.send_with_body(&format!("{id} posted"), body);
}

/// Expects that the reply to a call is fed to its run.
fn expect_feed(engine: &PeerConnection, id: &str, body: &[u8]) {
    let feed = engine.expect("FEED");
    assert_eq!((feed.word(1), feed.body.as_slice()), (id, body));
}

/// Expects the command to run the request `id` with the body that [`start_run`] sends.
fn expect_run_with_id(engine: &PeerConnection, id: &str) {
    let run = engine.expect("RUN");
    assert_eq!((run.word(1), run.body.as_slice()), (id, &b"x"[..]));
}

/// Ends a run with this outcome and without a result.
fn end_run(engine: &PeerConnection, number: u64, id: &str, outcome: &str) {
    engine.send_with_body(&format!("DONE {number} {id} {outcome}"), b"");
}

/// Replies to a query of the gauges; the reply to the first query of a connection ends its replay.
fn send_stats(engine: &PeerConnection, query: &Line) {
    engine.send_line(&format!("STATS {} 0 1 0.1 4", query.word(1)));
}

/// Accepts the next connection to the engine, and leaves its `ATTACH` without a response.
fn next_unattached(fixture: &ServerFixture, line: &str) -> PeerConnection {
    let engine = fixture.engine.link();
    assert_eq!(engine.line().text, line);
    engine
}

// ---- Engine connection ----

#[test]
fn a_run_requested_while_disconnected_is_sent_after_reconnect() {
    for class in ["read", "pay"] {
        let (fixture, engine) = ServerFixture::start_serving(site(LONG_TIMEOUT));
        let mut gateway = fixture.gateway();
        engine.disconnect();
        let engine = next_unattached(&fixture, "ATTACH 0");
        let id = gateway.call(1, class, b"x");
        gateway.expect_quiet();
        engine.send_line("HELLO running 60000");
        expect_run_with_id(&engine, &id);
        finish_run(&mut gateway, &engine, 1, &id);
        engine.expect_quiet();
    }
}

#[test]
fn an_uncertain_run_is_resent_for_every_class() {
    for class in CLASSES {
        let (fixture, engine) = ServerFixture::start_serving(site(LONG_TIMEOUT));
        let mut gateway = fixture.gateway();
        let id = start_run(&mut gateway, &engine, 1, class);
        engine.disconnect();
        let engine = attach(&fixture, "ATTACH 0");
        expect_run_with_id(&engine, &id);
        // The run had already ended: the engine sends its result, then rejects the repeated command as late.
        engine.send_done(1, &id, b"y");
        end_run(&engine, 2, &id, "late 0");
        assert_eq!(gateway.response().status, "OK");
        gateway.expect_quiet();
        engine.expect_quiet();
    }
}

/// Ages are measured by the server's clock, which includes pauses of the machine, so a run must be sent again at any age.
#[test]
fn reconnect_resends_old_runs_but_not_old_replies() {
    let ServingFixture { fixture, engine, ledger, mut gateway } = start_serving(LONG_TIMEOUT);
    let fed = start_run(&mut gateway, &engine, 1, "read");
    engine.send_need(1, &fed, b"call");
    reply(&ledger.link(), &fed, b"reply");
    engine.expect("FEED");
    let running = start_run(&mut gateway, &engine, 2, "pay");
    std::thread::sleep(std::time::Duration::from_millis(400));
    engine.disconnect();
    let engine = attach(&fixture, "ATTACH 1");
    expect_run_with_id(&engine, &running);
    engine.expect_quiet();
    for (id, number) in [(&fed, 2), (&running, 3)] {
        engine.send_done(number, id, b"y");
        assert_eq!(gateway.response().status, "OK");
    }
    gateway.expect_quiet();
}

#[test]
fn replayed_notices_are_handled_once() {
    let ServingFixture { fixture, engine, ledger, mut gateway } = start_serving(LONG_TIMEOUT);
    let a = gateway.call(1, "pay", b"a");
    engine.expect("RUN");
    let b = gateway.call(2, "pay", b"b");
    engine.expect("RUN");
    let call = start_call(&ledger, &engine, 1, &a, b"call");
    engine.disconnect();
    let engine = fixture.engine.link();
    // The server has read the first notice already; the engine sent the second one while disconnected.
    let notices = [(format!("NEED 1 {a}"), &b"call"[..]), (format!("DONE 2 {b} fine 5"), b"B")];
    engine.accept_attach_replaying("ATTACH 1", &notices);
    assert_eq!(gateway.response().body, b"B");
    call.expect_quiet();
    reply(&call, &a, b"ok");
    expect_feed(&engine, &a, b"ok");
    engine.send_done(3, &a, b"A");
    assert_eq!(gateway.response().body, b"A");
    engine.expect_quiet();
}

#[test]
fn a_reply_received_while_disconnected_is_fed_after_reconnect() {
    let CallFixture { fixture, engine, ledger: _ledger, call, mut gateway, id } =
        start_calling("pay", LONG_TIMEOUT);
    engine.disconnect();
    let engine = next_unattached(&fixture, "ATTACH 1");
    reply(&call, &id, b"reply");
    engine.expect_quiet();
    engine.send_line("HELLO running 60000");
    expect_feed(&engine, &id, b"reply");
    finish_run(&mut gateway, &engine, 2, &id);
}

#[test]
fn an_uncertain_reply_is_resent_only_without_an_effect() {
    for class in ["read", "pay"] {
        let CallFixture { fixture, engine, ledger, call, mut gateway, id } =
            start_calling(class, LONG_TIMEOUT);
        reply(&call, &id, b"reply");
        engine.expect("FEED");
        engine.disconnect();
        let engine = attach(&fixture, "ATTACH 1");
        // The repeated notice makes no second call.
        engine.send_need(1, &id, b"call");
        if class == "read" {
            expect_feed(&engine, &id, b"reply");
            // The run's next notice does make a call.
            let second = start_call(&ledger, &engine, 2, &id, b"second");
            reply(&second, &id, b"other");
            expect_feed(&engine, &id, b"other");
        }
        engine.expect_quiet();
        ledger.expect_no_link();
        finish_run(&mut gateway, &engine, 3, &id);
    }
}

#[test]
fn a_resent_reply_that_may_reach_another_call_fails_the_request() {
    let CallFixture { fixture, engine, ledger, call, mut gateway, id } = start_calling("read", LONG_TIMEOUT);
    reply(&call, &id, b"reply");
    engine.expect("FEED");
    engine.disconnect();
    let engine = fixture.engine.link();
    fixture.engine.set_automatic_replies(false);
    engine.accept_attach("ATTACH 1");
    let replay_query = engine.expect("STAT");
    send_stats(&engine, &replay_query);
    // The server sends its next query and the reply; the engine sends a call before it has read either.
    engine.expect("STAT");
    expect_feed(&engine, &id, b"reply");
    engine.send_need(2, &id, b"second");
    assert_eq!(gateway.response().status, "FAILED");
    ledger.expect_no_link();
    end_run(&engine, 3, &id, "broken_off 5");
    gateway.expect_quiet();
}

#[test]
fn a_partially_read_result_is_replayed() {
    let (fixture, engine) = ServerFixture::start_serving(site(LONG_TIMEOUT));
    let mut gateway = fixture.gateway();
    let id = start_run(&mut gateway, &engine, 1, "pay");
    engine.send_bytes(format!("DONE 1 {id} fine 5 6\r\nres").as_bytes());
    engine.disconnect();
    let engine = fixture.engine.link();
    engine.accept_attach_replaying("ATTACH 0", &[(format!("DONE 1 {id} fine 5"), b"result")]);
    assert_eq!(gateway.response().body, b"result");
    engine.expect_quiet();
    gateway.expect_quiet();
}

#[test]
fn a_malformed_notice_reconnects_the_engine() {
    let (mut fixture, engine) = ServerFixture::start_serving(site(LONG_TIMEOUT));
    engine.send_line("THIS IS NO NOTICE");
    engine.expect_closed();
    let engine = attach(&fixture, "ATTACH 0");
    let mut gateway = fixture.gateway();
    serve_request(&mut gateway, &engine, 1, "read", 1);
    assert!(fixture.log().contains("engine"));
    assert!(fixture.is_running());
}

#[test]
fn notices_about_unknown_requests_are_ignored() {
    let (fixture, engine) = ServerFixture::start_serving(site(LONG_TIMEOUT));
    engine.send_done(1, UNKNOWN_ID, b"y");
    engine.send_need(2, UNKNOWN_ID, b"call");
    engine.send_line(&format!("NO RUN {UNKNOWN_ID}"));
    engine.send_line("NOTE 3 a remark with no meaning");
    engine.send_line("TESTED 99 fault");
    let mut gateway = fixture.gateway();
    serve_request(&mut gateway, &engine, 1, "read", 4);
}

#[test]
fn a_rejected_run_fails_its_request_unless_started() {
    let CallFixture { fixture: _fixture, engine, ledger: _ledger, call, mut gateway, id } =
        start_calling("pay", LONG_TIMEOUT);
    engine.send_line(&format!("NO RUN {id}"));
    gateway.expect_quiet();
    reply(&call, &id, b"ok");
    expect_feed(&engine, &id, b"ok");
    finish_run(&mut gateway, &engine, 2, &id);
    let id = start_run(&mut gateway, &engine, 2, "pay");
    engine.send_line(&format!("NO RUN {id}"));
    assert_eq!(gateway.response().status, "FAILED");
    gateway.expect_quiet();
}

/// The connection breaks during the replay: pending commands are sent on the next connection.
#[test]
fn commands_survive_a_disconnect_during_replay() {
    let (fixture, engine) = ServerFixture::start_serving(site(LONG_TIMEOUT));
    let mut gateway = fixture.gateway();
    fixture.engine.set_automatic_replies(false);
    engine.disconnect();
    let replaying = attach(&fixture, "ATTACH 0");
    let former_query = replaying.expect("STAT");
    let id = gateway.call(1, "pay", b"x");
    // The response to this check shows that the server has received the request.
    check_health(&mut gateway, 2);
    replaying.disconnect();
    let engine = attach(&fixture, "ATTACH 0");
    let query = engine.expect("STAT");
    // A reply to the former connection's query does not end this replay.
    send_stats(&engine, &former_query);
    send_stats(&engine, &query);
    assert_eq!(engine.expect("RUN").word(1), id);
    finish_run(&mut gateway, &engine, 1, &id);
}

// ---- The ledger ----

#[test]
fn a_call_is_retried_after_a_refused_connection() {
    let (fixture, engine) = ServerFixture::start_serving(site(LONG_TIMEOUT));
    let mut gateway = fixture.gateway();
    let id = start_run(&mut gateway, &engine, 1, "pay");
    engine.send_need(1, &id, b"call");
    // The ledger starts to listen during the retries or after the last one.
    let ledger = fixture.ledger.open();
    if let Ok(Some(response)) = gateway.next_response(QUIET_PERIOD) {
        assert_eq!(response.status, "FAILED");
    } else {
        let _call = reply_to_call(&ledger, &engine, &id);
        finish_run(&mut gateway, &engine, 2, &id);
    }
}

#[test]
fn a_call_with_an_effect_is_not_retried_after_a_disconnect() {
    let CallFixture { fixture: _fixture, engine: _engine, ledger, call, mut gateway, id: _id } =
        start_calling("pay", LONG_TIMEOUT);
    call.disconnect();
    let response = gateway.response();
    assert_eq!(response.status, "FAILED");
    ledger.expect_no_link();
}

#[test]
fn a_call_with_an_effect_is_retried_only_after_queue_full() {
    let CallFixture { fixture: _fixture, engine: _engine, ledger, call, mut gateway, id } =
        start_calling("pay", LONG_TIMEOUT);
    call.send_line(&format!("{id} queue_full"));
    let call = ledger.link();
    assert_eq!(call.expect("post").body, b"call");
    call.send_line(&format!("{id} error"));
    assert_eq!(gateway.response().status, "FAILED");
    ledger.expect_no_link();
}

#[test]
fn an_idempotent_call_is_retried_after_a_disconnect() {
    let CallFixture { fixture: _fixture, engine, ledger, call, mut gateway, id } =
        start_calling("read", LONG_TIMEOUT);
    call.disconnect();
    let _call = reply_to_call(&ledger, &engine, &id);
    finish_run(&mut gateway, &engine, 2, &id);
}

#[test]
fn a_silent_ledger_fails_the_request_and_late_replies_are_ignored() {
    let CallFixture { fixture: _fixture, engine, ledger, call, mut gateway, id } =
        start_calling("pay", SHORT_TIMEOUT);
    assert_eq!(gateway.response().status, "FAILED");
    // The call's connection is closed, not reused.
    call.expect_closed();
    end_run(&engine, 2, &id, "broken_off 1500");
    reply(&call, &id, b"late");
    gateway.expect_quiet();
    engine.expect_quiet();
    let id = start_run(&mut gateway, &engine, 2, "pay");
    engine.send_need(3, &id, b"call");
    let _call = reply_to_call(&ledger, &engine, &id);
}

#[test]
fn a_malformed_reply_closes_the_ledger_connection() {
    let CallFixture { mut fixture, engine, ledger, call, mut gateway, id } =
        start_calling("pay", LONG_TIMEOUT);
    call.send_line("what is this");
    assert_eq!(gateway.response().status, "FAILED");
    end_run(&engine, 2, &id, "broken_off 9");
    let id = start_run(&mut gateway, &engine, 2, "pay");
    let _call = start_call(&ledger, &engine, 3, &id, b"call");
    assert!(fixture.log().contains("ledger"));
    assert!(fixture.is_running());
}

#[test]
fn a_malformed_reply_fails_no_other_call() {
    let unterminated = "x".repeat(100_000);
    let malformed = [
        "noise\u{7f}\r\n",
        &unterminated,
        "ID posted 3221225472\r\n",
        "ID posted -5\r\n",
        "ID posted 3\r\ntoo long\r\n",
    ];
    for text in malformed {
        let CallFixture { fixture: _fixture, engine, ledger, call, mut gateway, id } =
            start_calling("pay", LONG_TIMEOUT);
        let other = start_run(&mut gateway, &engine, 2, "pay");
        let other_call = start_call(&ledger, &engine, 2, &other, b"call");
        call.send_bytes(text.replace("ID", &id).as_bytes());
        assert_eq!((gateway.response().tag, gateway.next_response(QUIET_PERIOD)), (1, Err(NoResponse)));
        call.expect_closed();
        reply(&other_call, &other, b"ok");
        expect_feed(&engine, &other, b"ok");
    }
}

#[test]
fn duplicate_and_unknown_replies_are_ignored() {
    let CallFixture { fixture: _fixture, engine, ledger, call, mut gateway, id } =
        start_calling("read", LONG_TIMEOUT);
    reply(&call, UNKNOWN_ID, b"whose");
    reply(&call, &id, b"reply");
    expect_feed(&engine, &id, b"reply");
    // A repeated reply to the first call is not taken as the reply to the second.
    let second = start_call(&ledger, &engine, 2, &id, b"second");
    reply(&call, &id, b"reply");
    engine.expect_quiet();
    reply(&second, &id, b"other");
    reply(&second, &id, b"other");
    expect_feed(&engine, &id, b"other");
    finish_run(&mut gateway, &engine, 3, &id);
    engine.expect_quiet();
}

#[test]
fn a_call_with_an_effect_never_uses_an_idle_connection() {
    let ServingFixture { fixture: _fixture, engine, ledger, mut gateway } = start_serving(LONG_TIMEOUT);
    let mut idle_connections = Vec::new();
    for (number, class) in (0..).zip(CLASSES) {
        let id = start_run(&mut gateway, &engine, number, class);
        engine.send_need(2 * number + 1, &id, b"call");
        let call = reply_to_call(&ledger, &engine, &id);
        finish_run(&mut gateway, &engine, 2 * number + 2, &id);
        idle_connections.push(call);
    }
}

#[test]
fn a_closed_idle_connection_is_replaced() {
    let ServingFixture { fixture: _fixture, engine, ledger, mut gateway } = start_serving(LONG_TIMEOUT);
    for number in 0..2u64 {
        let id = start_run(&mut gateway, &engine, number, "pay");
        engine.send_need(3 * number + 1, &id, b"call");
        let call = reply_to_call(&ledger, &engine, &id);
        finish_run(&mut gateway, &engine, 3 * number + 2, &id);
        call.disconnect();
        std::thread::sleep(QUIET_PERIOD);
    }
}

// ---- Capacity of runs whose end is unknown ----

/// Initial limit on concurrent runs, with the four cores of the scripted engine.
const CAPACITY: u64 = 4;

/// Starts as many runs as the limit allows; returns their attempt ids.
fn fill_capacity(gateway: &mut Gateway, engine: &PeerConnection) -> Vec<String> {
    (1..=CAPACITY).map(|tag| start_run(gateway, engine, tag, "pay")).collect()
}

fn expect_all_failed(gateway: &mut Gateway) {
    for _ in 1..=CAPACITY {
        assert_eq!(gateway.response().status, "FAILED");
    }
}

/// Expects that there is capacity for a request to be run and answered.
fn expect_capacity(gateway: &mut Gateway, engine: &PeerConnection) {
    serve_request(gateway, engine, 9, "pay", 9);
}

#[test]
fn runs_that_failed_before_a_disconnect_free_their_capacity() {
    let (fixture, engine) = ServerFixture::start_serving(site(SHORT_TIMEOUT));
    let mut gateway = fixture.gateway();
    let ids = fill_capacity(&mut gateway, &engine);
    expect_all_failed(&mut gateway);
    engine.disconnect();
    let engine = attach(&fixture, "ATTACH 0");
    // The engine still had the runs and reports their ends after the reconnect.
    for (id, number) in ids.iter().zip(1..) {
        end_run(&engine, number, id, "broken_off 1500");
    }
    expect_capacity(&mut gateway, &engine);
}

#[test]
fn runs_that_failed_after_a_disconnect_free_their_capacity() {
    let (fixture, engine) = ServerFixture::start_serving(site(SHORT_TIMEOUT));
    let mut gateway = fixture.gateway();
    let ids = fill_capacity(&mut gateway, &engine);
    engine.disconnect();
    let engine = attach(&fixture, "ATTACH 0");
    for _ in &ids {
        engine.expect("RUN");
    }
    expect_all_failed(&mut gateway);
    for (id, number) in ids.iter().zip(1..) {
        end_run(&engine, number, id, "late 0");
    }
    expect_capacity(&mut gateway, &engine);
}

#[test]
fn unsent_runs_are_dropped_once_their_request_is_finished() {
    let (fixture, engine) = ServerFixture::start_serving(site(SHORT_TIMEOUT));
    let mut gateway = fixture.gateway();
    engine.disconnect();
    let engine = next_unattached(&fixture, "ATTACH 0");
    for tag in 1..=CAPACITY {
        gateway.call(tag, "pay", b"x");
    }
    expect_all_failed(&mut gateway);
    engine.send_line("HELLO running 60000");
    engine.expect_quiet();
    expect_capacity(&mut gateway, &engine);
}
