//! The life of a request on real sockets: every message in both directions, for every effect kind.

use loomflow_standins::*;
use serde_json::json;

const LONG: f64 = 20_000.0;

#[test]
fn a_request_is_run_and_its_result_given_back_unchanged() {
    let (world, engine) = World::serving(site(LONG));
    let mut gateway = world.gateway();
    let id = gateway.call(7, "read", b"a body\r\nof any \0 bytes\xff");
    let run = engine.expect("RUN");
    assert_eq!(run.text, format!("RUN {id} read 23"));
    assert_eq!(run.body, b"a body\r\nof any \0 bytes\xff");
    engine.done(1, &id, b"*1\r\nresult\0\xfe");
    let answer = gateway.answer();
    assert_eq!((answer.tag, answer.word.as_str()), (7, "OK"));
    assert_eq!(answer.body, b"*1\r\nresult\0\xfe");
    gateway.is_quiet();
}

#[test]
fn a_run_that_fails_or_is_broken_off_or_late_gets_a_failed_answer() {
    let (world, engine) = World::serving(site(LONG));
    let mut gateway = world.gateway();
    for (at, end) in (1..).zip(["fault", "broken_off", "late"]) {
        let id = gateway.call(at, "pay", b"x");
        engine.expect("RUN");
        engine.say_body(&format!("DONE {at} {id} {end} 5"), b"");
        let answer = gateway.answer();
        assert_eq!((answer.tag, answer.word.as_str()), (at, "FAILED"));
    }
    let id = gateway.call(9, "pay", b"x");
    engine.expect("RUN");
    engine.say(&format!("NO RUN {id}"));
    assert_eq!(gateway.answer().word, "FAILED");
}

#[test]
fn a_call_below_is_posted_with_its_body_and_its_reply_fed_unchanged() {
    for class in ["read", "pay", "book"] {
        let (world, engine) = World::serving(site(LONG));
        let ledger = world.ledger.open();
        let mut gateway = world.gateway();
        let id = gateway.call(1, class, b"x");
        engine.expect("RUN");
        engine.need(1, &id, b"call\r\n\0body");
        let below = ledger.link();
        let post = below.expect("post");
        assert_eq!((post.word(1), post.body.as_slice()), (id.as_str(), &b"call\r\n\0body"[..]));
        let wait: f64 = post.word(2).parse().unwrap();
        assert!((1.0..=LONG).contains(&wait));
        below.say_body(&format!("{id} posted"), b"\r\nreply\xff");
        let feed = engine.expect("FEED");
        assert_eq!((feed.word(1), feed.body.as_slice()), (id.as_str(), &b"\r\nreply\xff"[..]));
        // A run may need several calls, one after the other. They go on connections of their own.
        engine.need(2, &id, b"second");
        let below = ledger.link();
        assert_eq!(below.expect("post").body, b"second");
        below.say_body(&format!("{id} posted"), b"");
        engine.expect("FEED");
        engine.done(3, &id, b"done");
        assert_eq!(gateway.answer().word, "OK");
        ledger.has_no_link();
    }
}

#[test]
fn a_server_without_a_ledger_fails_what_needs_one() {
    let mut world = World::new(site(1000.0));
    world.config.as_object_mut().unwrap().remove("ledger");
    world.start("exec \"$0\" serve");
    let engine = world.engine.link();
    engine.hello("ATTACH 0");
    let mut gateway = world.gateway();
    let mut tag = 0;
    let id = loop {
        tag += 1;
        let id = gateway.call(tag, "pay", b"x");
        match gateway.next(QUIET) {
            Ok(Some(answer)) => assert_eq!(answer.word, "BUSY"),
            _ => break id,
        }
    };
    engine.expect("RUN");
    engine.need(1, &id, b"call");
    assert_eq!(gateway.answer().word, "FAILED");
}

#[test]
fn health_is_answered_before_the_engine_is_up_and_requests_once_it_is() {
    let mut world = World::new(site(LONG));
    world.start("exec \"$0\" serve");
    let engine = world.engine.link();
    assert_eq!(engine.line().text, "ATTACH 0");
    let mut gateway = world.gateway();
    gateway.send(&health(1, false));
    assert_eq!(gateway.answer().word, "UP");
    gateway.send(&health(2, true));
    assert_eq!(gateway.answer().word, "DOWN");
    assert!(world.control.report().starts_with("PUT /v2/endpoints/n3 HTTP/1.1 {\"condition\":\"Ready\"}"));
    engine.say("HELLO starting 0");
    let mut tag = 2;
    loop {
        tag += 1;
        gateway.send(&health(tag, true));
        if gateway.answer().word == "UP" {
            break;
        }
    }
    let id = gateway.call(100, "read", b"x");
    engine.expect("RUN");
    engine.done(1, &id, b"y");
    assert_eq!(gateway.answer().body, b"y");
}

