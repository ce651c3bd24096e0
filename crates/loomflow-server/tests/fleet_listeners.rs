//! Clients that misuse the listeners of the fleet's thread: the one for other members and the operators' socket. The server
//! must stay within its memory limit and answer everyone else.

mod common;

use std::io::Write;
use std::net::TcpStream;
use std::os::unix::net::UnixStream;
use std::time::Duration;

use common::fleet::*;
use common::*;
use loomflow_fleet::operator::MAX_LINE_BYTES;
use loomflow_fleet::wire::MAX_MESSAGE_BYTES;
use loomflow_test_servers::fleet::{Fleet, Plan};
use loomflow_test_servers::*;

const PLAN: Plan = Plan { extra: "  duties: {lease_s: 10}\n", ..FOUR_MEMBERS };
/// Number of connections to the operators' socket, more than it accepts at once.
const OPERATOR_CONNECTIONS: usize = 100;

/// Connects to the operators' socket of a member; `None` if the connection cannot be opened or `bytes` cannot be sent.
fn open_operator_connection(fleet: &Fleet, member: usize, bytes: &[u8]) -> Option<UnixStream> {
    let mut stream = UnixStream::connect(fleet.members[member].state.with_extension("sock")).ok()?;
    stream.set_write_timeout(Some(Duration::from_secs(1))).ok()?;
    stream.write_all(bytes).ok()?;
    Some(stream)
}

/// Guards against a process that is killed for memory because many senders stop half way through a long message.
#[test]
fn partial_messages_of_unknown_senders_stay_within_the_memory_limit() {
    let fleet = Fleet::start_bootstrapped(PLAN);
    let mut message = u32::try_from(MAX_MESSAGE_BYTES).unwrap().to_be_bytes().to_vec();
    message.resize(MAX_MESSAGE_BYTES * 7 / 8, 0);
    let mut open = Vec::new();
    for _ in 0..40 {
        let mut stream =
            TcpStream::connect(fleet.members[0].address).expect("the member accepts connections");
        stream.set_write_timeout(Some(Duration::from_secs(5))).expect("the timeout is set");
        // The server closes some of the connections while they send.
        let _ = stream.write_all(&message);
        open.push(stream);
    }
    expect_peak_within_memory_limit(&fleet.members[0].fixture);
    expect_serving(&fleet, 0);
    fleet.wait_until("the member is in contact with the leader", |fleet| fleet.leader(0).is_some());
}

/// Guards against an operators' socket that accepts nobody any more because clients connected and sent nothing.
#[test]
fn idle_connections_do_not_block_the_operators_socket() {
    let fleet = Fleet::start_bootstrapped(PLAN);
    let open: Vec<_> = (0..OPERATOR_CONNECTIONS).map(|_| open_operator_connection(&fleet, 0, b"")).collect();
    expect_success(&fleet, 0, &["status"]);
    drop(open);
}

/// Guards against an operators' socket that accepts nobody any more, for good, because clients left before the end of their
/// request, and against a process that is killed for the memory of their requests.
#[test]
fn incomplete_requests_do_not_block_the_operators_socket() {
    let fleet = Fleet::start_bootstrapped(PLAN);
    let request = vec![b'x'; MAX_LINE_BYTES - 1];
    let open: Vec<_> =
        (0..OPERATOR_CONNECTIONS).map(|_| open_operator_connection(&fleet, 0, &request)).collect();
    expect_peak_within_memory_limit(&fleet.members[0].fixture);
    expect_success(&fleet, 0, &["status"]);
    drop(open);
    expect_success(&fleet, 0, &["status"]);
}

/// Limit on descriptors of a server with a fleet.
const DESCRIPTORS: usize = 128;

/// Guards against gateways that are not accepted because connections to the fleet's listener use up the descriptors.
#[test]
fn idle_connections_to_the_fleet_leave_descriptors_for_gateways() {
    let mut fixture = ServerFixture::new(site(LONG_TIMEOUT));
    fixture.config["limits"]["sockets"] = DESCRIPTORS.into();
    let listen = loopback_address();
    let name = fixture.config["name"].as_str().expect("the server has a name").to_owned();
    let voters: String =
        [(name.as_str(), listen), ("other-1", loopback_address()), ("other-2", loopback_address())]
            .map(|(name, address)| format!("    - {{name: {name}, address: \"{address}\"}}\n"))
            .concat();
    fixture.options(&format!("fleet:\n  name: f\n  listen: {listen}\n  state: state\n  voters:\n{voters}"));
    fixture.start(&format!("ulimit -n {DESCRIPTORS}; {SERVE}"));
    let engine = attach(&fixture, "ATTACH 0");
    fixture.wait_for_service();
    let idle: Vec<_> =
        (0..2 * DESCRIPTORS).map_while(|_| TcpStream::connect_timeout(&listen, QUIET_PERIOD).ok()).collect();
    std::thread::sleep(QUIET_PERIOD);
    let mut gateways: Vec<Gateway> = (0..DESCRIPTORS / 4).map(|_| fixture.gateway()).collect();
    for gateway in &mut gateways {
        gateway.send(&health(1, false));
        assert_eq!(gateway.response().status, "UP");
    }
    assert!(fixture.descriptors() <= DESCRIPTORS, "{}", fixture.descriptors());
    drop((idle, engine));
}
