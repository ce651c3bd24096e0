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

/// A connection whose driver begins only when the test says so, and its peer.
struct DrivenConnection {
    handle: Arc<ConnectionHandle>,
    peer: std::net::TcpStream,
    begin: Sender<()>,
    requests: Receiver<Request>,
    closed: Receiver<CloseReason>,
}

fn drive_connection() -> DrivenConnection {
    configure_runtime();
    let listener = TcpListener::bind("127.0.0.1:0").expect("an address");
    let address = listener.local_addr().expect("its address");
    let handle = Arc::new(ConnectionHandle::new(Some(32)));
    let (begin, begun) = channel();
    let (sender, requests) = channel();
    let (reasons, closed) = channel();
    let driver = handle.clone();
    std::thread::spawn(move || {
        let stream = connect(address).expect("the peer listens");
        begun.recv().expect("the test begins");
        // The driver waits as a coroutine.
        may::go!(move || {
            let deliver = |request| sender.send(request).expect("the test listens");
            let (stream, reason) = drive(stream, &driver, RequestDecoder::default(), deliver, |_| {});
            linger(stream, reason);
            reasons.send(reason).expect("the test listens");
        });
    });
    let (peer, _) = listener.accept().expect("the connection");
    peer.set_read_timeout(Some(TEST_TIMEOUT)).expect("a timeout");
    DrivenConnection { handle, peer, begin, requests, closed }
}

impl DrivenConnection {
    /// Everything that the peer can read up to the end of the connection, which must come in order.
    fn read_to_end(&mut self) -> Vec<u8> {
        let mut all = Vec::new();
        self.peer.read_to_end(&mut all).expect("an end in order");
        all
    }
}

#[test]
fn input_before_an_idle_close_is_read_and_answered() {
    let mut connection = drive_connection();
    connection.peer.write_all(HEALTH).expect("it is sent");
    // Found idle before the input was read.
    connection.handle.close(CloseReason::IdleTimeout);
    connection.begin.send(()).expect("the driver waits");
    assert!(matches!(connection.requests.recv_timeout(TEST_TIMEOUT), Ok(Request::Health { tag: 1, .. })));
    assert!(!connection.handle.is_closing());
    connection.handle.enqueue_response(|out| out.extend_from_slice(b"answer"));
    connection.handle.close(CloseReason::IdleTimeout);
    assert_eq!(connection.read_to_end(), b"answer");
    assert_eq!(connection.closed.recv_timeout(TEST_TIMEOUT), Ok(CloseReason::IdleTimeout));
}

#[test]
fn input_after_an_idle_close_is_not_read_and_does_not_reset_the_connection() {
    let mut connection = drive_connection();
    connection.handle.enqueue(|out| out.extend_from_slice(b"bye"));
    connection.handle.close(CloseReason::IdleTimeout);
    connection.begin.send(()).expect("the driver waits");
    assert_eq!(connection.read_to_end(), b"bye");
    connection.peer.write_all(HEALTH).expect("it is sent");
    assert_eq!(connection.closed.recv_timeout(TEST_TIMEOUT), Ok(CloseReason::IdleTimeout));
    assert!(connection.requests.try_recv().is_err());
    assert_eq!(connection.read_to_end(), b"");
}

#[test]
fn a_partial_message_cancels_an_idle_close_but_not_an_abort() {
    let mut connection = drive_connection();
    connection.peer.write_all(&HEALTH[..9]).expect("it is sent");
    connection.handle.close(CloseReason::IdleTimeout);
    connection.begin.send(()).expect("the driver waits");
    connection.peer.write_all(&HEALTH[9..]).expect("it is sent");
    assert!(matches!(connection.requests.recv_timeout(TEST_TIMEOUT), Ok(Request::Health { tag: 1, .. })));
    connection.handle.enqueue_response(|_| {});
    connection.peer.write_all(&HEALTH[..9]).expect("it is sent");
    connection.handle.close(CloseReason::Aborted);
    assert_eq!(connection.read_to_end(), b"");
    assert_eq!(connection.closed.recv_timeout(TEST_TIMEOUT), Ok(CloseReason::Aborted));
}

#[test]
fn only_an_idle_close_is_cancelled() {
    let malformed = CloseReason::ProtocolViolation("a tag is used again while it is open");
    for reasons in [[CloseReason::IdleTimeout, malformed], [malformed, CloseReason::IdleTimeout]] {
        let mut connection = drive_connection();
        connection.peer.write_all(HEALTH).expect("it is sent");
        for reason in reasons {
            connection.handle.close(reason);
        }
        connection.begin.send(()).expect("the driver waits");
        assert_eq!(connection.read_to_end(), b"");
        assert_eq!(connection.closed.recv_timeout(TEST_TIMEOUT), Ok(malformed));
        assert!(connection.requests.try_recv().is_err());
    }
    // Nor is an abort.
    let mut connection = drive_connection();
    connection.peer.write_all(HEALTH).expect("it is sent");
    connection.handle.close(CloseReason::IdleTimeout);
    connection.handle.abort();
    connection.begin.send(()).expect("the driver waits");
    assert_eq!(connection.read_to_end(), b"");
    assert_eq!(connection.closed.recv_timeout(TEST_TIMEOUT), Ok(CloseReason::Aborted));
}

/// If another thread ended its wait, the list in which the library keeps it would break.
#[test]
fn a_lingering_connection_is_never_woken() {
    let mut connection = drive_connection();
    connection.begin.send(()).expect("the driver waits");
    // It is woken while its driver waits.
    connection.handle.enqueue(|out| out.extend_from_slice(b"bye"));
    connection.handle.close(CloseReason::IdleTimeout);
    assert_eq!(connection.read_to_end(), b"bye");
    // It lingers, as its peer has not closed: whatever is queued now wakes nobody.
    assert!(!connection.handle.has_waker());
    connection.handle.enqueue(|out| out.extend_from_slice(b"late"));
    connection.handle.close(CloseReason::Aborted);
    connection.handle.abort();
    assert_eq!(connection.closed.recv_timeout(TEST_TIMEOUT), Ok(CloseReason::IdleTimeout));
}
