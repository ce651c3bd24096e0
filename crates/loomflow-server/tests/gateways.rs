//! Gateways that pipeline, split, stall, break off, open too much or send what cannot be read.

use std::io::Write;
use std::time::Duration;

use loomflow_standins::*;

const LONG: f64 = 20_000.0;

/// That the server still serves others.
fn serves(world: &World, engine: &Link, number: u64) {
    let mut gateway = world.gateway();
    let id = gateway.call(1, "read", b"still here");
    loop {
        let run = engine.expect("RUN");
        if run.word(1) == id {
            break;
        }
    }
    engine.done(number, &id, b"yes");
    assert_eq!(gateway.answer().body, b"yes");
}

#[test]
fn requests_are_read_wherever_their_bytes_are_split() {
    let (world, engine) = World::serving(site(LONG));
    let mut gateway = world.gateway();
    let id = fresh_id();
    let bytes = [call(1, "read", &fields(&id), b"body"), health(2, false)].concat();
    for piece in bytes.chunks(7) {
        gateway.send(piece);
        std::thread::sleep(Duration::from_millis(2));
    }
    assert_eq!(engine.expect("RUN").body, b"body");
    assert_eq!(gateway.answer().tag, 2);
    engine.done(1, &id, b"y");
    assert_eq!(gateway.answer().tag, 1);
}

#[test]
fn thirty_two_requests_in_one_write_are_all_served() {
    let (world, engine) = World::serving(site(LONG));
    let mut gateway = world.gateway();
    let ids: Vec<String> = (0..32).map(|_| fresh_id()).collect();
    let all: Vec<u8> =
        ids.iter().zip(1..).flat_map(|(id, tag)| call(tag, "read", &fields(id), &[7; 2048])).collect();
    gateway.send(&all);
    let mut tags = Vec::new();
    for number in 1..=32 {
        let run = engine.expect("RUN");
        engine.done(number, run.word(1), run.word(1).as_bytes());
        let answer = gateway.answer();
        assert_eq!(answer.body, ids[answer.tag as usize - 1].as_bytes());
        tags.push(answer.tag);
    }
    tags.sort_unstable();
    assert_eq!(tags, (1..=32).collect::<Vec<u64>>());
}

#[test]
fn a_gateway_that_stops_reading_holds_up_nobody_and_gets_all_in_the_end() {
    const MANY: u64 = 400;
    let (world, engine) = World::serving(site(LONG));
    let mut slow = world.gateway();
    socket2::SockRef::from(&slow.stream).set_recv_buffer_size(4096).unwrap();
    let mut sent = 0;
    let mut number = 0;
    // Far more answers than its socket takes: reading from it stops in between.
    slow.stream.set_nonblocking(true).unwrap();
    let mut rest: Vec<u8> = Vec::new();
    let mut quiet = 0;
    while quiet < 20 {
        if rest.is_empty() && sent < MANY {
            sent += 1;
            rest = call(sent, "no-such-class", &fields(&fresh_id()), &[1; 2000]);
        }
        if let Ok(count) = slow.stream.write(&rest) {
            rest.drain(..count);
        } else {
            quiet += 1;
            std::thread::sleep(Duration::from_millis(5));
        }
        if sent == MANY && rest.is_empty() {
            break;
        }
    }
    number += 1;
    serves(&world, &engine, number);
    slow.stream.set_nonblocking(false).unwrap();
    slow.stream.set_write_timeout(Some(PATIENCE)).unwrap();
    let mut writer = slow.stream.try_clone().unwrap();
    let tail = rest;
    let thread = std::thread::spawn(move || {
        writer.write_all(&tail).unwrap();
        for tag in sent + 1..=MANY {
            writer.write_all(&call(tag, "no-such-class", &fields(&fresh_id()), &[1; 2000])).unwrap();
        }
    });
    let mut tags: Vec<u64> = (0..MANY).map(|_| slow.answer().tag).collect();
    thread.join().unwrap();
    tags.sort_unstable();
    assert_eq!(tags, (1..=MANY).collect::<Vec<u64>>());
}

#[test]
fn a_connection_reset_with_requests_open_costs_only_itself() {
    let (mut world, engine) = World::serving(site(LONG));
    let mut gateway = world.gateway();
    let id = gateway.call(1, "read", b"x");
    engine.expect("RUN");
    gateway.reset();
    engine.done(1, &id, b"for nobody");
    serves(&world, &engine, 2);
    assert!(world.is_running());
}

