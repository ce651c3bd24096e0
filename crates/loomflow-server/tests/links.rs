//! Engine and ledger breaking, silent, late or talking nonsense, at each stage of a run.

mod common;

use common::{answer_call, attach, finish_run, start_run};
use loomflow_test_servers::*;

const LONG: f64 = 20_000.0;
/// A request's whole time where it has to run out.
const SHORT: f64 = 1_500.0;

/// A server whose first request waits for its call.
struct Calling {
    fixture: ServerFixture,
    engine: PeerConnection,
    ledger: OpenLedger,
    below: PeerConnection,
    gateway: Gateway,
    id: String,
}

fn calling(class: &str, limit: f64) -> Calling {
    let (fixture, engine) = ServerFixture::start_serving(site(limit));
    let ledger = fixture.ledger.open();
    let mut gateway = fixture.gateway();
    let id = start_run(&mut gateway, &engine, 1, class);
    engine.send_need(1, &id, b"call");
    let below = ledger.link();
    below.expect("post");
    Calling { fixture, engine, ledger, below, gateway, id }
}

// ---- The engine's link ----

#[test]
fn a_run_requested_while_disconnected_is_sent_on_the_next_connection() {
    for class in ["read", "pay"] {
        let (fixture, engine) = ServerFixture::start_serving(site(LONG));
        let mut gateway = fixture.gateway();
        engine.disconnect();
        let engine = fixture.engine.link();
        assert_eq!(engine.line().text, "ATTACH 0");
        let id = gateway.call(1, class, b"x");
        gateway.expect_quiet();
        engine.send_line("HELLO running 60000");
        let run = engine.expect("RUN");
        assert_eq!((run.word(1), run.body.as_slice()), (id.as_str(), &b"x"[..]));
        finish_run(&mut gateway, &engine, 1, &id);
        engine.expect_quiet();
    }
}

#[test]
fn an_uncertain_run_is_sent_again_whatever_its_effect() {
    for class in ["read", "pay", "book"] {
        let (fixture, engine) = ServerFixture::start_serving(site(LONG));
        let mut gateway = fixture.gateway();
        let id = start_run(&mut gateway, &engine, 1, class);
        engine.disconnect();
        let engine = attach(&fixture, "ATTACH 0");
        let again = engine.expect("RUN");
        assert_eq!((again.word(1), again.body.as_slice()), (id.as_str(), &b"x"[..]));
        // It had been over all the time: the second is answered as late, after the result.
        engine.send_done(1, &id, b"y");
        engine.send_with_body(&format!("DONE 2 {id} late 0"), b"");
        assert_eq!(gateway.response().status, "OK");
        gateway.expect_quiet();
        engine.expect_quiet();
    }
}

/// How long ago that was is told by our clock, and a pause of the machine counts in it: of a run it must not matter.
#[test]
fn after_a_disconnect_an_old_run_is_sent_again_and_an_old_reply_is_not() {
    let (fixture, engine) = ServerFixture::start_serving(site(LONG));
    let ledger = fixture.ledger.open();
    let mut gateway = fixture.gateway();
    let fed = start_run(&mut gateway, &engine, 1, "read");
    engine.send_need(1, &fed, b"call");
    ledger.link().send_with_body(&format!("{fed} posted"), b"reply");
    engine.expect("FEED");
    let running = start_run(&mut gateway, &engine, 2, "pay");
    std::thread::sleep(std::time::Duration::from_millis(400));
    engine.disconnect();
    let engine = attach(&fixture, "ATTACH 1");
    let again = engine.expect("RUN");
    assert_eq!((again.word(1), again.body.as_slice()), (running.as_str(), &b"x"[..]));
    engine.expect_quiet();
    for (id, number) in [(&fed, 2), (&running, 3)] {
        engine.send_done(number, id, b"y");
        assert_eq!(gateway.response().status, "OK");
    }
    gateway.expect_quiet();
}

