use loomflow_protocol::gateway::MAX_OPEN_REQUESTS;

use super::closing::CLOSE_STALL_TIMEOUT_MS;
use super::shutdown::KILL_MARGIN_MS;
use super::timeouts::{BYE_TIMEOUT_MS, BYE_TIMEOUT_NEAR_CAPACITY_MS, FIRST_MESSAGE_TIMEOUT_MS};
use super::*;

const IDLE_TIMEOUT_MS: Millis = 50.0;
/// When a connection is closed that was opened at 0 and has been idle since.
const IDLE_CLOSE_MS: Millis = IDLE_TIMEOUT_MS + BYE_TIMEOUT_MS;
const UNLIMITED: Limits =
    Limits { near_capacity: usize::MAX, max_connections: usize::MAX, max_unwritten_bytes: usize::MAX };

fn connect_at(connections: &mut GatewayConnections, id: ConnectionId, now: Millis) -> Arc<ConnectionHandle> {
    let handle = Arc::new(ConnectionHandle::new(Some(MAX_OPEN_REQUESTS)));
    connections.connected(id, handle.clone(), now);
    handle
}

/// Opens connection 1.
fn connect(connections: &mut GatewayConnections) -> Arc<ConnectionHandle> {
    connect_at(connections, 1, 0.0)
}

/// Opens connection 1 and lets both the idle timeout and the timeout after `BYE` expire.
fn connect_and_close_idle(connections: &mut GatewayConnections) -> Arc<ConnectionHandle> {
    let handle = connect(connections);
    connections.receive_message(1);
    connections.check_timeouts(IDLE_TIMEOUT_MS);
    connections.check_timeouts(IDLE_CLOSE_MS);
    handle
}

fn unlimited() -> GatewayConnections {
    GatewayConnections::new(0.0, UNLIMITED)
}

impl GatewayConnections {
    /// Records that a complete message was received on a connection.
    fn receive_message(&mut self, id: ConnectionId) {
        self.connections.get_mut(&id).unwrap().has_received_message = true;
    }
}

#[test]
fn near_capacity_silent_and_then_long_idle_connections_are_closed() {
    let mut connections = GatewayConnections::new(0.0, Limits { near_capacity: 2, ..UNLIMITED });
    let all: Vec<Arc<ConnectionHandle>> =
        (1..=5).map(|id| connect_at(&mut connections, id, id as f64)).collect();
    // 1 and 4 are idle, 2 has an open request, 3 and 5 have sent nothing.
    for id in [1, 2, 4] {
        connections.receive_message(id);
    }
    assert_eq!(connections.open_tag(2, 7), TagState::Opened);
    connections.check_timeouts(50.0);
    assert!(
        all.iter().all(|handle| !handle.is_closing()),
        "a silent connection is closed before its first-message timeout"
    );
    // The longest idle connection gets a `BYE` before it is closed.
    assert!(all[0].bytes_queued() > 0 && all[3].bytes_queued() == 0);
    connections.check_timeouts(50.0 + BYE_TIMEOUT_NEAR_CAPACITY_MS - 1.0);
    assert!(!all[0].is_closing());
    connections.check_timeouts(200.0);
    let is_closing: Vec<bool> = all.iter().map(|handle| handle.is_closing()).collect();
    assert_eq!(is_closing, [true, false, true, false, true]);
}

#[test]
fn above_the_write_limit_the_slowest_reader_is_aborted() {
    let mut connections = GatewayConnections::new(0.0, Limits { max_unwritten_bytes: 10_000, ..UNLIMITED });
    let all: Vec<Arc<ConnectionHandle>> = [4_000, 5_000, 900]
        .into_iter()
        .zip(1..)
        .map(|(size, id)| {
            let handle = connect_at(&mut connections, id, 0.0);
            connections.receive_message(id);
            handle.enqueue(|out| out.resize(size, 0));
            handle
        })
        .collect();
    connections.check_timeouts(1.0);
    assert!(all.iter().all(|handle| !handle.is_closing()));
    all[2].enqueue(|out| out.resize(out.len() + 200, 0));
    connections.check_timeouts(2.0);
    let is_closing: Vec<bool> = all.iter().map(|handle| handle.is_closing()).collect();
    assert_eq!(is_closing, [false, true, false]);
    assert!(all[1].is_flushed());
}