/// That a run whose caller is gone ends at its call, and leaves its place to others.
#[test]
fn what_a_gone_gateway_had_open_is_given_up() {
    let (world, engine) = World::serving(site(LONG));
    let ledger = world.ledger.open();
    // More than may run at once: some are running, one of them at its call, some are held.
    let mut gateway = world.gateway();
    let ids: Vec<String> = (1..=8).map(|tag| gateway.call(tag, "pay", b"x")).collect();
    let runs: Vec<String> = (0..4).map(|_| engine.expect("RUN").word(1).to_owned()).collect();
    assert!(runs.iter().all(|id| ids.contains(id)));
    engine.need(1, &runs[0], b"call");
    let below = ledger.link();
    below.expect("post");
    // Another run takes the place of the one at its call.
    engine.expect("RUN");
    for (number, gone) in [gateway].into_iter().enumerate() {
        if number % 2 == 0 { drop(gone) } else { gone.reset() }
    }
    below.is_closed();
    // What was held is never run: the next run is another gateway's.
    engine.is_quiet();
    engine.say_body(&format!("DONE 2 {} broken_off 5", runs[0]), b"");
    for (id, number) in runs[1..].iter().zip(3..) {
        engine.done(number, id, b"for nobody");
    }
    serves(&world, &engine, 9);
}

#[test]
fn what_cannot_be_parsed_fails_all_that_is_open_and_ends_its_connection() {
    let (world, engine) = World::serving(site(LONG));
    let cases: [&[u8]; 6] = [
        b"GET / HTTP/1.1\r\n\r\n",
        b"*99999999\r\n",
        b"*2\r\n$99999999\r\n",
        b"*2\r\n$-1\r\n",
        b"*1\r\n$1\r\nx\r\n",
        b"*5\r\n$8\r\nRPC.CALL\r\n$3\r\n999\r\n$4\r\nread\r\n$0\r\n\r\n$62914560\r\n",
    ];
    for (number, bytes) in (1..).zip(cases) {
        let mut gateway = world.gateway();
        let ids = [gateway.call(1, "read", b"x"), gateway.call(2, "read", b"x")];
        engine.expect("RUN");
        engine.expect("RUN");
        gateway.send(bytes);
        let mut tags: Vec<u64> = (0..2)
            .map(|_| {
                let answer = gateway.answer();
                assert_eq!(answer.word, "FAILED");
                answer.tag
            })
            .collect();
        tags.sort_unstable();
        assert_eq!(tags, [1, 2]);
        gateway.is_closed();
        // Their runs end for nobody.
        engine.done(2 * number - 1, &ids[0], b"no");
        engine.done(2 * number, &ids[1], b"no");
    }
    serves(&world, &engine, 99);
}

#[test]
fn a_tag_used_again_while_open_fails_and_ends_the_connection() {
    let (world, engine) = World::serving(site(LONG));
    let mut gateway = world.gateway();
    let id = gateway.call(5, "read", b"x");
    engine.expect("RUN");
    gateway.call(5, "read", b"another");
    let answer = gateway.answer();
    assert_eq!((answer.tag, answer.word.as_str()), (5, "FAILED"));
    gateway.is_closed();
    engine.done(1, &id, b"no");
    serves(&world, &engine, 2);
}

#[test]
fn half_a_message_and_silence_end_their_connections() {
    let (world, engine) = World::serving(site(LONG));
    let mut silent = world.gateway();
    let mut half = world.gateway();
    let id = half.call(1, "read", b"x");
    engine.expect("RUN");
    half.send(b"*5\r\n$8\r\nRPC.");
    silent.is_closed();
    let answer = half.answer();
    assert_eq!((answer.tag, answer.word.as_str()), (1, "FAILED"));
    half.is_closed();
    engine.done(1, &id, b"no");
    serves(&world, &engine, 2);
}

#[test]
fn gateways_get_in_while_silent_connections_fill_the_descriptors() {
    let mut world = World::new(site(LONG));
    world.config["limits"]["sockets"] = 96.into();
    world.start("ulimit -n 96; exec \"$0\" serve");
    let engine = world.engine.link();
    engine.hello("ATTACH 0");
    let mut kept = world.gateway();
    kept.send(&health(1, false));
    assert_eq!(kept.answer().word, "UP");
    let mut silent: Vec<Gateway> = (0..300).map(|_| world.gateway()).collect();
    serves(&world, &engine, 1);
    assert!(world.descriptors() <= 96, "{}", world.descriptors());
    for gateway in &mut silent {
        gateway.is_closed();
    }
    assert!(world.is_running());
}

