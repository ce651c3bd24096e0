//! Gateways that pipeline, split, stall, break off, open too much or send what cannot be read.

mod common;

use std::io::Write;
use std::time::Duration;

use common::{attach, finish_run, start_configured, start_run};
use loomflow_test_servers::*;

const LONG: f64 = 20_000.0;

/// That the server still serves others.
fn serves(fixture: &ServerFixture, engine: &PeerConnection, number: u64) {
    let mut gateway = fixture.gateway();
    let id = gateway.call(1, "read", b"still here");
    loop {
        let run = engine.expect("RUN");
        if run.word(1) == id {
            break;
        }
    }
    engine.send_done(number, &id, b"yes");
    assert_eq!(gateway.response().body, b"yes");
}

#[test]
fn requests_are_read_wherever_their_bytes_are_split() {
    let (fixture, engine) = ServerFixture::start_serving(site(LONG));
    let mut gateway = fixture.gateway();
    let id = next_attempt_id();
    let bytes = [call(1, "read", &fields(&id), b"body"), health(2, false)].concat();
    for piece in bytes.chunks(7) {
        gateway.send(piece);
        std::thread::sleep(Duration::from_millis(2));
    }
    assert_eq!(engine.expect("RUN").body, b"body");
    assert_eq!(gateway.response().tag, 2);
    engine.send_done(1, &id, b"y");
    assert_eq!(gateway.response().tag, 1);
}

#[test]
fn a_full_pipeline_in_one_write_is_served() {
    let (fixture, engine) = ServerFixture::start_serving(site(LONG));
    let mut gateway = fixture.gateway();
    let ids: Vec<String> = (0..32).map(|_| next_attempt_id()).collect();
    let all: Vec<u8> =
        ids.iter().zip(1..).flat_map(|(id, tag)| call(tag, "read", &fields(id), &[7; 2048])).collect();
    gateway.send(&all);
    let mut tags = Vec::new();
    for number in 1..=32 {
        let run = engine.expect("RUN");
        engine.send_done(number, run.word(1), run.word(1).as_bytes());
        let answer = gateway.response();
        assert_eq!(answer.body, ids[answer.tag as usize - 1].as_bytes());
        tags.push(answer.tag);
    }
    tags.sort_unstable();
    assert_eq!(tags, (1..=32).collect::<Vec<u64>>());
}

fn long_call(tag: u64) -> Vec<u8> {
    call(tag, "no-such-class", &fields(&next_attempt_id()), &[1; 2000])
}

/// Writes up to `max` requests, until nothing more is read. Returns how many were begun, and the rest of the last one.
fn write_until_blocked(gateway: &mut Gateway, max: u64) -> (u64, Vec<u8>) {
    let (mut sent, mut rest, mut quiet) = (0, Vec::new(), 0);
    while quiet < 20 {
        if rest.is_empty() && sent < max {
            sent += 1;
            rest = long_call(sent);
        }
        if let Ok(count) = gateway.stream.write(&rest) {
            rest.drain(..count);
        } else {
            quiet += 1;
            std::thread::sleep(Duration::from_millis(5));
        }
        if sent == max && rest.is_empty() {
            break;
        }
    }
    (sent, rest)
}

#[test]
fn a_gateway_that_stops_reading_delays_nobody_and_gets_all_responses() {
    const MANY: u64 = 400;
    let (fixture, engine) = ServerFixture::start_serving(site(LONG));
    let mut slow = fixture.gateway();
    socket2::SockRef::from(&slow.stream).set_recv_buffer_size(4096).unwrap();
    // Far more answers than its socket takes: reading from it stops in between.
    slow.stream.set_nonblocking(true).unwrap();
    let (sent, rest) = write_until_blocked(&mut slow, MANY);
    serves(&fixture, &engine, 1);
    slow.stream.set_nonblocking(false).unwrap();
    slow.stream.set_write_timeout(Some(RESPONSE_TIMEOUT)).unwrap();
    let mut writer = slow.stream.try_clone().unwrap();
    let thread = std::thread::spawn(move || {
        writer.write_all(&rest).unwrap();
        for tag in sent + 1..=MANY {
            writer.write_all(&long_call(tag)).unwrap();
        }
    });
    let mut tags: Vec<u64> = (0..MANY).map(|_| slow.response().tag).collect();
    thread.join().unwrap();
    tags.sort_unstable();
    assert_eq!(tags, (1..=MANY).collect::<Vec<u64>>());
}

