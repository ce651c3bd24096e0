//! A server process whose descriptors are all used by idle clients while the control plane is down: gateways with requests
//! are served, connections to the peers are reopened, and reports resume when the control plane is back.

mod common;

use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use common::*;
use loomflow_test_servers::*;

/// Limit on descriptors in the configuration (`limits.sockets`), and that of the process unless a test lowers it.
const SOCKETS: usize = 64;
/// Number of idle clients, several times the 32 gateway connections that the server accepts.
const IDLE_CLIENTS: usize = 150;
/// Number of calls that are open when the connections break.
const OPEN_CALLS: u64 = 4;

/// Clients that stay idle until the server closes their connection, then reconnect. Half of them send a health check first;
/// the others send nothing.
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

    fn stop(self) {
        self.stop.store(true, Ordering::Release);
        self.threads.into_iter().for_each(|thread| thread.join().expect("the client thread does not panic"));
    }
}

/// Keeps a connection open until the server closes it or `stop` is set.
fn stay_idle(stream: TcpStream, sends_health_check: bool, stop: &AtomicBool) {
    if sends_health_check && (&stream).write_all(&health(1, false)).is_err() {
        return;
    }
    stream.set_read_timeout(Some(Duration::from_millis(50))).expect("the read timeout is valid");
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

/// Starts a server with a descriptor limit of `limit` (`ulimit -n`), whose control plane is down. Returns the control
/// plane's address, where nobody listens.
fn start_without_control(limit: usize) -> (ServerFixture, SocketAddr) {
    let mut fixture = ServerFixture::new(site(LONG_TIMEOUT));
    let control_address = loopback_address();
    fixture.config["control"] = control_address.to_string().into();
    fixture.config["limits"]["sockets"] = SOCKETS.into();
    fixture.start(&format!("ulimit -n {limit}; {SERVE}"));
    (fixture, control_address)
}

fn start_control(address: SocketAddr) -> Control {
    Control::at(TcpListener::bind(address).expect("the address is free"))
}

/// Waits until the server has at least `gateways` open descriptors: the idle clients use those for gateways.
fn wait_until_full(fixture: &ServerFixture, gateways: usize) {
    let deadline = Instant::now() + RESPONSE_TIMEOUT;
    while fixture.descriptors() < gateways {
        assert!(Instant::now() < deadline, "{} descriptors of {gateways}", fixture.descriptors());
        thread::sleep(Duration::from_millis(2));
    }
}

/// Expects that a new gateway is served and that the descriptors stay within their limit.
fn expect_serving(fixture: &ServerFixture, engine: &PeerConnection, number: u64) {
    serve_request(&mut fixture.gateway(), engine, 1, "read", number);
    assert!(fixture.descriptors() <= SOCKETS, "{}", fixture.descriptors());
}

/// Expects that no thread spins, that the log has at most 12 lines, and that the server runs after the idle clients stop.
fn expect_clean_end(fixture: &mut ServerFixture, idle: IdleClients) {
    assert_eq!(fixture.spinning_threads(), Vec::<String>::new());
    let log = fixture.log();
    assert!(log.lines().count() <= 12, "{log}");
    idle.stop();
    assert!(fixture.is_running());
}

#[test]
fn active_gateways_are_accepted_among_idle_clients() {
    let (mut fixture, control_address) = start_without_control(SOCKETS);
    let engine = attach(&fixture, "ATTACH 0");
    fixture.wait_for_service();
    let idle = IdleClients::start(&fixture, IDLE_CLIENTS);
    wait_until_full(&fixture, SOCKETS / 2);
    for number in 1..=6 {
        expect_serving(&fixture, &engine, number);
    }
    assert_eq!(fixture.spinning_threads(), Vec::<String>::new());
    // Reports are sent when the control plane listens, although all descriptors for gateways are in use.
    let control = start_control(control_address);
    expect_ready_report(&control);
    expect_clean_end(&mut fixture, idle);
}

/// Starts runs that wait for the replies to their calls; returns the calls' connections to the ledger.
fn start_calls(gateway: &mut Gateway, engine: &PeerConnection, ledger: &OpenLedger) -> Vec<PeerConnection> {
    for tag in 1..=OPEN_CALLS {
        gateway.call(tag, "read", b"x");
    }
    let runs: Vec<String> = (1..=OPEN_CALLS).map(|_| expect_run(engine)).collect();
    for (id, number) in runs.iter().zip(1..) {
        engine.send_need(number, id, b"call");
    }
    runs.iter().map(|_| ledger.link()).collect()
}

/// Replies to the calls, which are retried on new connections, and ends their runs; returns the connections.
fn finish_calls(gateway: &mut Gateway, engine: &PeerConnection, ledger: &OpenLedger) -> Vec<PeerConnection> {
    let mut connections = Vec::new();
    for _ in 1..=OPEN_CALLS {
        let connection = ledger.link();
        let id = connection.expect("post").word(1).to_owned();
        connection.send_with_body(&format!("{id} posted"), b"ok");
        connections.push(connection);
    }
    for number in OPEN_CALLS + 1..=2 * OPEN_CALLS {
        let id = engine.expect("FEED").word(1).to_owned();
        engine.send_done(number, &id, b"y");
    }
    for _ in 1..=OPEN_CALLS {
        assert_eq!(gateway.response().body, b"y");
    }
    connections
}

/// The second process limit, 44, is below the 64 of the configuration, so the kernel refuses descriptors that the server
/// expects to get. The connections to the peers must not be the ones that fail.
#[test]
fn peer_connections_reopen_with_all_descriptors_in_use() {
    for limit in [SOCKETS, 44] {
        let (mut fixture, _control_address) = start_without_control(limit);
        let engine = attach(&fixture, "ATTACH 0");
        fixture.wait_for_service();
        let ledger = fixture.ledger.open();
        let idle = IdleClients::start(&fixture, IDLE_CLIENTS);
        wait_until_full(&fixture, limit / 2);
        let mut gateway = fixture.gateway();
        let calls = start_calls(&mut gateway, &engine, &ledger);
        // The connections to engine and ledger break and are reopened.
        engine.disconnect();
        let engine = attach(&fixture, "ATTACH 4");
        calls.into_iter().for_each(PeerConnection::disconnect);
        let _open = finish_calls(&mut gateway, &engine, &ledger);
        assert!(fixture.descriptors() <= limit, "{} of {limit}", fixture.descriptors());
        expect_clean_end(&mut fixture, idle);
    }
}

/// The clients are running before the server restarts and use its descriptors as soon as it listens.
#[test]
fn a_server_restarted_among_idle_clients_serves_and_reports() {
    let (mut fixture, control_address) = start_without_control(SOCKETS);
    attach(&fixture, "ATTACH 0");
    fixture.wait_for_service();
    let idle = IdleClients::start(&fixture, IDLE_CLIENTS);
    wait_until_full(&fixture, SOCKETS / 2);
    fixture.kill();
    fixture.start(&format!("ulimit -n {SOCKETS}; {SERVE}"));
    let engine = fixture.engine.link();
    // The idle clients take the descriptors before the engine is attached. Until then requests are rejected, which
    // `wait_for_service` below retries.
    wait_until_full(&fixture, SOCKETS / 2);
    engine.accept_attach("ATTACH 0");
    fixture.wait_for_service();
    for number in 1..=4 {
        expect_serving(&fixture, &engine, number);
    }
    let control = start_control(control_address);
    expect_ready_report(&control);
    expect_clean_end(&mut fixture, idle);
}
