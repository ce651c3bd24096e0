//! Gateway connections of a server process that are pipelined, stalled, reset, flooding or too many, or that send split,
//! malformed or invalid messages. The tests check the responses and that other gateways are still served.

mod common;

use std::io::Write;
use std::net::Shutdown;
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use common::*;
use loomflow_test_servers::*;
use serde_json::Value;

/// Expects that the server serves a new gateway; `number` is the number of the engine's notice.
fn expect_serving(fixture: &ServerFixture, engine: &PeerConnection, number: u64) {
    let mut gateway = fixture.gateway();
    let id = gateway.call(1, "read", b"still here");
    while expect_run(engine) != id {}
    engine.send_done(number, &id, b"yes");
    assert_eq!(gateway.response().body, b"yes");
}

#[test]
fn requests_in_small_parts_are_read() {
    let (fixture, engine) = ServerFixture::start_serving(site(LONG_TIMEOUT));
    let mut gateway = fixture.gateway();
    let id = next_attempt_id();
    let bytes = [call(1, "read", &fields(&id), b"body"), health(2, false)].concat();
    for part in bytes.chunks(7) {
        gateway.send(part);
        thread::sleep(Duration::from_millis(2));
    }
    assert_eq!(engine.expect("RUN").body, b"body");
    assert_eq!(gateway.response().tag, 2);
    engine.send_done(1, &id, b"y");
    assert_eq!(gateway.response().tag, 1);
}

#[test]
fn a_full_pipeline_in_one_write_is_served() {
    let (fixture, engine) = ServerFixture::start_serving(site(LONG_TIMEOUT));
    let mut gateway = fixture.gateway();
    let ids: Vec<String> = (0..32).map(|_| next_attempt_id()).collect();
    let pipeline: Vec<u8> =
        ids.iter().zip(1..).flat_map(|(id, tag)| call(tag, "read", &fields(id), &[7; 2048])).collect();
    gateway.send(&pipeline);
    let mut tags = Vec::new();
    for number in 1..=32 {
        let run = engine.expect("RUN");
        engine.send_done(number, run.word(1), run.word(1).as_bytes());
        let response = gateway.response();
        assert_eq!(response.body, ids[response.tag as usize - 1].as_bytes());
        tags.push(response.tag);
    }
    tags.sort_unstable();
    assert_eq!(tags, (1..=32).collect::<Vec<u64>>());
}

/// A request of about 2 KB that is rejected, as its class does not exist.
fn long_call(tag: u64) -> Vec<u8> {
    call(tag, "no-such-class", &fields(&next_attempt_id()), &[1; 2000])
}

/// Writes up to `max` requests, or until the server stops reading. Returns the number of requests and the unsent rest of
/// the last one.
fn write_until_blocked(gateway: &mut Gateway, max: u64) -> (u64, Vec<u8>) {
    let (mut sent, mut rest, mut blocked) = (0, Vec::new(), 0);
    while blocked < 20 {
        if rest.is_empty() && sent < max {
            sent += 1;
            rest = long_call(sent);
        }
        if let Ok(count) = gateway.stream.write(&rest) {
            rest.drain(..count);
        } else {
            blocked += 1;
            thread::sleep(Duration::from_millis(5));
        }
        if sent == max && rest.is_empty() {
            break;
        }
    }
    (sent, rest)
}

#[test]
fn a_slow_reader_delays_no_other_and_gets_all_responses() {
    const MANY: u64 = 400;
    let (fixture, engine) = ServerFixture::start_serving(site(LONG_TIMEOUT));
    let mut slow = fixture.gateway();
    socket2::SockRef::from(&slow.stream).set_recv_buffer_size(4096).unwrap();
    // The responses exceed the gateway's receive buffer by far, so the server stops reading from it.
    slow.stream.set_nonblocking(true).unwrap();
    let (sent, rest) = write_until_blocked(&mut slow, MANY);
    expect_serving(&fixture, &engine, 1);
    slow.stream.set_nonblocking(false).unwrap();
    slow.stream.set_write_timeout(Some(RESPONSE_TIMEOUT)).unwrap();
    let mut writer = slow.stream.try_clone().unwrap();
    let thread = thread::spawn(move || {
        writer.write_all(&rest).unwrap();
        for tag in sent + 1..=MANY {
            writer.write_all(&long_call(tag)).unwrap();
        }
    });
    expect_each_answered_once(&mut slow, MANY);
    thread.join().unwrap();
}