#[test]
fn notices_are_replayed_after_the_last_one_read_and_handled_once() {
    let (fixture, engine) = ServerFixture::start_serving(site(LONG));
    let ledger = fixture.ledger.open();
    let mut gateway = fixture.gateway();
    let a = gateway.call(1, "pay", b"a");
    engine.expect("RUN");
    let b = gateway.call(2, "pay", b"b");
    engine.expect("RUN");
    engine.send_need(1, &a, b"call");
    let below = ledger.link();
    assert_eq!(below.expect("post").word(1), a);
    engine.disconnect();
    let engine = fixture.engine.link();
    // The first is old; the second came while there was no link.
    let notices = [(format!("NEED 1 {a}"), &b"call"[..]), (format!("DONE 2 {b} fine 5"), b"B")];
    engine.accept_attach_replaying("ATTACH 1", &notices);
    assert_eq!(gateway.response().body, b"B");
    below.expect_quiet();
    below.send_with_body(&format!("{a} posted"), b"ok");
    assert_eq!(engine.expect("FEED").word(1), a);
    engine.send_done(3, &a, b"A");
    assert_eq!(gateway.response().body, b"A");
    engine.expect_quiet();
}

#[test]
fn a_reply_received_while_disconnected_is_fed_on_the_next_connection() {
    let Calling { fixture, engine, ledger: _ledger, below, mut gateway, id } = calling("pay", LONG);
    engine.disconnect();
    let engine = fixture.engine.link();
    assert_eq!(engine.line().text, "ATTACH 1");
    below.send_with_body(&format!("{id} posted"), b"reply");
    engine.expect_quiet();
    engine.send_line("HELLO running 60000");
    assert_eq!(engine.expect("FEED").body, b"reply");
    finish_run(&mut gateway, &engine, 2, &id);
}

#[test]
fn an_uncertain_reply_is_fed_again_without_an_effect() {
    for class in ["read", "pay"] {
        let Calling { fixture, engine, ledger, below, mut gateway, id } = calling(class, LONG);
        below.send_with_body(&format!("{id} posted"), b"reply");
        engine.expect("FEED");
        engine.disconnect();
        let engine = attach(&fixture, "ATTACH 1");
        // A notice that was read before is not taken for a further call.
        engine.send_need(1, &id, b"call");
        if class == "read" {
            assert_eq!(engine.expect("FEED").body, b"reply");
            // The next call of the run comes after it, and is made.
            engine.send_need(2, &id, b"second");
            let second = ledger.link();
            assert_eq!(second.expect("post").body, b"second");
            second.send_with_body(&format!("{id} posted"), b"other");
            assert_eq!(engine.expect("FEED").body, b"other");
        }
        engine.expect_quiet();
        ledger.has_no_link();
        finish_run(&mut gateway, &engine, 3, &id);
    }
}

#[test]
fn a_repeated_reply_that_may_have_reached_another_call_fails_its_request() {
    let Calling { fixture, engine, ledger, below, mut gateway, id } = calling("read", LONG);
    below.send_with_body(&format!("{id} posted"), b"reply");
    engine.expect("FEED");
    engine.disconnect();
    let engine = fixture.engine.link();
    fixture.engine.answers_by_itself(false);
    engine.accept_attach("ATTACH 1");
    let closes_replay = engine.expect("STAT");
    engine.send_line(&format!("STATS {} 0 1 0.1 4", closes_replay.word(1)));
    // The question, the reply, and a call that was on its way before either was read.
    engine.expect("STAT");
    assert_eq!(engine.expect("FEED").body, b"reply");
    engine.send_need(2, &id, b"second");
    assert_eq!(gateway.response().status, "FAILED");
    ledger.has_no_link();
    engine.send_with_body(&format!("DONE 3 {id} broken_off 5"), b"");
    gateway.expect_quiet();
}

