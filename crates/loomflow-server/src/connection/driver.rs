//! The driver of a connection: a coroutine that owns the socket, reads and decodes messages, and writes the handle's queue.
//! It does not interpret the messages.

use std::io::{ErrorKind, Read};
use std::net::SocketAddr;
use std::time::Duration;

use loomflow_protocol::Decoder;
use may::io::WaitIo;
use may::net::TcpStream;
use rustix::event::{PollFd, PollFlags, Timespec, poll};

use super::handle::ConnectionHandle;
use super::runtime::sleep;
use crate::close_reason::CloseReason;

/// Messages delivered from one connection before its driver yields to the other coroutines.
const MAX_MESSAGES_PER_TURN: usize = 16;
/// Timeout of a connect.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Opens a connection after a backoff; fails with the reason if the handle is closed during the backoff.
pub fn connect_after(
    address: SocketAddr,
    backoff: Duration,
    handle: &ConnectionHandle,
) -> Result<TcpStream, CloseReason> {
    if !backoff.is_zero() {
        sleep(backoff);
    }
    if let Some(reason) = handle.close_due() {
        return Err(reason);
    }
    connect(address)
}

/// Opens a connection with `TCP_NODELAY` set; fails after [`CONNECT_TIMEOUT`].
pub fn connect(address: SocketAddr) -> Result<TcpStream, CloseReason> {
    let stream = TcpStream::connect_timeout(&address, CONNECT_TIMEOUT)
        .map_err(|error| CloseReason::from_connect_error(&error))?;
    // Messages are small, and the peer waits for each one.
    let _ = stream.set_nodelay(true);
    Ok(stream)
}

/// Reads and writes until the connection is due to be closed, and returns the reason. If the peer ends its input or violates
/// the protocol, `input_closed` is called with that reason first, so that the owner can settle the open requests.
pub fn drive<D: Decoder>(
    stream: TcpStream,
    handle: &ConnectionHandle,
    decoder: D,
    deliver: impl FnMut(D::Message),
    input_closed: impl FnOnce(CloseReason),
) -> (TcpStream, CloseReason) {
    handle.set_waker(Some(stream.waker()));
    let reason = drive_until_closed(&stream, handle, decoder, deliver, input_closed);
    handle.set_waker(None);
    (stream, reason)
}

fn drive_until_closed<D: Decoder>(
    stream: &TcpStream,
    handle: &ConnectionHandle,
    mut decoder: D,
    mut deliver: impl FnMut(D::Message),
    input_closed: impl FnOnce(CloseReason),
) -> CloseReason {
    let mut input_closed = Some(input_closed);
    let mut may_have_unread = false;
    loop {
        if let Err(reason) = handle.flush(stream.inner()) {
            return reason;
        }
        // Reading alone shows a close only after all input that was sent before it.
        if (may_have_unread || !handle.may_read()) && handle.needs_connected_peer() {
            match peer_state(stream.inner()) {
                PeerState::Connected => {}
                PeerState::Reset => return CloseReason::Reset,
                PeerState::Closed => {
                    handle.input_closed(CloseReason::PeerClosed);
                    report_input_closed(&mut input_closed, CloseReason::PeerClosed);
                }
            }
        }
        may_have_unread = false;
        match read_messages(stream.inner(), handle, &mut decoder, &mut deliver) {
            Ok(ReadOutcome::MoreToRead) => {
                may_have_unread = true;
                match handle.throttle_delay() {
                    Duration::ZERO => may::coroutine::yield_now(),
                    delay => sleep(delay),
                }
                continue;
            }
            Ok(ReadOutcome::Drained) => {}
            Ok(ReadOutcome::InputClosed(reason)) => report_input_closed(&mut input_closed, reason),
            Err(reason) => return reason,
        }
        if let Some(reason) = handle.close_due() {
            // Input that arrived before the close counts as received. The owner decided on the idle close without knowing
            // about unread input; only the driver can check for it.
            let was_idle = reason == CloseReason::IdleTimeout;
            if was_idle && has_unread_input(stream.inner(), &mut decoder) && handle.cancel_idle_close() {
                continue;
            }
            return reason;
        }
        stream.wait_io();
    }
}

/// Reports the end of the input, unless it was reported before.
fn report_input_closed(input_closed: &mut Option<impl FnOnce(CloseReason)>, reason: CloseReason) {
    if let Some(input_closed) = input_closed.take() {
        input_closed(reason);
    }
}