#[test]
fn a_reset_connection_affects_no_other() {
    let (mut fixture, engine) = ServerFixture::start_serving(site(LONG_TIMEOUT));
    let mut gateway = fixture.gateway();
    let id = start_run(&mut gateway, &engine, 1, "read");
    gateway.reset();
    engine.send_done(1, &id, b"for nobody");
    expect_serving(&fixture, &engine, 2);
    assert!(fixture.is_running());
}

/// A run whose gateway has disconnected is stopped at its call and frees its capacity.
#[test]
fn open_requests_of_a_disconnected_gateway_are_cancelled() {
    let (fixture, engine) = ServerFixture::start_serving(site(LONG_TIMEOUT));
    let ledger = fixture.ledger.open();
    // Of eight requests four run, one of which waits for the reply to its call, and the others are queued.
    let mut gateway = fixture.gateway();
    let ids: Vec<String> = (1..=8).map(|tag| gateway.call(tag, "pay", b"x")).collect();
    let runs: Vec<String> = (0..4).map(|_| expect_run(&engine)).collect();
    assert!(runs.iter().all(|id| ids.contains(id)));
    engine.send_need(1, &runs[0], b"call");
    let call = ledger.link();
    call.expect("post");
    // A waiting run takes no capacity, so a queued request is run.
    engine.expect("RUN");
    drop(gateway);
    call.expect_closed();
    // Queued requests of the closed gateway are never run; the next run is that of another gateway.
    engine.expect_quiet();
    engine.send_with_body(&format!("DONE 2 {} broken_off 5", runs[0]), b"");
    for (id, number) in runs[1..].iter().zip(3..) {
        engine.send_done(number, id, b"for nobody");
    }
    expect_serving(&fixture, &engine, 9);
}

#[test]
fn a_malformed_message_fails_open_requests_and_closes() {
    let (fixture, engine) = ServerFixture::start_serving(site(LONG_TIMEOUT));
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
        let responses = responses_by_tag(&mut gateway, 2);
        assert_eq!(tags(&responses), [1, 2]);
        assert!(responses.iter().all(|response| response.status == "FAILED"), "{responses:?}");
        gateway.expect_closed();
        // The gateway is disconnected, so the results of both runs are ignored.
        engine.send_done(2 * number - 1, &ids[0], b"no");
        engine.send_done(2 * number, &ids[1], b"no");
    }
    expect_serving(&fixture, &engine, 99);
}

#[test]
fn a_tag_reused_while_open_closes_the_connection() {
    let (fixture, engine) = ServerFixture::start_serving(site(LONG_TIMEOUT));
    let mut gateway = fixture.gateway();
    let id = start_run(&mut gateway, &engine, 5, "read");
    gateway.call(5, "read", b"another");
    expect_status(&mut gateway, 5, "FAILED");
    gateway.expect_closed();
    engine.send_done(1, &id, b"no");
    expect_serving(&fixture, &engine, 2);
}

#[test]
fn partial_and_silent_connections_time_out() {
    let (fixture, engine) = ServerFixture::start_serving(site(LONG_TIMEOUT));
    let mut silent = fixture.gateway();
    let mut partial = fixture.gateway();
    let id = partial.call(1, "read", b"x");
    engine.expect("RUN");
    partial.send(b"*5\r\n$8\r\nRPC.");
    silent.expect_closed();
    expect_status(&mut partial, 1, "FAILED");
    partial.expect_closed();
    engine.send_done(1, &id, b"no");
    expect_serving(&fixture, &engine, 2);
}

#[test]
fn silent_connections_do_not_lock_out_gateways() {
    let mut fixture = ServerFixture::new(site(LONG_TIMEOUT));
    fixture.config["limits"]["sockets"] = 96.into();
    fixture.start("ulimit -n 96; exec \"$0\" serve");
    let engine = attach(&fixture, "ATTACH 0");
    let _idle = idle_gateway(&fixture);
    let mut silent: Vec<Gateway> = (0..300).map(|_| fixture.gateway()).collect();
    expect_serving(&fixture, &engine, 1);
    assert!(fixture.descriptors() <= 96, "{}", fixture.descriptors());
    for gateway in &mut silent {
        gateway.expect_closed();
    }
    assert!(fixture.is_running());
}

