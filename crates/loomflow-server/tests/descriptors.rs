//! A server process whose descriptors are all taken by idle clients while the control plane is down: gateways with requests
//! are still served, connections to the peers are reopened, and reports are sent once the control plane is back.

mod common;

use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use common::*;
use loomflow_test_servers::*;

/// Descriptors of the small server, as its configuration and the system limit them.
const SOCKETS: usize = 64;
/// Idle clients: many times the connections that the server accepts.
const IDLE: usize = 150;
/// Calls that are open when the connections break.
const CALLS: u64 = 4;

/// Clients that are idle until the server closes their connection, and then connect again. Half of them send a health check
/// first, the others send nothing.
struct IdleClients {
    stop: Arc<AtomicBool>,
    threads: Vec<JoinHandle<()>>,
}

impl IdleClients {
    fn start(fixture: &ServerFixture, count: usize) -> IdleClients {
        let stop = Arc::new(AtomicBool::new(false));
        let listen = fixture.listen;
        let client = |number: usize| {
            let stop = stop.clone();
            thread::spawn(move || {
                while !stop.load(Ordering::Acquire) {
                    let Ok(stream) = TcpStream::connect(listen) else {
                        thread::sleep(Duration::from_millis(5));
                        continue;
                    };
                    stay_idle(stream, number.is_multiple_of(2), &stop);
                }
            })
        };
        let threads = (0..count).map(client).collect();
        IdleClients { stop, threads }
    }

    fn end(self) {
        self.stop.store(true, Ordering::Release);
        self.threads.into_iter().for_each(|thread| thread.join().expect("a client ends"));
    }
}

/// Keeps a connection open until its peer closes it, or until the test stops it.
fn stay_idle(stream: TcpStream, sends_health_check: bool, stop: &AtomicBool) {
    if sends_health_check && (&stream).write_all(&health(1, false)).is_err() {
        return;
    }
    stream.set_read_timeout(Some(Duration::from_millis(50))).expect("a time-out");
    let mut bytes = [0; 256];
    while !stop.load(Ordering::Acquire) {
        match (&stream).read(&mut bytes) {
            Ok(0) => return,
            Ok(_) => {}
            Err(e) if matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => {}
            Err(_) => return,
        }
    }
}

/// Starts a small server whose control plane is down; returns the address of the control plane, at which nobody listens.
fn start_without_control(limit: usize) -> (ServerFixture, SocketAddr) {
    let mut fixture = ServerFixture::new(site(LONG_TIMEOUT));
    let down = loopback_address();
    fixture.config["control"] = down.to_string().into();
    fixture.config["limits"]["sockets"] = SOCKETS.into();
    fixture.start(&format!("ulimit -n {limit}; {SERVE}"));
    (fixture, down)
}

fn start_control(address: SocketAddr) -> Control {
    Control::at(TcpListener::bind(address).expect("its address"))
}

/// Waits until idle clients have all descriptors that are for gateways.
fn wait_until_full(fixture: &ServerFixture, gateways: usize) {
    let until = Instant::now() + RESPONSE_TIMEOUT;
    while fixture.descriptors() < gateways {
        assert!(Instant::now() < until, "{} descriptors", fixture.descriptors());
        thread::sleep(Duration::from_millis(2));
    }
}

/// Expects that a new gateway is served, within the limit on descriptors.
fn expect_serving(fixture: &ServerFixture, engine: &PeerConnection, number: u64) {
    serve_request(&mut fixture.gateway(), engine, 1, "read", number);
    assert!(fixture.descriptors() <= SOCKETS, "{}", fixture.descriptors());
}

/// Expects that no thread spins, that the log is short and that the server still runs after the idle clients have ended.
fn expect_calm_end(fixture: &mut ServerFixture, idle: IdleClients) {
    assert_eq!(fixture.spinning_threads(), Vec::<String>::new());
    let log = fixture.log();
    assert!(log.lines().count() <= 12, "{log}");
    idle.end();
    assert!(fixture.is_running());
}