#[test]
fn a_partially_read_result_is_repeated_on_the_next_connection() {
    let (fixture, engine) = ServerFixture::start_serving(site(LONG));
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
    let (mut fixture, engine) = ServerFixture::start_serving(site(LONG));
    engine.send_line("THIS IS NO NOTICE");
    engine.expect_closed();
    let engine = attach(&fixture, "ATTACH 0");
    let mut gateway = fixture.gateway();
    let id = start_run(&mut gateway, &engine, 1, "read");
    finish_run(&mut gateway, &engine, 1, &id);
    assert!(fixture.log().contains("engine"));
    assert!(fixture.is_running());
}

#[test]
fn notices_about_unknown_requests_are_ignored() {
    let (fixture, engine) = ServerFixture::start_serving(site(LONG));
    engine.send_done(1, "00000000000000ff", b"y");
    engine.send_need(2, "00000000000000ff", b"call");
    engine.send_line("NO RUN 00000000000000ff");
    engine.send_line("NOTE 3 a remark with no meaning");
    engine.send_line("TESTED 99 fault");
    let mut gateway = fixture.gateway();
    let id = start_run(&mut gateway, &engine, 1, "read");
    finish_run(&mut gateway, &engine, 4, &id);
}

#[test]
fn a_rejected_run_command_fails_the_request_unless_it_has_started() {
    let Calling { fixture: _world, engine, ledger: _ledger, below, mut gateway, id } = calling("pay", LONG);
    engine.send_line(&format!("NO RUN {id}"));
    gateway.expect_quiet();
    below.send_with_body(&format!("{id} posted"), b"ok");
    assert_eq!(engine.expect("FEED").word(1), id);
    finish_run(&mut gateway, &engine, 2, &id);
    let id = start_run(&mut gateway, &engine, 2, "pay");
    engine.send_line(&format!("NO RUN {id}"));
    assert_eq!(gateway.response().status, "FAILED");
    gateway.expect_quiet();
}

/// A link breaks while what it replays is still being read: what waits to be said is said on the link after it.
#[test]
fn a_connection_replaced_during_replay_loses_nothing() {
    let (fixture, engine) = ServerFixture::start_serving(site(LONG));
    let mut gateway = fixture.gateway();
    fixture.engine.answers_by_itself(false);
    engine.disconnect();
    let replaying = attach(&fixture, "ATTACH 0");
    let question = replaying.expect("STAT");
    let id = gateway.call(1, "pay", b"x");
    // It has been taken in.
    gateway.send(&health(2, false));
    assert_eq!(gateway.response().status, "UP");
    replaying.disconnect();
    let engine = attach(&fixture, "ATTACH 0");
    let next = engine.expect("STAT");
    // An answer to the question of the former link closes nothing.
    engine.send_line(&format!("STATS {} 0 1 0.1 4", question.word(1)));
    engine.send_line(&format!("STATS {} 0 1 0.1 4", next.word(1)));
    assert_eq!(engine.expect("RUN").word(1), id);
    finish_run(&mut gateway, &engine, 1, &id);
}

// ---- The ledger ----

#[test]
fn a_call_is_retried_after_a_refused_connection() {
    let (fixture, engine) = ServerFixture::start_serving(site(LONG));
    let mut gateway = fixture.gateway();
    let id = start_run(&mut gateway, &engine, 1, "pay");
    engine.send_need(1, &id, b"call");
    // It opens while the call is being tried again, or stays shut until the tries are used up.
    let ledger = fixture.ledger.open();
    if let Ok(Some(answer)) = gateway.next_response(QUIET_PERIOD) {
        assert_eq!(answer.status, "FAILED");
    } else {
        let _below = answer_call(&ledger, &engine, &id);
        finish_run(&mut gateway, &engine, 2, &id);
    }
}

#[test]
fn a_call_with_an_effect_is_not_retried_after_a_disconnect() {
    let Calling { fixture: _world, engine: _engine, ledger, below, mut gateway, id: _id } =
        calling("pay", LONG);
    below.disconnect();
    let answer = gateway.response();
    assert_eq!(answer.status, "FAILED");
    ledger.has_no_link();
}