#[test]
fn invalid_requests_get_a_failed_response() {
    let (fixture, engine) = ServerFixture::start_serving(site(LONG_TIMEOUT));
    let mut gateway = fixture.gateway();
    let valid = fields(&next_attempt_id());
    let cases = [
        call(1, "no-such-class", &valid, b""),
        call(2, "read", &valid.replace("owner=acme", "owner=nobody"), b""),
        call(3, "read", &valid.replace(",owner=acme", ""), b""),
        call(4, "read", &valid.replace("req=", "request="), b""),
        call(5, "read", &valid.replace("need=24.5", "need=much"), b""),
        array(&[b"RPC.SING", b"6", b"read"]),
        array(&[b"RPC.CALL", b"7"]),
    ];
    for (tag, bytes) in (1..).zip(cases) {
        gateway.send(&bytes);
        expect_status(&mut gateway, tag, "FAILED");
    }
    engine.expect_quiet();
    expect_serving(&fixture, &engine, 1);
}

#[test]
fn an_attempt_id_in_use_does_not_run_twice() {
    let (fixture, engine) = ServerFixture::start_serving(site(LONG_TIMEOUT));
    let mut gateway = fixture.gateway();
    let id = start_run(&mut gateway, &engine, 1, "pay");
    gateway.send(&call(2, "pay", &fields(&id), b"x"));
    assert_eq!((gateway.response().tag, gateway.next_response(QUIET_PERIOD)), (2, Err(NoResponse)));
    engine.expect_quiet();
    engine.send_done(1, &id, b"y");
    assert_eq!(gateway.response().tag, 1);
}

#[test]
fn values_out_of_range_are_rejected() {
    let (fixture, engine) = ServerFixture::start_serving(site(LONG_TIMEOUT));
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
    for (tag, (valid, invalid)) in (1..).zip(cases) {
        let fields = fields(&next_attempt_id());
        assert!(fields.contains(valid));
        gateway.send(&call(tag, "read", &fields.replace(valid, invalid), b"x"));
        let response = gateway.response();
        assert_eq!((response.tag, response.status.as_str()), (tag, "FAILED"), "{invalid}");
    }
    engine.expect_quiet();
    expect_serving(&fixture, &engine, 1);
}

#[test]
fn open_requests_are_bounded_by_memory() {
    let (fixture, _engine) =
        start_configured(site(LONG_TIMEOUT), |fixture| fixture.config["limits"]["memory_mb"] = 1.into());
    // An eighth of the 1 MB, the share for open requests, holds 51 of 2.5 KB each.
    let mut gateways = [fixture.gateway(), fixture.gateway()];
    for gateway in &mut gateways {
        for tag in 1..=32 {
            gateway.call(tag, "read", &[7; 2048]);
        }
    }
    let mut busy = 0;
    for gateway in &mut gateways {
        while let Ok(Some(response)) = gateway.next_response(QUIET_PERIOD) {
            assert_eq!(response.status, "BUSY");
            busy += 1;
        }
    }
    assert_eq!(busy, 64 - 51);
}

#[test]
fn gateways_may_use_half_of_the_descriptors() {
    let (fixture, engine) = ServerFixture::start_serving(site(LONG_TIMEOUT));
    let before = fixture.descriptors();
    let mut gateways: Vec<Gateway> = (0..512).map(|_| fixture.gateway()).collect();
    for (gateway, tag) in gateways.iter_mut().zip(1..) {
        gateway.send(&health(tag, false));
    }
    for (gateway, tag) in gateways.iter_mut().zip(1..) {
        assert_eq!(gateway.response().tag, tag);
    }
    assert!(fixture.descriptors() <= before + 512 + 1, "{} and {before}", fixture.descriptors());
    drop(gateways);
    expect_serving(&fixture, &engine, 1);
}

#[test]
fn the_server_survives_descriptor_exhaustion() {
    let mut fixture = ServerFixture::new(site(LONG_TIMEOUT));
    fixture.start("ulimit -n 40; exec \"$0\" serve");
    let _engine = attach(&fixture, "ATTACH 0");
    let mut gateways: Vec<Gateway> = (0..60).map(|_| fixture.gateway()).collect();
    check_health(&mut gateways[0], 1);
    thread::sleep(QUIET_PERIOD);
    assert!(fixture.is_running());
    drop(gateways);
    idle_gateway(&fixture);
}

