//! The driver of a connection: one coroutine with the descriptor, which reads, decodes and writes. It knows nothing about
//! requests.

use std::io::{ErrorKind, Read};
use std::net::SocketAddr;
use std::time::Duration;

use loomflow_protocol::Decoder;
use may::io::WaitIo;
use may::net::TcpStream;

use super::handle::ConnectionHandle;
use super::runtime::sleep;
use crate::close_reason::CloseReason;

/// How many messages are read from one connection before the others have their turn.
const MAX_MESSAGES_PER_TURN: usize = 16;
/// How long opening a connection may take.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Opens a connection after a backoff, unless it has been closed by then.
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

/// Opens a connection.
pub fn connect(address: SocketAddr) -> Result<TcpStream, CloseReason> {
    let stream = TcpStream::connect_timeout(&address, CONNECT_TIMEOUT)
        .map_err(|error| CloseReason::from_connect_error(&error))?;
    // Messages are small, and each is waited for.
    let _ = stream.set_nodelay(true);
    Ok(stream)
}

/// Reads and writes until the connection is to be closed, and returns why. `input_closed` is called before that with the
/// reason why nothing more is read, where that is the peer's doing: requests that are open still have to be settled.
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
    loop {
        if let Err(reason) = handle.flush(stream.inner()) {
            return reason;
        }
        match read_messages(stream.inner(), handle, &mut decoder, &mut deliver) {
            Ok(ReadOutcome::MoreToRead) => {
                match handle.throttle_delay() {
                    Duration::ZERO => may::coroutine::yield_now(),
                    delay => sleep(delay),
                }
                continue;
            }
            Ok(ReadOutcome::Drained) => {}
            Ok(ReadOutcome::InputClosed(reason)) => {
                if let Some(input_closed) = input_closed.take() {
                    input_closed(reason);
                }
            }
            Err(reason) => return reason,
        }
        if let Some(reason) = handle.close_due() {
            // What arrived before the close counts as received. The owner, which found the connection idle, only knows what
            // had been read; the driver alone knows whether there is more.
            let was_idle = reason == CloseReason::IdleTimeout;
            if was_idle && has_unread_input(stream.inner(), &mut decoder) && handle.cancel_idle_close() {
                continue;
            }
            return reason;
        }
        stream.wait_io();
    }
}

/// Whether the peer has sent more than the messages that were read.
fn has_unread_input<D: Decoder>(mut stream: &std::net::TcpStream, decoder: &mut D) -> bool {
    let buffer = decoder.buffer();
    if let Ok(count) = stream.read(buffer.space()) {
        buffer.commit(count);
    }
    !buffer.unread().is_empty()
}

/// What is known after a turn of reading.
enum ReadOutcome {
    /// There may be more to read, once others have had their turn or the connection's throttle delay has passed.
    MoreToRead,
    /// There is nothing more to read now.
    Drained,
    /// Nothing more will be read from now on.
    InputClosed(CloseReason),
}

/// The outcome of one read.
enum Filled {
    /// There may be a further message in the buffer.
    Buffer,
    /// Nothing has arrived.
    Nothing,
    /// Nothing more will be read.
    InputClosed(CloseReason),
}

/// Reads and delivers the messages that have arrived.
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
        let filled = match decoder.next() {
            Ok(Some(message)) => {
                handle.message_received();
                deliver(message);
                delivered += 1;
                continue;
            }
            Ok(None) => fill_buffer(stream, decoder)?,
            Err(malformed) => Filled::InputClosed(CloseReason::ProtocolViolation(malformed.0)),
        };
        match filled {
            Filled::Buffer => {}
            Filled::Nothing => {
                handle.set_unread(decoder.buffer().unread().len());
                let is_throttled = delivered > 0 && !handle.throttle_delay().is_zero();
                return Ok(if is_throttled { ReadOutcome::MoreToRead } else { ReadOutcome::Drained });
            }
            Filled::InputClosed(reason) => {
                handle.input_closed(reason);
                return Ok(ReadOutcome::InputClosed(reason));
            }
        }
    }
    handle.set_unread(0);
    Ok(ReadOutcome::Drained)
}

/// Reads once into the decoder's buffer.
fn fill_buffer<D: Decoder>(mut stream: &std::net::TcpStream, decoder: &mut D) -> Result<Filled, CloseReason> {
    let buffer = decoder.buffer();
    if buffer.space().is_empty() {
        return Ok(Filled::InputClosed(CloseReason::ProtocolViolation("a message is too long")));
    }
    match stream.read(buffer.space()) {
        Ok(0) => Ok(Filled::InputClosed(CloseReason::PeerClosed)),
        Ok(count) => {
            buffer.commit(count);
            Ok(Filled::Buffer)
        }
        Err(error) if error.kind() == ErrorKind::WouldBlock => Ok(Filled::Nothing),
        Err(error) if error.kind() == ErrorKind::Interrupted => Ok(Filled::Buffer),
        Err(_) => Err(CloseReason::Reset),
    }
}

#[cfg(test)]
mod tests;