#[test]
fn a_call_with_an_effect_is_retried_after_queue_full_but_not_after_an_error() {
    let Calling { fixture: _world, engine: _engine, ledger, below, mut gateway, id } = calling("pay", LONG);
    below.send_line(&format!("{id} queue_full"));
    let below = ledger.link();
    assert_eq!(below.expect("post").body, b"call");
    below.send_line(&format!("{id} error"));
    assert_eq!(gateway.response().status, "FAILED");
    ledger.has_no_link();
}

#[test]
fn an_idempotent_call_is_retried_after_a_disconnect() {
    let Calling { fixture: _world, engine, ledger, below, mut gateway, id } = calling("read", LONG);
    below.disconnect();
    let _below = answer_call(&ledger, &engine, &id);
    finish_run(&mut gateway, &engine, 2, &id);
}

#[test]
fn a_silent_ledger_fails_the_request_and_its_late_reply_is_ignored() {
    let Calling { fixture: _world, engine, ledger, below, mut gateway, id } = calling("pay", SHORT);
    assert_eq!(gateway.response().status, "FAILED");
    // Its connection is of no further use.
    below.expect_closed();
    engine.send_with_body(&format!("DONE 2 {id} broken_off 1500"), b"");
    below.send_with_body(&format!("{id} posted"), b"late");
    gateway.expect_quiet();
    engine.expect_quiet();
    let id = start_run(&mut gateway, &engine, 2, "pay");
    engine.send_need(3, &id, b"call");
    let _below = answer_call(&ledger, &engine, &id);
}

#[test]
fn a_malformed_reply_closes_the_ledger_connection() {
    let Calling { mut fixture, engine, ledger, below, mut gateway, id } = calling("pay", LONG);
    below.send_line("what is this");
    assert_eq!(gateway.response().status, "FAILED");
    engine.send_with_body(&format!("DONE 2 {id} broken_off 9"), b"");
    let id = start_run(&mut gateway, &engine, 2, "pay");
    engine.send_need(3, &id, b"call");
    let below = ledger.link();
    assert_eq!(below.expect("post").word(1), id);
    assert!(fixture.log().contains("ledger"));
    assert!(fixture.is_running());
}

#[test]
fn a_malformed_reply_fails_no_other_call() {
    let without_end = "x".repeat(100_000);
    let spoilt = [
        "noise\u{7f}\r\n",
        &without_end,
        "ID posted 3221225472\r\n",
        "ID posted -5\r\n",
        "ID posted 3\r\ntoo long\r\n",
    ];
    for text in spoilt {
        let Calling { fixture: _world, engine, ledger, below, mut gateway, id } = calling("pay", LONG);
        let other = start_run(&mut gateway, &engine, 2, "pay");
        engine.send_need(2, &other, b"call");
        let beside = ledger.link();
        beside.expect("post");
        below.send_bytes(text.replace("ID", &id).as_bytes());
        assert_eq!((gateway.response().tag, gateway.next_response(QUIET_PERIOD)), (1, Err(Silence)));
        below.expect_closed();
        beside.send_with_body(&format!("{other} posted"), b"ok");
        assert_eq!(engine.expect("FEED").word(1), other);
    }
}

#[test]
fn duplicate_and_unknown_replies_are_ignored() {
    let Calling { fixture: _world, engine, ledger, below, mut gateway, id } = calling("read", LONG);
    below.send_with_body("00000000000000ff posted", b"whose");
    below.send_with_body(&format!("{id} posted"), b"reply");
    assert_eq!(engine.expect("FEED").body, b"reply");
    // The same request calls again: a late copy of the first reply is no reply to that.
    engine.send_need(2, &id, b"second");
    let second = ledger.link();
    assert_eq!(second.expect("post").body, b"second");
    below.send_with_body(&format!("{id} posted"), b"reply");
    engine.expect_quiet();
    second.send_with_body(&format!("{id} posted"), b"other");
    second.send_with_body(&format!("{id} posted"), b"other");
    assert_eq!(engine.expect("FEED").body, b"other");
    finish_run(&mut gateway, &engine, 3, &id);
    engine.expect_quiet();
}