#[test]
fn a_connection_with_closed_input_is_aborted_if_its_peer_does_not_read() {
    let mut connections = unlimited();
    let handle = connect(&mut connections);
    assert_eq!(connections.open_tag(1, 7), TagState::Opened);
    handle.message_received();
    assert_eq!(connections.close_input(1, CloseReason::ProtocolViolation("x"), 0.0), [7]);
    connections.respond(1, 7, ResponseStatus::Failed, ResponseFields::default(), &[], 0.0);
    connections.check_timeouts(CLOSE_STALL_TIMEOUT_MS - 1.0);
    assert!(!handle.is_flushed());
    connections.check_timeouts(CLOSE_STALL_TIMEOUT_MS);
    assert!(handle.is_flushed() && handle.is_closing());
    // A response after the abort does not underflow the count of open requests.
    handle.enqueue_response(|_| {});
    assert!(handle.is_flushed());
}

#[test]
fn a_connection_without_a_first_message_is_closed() {
    let mut connections = unlimited();
    let handle = connect(&mut connections);
    connections.check_timeouts(FIRST_MESSAGE_TIMEOUT_MS - 1.0);
    assert!(!handle.is_closing());
    connections.check_timeouts(FIRST_MESSAGE_TIMEOUT_MS);
    assert!(handle.is_closing());
}

#[test]
fn idle_connections_get_one_bye_and_are_closed_after_its_timeout() {
    let mut connections = unlimited();
    let handle = connect(&mut connections);
    connections.receive_message(1);
    connections.check_timeouts(1e6);
    assert_eq!(handle.bytes_queued(), 0);
    connections.idle_timeout = Some(50.0);
    connections.check_timeouts(1e6);
    let bye_bytes = handle.bytes_queued();
    assert!(bye_bytes > 0 && !handle.is_closing());
    connections.check_timeouts(1e6 + BYE_TIMEOUT_MS - 1.0);
    assert!(!handle.is_closing());
    connections.check_timeouts(1e6 + BYE_TIMEOUT_MS);
    assert!(handle.is_closing());
    assert_eq!(handle.bytes_queued(), bye_bytes);
}

#[test]
fn a_connection_with_an_open_request_is_not_idle() {
    let mut connections = unlimited();
    let handle = connect(&mut connections);
    connections.idle_timeout = Some(50.0);
    assert_eq!(connections.open_tag(1, 7), TagState::Opened);
    connections.check_timeouts(1e6);
    assert_eq!(handle.bytes_queued(), 0);
}

#[test]
fn responses_carry_the_feedback_signal_once_it_is_set() {
    let mut connections = unlimited();
    let handle = connect(&mut connections);
    let respond = |connections: &mut GatewayConnections, tag| {
        let before = handle.bytes_queued();
        assert_eq!(connections.open_tag(1, tag), TagState::Opened);
        handle.message_received();
        connections.respond(1, tag, ResponseStatus::Up, ResponseFields::default(), &[], 0.0);
        handle.bytes_queued() - before
    };
    let without = respond(&mut connections, 1);
    connections.signal = Some(0.25);
    assert_eq!(respond(&mut connections, 2), without + "signal=0.2500".len() as u64 + 1);
}

#[test]
fn a_request_reported_after_the_input_was_closed_still_gets_a_response() {
    let mut connections = unlimited();
    let handle = connect(&mut connections);
    connections.close_input(1, CloseReason::ProtocolViolation("a partial message has stalled"), 0.0);
    // The driver had read the request before the owner closed the input.
    handle.message_received();
    assert_eq!(connections.open_tag(1, 7), TagState::InputClosed);
    let before = handle.bytes_queued();
    connections.respond(1, 7, ResponseStatus::Busy, ResponseFields::default(), &[], 0.0);
    assert!(handle.bytes_queued() > before);
    // A peer that has closed the connection cannot read a response.
    let mut connections = unlimited();
    let handle = connect(&mut connections);
    connections.close_input(1, CloseReason::PeerClosed, 0.0);
    handle.message_received();
    assert_eq!(connections.open_tag(1, 7), TagState::Unreachable);
}

