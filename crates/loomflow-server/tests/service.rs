//! Requests served by a server process with scripted peers: every message in both directions, each idempotency, and the
//! optional features that a site's settings enable.

mod common;

use common::*;
use loomflow_test_servers::*;
use serde_json::json;

#[test]
fn a_request_runs_and_its_result_is_returned_unchanged() {
    let (fixture, engine) = ServerFixture::start_serving(site(LONG_TIMEOUT));
    let mut gateway = fixture.gateway();
    let id = gateway.call(7, "read", b"a body\r\nof any \0 bytes\xff");
    let run = engine.expect("RUN");
    assert_eq!(run.text, format!("RUN {id} read 23"));
    assert_eq!(run.body, b"a body\r\nof any \0 bytes\xff");
    engine.send_done(1, &id, b"*1\r\nresult\0\xfe");
    let response = gateway.response();
    assert_eq!((response.tag, response.status.as_str()), (7, "OK"));
    assert_eq!(response.body, b"*1\r\nresult\0\xfe");
    gateway.expect_quiet();
}

#[test]
fn a_failed_stopped_or_late_run_gets_a_failed_response() {
    let (fixture, engine) = ServerFixture::start_serving(site(LONG_TIMEOUT));
    let mut gateway = fixture.gateway();
    for (tag, outcome) in (1..).zip(["fault", "broken_off", "late"]) {
        let id = start_run(&mut gateway, &engine, tag, "pay");
        engine.send_with_body(&format!("DONE {tag} {id} {outcome} 5"), b"");
        expect_status(&mut gateway, tag, "FAILED");
    }
    let id = start_run(&mut gateway, &engine, 9, "pay");
    engine.send_line(&format!("NO RUN {id}"));
    assert_eq!(gateway.response().status, "FAILED");
}

#[test]
fn a_downstream_call_is_posted_and_its_reply_fed_unchanged() {
    for class in ["read", "pay", "book"] {
        let (fixture, engine) = ServerFixture::start_serving(site(LONG_TIMEOUT));
        let ledger = fixture.ledger.open();
        let mut gateway = fixture.gateway();
        let id = start_run(&mut gateway, &engine, 1, class);
        engine.send_need(1, &id, b"call\r\n\0body");
        let call = ledger.link();
        let post = call.expect("post");
        assert_eq!((post.word(1), post.body.as_slice()), (id.as_str(), &b"call\r\n\0body"[..]));
        let timeout: f64 = post.word(2).parse().unwrap();
        assert!((1.0..=LONG_TIMEOUT).contains(&timeout));
        call.send_with_body(&format!("{id} posted"), b"\r\nreply\xff");
        let feed = engine.expect("FEED");
        assert_eq!((feed.word(1), feed.body.as_slice()), (id.as_str(), &b"\r\nreply\xff"[..]));
        // A run may make several calls in succession, each on its own connection.
        engine.send_need(2, &id, b"second");
        let call = ledger.link();
        assert_eq!(call.expect("post").body, b"second");
        call.send_with_body(&format!("{id} posted"), b"");
        engine.expect("FEED");
        engine.send_done(3, &id, b"done");
        assert_eq!(gateway.response().status, "OK");
        ledger.expect_no_link();
    }
}

#[test]
fn a_server_without_a_ledger_fails_requests_with_calls() {
    let mut fixture = ServerFixture::new(site(1000.0));
    fixture.config.as_object_mut().unwrap().remove("ledger");
    fixture.start(SERVE);
    let engine = attach(&fixture, "ATTACH 0");
    let mut gateway = fixture.gateway();
    let mut tag = 0;
    let id = loop {
        tag += 1;
        let id = gateway.call(tag, "pay", b"x");
        match gateway.next_response(QUIET_PERIOD) {
            Ok(Some(response)) => assert_eq!(response.status, "BUSY"),
            _ => break id,
        }
    };
    engine.expect("RUN");
    engine.send_need(1, &id, b"call");
    assert_eq!(gateway.response().status, "FAILED");
}

#[test]
fn health_checks_are_answered_before_the_engine_connects() {
    let (fixture, engine) = start_unattached();
    assert_eq!(engine.line().text, "ATTACH 0");
    let mut gateway = fixture.gateway();
    check_health(&mut gateway, 1);
    gateway.send(&health(2, true));
    assert_eq!(gateway.response().status, "DOWN");
    assert!(fixture.control.report().starts_with("PUT /v2/endpoints/n3 HTTP/1.1 {\"condition\":\"Ready\"}"));
    engine.send_line("HELLO starting 0");
    let mut tag = 2;
    loop {
        tag += 1;
        gateway.send(&health(tag, true));
        if gateway.response().status == "UP" {
            break;
        }
    }
    serve_request(&mut gateway, &engine, 100, "read", 1);
}

#[test]
fn repeats_of_an_idempotent_request_share_one_run() {
    let (fixture, engine) = ServerFixture::start_serving(site(LONG_TIMEOUT));
    let (mut one, mut two) = (fixture.gateway(), fixture.gateway());
    let keyed = |id: &str, key: &str| format!("{},opkey={key}", fields(id));
    let first = next_attempt_id();
    one.send(&call(1, "book", &keyed(&first, "k1"), b"x"));
    engine.expect("RUN");
    // One repeat on another connection during the run, and one after it.
    two.send(&call(1, "book", &keyed(&next_attempt_id(), "k1"), b"x"));
    two.expect_quiet();
    engine.expect_quiet();
    engine.send_done(1, &first, b"booked");
    assert_eq!((one.response().body, two.response().body), (b"booked".to_vec(), b"booked".to_vec()));
    two.send(&call(2, "book", &keyed(&next_attempt_id(), "k1"), b"x"));
    let repeat = two.response();
    assert_eq!((repeat.status.as_str(), repeat.body.as_slice()), ("OK", &b"booked"[..]));
    engine.expect_quiet();
    // A request with another key is run.
    two.send(&call(3, "book", &keyed(&next_attempt_id(), "k2"), b"x"));
    engine.expect("RUN");
}

