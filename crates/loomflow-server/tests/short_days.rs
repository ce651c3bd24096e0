//! The moments of the standing test's short days, each forced here (`docs/design/crossings.md`).

use std::collections::BTreeSet;
use std::time::Duration;

use loomflow_test_servers::*;

const LONG: f64 = 20_000.0;

/// Nothing that is held, runs or waits at its call is lost, and each is answered once.
#[test]
fn a_reload_followed_by_a_drain_answers_all_open_requests() {
    let (mut fixture, engine) = ServerFixture::start_serving(site(LONG));
    let old_ledger = fixture.ledger.open();
    let mut gateway = fixture.gateway();
    (1..=7).for_each(|tag| drop(gateway.call(tag, "pay", b"x")));
    let first = engine.expect("RUN").word(1).to_owned();
    engine.send_need(1, &first, b"call");
    let call = old_ledger.link();
    call.expect("post");
    let _old = fixture.move_peers();
    fixture.signal("HUP");
    fixture.wait_for_log("the configuration was reloaded");
    fixture.terminate();
    fixture.wait_for_log("shutdown requested");
    let moved = fixture.engine.link();
    moved.accept_attach("ATTACH 1");
    call.send_with_body(&format!("{first} posted"), b"ok");
    // The engine: what runs already or is over is not begun again.
    let (mut begun, mut number) = (BTreeSet::new(), 1);
    while begun.len() < 7 {
        let line = moved.line();
        let id = line.word(1).to_owned();
        let ends = match line.word(0) {
            "FEED" => id == first,
            // The first waits for the reply to its call.
            "RUN" => id != first,
            other => panic!("{other} is not expected"),
        };
        if ends && begun.insert(id.clone()) {
            number += 1;
            moved.send_done(number, &id, b"y");
        }
    }
    let mut words: Vec<String> = (0..8).map(|_| gateway.response().status).collect();
    words.sort();
    assert_eq!(words, ["BYE", "OK", "OK", "OK", "OK", "OK", "OK", "OK"]);
    drop(gateway);
    assert_eq!(fixture.exit_code(), Some(0));
}

/// Whatever had come of a request: the process that follows knows nothing of it, and serves.
#[test]
fn a_process_killed_right_after_an_accept_is_replaced_by_one_that_serves() {
    let mut fixture = ServerFixture::new(site(LONG));
    let request = call(1, "pay", &fields(&next_attempt_id()), b"x");
    for sent in [0, 20, request.len()] {
        fixture.start("exec \"$0\" serve");
        fixture.engine.link().accept_attach("ATTACH 0");
        fixture.wait_for_service();
        let mut gateway = fixture.gateway();
        gateway.send(&request[..sent]);
        fixture.kill();
        gateway.expect_closed();
        // Notices count from 1 again, and what was asked of the former life is not asked again.
        fixture.start("exec \"$0\" serve");
        let engine = fixture.engine.link();
        engine.accept_attach("ATTACH 0");
        engine.expect_quiet();
        fixture.wait_for_service();
        let mut gateway = fixture.gateway();
        let id = gateway.call(1, "pay", b"x");
        assert_eq!(engine.expect("RUN").word(1), id);
        engine.send_done(1, &id, b"y");
        assert_eq!(gateway.response().body, b"y");
        fixture.kill();
    }
}

/// Every form that the protocol page allows, with its tag and the word of its answer.
fn forms() -> Vec<(Vec<u8>, u64, &'static str)> {
    let plain = || fields(&next_attempt_id());
    let turned = || plain().split(',').rev().collect::<Vec<_>>().join(",");
    let without_work = || plain().replace("ms=12.50,", "");
    let whole_numbers = || plain().replace("need=24.5", "need=24").replace("level=0.6250", "level=0");
    let words = |tag: &str, fields: &str| array(&[b"RPC.CALL", tag.as_bytes(), b"read", fields.as_bytes()]);
    vec![
        (call(1, "read", &plain(), b"body"), 1, "OK"),
        (call(2, "pay", &plain(), b""), 2, "OK"),
        // No word for the body.
        (words("3", &plain()), 3, "OK"),
        (call(4, "book", &format!("{},opkey=k", plain()), b"*1\r\n$4\r\nbody\r\n"), 4, "OK"),
        (call(5, "read", &format!("{},subject=7f3a9c21e0b4d655", plain()), &[0; 2048]), 5, "OK"),
        (call(6, "read", &turned(), b"\r\n"), 6, "OK"),
        // The work to expect is rough, and may be absent.
        (call(7, "read", &without_work(), b"x"), 7, "OK"),
        (call(8, "read", &whole_numbers(), b"x"), 8, "OK"),
        // A field that is not known.
        (call(9, "read", &format!("colour=red,{}", plain()), b"x"), 9, "OK"),
        (health(10, true), 10, "UP"),
        (health(11, false), 11, "UP"),
        (array(&[b"RPC.HEALTH", b"12"]), 12, "UP"),
        (array(&[b"RPC.HEALTH", b"13", b"real=0"]), 13, "UP"),
    ]
}