#[test]
fn a_reset_connection_affects_no_other() {
    let (mut fixture, engine) = ServerFixture::start_serving(site(LONG));
    let mut gateway = fixture.gateway();
    let id = start_run(&mut gateway, &engine, 1, "read");
    gateway.reset();
    engine.send_done(1, &id, b"for nobody");
    serves(&fixture, &engine, 2);
    assert!(fixture.is_running());
}

/// That a run whose caller is gone ends at its call, and leaves its place to others.
#[test]
fn open_requests_of_a_disconnected_gateway_are_cancelled() {
    let (fixture, engine) = ServerFixture::start_serving(site(LONG));
    let ledger = fixture.ledger.open();
    // More than may run at once: some are running, one of them at its call, some are held.
    let mut gateway = fixture.gateway();
    let ids: Vec<String> = (1..=8).map(|tag| gateway.call(tag, "pay", b"x")).collect();
    let runs: Vec<String> = (0..4).map(|_| engine.expect("RUN").word(1).to_owned()).collect();
    assert!(runs.iter().all(|id| ids.contains(id)));
    engine.send_need(1, &runs[0], b"call");
    let below = ledger.link();
    below.expect("post");
    // Another run takes the place of the one at its call.
    engine.expect("RUN");
    for (number, gone) in [gateway].into_iter().enumerate() {
        if number % 2 == 0 { drop(gone) } else { gone.reset() }
    }
    below.expect_closed();
    // What was held is never run: the next run is another gateway's.
    engine.expect_quiet();
    engine.send_with_body(&format!("DONE 2 {} broken_off 5", runs[0]), b"");
    for (id, number) in runs[1..].iter().zip(3..) {
        engine.send_done(number, id, b"for nobody");
    }
    serves(&fixture, &engine, 9);
}

#[test]
fn a_malformed_message_fails_the_open_requests_and_closes_the_connection() {
    let (fixture, engine) = ServerFixture::start_serving(site(LONG));
    let cases: [&[u8]; 6] = [
        b"GET / HTTP/1.1\r\n\r\n",
        b"*99999999\r\n",
        b"*2\r\n$99999999\r\n",
        b"*2\r\n$-1\r\n",
        b"*1\r\n$1\r\nx\r\n",
        b"*5\r\n$8\r\nRPC.CALL\r\n$3\r\n999\r\n$4\r\nread\r\n$0\r\n\r\n$62914560\r\n",
    ];
    for (number, bytes) in (1..).zip(cases) {
        let mut gateway = fixture.gateway();
        let ids = [gateway.call(1, "read", b"x"), gateway.call(2, "read", b"x")];
        engine.expect("RUN");
        engine.expect("RUN");
        gateway.send(bytes);
        let mut tags: Vec<u64> = (0..2)
            .map(|_| {
                let answer = gateway.response();
                assert_eq!(answer.status, "FAILED");
                answer.tag
            })
            .collect();
        tags.sort_unstable();
        assert_eq!(tags, [1, 2]);
        gateway.expect_closed();
        // Their runs end for nobody.
        engine.send_done(2 * number - 1, &ids[0], b"no");
        engine.send_done(2 * number, &ids[1], b"no");
    }
    serves(&fixture, &engine, 99);
}

#[test]
fn a_tag_reused_while_open_closes_the_connection() {
    let (fixture, engine) = ServerFixture::start_serving(site(LONG));
    let mut gateway = fixture.gateway();
    let id = start_run(&mut gateway, &engine, 5, "read");
    gateway.call(5, "read", b"another");
    let answer = gateway.response();
    assert_eq!((answer.tag, answer.status.as_str()), (5, "FAILED"));
    gateway.expect_closed();
    engine.send_done(1, &id, b"no");
    serves(&fixture, &engine, 2);
}