#[test]
fn a_call_with_an_effect_never_uses_an_idle_connection() {
    let (fixture, engine) = ServerFixture::start_serving(site(LONG));
    let ledger = fixture.ledger.open();
    let mut gateway = fixture.gateway();
    let mut kept = Vec::new();
    for (number, class) in (0..).zip(["read", "pay", "book"]) {
        let id = start_run(&mut gateway, &engine, number, class);
        engine.send_need(2 * number + 1, &id, b"call");
        let below = answer_call(&ledger, &engine, &id);
        finish_run(&mut gateway, &engine, 2 * number + 2, &id);
        kept.push(below);
    }
}

#[test]
fn an_idle_closed_connection_is_reopened_for_the_next_call() {
    let (fixture, engine) = ServerFixture::start_serving(site(LONG));
    let ledger = fixture.ledger.open();
    let mut gateway = fixture.gateway();
    for number in 0..2u64 {
        let id = start_run(&mut gateway, &engine, number, "pay");
        engine.send_need(3 * number + 1, &id, b"call");
        let below = answer_call(&ledger, &engine, &id);
        finish_run(&mut gateway, &engine, 3 * number + 2, &id);
        below.disconnect();
        std::thread::sleep(QUIET_PERIOD);
    }
}

// ---- Runs whose end is never heard of give their place back ----

/// As many runs as the module begins at first on the test server's four cores.
fn fill(gateway: &mut Gateway, engine: &PeerConnection) -> Vec<String> {
    (1..=4).map(|tag| start_run(gateway, engine, tag, "pay")).collect()
}

fn all_fail(gateway: &mut Gateway) {
    for _ in 1..=4 {
        assert_eq!(gateway.response().status, "FAILED");
    }
}

fn has_room(gateway: &mut Gateway, engine: &PeerConnection) {
    let id = start_run(gateway, engine, 9, "pay");
    finish_run(gateway, engine, 9, &id);
}

#[test]
fn runs_that_failed_before_a_disconnect_free_their_capacity() {
    let (fixture, engine) = ServerFixture::start_serving(site(SHORT));
    let mut gateway = fixture.gateway();
    let ids = fill(&mut gateway, &engine);
    all_fail(&mut gateway);
    engine.disconnect();
    let engine = attach(&fixture, "ATTACH 0");
    // They are known to run, and their ends come with the replay.
    for (id, number) in ids.iter().zip(1..) {
        engine.send_with_body(&format!("DONE {number} {id} broken_off 1500"), b"");
    }
    has_room(&mut gateway, &engine);
}

#[test]
fn runs_that_failed_after_a_disconnect_free_their_capacity() {
    let (fixture, engine) = ServerFixture::start_serving(site(SHORT));
    let mut gateway = fixture.gateway();
    let ids = fill(&mut gateway, &engine);
    engine.disconnect();
    let engine = attach(&fixture, "ATTACH 0");
    for _ in &ids {
        engine.expect("RUN");
    }
    all_fail(&mut gateway);
    for (id, number) in ids.iter().zip(1..) {
        engine.send_with_body(&format!("DONE {number} {id} late 0"), b"");
    }
    has_room(&mut gateway, &engine);
}

#[test]
fn unsent_runs_are_dropped_once_their_request_is_finished() {
    let (fixture, engine) = ServerFixture::start_serving(site(SHORT));
    let mut gateway = fixture.gateway();
    engine.disconnect();
    let engine = fixture.engine.link();
    assert_eq!(engine.line().text, "ATTACH 0");
    for tag in 1..=4 {
        gateway.call(tag, "pay", b"x");
    }
    all_fail(&mut gateway);
    engine.send_line("HELLO running 60000");
    engine.expect_quiet();
    has_room(&mut gateway, &engine);
}
