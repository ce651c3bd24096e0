use loomflow_protocol::gateway::MAX_OPEN_REQUESTS;

use super::closing::CLOSE_STALL_TIMEOUT_MS;
use super::shutdown::KILL_MARGIN_MS;
use super::timeouts::{FIRST_MESSAGE_TIMEOUT_MS, GOODBYE_TIMEOUT_MS, GOODBYE_TIMEOUT_NEAR_CAPACITY_MS};
use super::*;

const IDLE_TIMEOUT_MS: Millis = 50.0;
/// When a connection that was opened at 0 and is idle from then on is closed.
const IDLE_CLOSE_MS: Millis = IDLE_TIMEOUT_MS + GOODBYE_TIMEOUT_MS;
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

/// Connection 1 after it was idle for its timeout, and for that of the goodbye.
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
    fn receive_message(&mut self, id: ConnectionId) {
        self.connections.get_mut(&id).unwrap().has_received_message = true;
    }
}

#[test]
fn near_capacity_unused_connections_are_closed_first_and_then_the_longest_idle() {
    let mut connections = GatewayConnections::new(0.0, Limits { near_capacity: 2, ..UNLIMITED });
    let all: Vec<Arc<ConnectionHandle>> =
        (1..=5).map(|id| connect_at(&mut connections, id, id as f64)).collect();
    // 1 and 4 idle, 2 busy, 3 and 5 silent.
    for id in [1, 2, 4] {
        connections.receive_message(id);
    }
    assert_eq!(connections.open_tag(2, 7), TagState::Opened);
    connections.check_timeouts(50.0);
    assert!(all.iter().all(|handle| !handle.is_closing()), "a new connection has a moment to send something");
    // The longest idle gets a goodbye before it is closed.
    assert!(all[0].bytes_queued() > 0 && all[3].bytes_queued() == 0);
    connections.check_timeouts(50.0 + GOODBYE_TIMEOUT_NEAR_CAPACITY_MS - 1.0);
    assert!(!all[0].is_closing());
    connections.check_timeouts(200.0);
    let is_closing: Vec<bool> = all.iter().map(|handle| handle.is_closing()).collect();
    assert_eq!(is_closing, [true, false, true, false, true]);
}

#[test]
fn the_connection_with_the_most_unread_bytes_is_aborted_at_the_memory_limit() {
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
fn a_connection_with_closed_input_whose_peer_does_not_read_is_aborted() {
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
    // A response after that is not counted.
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
fn idle_connections_get_a_goodbye_and_are_closed_after_its_timeout() {
    let mut connections = unlimited();
    let handle = connect(&mut connections);
    connections.receive_message(1);
    connections.check_timeouts(1e6);
    assert_eq!(handle.bytes_queued(), 0);
    connections.idle_timeout = Some(50.0);
    connections.check_timeouts(1e6);
    let bye = handle.bytes_queued();
    assert!(bye > 0 && !handle.is_closing());
    connections.check_timeouts(1e6 + GOODBYE_TIMEOUT_MS - 1.0);
    assert!(!handle.is_closing());
    connections.check_timeouts(1e6 + GOODBYE_TIMEOUT_MS);
    assert!(handle.is_closing());
    assert_eq!(handle.bytes_queued(), bye);
}

#[test]
fn a_connection_with_a_request_open_is_not_idle() {
    let mut connections = unlimited();
    let handle = connect(&mut connections);
    connections.idle_timeout = Some(50.0);
    assert_eq!(connections.open_tag(1, 7), TagState::Opened);
    connections.check_timeouts(1e6);
    assert_eq!(handle.bytes_queued(), 0);
}

#[test]
fn every_response_carries_the_feedback_signal_once_there_is_one() {
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
fn a_request_read_as_the_input_was_closed_is_rejected_and_not_dropped() {
    let mut connections = unlimited();
    let handle = connect(&mut connections);
    connections.close_input(1, CloseReason::ProtocolViolation("the rest of a message does not come"), 0.0);
    // The driver had read it before.
    handle.message_received();
    assert_eq!(connections.open_tag(1, 7), TagState::InputClosed);
    let before = handle.bytes_queued();
    connections.respond(1, 7, ResponseStatus::Busy, ResponseFields::default(), &[], 0.0);
    assert!(handle.bytes_queued() > before);
    // A peer that has closed the connection reads no response.
    let mut connections = unlimited();
    let handle = connect(&mut connections);
    connections.close_input(1, CloseReason::PeerClosed, 0.0);
    handle.message_received();
    assert_eq!(connections.open_tag(1, 7), TagState::Unreachable);
}

#[test]
fn an_idle_connection_that_is_closed_is_aborted_if_its_peer_does_not_read() {
    let mut connections = GatewayConnections::new(IDLE_TIMEOUT_MS, UNLIMITED);
    let handle = connect_and_close_idle(&mut connections);
    assert!(handle.is_closing() && !handle.is_flushed());
    connections.check_timeouts(IDLE_CLOSE_MS + CLOSE_STALL_TIMEOUT_MS - 1.0);
    assert!(!handle.is_flushed());
    connections.check_timeouts(IDLE_CLOSE_MS + CLOSE_STALL_TIMEOUT_MS);
    assert!(handle.is_flushed());
}

#[test]
fn a_shutdown_is_drained_once_every_connection_is_closed_in_order() {
    let mut connections = unlimited();
    let handle = connect(&mut connections);
    assert!(!connections.is_drained(0.0));
    connections.begin_shutdown(2_000.0, 2_300.0, 0.0);
    connections.check_timeouts(GOODBYE_TIMEOUT_MS);
    assert!(handle.is_closing() && !connections.is_drained(GOODBYE_TIMEOUT_MS));
    connections.disconnected(1);
    // Its peer may still be reading its last responses.
    assert!(!connections.is_drained(GOODBYE_TIMEOUT_MS));
    connections.descriptor_closed(1);
    assert!(connections.is_drained(GOODBYE_TIMEOUT_MS));
}

#[test]
fn a_peer_that_reads_nothing_does_not_keep_a_shutdown_from_ending() {
    let mut connections = unlimited();
    let handle = connect(&mut connections);
    connections.begin_shutdown(700.0, 1_000.0, 400.0);
    // Half of the remaining time is for the peers to close.
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
fn a_cancelled_idle_close_starts_its_timeouts_anew() {
    let mut connections = GatewayConnections::new(IDLE_TIMEOUT_MS, UNLIMITED);
    let handle = connect_and_close_idle(&mut connections);
    assert!(handle.is_closing());
    // Its driver found unread input.
    assert!(handle.cancel_idle_close() && !handle.cancel_idle_close());
    let at = IDLE_CLOSE_MS + CLOSE_STALL_TIMEOUT_MS;
    connections.check_timeouts(at - 1.0);
    assert!(handle.is_closing() && !handle.is_flushed(), "idle again, and the close starts anew");
    connections.check_timeouts(at);
    assert!(!handle.is_flushed(), "not aborted for a close that was cancelled");
}

#[test]
fn without_capacity_half_of_all_connections_are_closed_the_longest_idle_first() {
    let goodbyes_of_sixteen = |max_connections: usize| {
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
    let first = |count: usize| (0..16).map(|at| at < count).collect::<Vec<bool>>();
    assert_eq!(goodbyes_of_sixteen(17), first(4), "near capacity");
    assert_eq!(goodbyes_of_sixteen(16), first(8), "no capacity");
}
