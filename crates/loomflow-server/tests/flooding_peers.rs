//! Peers that send at full speed on the links that the server opens to them.

mod common;

use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};
use std::thread;
use std::time::{Duration, Instant};

use common::*;
use loomflow_test_servers::*;

/// How long the broker floods its link.
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
    let mut gateway = fixture.gateway();
    let mut tag = 0;
    while !flooding.is_finished() {
        tag += 1;
        gateway.send(&health(tag, false));
        gateway.response();
        thread::sleep(Duration::from_millis(5));
    }
    expect_peak_within_memory_limit(&fixture);
    serve_request(&mut gateway, &engine, tag + 1, "pay", 1);
}