#[test]
fn an_idle_close_becomes_an_abort_if_the_peer_does_not_read() {
    let mut connections = GatewayConnections::new(IDLE_TIMEOUT_MS, UNLIMITED);
    let handle = connect_and_close_idle(&mut connections);
    assert!(handle.is_closing() && !handle.is_flushed());
    connections.check_timeouts(IDLE_CLOSE_MS + CLOSE_STALL_TIMEOUT_MS - 1.0);
    assert!(!handle.is_flushed());
    connections.check_timeouts(IDLE_CLOSE_MS + CLOSE_STALL_TIMEOUT_MS);
    assert!(handle.is_flushed());
}

#[test]
fn a_shutdown_is_drained_once_every_descriptor_is_closed() {
    let mut connections = unlimited();
    let handle = connect(&mut connections);
    assert!(!connections.is_drained(0.0));
    connections.begin_shutdown(2_000.0, 2_300.0, 0.0);
    connections.check_timeouts(BYE_TIMEOUT_MS);
    assert!(handle.is_closing() && !connections.is_drained(BYE_TIMEOUT_MS));
    connections.disconnected(1);
    // The peer may still be reading the last responses.
    assert!(!connections.is_drained(BYE_TIMEOUT_MS));
    connections.descriptor_closed(1);
    assert!(connections.is_drained(BYE_TIMEOUT_MS));
}

#[test]
fn a_peer_that_does_not_read_cannot_delay_the_shutdown() {
    let mut connections = unlimited();
    let handle = connect(&mut connections);
    connections.begin_shutdown(700.0, 1_000.0, 400.0);
    // The peers have half of the remaining 300 ms to close.
    connections.check_timeouts(549.0);
    assert!(!handle.is_closing());
    connections.check_timeouts(550.0);
    assert!(handle.is_closing());
    assert!(
        !connections.is_drained(1_000.0 - KILL_MARGIN_MS - 1.0)
            && connections.is_drained(1_000.0 - KILL_MARGIN_MS)
    );
}

#[test]
fn a_cancelled_idle_close_resets_its_timeouts() {
    let mut connections = GatewayConnections::new(IDLE_TIMEOUT_MS, UNLIMITED);
    let handle = connect_and_close_idle(&mut connections);
    assert!(handle.is_closing());
    // The driver cancels the close once because of unread input.
    assert!(handle.cancel_idle_close() && !handle.cancel_idle_close());
    let at = IDLE_CLOSE_MS + CLOSE_STALL_TIMEOUT_MS;
    connections.check_timeouts(at - 1.0);
    assert!(handle.is_closing() && !handle.is_flushed(), "idle again: a new close starts");
    connections.check_timeouts(at);
    assert!(!handle.is_flushed(), "aborted by the timeout of the cancelled close");
}

#[test]
fn at_the_connection_limit_half_of_all_are_closed_the_longest_idle_first() {
    // Opens 16 connections; returns which of them get a `BYE`.
    let byes_of_sixteen = |max_connections: usize| {
        let mut connections =
            GatewayConnections::new(0.0, Limits { near_capacity: 12, max_connections, ..UNLIMITED });
        let all: Vec<Arc<ConnectionHandle>> = (1..=16)
            .map(|id| {
                let handle = connect_at(&mut connections, id, id as f64);
                connections.receive_message(id);
                handle
            })
            .collect();
        connections.check_timeouts(50.0);
        all.iter().map(|handle| handle.bytes_queued() > 0).collect::<Vec<bool>>()
    };
    let first = |count: usize| (0..16).map(|index| index < count).collect::<Vec<bool>>();
    assert_eq!(byes_of_sixteen(17), first(4), "near capacity");
    assert_eq!(byes_of_sixteen(16), first(8), "no capacity");
}
