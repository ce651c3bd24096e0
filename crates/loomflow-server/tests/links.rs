//! Engine and ledger breaking, silent, late or talking nonsense, at each stage of a run.

use loomflow_standins::*;

const LONG: f64 = 20_000.0;
/// A request's whole time where it has to run out.
const SHORT: f64 = 1_500.0;

/// A server whose first request waits for its call.
struct Calling {
    world: World,
    engine: Link,
    ledger: OpenLedger,
    below: Link,
    gateway: Gateway,
    id: String,
}

fn calling(class: &str, limit: f64) -> Calling {
    let (world, engine) = World::serving(site(limit));
    let ledger = world.ledger.open();
    let mut gateway = world.gateway();
    let id = gateway.call(1, class, b"x");
    engine.expect("RUN");
    engine.need(1, &id, b"call");
    let below = ledger.link();
    below.expect("post");
    Calling { world, engine, ledger, below, gateway, id }
}

// ---- The engine's link ----

#[test]
fn a_run_asked_for_while_the_link_is_down_is_said_on_the_next() {
    for class in ["read", "pay"] {
        let (world, engine) = World::serving(site(LONG));
        let mut gateway = world.gateway();
        engine.cut();
        let engine = world.engine.link();
        assert_eq!(engine.line().text, "ATTACH 0");
        let id = gateway.call(1, class, b"x");
        gateway.is_quiet();
        engine.say("HELLO running 60000");
        let run = engine.expect("RUN");
        assert_eq!((run.word(1), run.body.as_slice()), (id.as_str(), &b"x"[..]));
        engine.done(1, &id, b"y");
        assert_eq!(gateway.answer().word, "OK");
        engine.is_quiet();
    }
}

#[test]
fn a_run_in_doubt_is_asked_for_again_whatever_its_effect() {
    for class in ["read", "pay", "book"] {
        let (world, engine) = World::serving(site(LONG));
        let mut gateway = world.gateway();
        let id = gateway.call(1, class, b"x");
        assert_eq!(engine.expect("RUN").word(1), id);
        engine.cut();
        let engine = world.engine.link();
        engine.hello("ATTACH 0");
        let again = engine.expect("RUN");
        assert_eq!((again.word(1), again.body.as_slice()), (id.as_str(), &b"x"[..]));
        // It had been over all the time: the second is answered as late, after the result.
        engine.done(1, &id, b"y");
        engine.say_body(&format!("DONE 2 {id} late 0"), b"");
        assert_eq!(gateway.answer().word, "OK");
        gateway.is_quiet();
        engine.is_quiet();
    }
}

/// How long ago that was is told by our clock, and a pause of the machine counts in it: of a run it must not matter.
#[test]
fn a_run_said_long_before_a_break_is_asked_for_again_and_a_reply_is_not() {
    let (world, engine) = World::serving(site(LONG));
    let ledger = world.ledger.open();
    let mut gateway = world.gateway();
    let fed = gateway.call(1, "read", b"x");
    engine.expect("RUN");
    engine.need(1, &fed, b"call");
    ledger.link().say_body(&format!("{fed} posted"), b"reply");
    engine.expect("FEED");
    let running = gateway.call(2, "pay", b"x");
    engine.expect("RUN");
    std::thread::sleep(std::time::Duration::from_millis(400));
    engine.cut();
    let engine = world.engine.link();
    engine.hello("ATTACH 1");
    let again = engine.expect("RUN");
    assert_eq!((again.word(1), again.body.as_slice()), (running.as_str(), &b"x"[..]));
    engine.is_quiet();
    for (id, number) in [(&fed, 2), (&running, 3)] {
        engine.done(number, id, b"y");
        assert_eq!(gateway.answer().word, "OK");
    }
    gateway.is_quiet();
}

