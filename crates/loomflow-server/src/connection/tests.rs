use std::io::{Read, Write};
use std::net::TcpListener;
use std::sync::Arc;
use std::sync::mpsc::{Receiver, Sender, channel};
use std::time::Duration;

use loomflow_protocol::gateway::{Request, RequestDecoder};

use super::*;
use crate::close_reason::CloseReason;

const HEALTH: &[u8] = b"*3\r\n$10\r\nRPC.HEALTH\r\n$1\r\n1\r\n$0\r\n\r\n";
const TEST_TIMEOUT: Duration = Duration::from_secs(20);

/// A connection whose driver starts on a signal from the test, and its peer.
struct DrivenConnection {
    handle: Arc<ConnectionHandle>,
    peer: std::net::TcpStream,
    start_driver: Sender<()>,
    /// Requests delivered by the driver.
    requests: Receiver<Request>,
    /// The driver's reason for closing, sent after the lingering close.
    closed: Receiver<CloseReason>,
}

fn drive_connection() -> DrivenConnection {
    configure_runtime();
    let listener = TcpListener::bind("127.0.0.1:0").expect("binds a loopback port");
    let address = listener.local_addr().expect("listener has an address");
    let handle = Arc::new(ConnectionHandle::new(Some(32)));
    let (start_driver, started) = channel();
    let (request_sender, requests) = channel();
    let (reason_sender, closed) = channel();
    let driver_handle = handle.clone();
    std::thread::spawn(move || {
        let stream = connect(address).expect("connects to the listener");
        started.recv().expect("test starts the driver");
        // The driver's waits require a coroutine.
        may::go!(move || {
            let deliver = |request| request_sender.send(request).expect("test receives requests");
            let (stream, reason) = drive(stream, &driver_handle, RequestDecoder::default(), deliver, |_| {});
            lingering_close(stream, reason);
            reason_sender.send(reason).expect("test receives the reason");
        });
    });
    let (peer, _) = listener.accept().expect("accepts the connection");
    peer.set_read_timeout(Some(TEST_TIMEOUT)).expect("sets the read timeout");
    DrivenConnection { handle, peer, start_driver, requests, closed }
}

impl DrivenConnection {
    /// Everything that the peer reads up to the end of the connection; panics if the connection is reset.
    fn read_to_end(&mut self) -> Vec<u8> {
        let mut received = Vec::new();
        self.peer.read_to_end(&mut received).expect("connection ends without a reset");
        received
    }
}

#[test]
fn input_before_an_idle_close_is_read_and_gets_a_response() {
    let mut connection = drive_connection();
    connection.peer.write_all(HEALTH).expect("peer sends");
    // The owner finds the connection idle before the driver reads the input.
    connection.handle.close(CloseReason::IdleTimeout);
    connection.start_driver.send(()).expect("driver waits for the start");
    assert!(matches!(connection.requests.recv_timeout(TEST_TIMEOUT), Ok(Request::Health { tag: 1, .. })));
    assert!(!connection.handle.is_closing());
    connection.handle.enqueue_response(|out| out.extend_from_slice(b"response"));
    connection.handle.close(CloseReason::IdleTimeout);
    assert_eq!(connection.read_to_end(), b"response");
    assert_eq!(connection.closed.recv_timeout(TEST_TIMEOUT), Ok(CloseReason::IdleTimeout));
}

#[test]
fn input_after_an_idle_close_is_ignored_without_a_reset() {
    let mut connection = drive_connection();
    connection.handle.enqueue(|out| out.extend_from_slice(b"bye"));
    connection.handle.close(CloseReason::IdleTimeout);
    connection.start_driver.send(()).expect("driver waits for the start");
    assert_eq!(connection.read_to_end(), b"bye");
    connection.peer.write_all(HEALTH).expect("peer sends");
    assert_eq!(connection.closed.recv_timeout(TEST_TIMEOUT), Ok(CloseReason::IdleTimeout));
    assert!(connection.requests.try_recv().is_err());
    assert_eq!(connection.read_to_end(), b"");
}

#[test]
fn a_partial_message_cancels_an_idle_close_but_not_an_abort() {
    let mut connection = drive_connection();
    connection.peer.write_all(&HEALTH[..9]).expect("peer sends");
    connection.handle.close(CloseReason::IdleTimeout);
    connection.start_driver.send(()).expect("driver waits for the start");
    connection.peer.write_all(&HEALTH[9..]).expect("peer sends");
    assert!(matches!(connection.requests.recv_timeout(TEST_TIMEOUT), Ok(Request::Health { tag: 1, .. })));
    connection.handle.enqueue_response(|_| {});
    connection.peer.write_all(&HEALTH[..9]).expect("peer sends");
    connection.handle.close(CloseReason::Aborted);
    assert_eq!(connection.read_to_end(), b"");
    assert_eq!(connection.closed.recv_timeout(TEST_TIMEOUT), Ok(CloseReason::Aborted));
}

#[test]
fn only_an_idle_close_is_cancelled() {
    let malformed = CloseReason::ProtocolViolation("duplicate tag");
    for reasons in [[CloseReason::IdleTimeout, malformed], [malformed, CloseReason::IdleTimeout]] {
        let mut connection = drive_connection();
        connection.peer.write_all(HEALTH).expect("peer sends");
        for reason in reasons {
            connection.handle.close(reason);
        }
        connection.start_driver.send(()).expect("driver waits for the start");
        assert_eq!(connection.read_to_end(), b"");
        assert_eq!(connection.closed.recv_timeout(TEST_TIMEOUT), Ok(malformed));
        assert!(connection.requests.try_recv().is_err());
    }
    // An abort is not cancelled either.
    let mut connection = drive_connection();
    connection.peer.write_all(HEALTH).expect("peer sends");
    connection.handle.close(CloseReason::IdleTimeout);
    connection.handle.abort();
    connection.start_driver.send(()).expect("driver waits for the start");
    assert_eq!(connection.read_to_end(), b"");
    assert_eq!(connection.closed.recv_timeout(TEST_TIMEOUT), Ok(CloseReason::Aborted));
}

/// Reads of a lingering close have a timeout, and `may` keeps such waits in a list that only the worker thread may change: a
/// wake from another thread would corrupt it.
#[test]
fn a_lingering_close_is_never_woken() {
    let mut connection = drive_connection();
    connection.start_driver.send(()).expect("driver waits for the start");
    // While the driver runs, an enqueue wakes it.
    connection.handle.enqueue(|out| out.extend_from_slice(b"bye"));
    connection.handle.close(CloseReason::IdleTimeout);
    assert_eq!(connection.read_to_end(), b"bye");
    // The lingering close waits for the peer to close: no enqueue may wake the coroutine now.
    assert!(!connection.handle.has_waker());
    connection.handle.enqueue(|out| out.extend_from_slice(b"late"));
    connection.handle.close(CloseReason::Aborted);
    connection.handle.abort();
    assert_eq!(connection.closed.recv_timeout(TEST_TIMEOUT), Ok(CloseReason::IdleTimeout));
}
