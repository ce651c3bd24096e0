//! The moments of the standing test's short days, each forced here (`docs/design/crossings.md`).

use std::collections::BTreeSet;
use std::time::Duration;

use loomflow_standins::*;

const LONG: f64 = 20_000.0;

/// Nothing that is held, runs or waits at its call is lost, and each is answered once.
#[test]
fn a_reload_followed_by_a_drain_answers_all_that_is_in_hand_over_the_new_addresses() {
    let (mut world, engine) = World::serving(site(LONG));
    let old_ledger = world.ledger.open();
    let mut gateway = world.gateway();
    (1..=7).for_each(|tag| drop(gateway.call(tag, "pay", b"x")));
    let first = engine.expect("RUN").word(1).to_owned();
    engine.need(1, &first, b"call");
    let call = old_ledger.link();
    call.expect("post");
    let _old = world.moved();
    world.signal("HUP");
    world.wait_for_log("the configuration was reloaded");
    world.terminate();
    world.wait_for_log("shutdown requested");
    let moved = world.engine.link();
    moved.hello("ATTACH 1");
    call.say_body(&format!("{first} posted"), b"ok");
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
            moved.done(number, &id, b"y");
        }
    }
    let mut words: Vec<String> = (0..8).map(|_| gateway.answer().word).collect();
    words.sort();
    assert_eq!(words, ["BYE", "OK", "OK", "OK", "OK", "OK", "OK", "OK"]);
    drop(gateway);
    assert_eq!(world.exit_code(), Some(0));
}

/// Whatever had come of a request: the process that follows knows nothing of it, and serves.
#[test]
fn a_process_killed_right_after_an_accept_is_followed_by_one_that_serves() {
    let mut world = World::new(site(LONG));
    let request = call(1, "pay", &fields(&fresh_id()), b"x");
    for sent in [0, 20, request.len()] {
        world.start("exec \"$0\" serve");
        world.engine.link().hello("ATTACH 0");
        world.wait_for_service();
        let mut gateway = world.gateway();
        gateway.send(&request[..sent]);
        world.kill();
        gateway.is_closed();
        // Notices count from 1 again, and what was asked of the former life is not asked again.
        world.start("exec \"$0\" serve");
        let engine = world.engine.link();
        engine.hello("ATTACH 0");
        engine.is_quiet();
        world.wait_for_service();
        let mut gateway = world.gateway();
        let id = gateway.call(1, "pay", b"x");
        assert_eq!(engine.expect("RUN").word(1), id);
        engine.done(1, &id, b"y");
        assert_eq!(gateway.answer().body, b"y");
        world.kill();
    }
}

