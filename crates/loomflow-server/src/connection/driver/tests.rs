use std::io::Write;
use std::net::{TcpListener, TcpStream as StdStream};
use std::time::Instant;

use loomflow_protocol::gateway::RequestDecoder;

use super::*;
use crate::connection::configure_runtime;

const HEALTH: &[u8] = b"*3\r\n$10\r\nRPC.HEALTH\r\n$1\r\n1\r\n$0\r\n\r\n";

#[test]
fn a_turn_delivers_a_bounded_number_of_messages() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("binds a loopback port");
    let address = listener.local_addr().expect("listener has an address");
    let mut peer = StdStream::connect(address).expect("connects to the listener");
    let (stream, _) = listener.accept().expect("accepts the connection");
    let messages = MAX_MESSAGES_PER_TURN + 4;
    peer.write_all(&HEALTH.repeat(messages)).expect("peer sends");
    // With the end of the input all messages have arrived.
    peer.shutdown(std::net::Shutdown::Write).expect("peer ends its input");
    let handle = ConnectionHandle::new(None);
    let mut decoder = RequestDecoder::default();
    let mut delivered = 0;
    let outcome = read_messages(&stream, &handle, &mut decoder, &mut |_| delivered += 1);
    assert!(matches!(outcome, Ok(ReadOutcome::MoreToRead)));
    assert_eq!(delivered, MAX_MESSAGES_PER_TURN);
    let outcome = read_messages(&stream, &handle, &mut decoder, &mut |_| delivered += 1);
    assert!(matches!(outcome, Ok(ReadOutcome::InputClosed(CloseReason::PeerClosed))));
    assert_eq!(delivered, messages);
}

#[test]
fn an_unanswered_connect_times_out() {
    configure_runtime();
    let socket =
        socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).expect("creates a socket");
    socket.bind(&std::net::SocketAddr::from(([127, 0, 0, 1], 0)).into()).expect("binds a loopback port");
    socket.listen(0).expect("the socket listens");
    let address = socket.local_addr().expect("socket has an address").as_socket().expect("an IP address");
    // Fills the accept queue; the kernel then drops further connects without a reply.
    let short = Duration::from_millis(100);
    let queued: Vec<StdStream> =
        std::iter::from_fn(|| StdStream::connect_timeout(&address, short).ok()).take(64).collect();
    assert!(queued.len() < 64, "the accept queue took {} connections without filling up", queued.len());
    let started_at = Instant::now();
    assert_eq!(connect(address).err(), Some(CloseReason::ConnectFailed));
    assert!((CONNECT_TIMEOUT..CONNECT_TIMEOUT * 4).contains(&started_at.elapsed()));
}