#[test]
fn partial_messages_and_silence_time_out() {
    let (fixture, engine) = ServerFixture::start_serving(site(LONG));
    let mut silent = fixture.gateway();
    let mut half = fixture.gateway();
    let id = half.call(1, "read", b"x");
    engine.expect("RUN");
    half.send(b"*5\r\n$8\r\nRPC.");
    silent.expect_closed();
    let answer = half.response();
    assert_eq!((answer.tag, answer.status.as_str()), (1, "FAILED"));
    half.expect_closed();
    engine.send_done(1, &id, b"no");
    serves(&fixture, &engine, 2);
}

#[test]
fn gateways_are_accepted_while_silent_connections_use_all_descriptors() {
    let mut fixture = ServerFixture::new(site(LONG));
    fixture.config["limits"]["sockets"] = 96.into();
    fixture.start("ulimit -n 96; exec \"$0\" serve");
    let engine = attach(&fixture, "ATTACH 0");
    let mut kept = fixture.gateway();
    kept.send(&health(1, false));
    assert_eq!(kept.response().status, "UP");
    let mut silent: Vec<Gateway> = (0..300).map(|_| fixture.gateway()).collect();
    serves(&fixture, &engine, 1);
    assert!(fixture.descriptors() <= 96, "{}", fixture.descriptors());
    for gateway in &mut silent {
        gateway.expect_closed();
    }
    assert!(fixture.is_running());
}

#[test]
fn unknown_names_and_missing_fields_get_a_failed_response() {
    let (fixture, engine) = ServerFixture::start_serving(site(LONG));
    let mut gateway = fixture.gateway();
    let good = fields(&next_attempt_id());
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
        let answer = gateway.response();
        assert_eq!((answer.tag, answer.status.as_str()), (tag, "FAILED"));
    }
    engine.expect_quiet();
    serves(&fixture, &engine, 1);
}

#[test]
fn an_attempt_id_in_use_does_not_run_twice() {
    let (fixture, engine) = ServerFixture::start_serving(site(LONG));
    let mut gateway = fixture.gateway();
    let id = start_run(&mut gateway, &engine, 1, "pay");
    gateway.send(&call(2, "pay", &fields(&id), b"x"));
    assert_eq!((gateway.response().tag, gateway.next_response(QUIET_PERIOD)), (2, Err(Silence)));
    engine.expect_quiet();
    engine.send_done(1, &id, b"y");
    assert_eq!(gateway.response().tag, 1);
}

#[test]
fn values_out_of_range_are_rejected() {
    let (fixture, engine) = ServerFixture::start_serving(site(LONG));
    let mut gateway = fixture.gateway();
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
        let fields = fields(&next_attempt_id());
        assert!(fields.contains(good));
        gateway.send(&call(tag, "read", &fields.replace(good, bad), b"x"));
        let answer = gateway.response();
        assert_eq!((answer.tag, answer.status.as_str()), (tag, "FAILED"), "{bad}");
    }
    engine.expect_quiet();
    serves(&fixture, &engine, 1);
}

#[test]
fn open_requests_are_bounded_by_memory() {
    let (fixture, _engine) =
        start_configured(site(LONG), |fixture| fixture.config["limits"]["memory_mb"] = 1.into());
    // 51 requests of 2.5 KB in an eighth of 1 MB.
    let mut all = [fixture.gateway(), fixture.gateway()];
    for gateway in &mut all {
        for tag in 1..=32 {
            gateway.call(tag, "read", &[7; 2048]);
        }
    }
    let mut busy = 0;
    for gateway in &mut all {
        while let Ok(Some(answer)) = gateway.next_response(QUIET_PERIOD) {
            assert_eq!(answer.status, "BUSY");
            busy += 1;
        }
    }
    assert_eq!(busy, 64 - 51);
}

#[test]
fn half_of_the_descriptors_can_be_used_by_connections() {
    let (fixture, engine) = ServerFixture::start_serving(site(LONG));
    let before = fixture.descriptors();
    let mut all: Vec<Gateway> = (0..512).map(|_| fixture.gateway()).collect();
    for (gateway, tag) in all.iter_mut().zip(1..) {
        gateway.send(&health(tag, false));
    }
    for (gateway, tag) in all.iter_mut().zip(1..) {
        assert_eq!(gateway.response().tag, tag);
    }
    assert!(fixture.descriptors() <= before + 512 + 1, "{} and {before}", fixture.descriptors());
    drop(all);
    serves(&fixture, &engine, 1);
}