#[test]
fn notices_are_replayed_from_the_last_one_read_and_none_counts_twice() {
    let (world, engine) = World::serving(site(LONG));
    let ledger = world.ledger.open();
    let mut gateway = world.gateway();
    let a = gateway.call(1, "pay", b"a");
    engine.expect("RUN");
    let b = gateway.call(2, "pay", b"b");
    engine.expect("RUN");
    engine.need(1, &a, b"call");
    let below = ledger.link();
    assert_eq!(below.expect("post").word(1), a);
    engine.cut();
    let engine = world.engine.link();
    // The first is old; the second came while there was no link.
    let notices = [(format!("NEED 1 {a}"), &b"call"[..]), (format!("DONE 2 {b} fine 5"), b"B")];
    engine.hello_replaying("ATTACH 1", &notices);
    assert_eq!(gateway.answer().body, b"B");
    below.is_quiet();
    below.say_body(&format!("{a} posted"), b"ok");
    assert_eq!(engine.expect("FEED").word(1), a);
    engine.done(3, &a, b"A");
    assert_eq!(gateway.answer().body, b"A");
    engine.is_quiet();
}

#[test]
fn a_reply_that_comes_while_the_link_is_down_is_fed_on_the_next() {
    let Calling { world, engine, ledger: _ledger, below, mut gateway, id } = calling("pay", LONG);
    engine.cut();
    let engine = world.engine.link();
    assert_eq!(engine.line().text, "ATTACH 1");
    below.say_body(&format!("{id} posted"), b"reply");
    engine.is_quiet();
    engine.say("HELLO running 60000");
    assert_eq!(engine.expect("FEED").body, b"reply");
    engine.done(2, &id, b"y");
    assert_eq!(gateway.answer().word, "OK");
}

#[test]
fn a_reply_in_doubt_is_fed_again_where_no_effect_hangs_on_it() {
    for class in ["read", "pay"] {
        let Calling { world, engine, ledger, below, mut gateway, id } = calling(class, LONG);
        below.say_body(&format!("{id} posted"), b"reply");
        engine.expect("FEED");
        engine.cut();
        let engine = world.engine.link();
        engine.hello("ATTACH 1");
        // A notice that was read before is not taken for a further call.
        engine.need(1, &id, b"call");
        if class == "read" {
            assert_eq!(engine.expect("FEED").body, b"reply");
            // The next call of the run comes after it, and is made.
            engine.need(2, &id, b"second");
            let second = ledger.link();
            assert_eq!(second.expect("post").body, b"second");
            second.say_body(&format!("{id} posted"), b"other");
            assert_eq!(engine.expect("FEED").body, b"other");
        }
        engine.is_quiet();
        ledger.has_no_link();
        engine.done(3, &id, b"y");
        assert_eq!(gateway.answer().body, b"y");
    }
}

#[test]
fn a_reply_fed_again_that_may_have_met_another_call_fails_its_request() {
    let Calling { world, engine, ledger, below, mut gateway, id } = calling("read", LONG);
    below.say_body(&format!("{id} posted"), b"reply");
    engine.expect("FEED");
    engine.cut();
    let engine = world.engine.link();
    world.engine.answers_by_itself(false);
    engine.hello("ATTACH 1");
    let closes_replay = engine.expect("STAT");
    engine.say(&format!("STATS {} 0 1 0.1 4", closes_replay.word(1)));
    // The question, the reply, and a call that was on its way before either was read.
    engine.expect("STAT");
    assert_eq!(engine.expect("FEED").body, b"reply");
    engine.need(2, &id, b"second");
    assert_eq!(gateway.answer().word, "FAILED");
    ledger.has_no_link();
    engine.say_body(&format!("DONE 3 {id} broken_off 5"), b"");
    gateway.is_quiet();
}

#[test]
fn a_result_that_was_not_read_whole_comes_again_on_the_next_link() {
    let (world, engine) = World::serving(site(LONG));
    let mut gateway = world.gateway();
    let id = gateway.call(1, "pay", b"x");
    engine.expect("RUN");
    engine.say_bytes(format!("DONE 1 {id} fine 5 6\r\nres").as_bytes());
    engine.cut();
    let engine = world.engine.link();
    engine.hello_replaying("ATTACH 0", &[(format!("DONE 1 {id} fine 5"), b"result")]);
    assert_eq!(gateway.answer().body, b"result");
    engine.is_quiet();
    gateway.is_quiet();
}