#[test]
fn a_keyed_request_runs_once_and_its_repeats_get_its_result() {
    let (world, engine) = World::serving(site(LONG));
    let (mut one, mut two) = (world.gateway(), world.gateway());
    let keyed = |id: &str, key: &str| format!("{},opkey={key}", fields(id));
    let first = fresh_id();
    one.send(&call(1, "book", &keyed(&first, "k1"), b"x"));
    engine.expect("RUN");
    // While it runs, on another connection; then after it has run.
    two.send(&call(1, "book", &keyed(&fresh_id(), "k1"), b"x"));
    two.is_quiet();
    engine.is_quiet();
    engine.done(1, &first, b"booked");
    assert_eq!((one.answer().body, two.answer().body), (b"booked".to_vec(), b"booked".to_vec()));
    two.send(&call(2, "book", &keyed(&fresh_id(), "k1"), b"x"));
    let again = two.answer();
    assert_eq!((again.word.as_str(), again.body.as_slice()), ("OK", &b"booked"[..]));
    engine.is_quiet();
    // Another key is another request.
    two.send(&call(3, "book", &keyed(&fresh_id(), "k2"), b"x"));
    engine.expect("RUN");
}

#[test]
fn a_repeat_of_a_keyed_request_that_failed_fails_with_it() {
    let (world, engine) = World::serving(site(LONG));
    let mut gateway = world.gateway();
    let keyed = |id: &str| format!("{},opkey=k1", fields(id));
    let first = fresh_id();
    gateway.send(&call(1, "book", &keyed(&first), b"x"));
    engine.expect("RUN");
    gateway.send(&call(2, "book", &keyed(&fresh_id()), b"x"));
    gateway.is_quiet();
    engine.say_body(&format!("DONE 1 {first} fault 5"), b"");
    assert_eq!((gateway.answer().word.as_str(), gateway.answer().word.as_str()), ("FAILED", "FAILED"));
    gateway.send(&call(3, "book", &keyed(&fresh_id()), b"x"));
    assert_eq!(gateway.answer().word, "FAILED");
    engine.is_quiet();
}

#[test]
fn reads_share_an_answer_while_it_is_fresh() {
    let mut settings = site(LONG);
    settings["Domain"]["Fresh"] = json!(60_000.0);
    let (world, engine) = World::serving(settings);
    let mut gateway = world.gateway();
    let about = |id: &str, subject: &str| format!("{},subject={subject}", fields(id));
    let first = fresh_id();
    gateway.send(&call(1, "read", &about(&first, "7f"), b"x"));
    engine.expect("RUN");
    gateway.send(&call(2, "read", &about(&fresh_id(), "7f"), b"x"));
    engine.is_quiet();
    engine.done(1, &first, b"page");
    assert_eq!((gateway.answer().body, gateway.answer().body), (b"page".to_vec(), b"page".to_vec()));
    gateway.send(&call(3, "read", &about(&fresh_id(), "80"), b"x"));
    engine.expect("RUN");
}

#[test]
fn work_is_stopped_where_the_site_allows_it() {
    let mut settings = site(600.0);
    settings["Domain"]["Halt"] = json!("drop");
    let (world, engine) = World::serving(settings);
    let mut gateway = world.gateway();
    let id = gateway.call(1, "read", b"x");
    engine.expect("RUN");
    // Nothing comes of it: the request is given up in time, and its run ended.
    assert_ne!(gateway.answer().word, "OK");
    assert_eq!(engine.line().text, format!("HALT {id}"));
    engine.say_body(&format!("DONE 1 {id} broken_off 600"), b"");
    gateway.is_quiet();
}

#[test]
fn a_call_is_left_out_where_the_site_allows_it() {
    let mut settings = site(LONG);
    settings["Domain"]["DegradedWorth"] = json!([0.9, 0.9, 0.9]);
    let (world, engine) = World::serving(settings);
    let mut gateway = world.gateway();
    // Nobody listens where the calls go: for one with an effect too, that proves that nothing ran.
    let id = gateway.call(1, "pay", b"x");
    engine.expect("RUN");
    engine.need(1, &id, b"call");
    assert_eq!(engine.line().text, format!("SKIP {id}"));
    engine.done(2, &id, b"poorer");
    assert_eq!(gateway.answer().body, b"poorer");
}

#[test]
fn an_answer_goes_to_its_own_connection_and_tag_in_any_order() {
    let (world, engine) = World::serving(site(LONG));
    let (mut one, mut two) = (world.gateway(), world.gateway());
    let a = one.call(1, "read", b"a");
    engine.expect("RUN");
    let b = two.call(1, "read", b"b");
    engine.expect("RUN");
    let c = one.call(2, "read", b"c");
    engine.expect("RUN");
    engine.done(1, &c, b"C");
    engine.done(2, &b, b"B");
    engine.done(3, &a, b"A");
    let (first, second) = (one.answer(), one.answer());
    assert_eq!((first.tag, first.body, second.tag, second.body), (2, b"C".to_vec(), 1, b"A".to_vec()));
    assert_eq!(two.answer().body, b"B");
}

#[test]
fn every_request_is_answered_once_before_its_time_is_up_when_the_engine_is_silent() {
    let (world, engine) = World::serving(site(700.0));
    let mut gateway = world.gateway();
    for tag in 1..=32 {
        gateway.call(tag, ["read", "pay", "book"][tag as usize % 3], b"x");
    }
    let start = std::time::Instant::now();
    let mut tags: Vec<u64> = (0..32).map(|_| gateway.answer().tag).collect();
    assert!(start.elapsed() < PATIENCE / 2, "answers came far too late");
    tags.sort_unstable();
    assert_eq!(tags, (1..=32).collect::<Vec<u64>>());
    gateway.is_quiet();
    drop(engine);
}