#[test]
fn the_server_survives_descriptor_exhaustion() {
    let mut fixture = ServerFixture::new(site(LONG));
    fixture.start("ulimit -n 40; exec \"$0\" serve");
    let _engine = attach(&fixture, "ATTACH 0");
    let mut all: Vec<Gateway> = (0..60).map(|_| fixture.gateway()).collect();
    all[0].send(&health(1, false));
    assert_eq!(all[0].response().status, "UP");
    std::thread::sleep(QUIET_PERIOD);
    assert!(fixture.is_running());
    drop(all);
    let mut gateway = fixture.gateway();
    gateway.send(&health(1, false));
    assert_eq!(gateway.response().status, "UP");
}

#[test]
fn after_a_pause_everything_that_arrived_is_read_first() {
    let (fixture, engine) = ServerFixture::start_serving(site(1_000.0));
    let mut gateway = fixture.gateway();
    let id = start_run(&mut gateway, &engine, 1, "pay");
    fixture.signal("STOP");
    // Its result and new requests arrive while nothing is read, and its time runs out as well.
    engine.send_done(1, &id, b"y");
    for tag in 2..=10 {
        gateway.send(&health(tag, false));
    }
    std::thread::sleep(Duration::from_millis(1_200));
    fixture.signal("CONT");
    let mut answers: Vec<GatewayResponse> = (1..=10).map(|_| gateway.response()).collect();
    answers.sort_by_key(|answer| answer.tag);
    assert_eq!((answers[0].tag, answers[0].status.as_str()), (1, "OK"));
    assert!(answers[1..].iter().all(|answer| answer.status == "UP"));
    gateway.expect_quiet();
}

#[test]
fn an_unread_log_does_not_affect_service() {
    let mut fixture = ServerFixture::new(site(LONG));
    fixture.close_log();
    fixture.start("exec \"$0\" serve");
    let engine = attach(&fixture, "ATTACH 0");
    for _ in 0..3 {
        let mut gateway = fixture.gateway();
        gateway.send(b"nonsense\r\n");
        gateway.expect_closed();
    }
    serves(&fixture, &engine, 1);
    assert!(fixture.is_running());
}

/// Slow both ways and honest: it is heard, however long the whole of its request takes.
#[test]
fn a_slow_request_is_served_and_a_stalled_one_times_out() {
    let (fixture, engine) = ServerFixture::start_serving(site(LONG));
    let (mut slow, mut still) = (fixture.gateway(), fixture.gateway());
    let id = next_attempt_id();
    let bytes = call(1, "read", &fields(&id), b"x");
    still.send(&bytes[..20]);
    // Each part comes long before a peer counts as stuck, and all of them take longer.
    for part in bytes.chunks(bytes.len() / 12) {
        slow.send(part);
        std::thread::sleep(std::time::Duration::from_millis(200));
    }
    engine.expect("RUN");
    engine.send_done(1, &id, b"y");
    assert_eq!(slow.response().body, b"y");
    // The other has heard its end.
    assert_eq!(still.next_response(RESPONSE_TIMEOUT), Ok(None));
}

/// A site that closes connections soon after their last answer.
fn impatient() -> serde_json::Value {
    let mut settings = site(LONG);
    settings["Domain"]["Idle"] = 50.0.into();
    settings
}

fn heard_bye(gateway: &mut Gateway) {
    gateway.send(&health(1, false));
    assert_eq!(gateway.response().status, "UP");
    assert_eq!(gateway.response().status, "BYE");
}

#[test]
fn a_request_that_crosses_the_goodbye_is_served() {
    let (fixture, engine) = ServerFixture::start_serving(impatient());
    let mut gateway = fixture.gateway();
    heard_bye(&mut gateway);
    for (tag, number) in (2..5).zip(1..) {
        let id = start_run(&mut gateway, &engine, tag, "pay");
        finish_run(&mut gateway, &engine, number, &id);
    }
    // Nothing more comes, so it ends; the word was said once.
    gateway.expect_closed();
}