#[test]
fn an_engine_that_talks_nonsense_is_attached_to_again() {
    let (mut world, engine) = World::serving(site(LONG));
    engine.say("THIS IS NO NOTICE");
    engine.is_closed();
    let engine = world.engine.link();
    engine.hello("ATTACH 0");
    let mut gateway = world.gateway();
    let id = gateway.call(1, "read", b"x");
    engine.expect("RUN");
    engine.done(1, &id, b"y");
    assert_eq!(gateway.answer().word, "OK");
    assert!(world.log().contains("engine"));
    assert!(world.is_running());
}

#[test]
fn notices_about_unknown_requests_change_nothing() {
    let (world, engine) = World::serving(site(LONG));
    engine.done(1, "00000000000000ff", b"y");
    engine.need(2, "00000000000000ff", b"call");
    engine.say("NO RUN 00000000000000ff");
    engine.say("NOTE 3 a remark with no meaning");
    engine.say("TESTED 99 fault");
    let mut gateway = world.gateway();
    let id = gateway.call(1, "read", b"x");
    engine.expect("RUN");
    engine.done(4, &id, b"y");
    assert_eq!(gateway.answer().word, "OK");
}

#[test]
fn no_to_a_run_fails_it_as_long_as_nothing_was_heard_of_it_and_not_once_it_has_begun() {
    let Calling { world: _world, engine, ledger: _ledger, below, mut gateway, id } = calling("pay", LONG);
    engine.say(&format!("NO RUN {id}"));
    gateway.is_quiet();
    below.say_body(&format!("{id} posted"), b"ok");
    assert_eq!(engine.expect("FEED").word(1), id);
    engine.done(2, &id, b"y");
    assert_eq!(gateway.answer().body, b"y");
    let id = gateway.call(2, "pay", b"x");
    engine.expect("RUN");
    engine.say(&format!("NO RUN {id}"));
    assert_eq!(gateway.answer().word, "FAILED");
    gateway.is_quiet();
}

/// A link breaks while what it replays is still being read: what waits to be said is said on the link after it.
#[test]
fn a_link_replaced_while_it_replays_loses_nothing() {
    let (world, engine) = World::serving(site(LONG));
    let mut gateway = world.gateway();
    world.engine.answers_by_itself(false);
    engine.cut();
    let replaying = world.engine.link();
    replaying.hello("ATTACH 0");
    let question = replaying.expect("STAT");
    let id = gateway.call(1, "pay", b"x");
    // It has been taken in.
    gateway.send(&health(2, false));
    assert_eq!(gateway.answer().word, "UP");
    replaying.cut();
    let engine = world.engine.link();
    engine.hello("ATTACH 0");
    let next = engine.expect("STAT");
    // An answer to the question of the former link closes nothing.
    engine.say(&format!("STATS {} 0 1 0.1 4", question.word(1)));
    engine.say(&format!("STATS {} 0 1 0.1 4", next.word(1)));
    assert_eq!(engine.expect("RUN").word(1), id);
    engine.done(1, &id, b"y");
    assert_eq!(gateway.answer().body, b"y");
}

// ---- The ledger ----

#[test]
fn a_refused_connection_proves_that_nothing_ran_so_the_call_is_made_again() {
    let (world, engine) = World::serving(site(LONG));
    let mut gateway = world.gateway();
    let id = gateway.call(1, "pay", b"x");
    engine.expect("RUN");
    engine.need(1, &id, b"call");
    // It opens while the call is being tried again, or stays shut until the tries are used up.
    let ledger = world.ledger.open();
    if let Ok(Some(answer)) = gateway.next(QUIET) {
        assert_eq!(answer.word, "FAILED");
    } else {
        let below = ledger.link();
        assert_eq!(below.expect("post").body, b"call");
        below.say_body(&format!("{id} posted"), b"ok");
        engine.expect("FEED");
        engine.done(2, &id, b"y");
        assert_eq!(gateway.answer().word, "OK");
    }
}

#[test]
fn a_call_with_an_effect_is_not_repeated_after_its_connection_broke() {
    let Calling { world: _world, engine: _engine, ledger, below, mut gateway, id: _id } =
        calling("pay", LONG);
    below.cut();
    let answer = gateway.answer();
    assert_eq!(answer.word, "FAILED");
    ledger.has_no_link();
}