/// A server with an engine that works by itself.
fn working() -> (ServerFixture, Worker) {
    let worker = Worker::start(4, Duration::from_millis(1));
    let mut fixture = ServerFixture::new(site(LONG));
    fixture.serve_with(&worker);
    (fixture, worker)
}

#[test]
fn fragmented_requests_are_answered_on_every_site() {
    let (fixture, _worker) = working();
    for size in [1, 2, 3, 5, 16, 61, 700, usize::MAX] {
        let forms = forms();
        let bytes: Vec<u8> = forms.iter().flat_map(|(bytes, ..)| bytes.clone()).collect();
        let mut gateway = fixture.gateway();
        bytes.chunks(size.min(bytes.len())).for_each(|piece| gateway.send(piece));
        let mut answers: Vec<(u64, String)> =
            forms.iter().map(|_| gateway.response()).map(|answer| (answer.tag, answer.status)).collect();
        answers.sort();
        let expected: Vec<(u64, String)> =
            forms.iter().map(|(_, tag, word)| (*tag, (*word).to_owned())).collect();
        assert_eq!(answers, expected, "in pieces of {size}");
    }
}

/// The server has read the first part before the second is sent.
#[test]
fn a_request_split_at_any_byte_is_answered_on_every_site() {
    let (fixture, _worker) = working();
    let mut other = fixture.gateway();
    let mut checks = 0;
    for (number, form) in (0..forms().len()).zip(1_usize..) {
        let mut gateway = fixture.gateway();
        let length = forms()[number].0.len();
        // Each form at other places, all of them over all forms.
        for at in (form % 7..length).step_by(7) {
            // A tag, a `req` and a key of its own for each.
            let (bytes, tag, word) = forms().swap_remove(number);
            gateway.send(&bytes[..at]);
            checks += 1;
            other.send(&health(checks, false));
            assert_eq!(other.response().tag, checks);
            gateway.send(&bytes[at..]);
            let answer = gateway.response();
            assert_eq!((answer.tag, answer.status.as_str()), (tag, word), "cut at {at}");
        }
    }
}

/// A control plane that falls silent late, and one whose answers come all at once, late or twice.
#[test]
fn reports_continue_past_silent_late_or_batched_responses() {
    const GOOD: &str = "HTTP/1.1 204 No Content\r\n\r\n";
    const WHOLE: &str =
        "HTTP/1.1 204 No Content\r\n\r\nHTTP/1.1 204 No Content\r\n\r\nHTTP/1.1 204 No Content\r\n\r\n";
    let (mut fixture, engine) = ServerFixture::start_serving(site(LONG));
    for (number, answer) in (1..).zip([GOOD, "", WHOLE, "", GOOD]) {
        fixture.control.answers(answer);
        fixture.control.forget();
        for _ in 0..3 {
            assert!(fixture.control.report().ends_with("{\"condition\":\"Ready\"}"));
        }
        let mut gateway = fixture.gateway();
        let id = gateway.call(number, "read", b"x");
        engine.expect("RUN");
        engine.send_done(number, &id, b"y");
        assert_eq!(gateway.response().body, b"y");
    }
    assert!(fixture.is_running());
}

/// Nobody asks anything of it, and nobody whom it needs is there.
#[test]
fn an_idle_process_waits_quietly_and_shuts_down_on_request() {
    let mut fixture = ServerFixture::new(site(LONG));
    for peer in ["engine", "ledger", "control"] {
        fixture.config[peer] = loopback_address().to_string().into();
    }
    fixture.start("exec \"$0\" serve");
    fixture.wait_for_log("a report failed");
    let before = fixture.descriptors();
    std::thread::sleep(Duration::from_secs(2));
    assert_eq!(fixture.spinning_threads(), Vec::<String>::new());
    assert!(fixture.descriptors() <= before + 2, "{} after {before}", fixture.descriptors());
    assert!(fixture.log().lines().count() <= 3, "{}", fixture.log());
    fixture.terminate();
    assert_eq!(fixture.exit_code(), Some(0));
}

/// An engine that has taken requests and tells nothing of them, while their callers have given up without a word.
#[test]
fn requests_without_a_result_are_answered_once_in_time() {
    let (mut fixture, engine) = ServerFixture::start_serving(site(1_000.0));
    let mut gateway = fixture.gateway();
    let classes = ["read", "pay", "book"];
    let asked: Vec<String> = (1..=6).map(|tag| gateway.call(tag, classes[tag as usize % 3], b"x")).collect();
    let runs: Vec<String> = (0..4).map(|_| engine.expect("RUN").word(1).to_owned()).collect();
    let mut tags: Vec<u64> = asked.iter().map(|_| gateway.response().tag).collect();
    tags.sort_unstable();
    assert_eq!(tags, (1..=6).collect::<Vec<u64>>());
    // What the engine tells after that changes nothing for them, and gives the places back.
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
    let answer = gateway.response();
    assert_eq!((answer.tag, answer.body.as_slice()), (7, &b"y"[..]));
    assert!(fixture.is_running());
}