#[test]
fn after_a_pause_input_is_read_before_timeouts() {
    let (fixture, engine) = ServerFixture::start_serving(site(1_000.0));
    let mut gateway = fixture.gateway();
    let id = start_run(&mut gateway, &engine, 1, "pay");
    fixture.signal("STOP");
    // While the process is stopped the result and new requests arrive, and the request's timeout passes.
    engine.send_done(1, &id, b"y");
    for tag in 2..=10 {
        gateway.send(&health(tag, false));
    }
    thread::sleep(Duration::from_millis(1_200));
    fixture.signal("CONT");
    let responses = responses_by_tag(&mut gateway, 10);
    assert_eq!((responses[0].tag, responses[0].status.as_str()), (1, "OK"));
    assert!(responses[1..].iter().all(|response| response.status == "UP"));
    gateway.expect_quiet();
}

#[test]
fn a_closed_log_does_not_affect_service() {
    let mut fixture = ServerFixture::new(site(LONG_TIMEOUT));
    fixture.close_log();
    fixture.start(SERVE);
    let engine = attach(&fixture, "ATTACH 0");
    for _ in 0..3 {
        let mut gateway = fixture.gateway();
        gateway.send(b"nonsense\r\n");
        gateway.expect_closed();
    }
    expect_serving(&fixture, &engine, 1);
    assert!(fixture.is_running());
}

/// The timeout applies to the gap between two parts of a message, not to the whole message.
#[test]
fn a_slow_request_is_served_and_a_stalled_one_times_out() {
    let (fixture, engine) = ServerFixture::start_serving(site(LONG_TIMEOUT));
    let (mut slow, mut stalled) = (fixture.gateway(), fixture.gateway());
    let id = next_attempt_id();
    let bytes = call(1, "read", &fields(&id), b"x");
    stalled.send(&bytes[..20]);
    // Every gap is far below the stall timeout, and all of them together exceed it.
    for part in bytes.chunks(bytes.len() / 12) {
        slow.send(part);
        thread::sleep(Duration::from_millis(200));
    }
    engine.expect("RUN");
    engine.send_done(1, &id, b"y");
    assert_eq!(slow.response().body, b"y");
    // The stalled connection was closed.
    assert_eq!(stalled.next_response(RESPONSE_TIMEOUT), Ok(None));
}

/// Settings with an idle timeout of 50 ms.
fn site_with_short_idle_timeout() -> Value {
    let mut settings = site(LONG_TIMEOUT);
    settings["Domain"]["Idle"] = 50.0.into();
    settings
}

/// Opens a gateway connection and waits for the `BYE` that it gets for being idle.
fn gateway_after_bye(fixture: &ServerFixture) -> Gateway {
    let mut gateway = idle_gateway(fixture);
    expect_bye(&mut gateway);
    gateway
}

#[test]
fn a_request_that_crosses_bye_is_served() {
    let (fixture, engine) = ServerFixture::start_serving(site_with_short_idle_timeout());
    let mut gateway = gateway_after_bye(&fixture);
    for (tag, number) in (2..5).zip(1..) {
        serve_request(&mut gateway, &engine, tag, "pay", number);
    }
    // When it is idle again, the connection is closed without a second BYE.
    gateway.expect_closed();
}

#[test]
fn a_request_after_an_idle_close_is_not_run() {
    let (fixture, engine) = ServerFixture::start_serving(site_with_short_idle_timeout());
    let mut gateway = gateway_after_bye(&fixture);
    gateway.expect_closed();
    // A request on the closed connection, in two parts.
    let bytes = call(2, "pay", &fields(&next_attempt_id()), b"x");
    gateway.send(&bytes[..20]);
    gateway.send(&bytes[20..]);
    assert_eq!(gateway.next_response(QUIET_PERIOD), Ok(None));
    engine.expect_quiet();
    let mut other = fixture.gateway();
    start_run(&mut other, &engine, 3, "pay");
}

#[test]
fn a_half_closed_gateway_still_gets_its_responses() {
    let (fixture, engine) = ServerFixture::start_serving(site(LONG_TIMEOUT));
    let mut gateway = fixture.gateway();
    let ids: Vec<String> = (1..=4).map(|tag| gateway.call(tag, "read", b"x")).collect();
    for (id, number) in ids.iter().zip(1..) {
        engine.expect("RUN");
        engine.send_done(number, id, &[7; 4096]);
    }
    // The responses of a batch are sent in order: when another gateway has been served, all earlier responses were sent.
    expect_serving(&fixture, &engine, 9);
    gateway.stream.shutdown(Shutdown::Write).expect("the write side is shut down");
    for _ in &ids {
        assert_eq!(gateway.response().body, [7; 4096]);
    }
    gateway.expect_closed();
}