#[test]
fn unknown_names_and_missing_fields_get_a_failed_answer_to_their_tag() {
    let (world, engine) = World::serving(site(LONG));
    let mut gateway = world.gateway();
    let good = fields(&fresh_id());
    let cases = [
        call(1, "no-such-class", &good, b""),
        call(2, "read", &good.replace("owner=acme", "owner=nobody"), b""),
        call(3, "read", &good.replace(",owner=acme", ""), b""),
        call(4, "read", &good.replace("req=", "request="), b""),
        call(5, "read", &good.replace("need=24.5", "need=much"), b""),
        array(&[b"RPC.SING", b"6", b"read"]),
        array(&[b"RPC.CALL", b"7"]),
    ];
    for (tag, bytes) in (1..).zip(cases) {
        gateway.send(&bytes);
        let answer = gateway.answer();
        assert_eq!((answer.tag, answer.word.as_str()), (tag, "FAILED"));
    }
    engine.is_quiet();
    serves(&world, &engine, 1);
}

#[test]
fn a_req_in_use_is_not_run_a_second_time() {
    let (world, engine) = World::serving(site(LONG));
    let mut gateway = world.gateway();
    let id = gateway.call(1, "pay", b"x");
    engine.expect("RUN");
    gateway.send(&call(2, "pay", &fields(&id), b"x"));
    assert_eq!((gateway.answer().tag, gateway.next(QUIET)), (2, Err(Silence)));
    engine.is_quiet();
    engine.done(1, &id, b"y");
    assert_eq!(gateway.answer().tag, 1);
}

#[test]
fn figures_out_of_range_are_refused_and_not_repaired() {
    let (world, engine) = World::serving(site(LONG));
    let mut gateway = world.gateway();
    let cases = [
        ("ms=12.50", "ms=0"),
        ("ms=12.50", "ms=-1"),
        ("ms=12.50", "ms=NaN"),
        ("ms=12.50", "ms=1e300"),
        ("need=24.5", "need=0"),
        ("need=24.5", "need=2000"),
        ("level=0.6250", "level=1"),
        ("level=0.6250", "level=-0.5"),
        ("via=4", "via=-4"),
        ("ts=", "ts=9"),
        ("ts=", "ts=-"),
        ("ts=17", "ts=07"),
    ];
    for (tag, (good, bad)) in (1..).zip(cases) {
        let fields = fields(&fresh_id());
        assert!(fields.contains(good));
        gateway.send(&call(tag, "read", &fields.replace(good, bad), b"x"));
        let answer = gateway.answer();
        assert_eq!((answer.tag, answer.word.as_str()), (tag, "FAILED"), "{bad}");
    }
    engine.is_quiet();
    serves(&world, &engine, 1);
}

#[test]
fn requests_in_hand_are_bounded_by_the_memory() {
    let mut world = World::new(site(LONG));
    world.config["limits"]["memory_mb"] = 1.into();
    world.start("exec \"$0\" serve");
    let engine = world.engine.link();
    engine.hello("ATTACH 0");
    world.wait_for_service();
    // 51 requests of 2.5 KB in an eighth of 1 MB.
    let mut all = [world.gateway(), world.gateway()];
    for gateway in &mut all {
        for tag in 1..=32 {
            gateway.call(tag, "read", &[7; 2048]);
        }
    }
    let mut busy = 0;
    for gateway in &mut all {
        while let Ok(Some(answer)) = gateway.next(QUIET) {
            assert_eq!(answer.word, "BUSY");
            busy += 1;
        }
    }
    assert_eq!(busy, 64 - 51);
}

#[test]
fn half_the_descriptors_may_be_taken_at_once_and_each_costs_one() {
    let (world, engine) = World::serving(site(LONG));
    let before = world.descriptors();
    let mut all: Vec<Gateway> = (0..512).map(|_| world.gateway()).collect();
    for (gateway, tag) in all.iter_mut().zip(1..) {
        gateway.send(&health(tag, false));
    }
    for (gateway, tag) in all.iter_mut().zip(1..) {
        assert_eq!(gateway.answer().tag, tag);
    }
    assert!(world.descriptors() <= before + 512 + 1, "{} and {before}", world.descriptors());
    drop(all);
    serves(&world, &engine, 1);
}