/// Whether the peer is still connected, as far as the kernel knows.
enum PeerState {
    Connected,
    /// The peer has closed its side; input from before may be unread.
    Closed,
    /// The connection was reset.
    Reset,
}

/// Queries the state of the peer without reading: a read returns all unread input before it shows that the peer has left.
fn peer_state(stream: &std::net::TcpStream) -> PeerState {
    let mut events = [PollFd::new(stream, PollFlags::RDHUP)];
    if poll(&mut events, Some(&Timespec::default())).is_err() {
        return PeerState::Connected;
    }
    let state = events[0].revents();
    if state.intersects(PollFlags::ERR | PollFlags::HUP) {
        PeerState::Reset
    } else if state.contains(PollFlags::RDHUP) {
        PeerState::Closed
    } else {
        PeerState::Connected
    }
}

/// Whether the peer has sent bytes that are not delivered yet, in the buffer or in the socket.
fn has_unread_input<D: Decoder>(mut stream: &std::net::TcpStream, decoder: &mut D) -> bool {
    let buffer = decoder.buffer();
    if let Ok(count) = stream.read(buffer.space()) {
        buffer.commit(count);
    }
    !buffer.unread().is_empty()
}

/// Result of one turn of reading.
enum ReadOutcome {
    /// There may be more to read, after a yield or after the connection's throttle delay.
    MoreToRead,
    /// Nothing more can be read until the driver is woken.
    Drained,
    /// The peer ended its input or violated the protocol: nothing more will be read.
    InputClosed(CloseReason),
}

/// Result of one read into the decoder's buffer.
enum FillOutcome {
    /// The buffer may now hold a complete message. Also returned for an interrupted read, which is repeated.
    DecodeNext,
    /// The socket has no input at present.
    WouldBlock,
    /// The peer ended its input or violated the protocol.
    InputClosed(CloseReason),
}

/// Reads and delivers the messages that have arrived, at most [`MAX_MESSAGES_PER_TURN`].
fn read_messages<D: Decoder>(
    stream: &std::net::TcpStream,
    handle: &ConnectionHandle,
    decoder: &mut D,
    deliver: &mut impl FnMut(D::Message),
) -> Result<ReadOutcome, CloseReason> {
    let mut delivered = 0;
    while handle.may_read() {
        if delivered >= MAX_MESSAGES_PER_TURN {
            return Ok(ReadOutcome::MoreToRead);
        }
        let outcome = match decoder.next() {
            Ok(Some(message)) => {
                handle.message_received();
                deliver(message);
                delivered += 1;
                continue;
            }
            Ok(None) => fill_buffer(stream, decoder)?,
            Err(malformed) => FillOutcome::InputClosed(CloseReason::ProtocolViolation(malformed.0)),
        };
        match outcome {
            FillOutcome::DecodeNext => {}
            FillOutcome::WouldBlock => {
                handle.set_unread(decoder.buffer().unread().len());
                let is_throttled = delivered > 0 && !handle.throttle_delay().is_zero();
                return Ok(if is_throttled { ReadOutcome::MoreToRead } else { ReadOutcome::Drained });
            }
            FillOutcome::InputClosed(reason) => {
                handle.input_closed(reason);
                return Ok(ReadOutcome::InputClosed(reason));
            }
        }
    }
    handle.set_unread(0);
    Ok(ReadOutcome::Drained)
}

/// Reads once into the decoder's buffer.
fn fill_buffer<D: Decoder>(
    mut stream: &std::net::TcpStream,
    decoder: &mut D,
) -> Result<FillOutcome, CloseReason> {
    let buffer = decoder.buffer();
    if buffer.space().is_empty() {
        return Ok(FillOutcome::InputClosed(CloseReason::ProtocolViolation(
            "a message exceeds the receive buffer",
        )));
    }
    match stream.read(buffer.space()) {
        Ok(0) => Ok(FillOutcome::InputClosed(CloseReason::PeerClosed)),
        Ok(count) => {
            buffer.commit(count);
            Ok(FillOutcome::DecodeNext)
        }
        Err(error) if error.kind() == ErrorKind::WouldBlock => Ok(FillOutcome::WouldBlock),
        Err(error) if error.kind() == ErrorKind::Interrupted => Ok(FillOutcome::DecodeNext),
        Err(_) => Err(CloseReason::Reset),
    }
}

#[cfg(test)]
mod tests;