#[test]
fn a_request_after_an_idle_close_is_not_run() {
    let (fixture, engine) = ServerFixture::start_serving(impatient());
    let mut gateway = fixture.gateway();
    heard_bye(&mut gateway);
    gateway.expect_closed();
    // It rested until it was closed, and speaks now: first a part of its message, then the rest.
    let bytes = call(2, "pay", &fields(&next_attempt_id()), b"x");
    gateway.send(&bytes[..20]);
    gateway.send(&bytes[20..]);
    assert_eq!(gateway.next_response(QUIET_PERIOD), Ok(None));
    engine.expect_quiet();
    let mut other = fixture.gateway();
    let id = other.call(3, "pay", b"x");
    assert_eq!(engine.expect("RUN").word(1), id);
}

#[test]
fn a_half_closed_gateway_still_gets_its_responses() {
    let (fixture, engine) = ServerFixture::start_serving(site(LONG));
    let mut gateway = fixture.gateway();
    let ids: Vec<String> = (1..=4).map(|tag| gateway.call(tag, "read", b"x")).collect();
    for (id, number) in ids.iter().zip(1..) {
        engine.expect("RUN");
        engine.send_done(number, id, &[7; 4096]);
    }
    // Another hears of it after all of that was said, as answers of one batch are given in order.
    serves(&fixture, &engine, 9);
    gateway.stream.shutdown(std::net::Shutdown::Write).expect("its side is closed");
    for _ in &ids {
        assert_eq!(gateway.response().body, [7; 4096]);
    }
    gateway.expect_closed();
}

/// Floods until it is told to stop, and then rests without closing: its descriptor comes back all the same.
#[test]
fn closed_connections_are_released_although_their_peers_flood() {
    let (fixture, engine) = ServerFixture::start_serving(site(LONG));
    let before = fixture.descriptors();
    let mut flooding: Vec<Gateway> = (0..40).map(|_| fixture.gateway()).collect();
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
    let until = std::time::Instant::now() + RESPONSE_TIMEOUT;
    while fixture.descriptors() > before {
        assert!(std::time::Instant::now() < until, "{} over {before}", fixture.descriptors());
        std::thread::sleep(std::time::Duration::from_millis(20));
    }
    drop(flooding);
    serves(&fixture, &engine, 1);
}

/// Who floods with what cannot be taken is held up by that, and others are not.
#[test]
fn other_requests_are_answered_during_a_flood_of_rejected_ones() {
    const FLOOD: u64 = 3_000;
    let (fixture, engine) = ServerFixture::start_serving(site(LONG));
    let mut flooding = fixture.gateway();
    let flood: Vec<u8> =
        (1..=FLOOD).flat_map(|tag| call(tag, "no-such-class", &fields(&next_attempt_id()), b"x")).collect();
    let mut writer = flooding.stream.try_clone().expect("a clone");
    let writes = std::thread::spawn(move || std::io::Write::write_all(&mut writer, &flood));
    // It has begun.
    flooding.response();
    (1..=40).for_each(|number| serves(&fixture, &engine, number));
    flooding.stream.set_nonblocking(true).expect("it does not wait");
    let mut come = 1;
    while let Ok(Some(_)) = flooding.next_response(std::time::Duration::ZERO) {
        come += 1;
    }
    assert!(come < FLOOD, "all of the flood was taken before others");
    flooding.stream.shutdown(std::net::Shutdown::Both).expect("it ends");
    drop(writes.join().expect("it ends"));
}

#[test]
fn each_of_a_flood_of_health_checks_is_answered_once_without_the_engine() {
    const FLOOD: u64 = 600;
    let (fixture, engine) = ServerFixture::start_serving(site(LONG));
    // Questions would be lines like others from now on.
    fixture.engine.answers_by_itself(false);
    let mut flooding = fixture.gateway();
    let flood: Vec<u8> = (1..=FLOOD).flat_map(|tag| health(tag, true)).collect();
    let mut writer = flooding.stream.try_clone().expect("a clone");
    let writes = std::thread::spawn(move || std::io::Write::write_all(&mut writer, &flood));
    let mut tags: Vec<u64> = (0..FLOOD).map(|_| flooding.response().tag).collect();
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