#[test]
fn a_call_with_an_effect_is_not_repeated_after_an_error_and_is_after_a_full_queue() {
    let Calling { world: _world, engine: _engine, ledger, below, mut gateway, id } = calling("pay", LONG);
    below.say(&format!("{id} queue_full"));
    let below = ledger.link();
    assert_eq!(below.expect("post").body, b"call");
    below.say(&format!("{id} error"));
    assert_eq!(gateway.answer().word, "FAILED");
    ledger.has_no_link();
}

#[test]
fn a_safe_call_is_repeated_after_its_connection_broke() {
    let Calling { world: _world, engine, ledger, below, mut gateway, id } = calling("read", LONG);
    below.cut();
    let below = ledger.link();
    assert_eq!(below.expect("post").body, b"call");
    below.say_body(&format!("{id} posted"), b"ok");
    engine.expect("FEED");
    engine.done(2, &id, b"y");
    assert_eq!(gateway.answer().word, "OK");
}

#[test]
fn a_silent_ledger_costs_the_request_and_its_late_reply_changes_nothing() {
    let Calling { world: _world, engine, ledger, below, mut gateway, id } = calling("pay", SHORT);
    assert_eq!(gateway.answer().word, "FAILED");
    // Its connection is of no further use.
    below.is_closed();
    engine.say_body(&format!("DONE 2 {id} broken_off 1500"), b"");
    below.say_body(&format!("{id} posted"), b"late");
    gateway.is_quiet();
    engine.is_quiet();
    let id = gateway.call(2, "pay", b"x");
    engine.expect("RUN");
    engine.need(3, &id, b"call");
    let below = ledger.link();
    assert_eq!(below.expect("post").word(1), id);
    below.say_body(&format!("{id} posted"), b"ok");
    assert_eq!(engine.expect("FEED").word(1), id);
}

#[test]
fn a_ledger_that_talks_nonsense_loses_its_connection() {
    let Calling { mut world, engine, ledger, below, mut gateway, id } = calling("pay", LONG);
    below.say("what is this");
    assert_eq!(gateway.answer().word, "FAILED");
    engine.say_body(&format!("DONE 2 {id} broken_off 9"), b"");
    let id = gateway.call(2, "pay", b"x");
    engine.expect("RUN");
    engine.need(3, &id, b"call");
    let below = ledger.link();
    assert_eq!(below.expect("post").word(1), id);
    assert!(world.log().contains("ledger"));
    assert!(world.is_running());
}

#[test]
fn a_spoilt_reply_costs_no_other_call() {
    let without_end = "x".repeat(100_000);
    let spoilt = [
        "noise\u{7f}\r\n",
        &without_end,
        "ID posted 3221225472\r\n",
        "ID posted -5\r\n",
        "ID posted 3\r\ntoo long\r\n",
    ];
    for text in spoilt {
        let Calling { world: _world, engine, ledger, below, mut gateway, id } = calling("pay", LONG);
        let other = gateway.call(2, "pay", b"x");
        engine.expect("RUN");
        engine.need(2, &other, b"call");
        let beside = ledger.link();
        beside.expect("post");
        below.say_bytes(text.replace("ID", &id).as_bytes());
        assert_eq!((gateway.answer().tag, gateway.next(QUIET)), (1, Err(Silence)));
        below.is_closed();
        beside.say_body(&format!("{other} posted"), b"ok");
        assert_eq!(engine.expect("FEED").word(1), other);
    }
}

#[test]
fn surplus_copies_and_unknown_ids_among_the_replies_are_skipped() {
    let Calling { world: _world, engine, ledger, below, mut gateway, id } = calling("read", LONG);
    below.say_body("00000000000000ff posted", b"whose");
    below.say_body(&format!("{id} posted"), b"reply");
    assert_eq!(engine.expect("FEED").body, b"reply");
    // The same request calls again: a late copy of the first reply is no reply to that.
    engine.need(2, &id, b"second");
    let second = ledger.link();
    assert_eq!(second.expect("post").body, b"second");
    below.say_body(&format!("{id} posted"), b"reply");
    engine.is_quiet();
    second.say_body(&format!("{id} posted"), b"other");
    second.say_body(&format!("{id} posted"), b"other");
    assert_eq!(engine.expect("FEED").body, b"other");
    engine.done(3, &id, b"y");
    assert_eq!(gateway.answer().word, "OK");
    engine.is_quiet();
}