/// Writes to the connections for `duration`, ignoring errors, whether or not the server reads.
fn flood(gateways: &mut [Gateway], duration: Duration) {
    let deadline = Instant::now() + duration;
    while Instant::now() < deadline {
        for gateway in &mut *gateways {
            let _ = gateway.stream.write(&[b'x'; 100]);
        }
        thread::sleep(Duration::from_millis(3));
    }
}

/// Waits until the server has at most `limit` open descriptors.
fn wait_for_descriptors(fixture: &ServerFixture, limit: usize) {
    let deadline = Instant::now() + RESPONSE_TIMEOUT;
    while fixture.descriptors() > limit {
        assert!(Instant::now() < deadline, "{} descriptors, the limit is {limit}", fixture.descriptors());
        thread::sleep(Duration::from_millis(20));
    }
}

/// Gateways that keep writing after a malformed message and do not close their side must not keep descriptors in use.
#[test]
fn closed_connections_are_released_while_their_peers_write() {
    let (fixture, engine) = ServerFixture::start_serving(site(LONG_TIMEOUT));
    let before = fixture.descriptors();
    let mut flooding: Vec<Gateway> = (0..40).map(|_| fixture.gateway()).collect();
    for gateway in &mut flooding {
        gateway.send(b"this is no RESP\r\n");
        gateway.stream.set_nonblocking(true).expect("the stream is non-blocking");
    }
    // The writes go on for 250 ms, so that the server stops reading each connection at another moment between two writes.
    flood(&mut flooding, Duration::from_millis(250));
    wait_for_descriptors(&fixture, before);
    drop(flooding);
    expect_serving(&fixture, &engine, 1);
}

/// Writes bytes to a gateway's connection in a thread.
fn write_in_background(gateway: &Gateway, bytes: Vec<u8>) -> JoinHandle<std::io::Result<()>> {
    let mut writer = gateway.stream.try_clone().expect("the stream can be cloned");
    thread::spawn(move || writer.write_all(&bytes))
}

/// A flood of rejected requests delays only the gateway that sends it.
#[test]
fn a_flood_of_rejected_requests_does_not_delay_others() {
    const FLOOD: u64 = 3_000;
    let (fixture, engine) = ServerFixture::start_serving(site(LONG_TIMEOUT));
    let mut flooding = fixture.gateway();
    let flood: Vec<u8> =
        (1..=FLOOD).flat_map(|tag| call(tag, "no-such-class", &fields(&next_attempt_id()), b"x")).collect();
    let writes = write_in_background(&flooding, flood);
    // The first response shows that the server reads the flood.
    flooding.response();
    (1..=40).for_each(|number| expect_serving(&fixture, &engine, number));
    flooding.stream.set_nonblocking(true).expect("the stream is non-blocking");
    let mut answered = 1;
    while let Ok(Some(_)) = flooding.next_response(Duration::ZERO) {
        answered += 1;
    }
    assert!(
        answered < FLOOD,
        "all {FLOOD} requests of the flood were answered before those of other gateways"
    );
    flooding.stream.shutdown(Shutdown::Both).expect("the connection is shut down");
    drop(writes.join().expect("the writer does not panic"));
}

#[test]
fn a_flood_of_health_checks_is_answered_without_the_engine() {
    const FLOOD: u64 = 600;
    let (fixture, engine) = ServerFixture::start_serving(site(LONG_TIMEOUT));
    // From now on the test receives the server's gauge queries, too.
    fixture.engine.set_automatic_replies(false);
    let mut flooding = fixture.gateway();
    let flood: Vec<u8> = (1..=FLOOD).flat_map(|tag| health(tag, true)).collect();
    let writes = write_in_background(&flooding, flood);
    expect_each_answered_once(&mut flooding, FLOOD);
    writes.join().expect("the writer does not panic").expect("all checks are sent");
    // Before the next request the engine has received nothing but gauge queries.
    let id = flooding.call(FLOOD + 1, "pay", b"x");
    loop {
        let line = engine.line();
        match line.word(0) {
            "RUN" => break assert_eq!(line.word(1), id),
            other => assert_eq!(other, "STAT"),
        }
    }
}