/// Every form that the protocol page allows, with its tag and the word of its answer.
fn forms() -> Vec<(Vec<u8>, u64, &'static str)> {
    let plain = || fields(&fresh_id());
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
fn working() -> (World, Worker) {
    let worker = Worker::start(4, Duration::from_millis(1));
    let mut world = World::new(site(LONG));
    world.work_with(&worker);
    (world, worker)
}

#[test]
fn requests_in_pieces_of_any_size_are_answered_in_every_form_of_the_protocol() {
    let (world, _worker) = working();
    for size in [1, 2, 3, 5, 16, 61, 700, usize::MAX] {
        let forms = forms();
        let bytes: Vec<u8> = forms.iter().flat_map(|(bytes, ..)| bytes.clone()).collect();
        let mut gateway = world.gateway();
        bytes.chunks(size.min(bytes.len())).for_each(|piece| gateway.send(piece));
        let mut answers: Vec<(u64, String)> =
            forms.iter().map(|_| gateway.answer()).map(|answer| (answer.tag, answer.word)).collect();
        answers.sort();
        let expected: Vec<(u64, String)> =
            forms.iter().map(|(_, tag, word)| (*tag, (*word).to_owned())).collect();
        assert_eq!(answers, expected, "in pieces of {size}");
    }
}

/// The server has read the first part before the second is sent.
#[test]
fn a_request_cut_in_two_at_any_byte_is_answered_in_every_form_of_the_protocol() {
    let (world, _worker) = working();
    let mut other = world.gateway();
    let mut checks = 0;
    for (number, form) in (0..forms().len()).zip(1_usize..) {
        let mut gateway = world.gateway();
        let length = forms()[number].0.len();
        // Each form at other places, all of them over all forms.
        for at in (form % 7..length).step_by(7) {
            // A tag, a `req` and a key of its own for each.
            let (bytes, tag, word) = forms().swap_remove(number);
            gateway.send(&bytes[..at]);
            checks += 1;
            other.send(&health(checks, false));
            assert_eq!(other.answer().tag, checks);
            gateway.send(&bytes[at..]);
            let answer = gateway.answer();
            assert_eq!((answer.tag, answer.word.as_str()), (tag, word), "cut at {at}");
        }
    }
}

/// A control plane that falls silent late, and one whose answers come all at once, late or twice.
#[test]
fn reports_go_on_past_a_control_plane_that_falls_silent_late_or_answers_all_at_once() {
    const GOOD: &str = "HTTP/1.1 204 No Content\r\n\r\n";
    const WHOLE: &str =
        "HTTP/1.1 204 No Content\r\n\r\nHTTP/1.1 204 No Content\r\n\r\nHTTP/1.1 204 No Content\r\n\r\n";
    let (mut world, engine) = World::serving(site(LONG));
    for (number, answer) in (1..).zip([GOOD, "", WHOLE, "", GOOD]) {
        world.control.answers(answer);
        world.control.forget();
        for _ in 0..3 {
            assert!(world.control.report().ends_with("{\"condition\":\"Ready\"}"));
        }
        let mut gateway = world.gateway();
        let id = gateway.call(number, "read", b"x");
        engine.expect("RUN");
        engine.done(number, &id, b"y");
        assert_eq!(gateway.answer().body, b"y");
    }
    assert!(world.is_running());
}

/// Nobody asks anything of it, and nobody whom it needs is there.
#[test]
fn a_process_that_serves_nobody_waits_says_little_and_leaves_when_it_is_told_to() {
    let mut world = World::new(site(LONG));
    for peer in ["engine", "ledger", "control"] {
        world.config[peer] = free_address().to_string().into();
    }
    world.start("exec \"$0\" serve");
    world.wait_for_log("a report failed");
    let before = world.descriptors();
    std::thread::sleep(Duration::from_secs(2));
    assert_eq!(world.spinning_threads(), Vec::<String>::new());
    assert!(world.descriptors() <= before + 2, "{} after {before}", world.descriptors());
    assert!(world.log().lines().count() <= 3, "{}", world.log());
    world.terminate();
    assert_eq!(world.exit_code(), Some(0));
}

/// An engine that has taken requests and tells nothing of them, while their callers have given up without a word.
#[test]
fn requests_that_the_engine_leaves_with_no_answer_are_answered_in_their_time_once() {
    let (mut world, engine) = World::serving(site(1_000.0));
    let mut gateway = world.gateway();
    let classes = ["read", "pay", "book"];
    let asked: Vec<String> = (1..=6).map(|tag| gateway.call(tag, classes[tag as usize % 3], b"x")).collect();
    let runs: Vec<String> = (0..4).map(|_| engine.expect("RUN").word(1).to_owned()).collect();
    let mut tags: Vec<u64> = asked.iter().map(|_| gateway.answer().tag).collect();
    tags.sort_unstable();
    assert_eq!(tags, (1..=6).collect::<Vec<u64>>());
    // What the engine tells after that changes nothing for them, and gives the places back.
    for (id, number) in runs.iter().zip(1..) {
        engine.done(number, id, b"late");
    }
    let id = gateway.call(7, "pay", b"x");
    loop {
        let line = engine.line();
        if line.word(0) == "RUN" && line.word(1) == id {
            break;
        }
    }
    engine.done(5, &id, b"y");
    let answer = gateway.answer();
    assert_eq!((answer.tag, answer.body.as_slice()), (7, &b"y"[..]));
    assert!(world.is_running());
}