#[test]
fn a_call_with_an_effect_never_goes_on_a_connection_that_was_idle() {
    let (world, engine) = World::serving(site(LONG));
    let ledger = world.ledger.open();
    let mut gateway = world.gateway();
    let mut kept = Vec::new();
    for (number, class) in (0..).zip(["read", "pay", "book"]) {
        let id = gateway.call(number, class, b"x");
        engine.expect("RUN");
        engine.need(2 * number + 1, &id, b"call");
        let below = ledger.link();
        assert_eq!(below.expect("post").word(1), id);
        below.say_body(&format!("{id} posted"), b"ok");
        engine.expect("FEED");
        engine.done(2 * number + 2, &id, b"y");
        assert_eq!(gateway.answer().word, "OK");
        kept.push(below);
    }
}

#[test]
fn a_connection_closed_while_idle_is_opened_anew_for_the_next_call() {
    let (world, engine) = World::serving(site(LONG));
    let ledger = world.ledger.open();
    let mut gateway = world.gateway();
    for number in 0..2u64 {
        let id = gateway.call(number, "pay", b"x");
        engine.expect("RUN");
        engine.need(3 * number + 1, &id, b"call");
        let below = ledger.link();
        below.expect("post");
        below.say_body(&format!("{id} posted"), b"ok");
        engine.expect("FEED");
        engine.done(3 * number + 2, &id, b"y");
        assert_eq!(gateway.answer().word, "OK");
        below.cut();
        std::thread::sleep(QUIET);
    }
}

// ---- Runs whose end is never heard of give their place back ----

/// As many runs as the module begins at first on the stand-in's four cores.
fn fill(gateway: &mut Gateway, engine: &Link) -> Vec<String> {
    let run = |tag| {
        let id = gateway.call(tag, "pay", b"x");
        engine.expect("RUN");
        id
    };
    (1..=4).map(run).collect()
}

fn all_fail(gateway: &mut Gateway) {
    for _ in 1..=4 {
        assert_eq!(gateway.answer().word, "FAILED");
    }
}

fn has_room(gateway: &mut Gateway, engine: &Link) {
    let id = gateway.call(9, "pay", b"x");
    assert_eq!(engine.expect("RUN").word(1), id);
    engine.done(9, &id, b"y");
    assert_eq!(gateway.answer().word, "OK");
}

#[test]
fn runs_that_failed_before_their_link_broke_leave_room_for_others() {
    let (world, engine) = World::serving(site(SHORT));
    let mut gateway = world.gateway();
    let ids = fill(&mut gateway, &engine);
    all_fail(&mut gateway);
    engine.cut();
    let engine = world.engine.link();
    engine.hello("ATTACH 0");
    // They are known to run, and their ends come with the replay.
    for (id, number) in ids.iter().zip(1..) {
        engine.say_body(&format!("DONE {number} {id} broken_off 1500"), b"");
    }
    has_room(&mut gateway, &engine);
}

#[test]
fn runs_that_failed_after_their_link_broke_leave_room_for_others() {
    let (world, engine) = World::serving(site(SHORT));
    let mut gateway = world.gateway();
    let ids = fill(&mut gateway, &engine);
    engine.cut();
    let engine = world.engine.link();
    engine.hello("ATTACH 0");
    for _ in &ids {
        engine.expect("RUN");
    }
    all_fail(&mut gateway);
    for (id, number) in ids.iter().zip(1..) {
        engine.say_body(&format!("DONE {number} {id} late 0"), b"");
    }
    has_room(&mut gateway, &engine);
}

#[test]
fn runs_that_were_never_said_are_not_said_once_their_request_is_over() {
    let (world, engine) = World::serving(site(SHORT));
    let mut gateway = world.gateway();
    engine.cut();
    let engine = world.engine.link();
    assert_eq!(engine.line().text, "ATTACH 0");
    for tag in 1..=4 {
        gateway.call(tag, "pay", b"x");
    }
    all_fail(&mut gateway);
    engine.say("HELLO running 60000");
    engine.is_quiet();
    has_room(&mut gateway, &engine);
}