#[test]
fn running_out_of_descriptors_is_survived() {
    let mut world = World::new(site(LONG));
    world.start("ulimit -n 40; exec \"$0\" serve");
    let engine = world.engine.link();
    engine.hello("ATTACH 0");
    let mut all: Vec<Gateway> = (0..60).map(|_| world.gateway()).collect();
    all[0].send(&health(1, false));
    assert_eq!(all[0].answer().word, "UP");
    std::thread::sleep(QUIET);
    assert!(world.is_running());
    drop(all);
    let mut gateway = world.gateway();
    gateway.send(&health(1, false));
    assert_eq!(gateway.answer().word, "UP");
}

#[test]
fn after_a_pause_of_the_machine_all_that_has_arrived_is_taken_in_first() {
    let (world, engine) = World::serving(site(1_000.0));
    let mut gateway = world.gateway();
    let id = gateway.call(1, "pay", b"x");
    engine.expect("RUN");
    world.signal("STOP");
    // Its result and new requests arrive while nothing is read, and its time runs out as well.
    engine.done(1, &id, b"y");
    for tag in 2..=10 {
        gateway.send(&health(tag, false));
    }
    std::thread::sleep(Duration::from_millis(1_200));
    world.signal("CONT");
    let mut answers: Vec<Answered> = (1..=10).map(|_| gateway.answer()).collect();
    answers.sort_by_key(|answer| answer.tag);
    assert_eq!((answers[0].tag, answers[0].word.as_str()), (1, "OK"));
    assert!(answers[1..].iter().all(|answer| answer.word == "UP"));
    gateway.is_quiet();
}

#[test]
fn a_log_that_nobody_reads_costs_no_service() {
    let mut world = World::new(site(LONG));
    world.deaf();
    world.start("exec \"$0\" serve");
    let engine = world.engine.link();
    engine.hello("ATTACH 0");
    for _ in 0..3 {
        let mut gateway = world.gateway();
        gateway.send(b"nonsense\r\n");
        gateway.is_closed();
    }
    serves(&world, &engine, 1);
    assert!(world.is_running());
}

/// Slow both ways and honest: it is heard, however long the whole of its request takes.
#[test]
fn a_request_that_comes_byte_by_byte_is_served_and_one_that_stands_still_is_not_waited_for() {
    let (world, engine) = World::serving(site(LONG));
    let (mut slow, mut still) = (world.gateway(), world.gateway());
    let id = fresh_id();
    let bytes = call(1, "read", &fields(&id), b"x");
    still.send(&bytes[..20]);
    // Each part comes long before a peer counts as stuck, and all of them take longer.
    for part in bytes.chunks(bytes.len() / 12) {
        slow.send(part);
        std::thread::sleep(std::time::Duration::from_millis(200));
    }
    engine.expect("RUN");
    engine.done(1, &id, b"y");
    assert_eq!(slow.answer().body, b"y");
    // The other has heard its end.
    assert_eq!(still.next(PATIENCE), Ok(None));
}

/// A site that closes connections soon after their last answer.
fn impatient() -> serde_json::Value {
    let mut settings = site(LONG);
    settings["Domain"]["Idle"] = 50.0.into();
    settings
}

fn heard_bye(gateway: &mut Gateway) {
    gateway.send(&health(1, false));
    assert_eq!(gateway.answer().word, "UP");
    assert_eq!(gateway.answer().word, "BYE");
}

#[test]
fn a_request_that_crosses_the_word_that_none_is_wanted_is_served() {
    let (world, engine) = World::serving(impatient());
    let mut gateway = world.gateway();
    heard_bye(&mut gateway);
    for (tag, number) in (2..5).zip(1..) {
        let id = gateway.call(tag, "pay", b"x");
        assert_eq!(engine.expect("RUN").word(1), id);
        engine.done(number, &id, b"y");
        assert_eq!(gateway.answer().body, b"y");
    }
    // Nothing more comes, so it ends; the word was said once.
    gateway.is_closed();
}

#[test]
fn a_request_that_comes_after_an_idle_connection_was_closed_is_not_run_and_resets_nothing() {
    let (world, engine) = World::serving(impatient());
    let mut gateway = world.gateway();
    heard_bye(&mut gateway);
    gateway.is_closed();
    // It rested until it was closed, and speaks now: first a part of its message, then the rest.
    let bytes = call(2, "pay", &fields(&fresh_id()), b"x");
    gateway.send(&bytes[..20]);
    gateway.send(&bytes[20..]);
    assert_eq!(gateway.next(QUIET), Ok(None));
    engine.is_quiet();
    let mut other = world.gateway();
    let id = other.call(3, "pay", b"x");
    assert_eq!(engine.expect("RUN").word(1), id);
}