#[test]
fn a_repeat_of_a_failed_idempotent_request_fails() {
    let (fixture, engine) = ServerFixture::start_serving(site(LONG_TIMEOUT));
    let mut gateway = fixture.gateway();
    let keyed = |id: &str| format!("{},opkey=k1", fields(id));
    let first = next_attempt_id();
    gateway.send(&call(1, "book", &keyed(&first), b"x"));
    engine.expect("RUN");
    gateway.send(&call(2, "book", &keyed(&next_attempt_id()), b"x"));
    gateway.expect_quiet();
    engine.send_with_body(&format!("DONE 1 {first} fault 5"), b"");
    assert_eq!(
        (gateway.response().status.as_str(), gateway.response().status.as_str()),
        ("FAILED", "FAILED")
    );
    gateway.send(&call(3, "book", &keyed(&next_attempt_id()), b"x"));
    assert_eq!(gateway.response().status, "FAILED");
    engine.expect_quiet();
}

#[test]
fn reads_share_a_cached_result() {
    let mut settings = site(LONG_TIMEOUT);
    settings["Domain"]["Fresh"] = json!(60_000.0);
    let (fixture, engine) = ServerFixture::start_serving(settings);
    let mut gateway = fixture.gateway();
    let fields_of = |id: &str, subject: &str| format!("{},subject={subject}", fields(id));
    let first = next_attempt_id();
    gateway.send(&call(1, "read", &fields_of(&first, "7f"), b"x"));
    engine.expect("RUN");
    gateway.send(&call(2, "read", &fields_of(&next_attempt_id(), "7f"), b"x"));
    engine.expect_quiet();
    engine.send_done(1, &first, b"page");
    assert_eq!((gateway.response().body, gateway.response().body), (b"page".to_vec(), b"page".to_vec()));
    gateway.send(&call(3, "read", &fields_of(&next_attempt_id(), "80"), b"x"));
    engine.expect("RUN");
}

#[test]
fn runs_are_preempted_if_the_site_allows_it() {
    let mut settings = site(600.0);
    settings["Domain"]["Halt"] = json!("drop");
    let (fixture, engine) = ServerFixture::start_serving(settings);
    let mut gateway = fixture.gateway();
    let id = start_run(&mut gateway, &engine, 1, "read");
    // The request is answered before its timeout, and its run is stopped.
    assert_ne!(gateway.response().status, "OK");
    assert_eq!(engine.line().text, format!("HALT {id}"));
    engine.send_with_body(&format!("DONE 1 {id} broken_off 600"), b"");
    gateway.expect_quiet();
}

#[test]
fn a_call_is_skipped_if_the_site_allows_it() {
    let mut settings = site(LONG_TIMEOUT);
    settings["Domain"]["DegradedWorth"] = json!([0.9, 0.9, 0.9]);
    let (fixture, engine) = ServerFixture::start_serving(settings);
    let mut gateway = fixture.gateway();
    // The ledger refuses connections, so the call cannot have had an effect.
    let id = start_run(&mut gateway, &engine, 1, "pay");
    engine.send_need(1, &id, b"call");
    assert_eq!(engine.line().text, format!("SKIP {id}"));
    engine.send_done(2, &id, b"poorer");
    assert_eq!(gateway.response().body, b"poorer");
}

#[test]
fn responses_match_connection_and_tag_in_any_order() {
    let (fixture, engine) = ServerFixture::start_serving(site(LONG_TIMEOUT));
    let (mut one, mut two) = (fixture.gateway(), fixture.gateway());
    let a = one.call(1, "read", b"a");
    engine.expect("RUN");
    let b = two.call(1, "read", b"b");
    engine.expect("RUN");
    let c = one.call(2, "read", b"c");
    engine.expect("RUN");
    engine.send_done(1, &c, b"C");
    engine.send_done(2, &b, b"B");
    engine.send_done(3, &a, b"A");
    let (first, second) = (one.response(), one.response());
    assert_eq!((first.tag, first.body, second.tag, second.body), (2, b"C".to_vec(), 1, b"A".to_vec()));
    assert_eq!(two.response().body, b"B");
}

#[test]
fn requests_are_answered_in_time_if_the_engine_is_silent() {
    let (fixture, engine) = ServerFixture::start_serving(site(700.0));
    let mut gateway = fixture.gateway();
    for tag in 1..=32 {
        gateway.call(tag, ["read", "pay", "book"][tag as usize % 3], b"x");
    }
    let start = std::time::Instant::now();
    expect_each_answered_once(&mut gateway, 32);
    assert!(
        start.elapsed() < RESPONSE_TIMEOUT / 2,
        "the responses took {:?}, the limit is half of {RESPONSE_TIMEOUT:?}",
        start.elapsed()
    );
    gateway.expect_quiet();
    drop(engine);
}
