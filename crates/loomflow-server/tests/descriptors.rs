//! Idle clients that take every descriptor while the control plane is down: gateways with work still get in, links are
//! made anew, reports go out as soon as the control plane is back.

mod common;

use std::net::TcpListener;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::JoinHandle;
use std::time::Duration;

use common::{attach, finish_run, start_run};
use loomflow_test_servers::*;

const LONG: f64 = 20_000.0;
/// Descriptors of the small server, as its configuration and the system limit them.
const SOCKETS: usize = 64;
/// Clients that rest: many times what the server holds.
const IDLE: usize = 150;
/// Calls in flight as the links break.
const CALLS: u64 = 4;

/// Clients that rest until the server ends their connection, and connect again then: half of them ask for health first,
/// the others never say anything.
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
            std::thread::spawn(move || {
                while !stop.load(Ordering::Acquire) {
                    let Ok(stream) = std::net::TcpStream::connect(listen) else {
                        std::thread::sleep(Duration::from_millis(5));
                        continue;
                    };
                    rest_on(stream, number.is_multiple_of(2), &stop);
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

/// Keeps a connection until its peer ends it, or until told to stop.
fn rest_on(stream: std::net::TcpStream, speaks: bool, stop: &AtomicBool) {
    use std::io::{Read, Write};
    if speaks && (&stream).write_all(&health(1, false)).is_err() {
        return;
    }
    stream.set_read_timeout(Some(Duration::from_millis(50))).expect("a time-out");
    let mut bytes = [0; 256];
    while !stop.load(Ordering::Acquire) {
        match (&stream).read(&mut bytes) {
            Ok(0) => return,
            Ok(_) => {}
            Err(e) if matches!(e.kind(), std::io::ErrorKind::WouldBlock | std::io::ErrorKind::TimedOut) => {}
            Err(_) => return,
        }
    }
}

/// A small server whose control plane is down: nobody listens at the address, which is given out.
fn without_discovery(limit: usize) -> (ServerFixture, std::net::SocketAddr) {
    let mut fixture = ServerFixture::new(site(LONG));
    let down = loopback_address();
    fixture.config["control"] = down.to_string().into();
    fixture.config["limits"]["sockets"] = SOCKETS.into();
    fixture.start(&format!("ulimit -n {limit}; exec \"$0\" serve"));
    (fixture, down)
}

fn control_at(address: std::net::SocketAddr) -> Control {
    Control::at(TcpListener::bind(address).expect("its address"))
}

/// Waits until idle clients hold all that the server gives to gateways.
fn wait_until_full(fixture: &ServerFixture, gateways: usize) {
    let until = std::time::Instant::now() + RESPONSE_TIMEOUT;
    while fixture.descriptors() < gateways {
        assert!(std::time::Instant::now() < until, "{} descriptors", fixture.descriptors());
        std::thread::sleep(Duration::from_millis(2));
    }
}

/// A gateway that comes while idle clients hold the table, and whose request is run.
fn is_served(fixture: &ServerFixture, engine: &PeerConnection, number: u64) {
    let mut gateway = fixture.gateway();
    let id = start_run(&mut gateway, engine, 1, "read");
    finish_run(&mut gateway, engine, number, &id);
}

/// The log says little, however long it lasts.
fn log_is_short(fixture: &ServerFixture) {
    let log = fixture.log();
    assert!(log.lines().count() <= 12, "{log}");
}

#[test]
fn gateways_with_requests_are_accepted_among_idle_clients_while_discovery_is_down() {
    let (mut fixture, down) = without_discovery(SOCKETS);
    let engine = attach(&fixture, "ATTACH 0");
    fixture.wait_for_service();
    let idle = IdleClients::start(&fixture, IDLE);
    wait_until_full(&fixture, SOCKETS / 2);
    for number in 1..=6 {
        is_served(&fixture, &engine, number);
        assert!(fixture.descriptors() <= SOCKETS, "{}", fixture.descriptors());
    }
    assert_eq!(fixture.spinning_threads(), Vec::<String>::new());
    // Reports go out as soon as somebody takes them, though the table is full.
    let control = control_at(down);
    assert!(control.report().ends_with("{\"condition\":\"Ready\"}"));
    log_is_short(&fixture);
    idle.end();
    assert!(fixture.is_running());
}

/// The limit of the system is the lower one in the second: what it refuses must not be the links'.
/// Starts runs that wait for their calls, each on a connection of its own; returns those.
fn start_calls(gateway: &mut Gateway, engine: &PeerConnection, ledger: &OpenLedger) -> Vec<PeerConnection> {
    for tag in 1..=CALLS {
        gateway.call(tag, "read", b"x");
    }
    let runs: Vec<String> = (1..=CALLS).map(|_| engine.expect("RUN").word(1).to_owned()).collect();
    for (id, number) in runs.iter().zip(1..) {
        engine.send_need(number, id, b"call");
    }
    runs.iter().map(|_| ledger.link()).collect()
}

/// Answers those calls, which are made again on new connections, and ends their runs; returns the connections.
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

#[test]
fn engine_and_ledger_connections_are_reopened_with_every_descriptor_in_use() {
    for limit in [SOCKETS, 44] {
        let (mut fixture, _down) = without_discovery(limit);
        let engine = attach(&fixture, "ATTACH 0");
        fixture.wait_for_service();
        let ledger = fixture.ledger.open();
        let idle = IdleClients::start(&fixture, IDLE);
        wait_until_full(&fixture, limit / 2);
        let mut gateway = fixture.gateway();
        let calls = start_calls(&mut gateway, &engine, &ledger);
        // The engine's link and the ledger's break, and come back.
        engine.disconnect();
        let engine = attach(&fixture, "ATTACH 4");
        calls.into_iter().for_each(PeerConnection::disconnect);
        let _open = finish_calls(&mut gateway, &engine, &ledger);
        assert!(fixture.descriptors() <= limit, "{} of {limit}", fixture.descriptors());
        assert_eq!(fixture.spinning_threads(), Vec::<String>::new());
        log_is_short(&fixture);
        idle.end();
        assert!(fixture.is_running());
    }
}

/// The clients are there before the server is: they fill its table in the moment in which it starts to listen.
#[test]
fn a_server_restarted_among_idle_clients_serves_and_reports() {
    let (mut fixture, down) = without_discovery(SOCKETS);
    fixture.engine.link().accept_attach("ATTACH 0");
    fixture.wait_for_service();
    let idle = IdleClients::start(&fixture, IDLE);
    wait_until_full(&fixture, SOCKETS / 2);
    fixture.kill();
    fixture.start(&format!("ulimit -n {SOCKETS}; exec \"$0\" serve"));
    let engine = fixture.engine.link();
    // A request that comes before the engine is up is given back; the caller comes again.
    wait_until_full(&fixture, SOCKETS / 2);
    engine.accept_attach("ATTACH 0");
    fixture.wait_for_service();
    for number in 1..=4 {
        is_served(&fixture, &engine, number);
        assert!(fixture.descriptors() <= SOCKETS, "{}", fixture.descriptors());
    }
    let control = control_at(down);
    assert!(control.report().ends_with("{\"condition\":\"Ready\"}"));
    assert_eq!(fixture.spinning_threads(), Vec::<String>::new());
    log_is_short(&fixture);
    idle.end();
    assert!(fixture.is_running());
}