#[test]
fn a_gateway_that_has_closed_its_side_still_reads_what_was_answered_before() {
    let (world, engine) = World::serving(site(LONG));
    let mut gateway = world.gateway();
    let ids: Vec<String> = (1..=4).map(|tag| gateway.call(tag, "read", b"x")).collect();
    for (id, number) in ids.iter().zip(1..) {
        engine.expect("RUN");
        engine.done(number, id, &[7; 4096]);
    }
    // Another hears of it after all of that was said, as answers of one batch are given in order.
    serves(&world, &engine, 9);
    gateway.stream.shutdown(std::net::Shutdown::Write).expect("its side is closed");
    for _ in &ids {
        assert_eq!(gateway.answer().body, [7; 4096]);
    }
    gateway.is_closed();
}

/// Floods until it is told to stop, and then rests without closing: its descriptor comes back all the same.
#[test]
fn connections_that_were_closed_on_are_let_go_though_their_peers_flood_and_then_rest() {
    let (world, engine) = World::serving(site(LONG));
    let before = world.descriptors();
    let mut flooding: Vec<Gateway> = (0..40).map(|_| world.gateway()).collect();
    for gateway in &mut flooding {
        gateway.send(b"this is no RESP\r\n");
        gateway.stream.set_nonblocking(true).expect("it does not wait");
    }
    // The time in which they are still read is over at another fraction of a millisecond on each.
    let until = std::time::Instant::now() + std::time::Duration::from_millis(250);
    while std::time::Instant::now() < until {
        for gateway in &mut flooding {
            let _ = std::io::Write::write(&mut gateway.stream, &[b'x'; 100]);
        }
        std::thread::sleep(std::time::Duration::from_millis(3));
    }
    let until = std::time::Instant::now() + PATIENCE;
    while world.descriptors() > before {
        assert!(std::time::Instant::now() < until, "{} over {before}", world.descriptors());
        std::thread::sleep(std::time::Duration::from_millis(20));
    }
    drop(flooding);
    serves(&world, &engine, 1);
}

/// Who floods with what cannot be taken is held up by that, and others are not.
#[test]
fn others_are_answered_before_a_flood_of_what_cannot_be_taken_is() {
    const FLOOD: u64 = 3_000;
    let (world, engine) = World::serving(site(LONG));
    let mut flooding = world.gateway();
    let flood: Vec<u8> =
        (1..=FLOOD).flat_map(|tag| call(tag, "no-such-class", &fields(&fresh_id()), b"x")).collect();
    let mut writer = flooding.stream.try_clone().expect("a clone");
    let writes = std::thread::spawn(move || std::io::Write::write_all(&mut writer, &flood));
    // It has begun.
    flooding.answer();
    (1..=40).for_each(|number| serves(&world, &engine, number));
    flooding.stream.set_nonblocking(true).expect("it does not wait");
    let mut come = 1;
    while let Ok(Some(_)) = flooding.next(std::time::Duration::ZERO) {
        come += 1;
    }
    assert!(come < FLOOD, "all of the flood was taken before others");
    flooding.stream.shutdown(std::net::Shutdown::Both).expect("it ends");
    drop(writes.join().expect("it ends"));
}

#[test]
fn each_of_a_flood_of_checks_has_its_one_answer_and_costs_the_engine_nothing() {
    const FLOOD: u64 = 600;
    let (world, engine) = World::serving(site(LONG));
    // Questions would be lines like others from now on.
    world.engine.answers_by_itself(false);
    let mut flooding = world.gateway();
    let flood: Vec<u8> = (1..=FLOOD).flat_map(|tag| health(tag, true)).collect();
    let mut writer = flooding.stream.try_clone().expect("a clone");
    let writes = std::thread::spawn(move || std::io::Write::write_all(&mut writer, &flood));
    let mut tags: Vec<u64> = (0..FLOOD).map(|_| flooding.answer().tag).collect();
    tags.sort_unstable();
    assert_eq!(tags, (1..=FLOOD).collect::<Vec<u64>>());
    writes.join().expect("it ends").expect("all is sent");
    // The next that the engine hears is a request, or a question for its gauges, and none to do work.
    let id = flooding.call(FLOOD + 1, "pay", b"x");
    loop {
        let line = engine.line();
        match line.word(0) {
            "RUN" => break assert_eq!(line.word(1), id),
            other => assert_eq!(other, "STAT"),
        }
    }
}