#[test]
fn gateways_with_requests_are_accepted_among_idle_clients_while_discovery_is_down() {
    let (mut fixture, down) = start_without_control(SOCKETS);
    let engine = attach(&fixture, "ATTACH 0");
    fixture.wait_for_service();
    let idle = IdleClients::start(&fixture, IDLE);
    wait_until_full(&fixture, SOCKETS / 2);
    for number in 1..=6 {
        expect_serving(&fixture, &engine, number);
    }
    assert_eq!(fixture.spinning_threads(), Vec::<String>::new());
    // Reports are sent once the control plane listens, although all descriptors are in use.
    let control = start_control(down);
    expect_ready_report(&control);
    expect_calm_end(&mut fixture, idle);
}

/// Starts runs that wait for their calls, each on a connection of its own; returns the connections.
fn start_calls(gateway: &mut Gateway, engine: &PeerConnection, ledger: &OpenLedger) -> Vec<PeerConnection> {
    for tag in 1..=CALLS {
        gateway.call(tag, "read", b"x");
    }
    let runs: Vec<String> = (1..=CALLS).map(|_| expect_run(engine)).collect();
    for (id, number) in runs.iter().zip(1..) {
        engine.send_need(number, id, b"call");
    }
    runs.iter().map(|_| ledger.link()).collect()
}

/// Answers the calls, which are retried on new connections, and ends their runs; returns the connections.
fn finish_calls(gateway: &mut Gateway, engine: &PeerConnection, ledger: &OpenLedger) -> Vec<PeerConnection> {
    let mut connections = Vec::new();
    for _ in 1..=CALLS {
        let connection = ledger.link();
        let id = connection.expect("post").word(1).to_owned();
        connection.send_with_body(&format!("{id} posted"), b"ok");
        connections.push(connection);
    }
    for number in CALLS + 1..=2 * CALLS {
        let id = engine.expect("FEED").word(1).to_owned();
        engine.send_done(number, &id, b"y");
    }
    for _ in 1..=CALLS {
        assert_eq!(gateway.response().body, b"y");
    }
    connections
}

/// In the second case the limit of the system is below that of the configuration: what the system refuses must not be the
/// connections to the peers.
#[test]
fn engine_and_ledger_connections_are_reopened_with_every_descriptor_in_use() {
    for limit in [SOCKETS, 44] {
        let (mut fixture, _down) = start_without_control(limit);
        let engine = attach(&fixture, "ATTACH 0");
        fixture.wait_for_service();
        let ledger = fixture.ledger.open();
        let idle = IdleClients::start(&fixture, IDLE);
        wait_until_full(&fixture, limit / 2);
        let mut gateway = fixture.gateway();
        let calls = start_calls(&mut gateway, &engine, &ledger);
        // The connections to engine and ledger break and are reopened.
        engine.disconnect();
        let engine = attach(&fixture, "ATTACH 4");
        calls.into_iter().for_each(PeerConnection::disconnect);
        let _open = finish_calls(&mut gateway, &engine, &ledger);
        assert!(fixture.descriptors() <= limit, "{} of {limit}", fixture.descriptors());
        expect_calm_end(&mut fixture, idle);
    }
}

/// The clients run before the server does: they take its descriptors as soon as it listens.
#[test]
fn a_server_restarted_among_idle_clients_serves_and_reports() {
    let (mut fixture, down) = start_without_control(SOCKETS);
    attach(&fixture, "ATTACH 0");
    fixture.wait_for_service();
    let idle = IdleClients::start(&fixture, IDLE);
    wait_until_full(&fixture, SOCKETS / 2);
    fixture.kill();
    fixture.start(&format!("ulimit -n {SOCKETS}; {SERVE}"));
    let engine = fixture.engine.link();
    // Requests before the engine is connected are rejected, and retried.
    wait_until_full(&fixture, SOCKETS / 2);
    engine.accept_attach("ATTACH 0");
    fixture.wait_for_service();
    for number in 1..=4 {
        expect_serving(&fixture, &engine, number);
    }
    let control = start_control(down);
    expect_ready_report(&control);
    expect_calm_end(&mut fixture, idle);
}
