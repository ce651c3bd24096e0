//! Peers that send at full speed on the links that the server opens to them.

mod common;

use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};
use std::thread;
use std::time::{Duration, Instant};

use common::*;
use loomflow_test_servers::*;

/// How long a peer floods its link.
const FLOOD_DURATION: Duration = Duration::from_secs(3);
/// The AMQP 0-9-1 method `connection.start`, version 0-9, without properties.
const START: &[u8] = b"\x01\x00\x00\x00\x00\x00\x1c\x00\x0a\x00\x0a\x00\x09\x00\x00\x00\x00\x00\x00\x00\x05PLAIN\x00\x00\x00\x05en_US\xce";
/// A heartbeat frame.
const HEARTBEAT: &[u8] = b"\x08\x00\x00\x00\x00\x00\x00\xce";

/// Sends heartbeats at full speed after the begin of a connection.
fn flood(mut link: TcpStream) -> std::io::Result<()> {
    let mut header = [0; 8];
    link.read_exact(&mut header)?;
    link.set_write_timeout(Some(Duration::from_millis(200)))?;
    link.write_all(START)?;
    let heartbeats = HEARTBEAT.repeat(5_000);
    let until = Instant::now() + FLOOD_DURATION;
    while Instant::now() < until {
        link.write_all(&heartbeats)?;
    }
    Ok(())
}

/// Guards against memory without a bound, and gateways without answers, while a broker sends small frames at full speed.
#[test]
fn a_broker_that_sends_at_full_speed_does_not_exhaust_memory() {
    let broker = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = broker.local_addr().expect("the listener has an address");
    let flooding = thread::spawn(move || broker.accept().map(|(link, _)| flood(link)));
    let mut fixture = ServerFixture::new(site(LONG_TIMEOUT));
    fixture.options(&format!(
        "amqp:\n  brokers: [\"{address}\"]\n  credentials: CREDENTIALS\n  queues:\n    - {{name: jobs, class: book, tenant: acme}}\n"
    ));
    fixture.start(SERVE);
    let engine = attach(&fixture, "ATTACH 0");
    expect_service_during(&fixture, &engine, 1, || flooding.is_finished());
}

/// Expects that a gateway gets its health checks answered until `is_over`, that memory stays bounded, and that a request is
/// served afterwards as the run `run_number`.
fn expect_service_during(
    fixture: &ServerFixture,
    engine: &PeerConnection,
    run_number: u64,
    is_over: impl Fn() -> bool,
) {
    let mut gateway = fixture.gateway();
    let mut tag = 0;
    while !is_over() {
        tag += 1;
        gateway.send(&health(tag, false));
        gateway.response();
        thread::sleep(Duration::from_millis(5));
    }
    expect_peak_within_memory_limit(fixture);
    serve_request(&mut gateway, engine, tag + 1, "pay", run_number);
}

/// Guards against the same while the ledger sends replies to calls that nobody made.
#[test]
fn a_ledger_that_sends_at_full_speed_does_not_exhaust_memory() {
    let (fixture, engine) = start_configured(site(LONG_TIMEOUT), |_| {});
    let ledger = fixture.ledger.open();
    let mut caller = fixture.gateway();
    caller.call(1, "read", b"x");
    let run = expect_run(&engine);
    engine.send_need(1, &run, b"call");
    let link = ledger.link();
    link.expect("post");
    let flooding = thread::spawn(move || {
        let replies = b"00000000000000ff posted 2\r\nok\r\n".repeat(5_000);
        let until = Instant::now() + FLOOD_DURATION;
        while Instant::now() < until {
            link.send_bytes(&replies);
        }
    });
    expect_service_during(&fixture, &engine, 2, || flooding.is_finished());
    flooding.join().expect("the server reads the link for the whole time");
}
