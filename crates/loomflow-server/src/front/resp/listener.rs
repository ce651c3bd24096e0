//! Accepts gateways: one coroutine for the listening socket, one for each connection.

mod connection_limit;

use std::io::{self, ErrorKind};
use std::net::SocketAddr;
use std::os::fd::{FromRawFd, IntoRawFd};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use loomflow::time::Millis;
use loomflow_protocol::gateway::{MAX_OPEN_REQUESTS, RequestDecoder};
use may::io::{WaitIo, WaitIoWaker};
use may::net::{TcpListener, TcpStream};
use socket2::{Domain, Socket, Type};

use crate::connection::{self, ConnectionHandle};
use crate::log;
use crate::mailbox::{ConnectionId, FrontEvent, GatewayEvent, Mailbox, OwnerEvent};
use crate::time::exact_duration;
use connection_limit::{ConnectionLimit, ConnectionPermit};

/// Time between two attempts to bind or accept, after a failure and while there is no capacity.
const RETRY_INTERVAL: Duration = Duration::from_millis(5);
/// How long after the kill of this server's former process its address may still be in use.
const ADDRESS_RELEASE_MARGIN: Duration = Duration::from_secs(1);
/// Time between two log lines of a failure to accept that persists.
const FAILURE_LOG_INTERVAL: Duration = Duration::from_secs(60);
/// Connections that the system queues until they are accepted.
const BACKLOG: i32 = 1024;

/// The address for gateways cannot be used.
#[derive(Debug, thiserror::Error)]
#[error("listen: cannot bind {address}: {source}")]
pub struct ListenError {
    address: SocketAddr,
    source: io::Error,
}

/// The coroutine that accepts connections.
pub struct Acceptor {
    stop: Arc<AtomicBool>,
    waker: WaitIoWaker,
}

impl Acceptor {
    /// Starts to accept, up to `max_connections` at the same time.
    pub fn start(listener: Listener, max_connections: usize, mailbox: Arc<Mailbox>) -> Acceptor {
        let listener = adopt::<TcpListener>(listener.0);
        let acceptor = Acceptor { stop: Arc::new(AtomicBool::new(false)), waker: listener.waker() };
        let stop = acceptor.stop.clone();
        may::go!(move || {
            run_acceptor(&listener, &mailbox, &stop, &ConnectionLimit::new(max_connections));
            drop(listener);
            mailbox.send(OwnerEvent::Front(FrontEvent::ListenerClosed));
        });
        acceptor
    }

    /// Accepts what the system has accepted, and closes the listening socket.
    pub fn stop(&self) {
        self.stop.store(true, Ordering::Release);
        self.waker.wakeup();
    }
}

/// A listening socket from which nothing is accepted yet.
pub struct Listener(Socket);

impl Listener {
    /// Binds an address. Waits while it is in use: the former process of this server may not have ended, for which it has
    /// `stop_ms`. Returns none where a shutdown is requested meanwhile.
    pub fn bind(
        address: SocketAddr,
        stop_ms: Millis,
        is_shutdown_requested: impl Fn() -> bool,
    ) -> Result<Option<Listener>, ListenError> {
        let deadline = Instant::now() + release_timeout(stop_ms);
        let mut is_logged = false;
        loop {
            let socket = bind(address);
            if is_shutdown_requested() {
                return Ok(None);
            }
            match socket {
                Ok(socket) => return Ok(Some(Listener(socket))),
                Err(error) if error.kind() == ErrorKind::AddrInUse && Instant::now() < deadline => {
                    if !std::mem::replace(&mut is_logged, true) {
                        log!(part = "accept", listen = %address, "the address is in use: waiting for it");
                    }
                    std::thread::sleep(RETRY_INTERVAL);
                }
                Err(source) => return Err(ListenError { address, source }),
            }
        }
    }
}

/// How long an address in use is waited for: until the former process of this server is killed, and a margin.
fn release_timeout(stop_ms: Millis) -> Duration {
    ADDRESS_RELEASE_MARGIN + exact_duration(stop_ms)
}

/// `may`'s own bind would share the port with another process that listens on it.
fn bind(address: SocketAddr) -> io::Result<Socket> {
    let socket = Socket::new(Domain::for_address(address), Type::STREAM, None)?;
    socket.set_reuse_address(true)?;
    socket.set_nonblocking(true)?;
    socket.bind(&address.into())?;
    socket.listen(BACKLOG)?;
    Ok(socket)
}

/// Hands a descriptor over to `may`, which offers no other way for one that it has not opened itself.
#[allow(unsafe_code, reason = "the only way to hand an open descriptor to `may`")]
fn adopt<T: FromRawFd>(from: impl IntoRawFd) -> T {
    // SAFETY: the descriptor is open, and its former owner has just released it.
    unsafe { T::from_raw_fd(from.into_raw_fd()) }
}

/// Accepts connections, while there is capacity, until it is stopped and the system's queue is empty: what was in the queue
/// at the stop was received. The stop is checked before the queue, so that what arrives between the two is still found.
fn accept_until_drained<S>(
    stop: &AtomicBool,
    has_capacity: impl Fn() -> bool,
    mut next: impl FnMut() -> io::Result<S>,
    mut wait: impl FnMut(),
    mut accept: impl FnMut(S),
) {
    let mut failures = FailureLog::default();
    loop {
        // Also after the stop: connections in the system's queue are accepted as soon as others have been closed.
        if !has_capacity() {
            connection::sleep(RETRY_INTERVAL);
            continue;
        }
        let is_stopped = stop.load(Ordering::Acquire);
        match next() {
            Ok(accepted) => accept(accepted),
            Err(error) if error.kind() == ErrorKind::WouldBlock && is_stopped => return,
            Err(error) if error.kind() == ErrorKind::WouldBlock => wait(),
            Err(error) if matches!(error.kind(), ErrorKind::Interrupted | ErrorKind::ConnectionAborted) => {}
            Err(error) => {
                if failures.is_due(Instant::now()) {
                    log!(part = "accept", why = %error, "a connection could not be accepted");
                }
                connection::sleep(RETRY_INTERVAL);
            }
        }
    }
}

/// Limits the log lines of a failure that every attempt repeats.
#[derive(Default)]
struct FailureLog {
    last_logged_at: Option<Instant>,
}

impl FailureLog {
    /// Whether a failure is to be logged now: the first, and then one in each [`FAILURE_LOG_INTERVAL`].
    fn is_due(&mut self, now: Instant) -> bool {
        let is_due = self
            .last_logged_at
            .is_none_or(|last| now.saturating_duration_since(last) >= FAILURE_LOG_INTERVAL);
        if is_due {
            self.last_logged_at = Some(now);
        }
        is_due
    }
}

fn run_acceptor(listener: &TcpListener, mailbox: &Arc<Mailbox>, stop: &AtomicBool, limit: &ConnectionLimit) {
    let mut last_id: ConnectionId = 0;
    accept_until_drained(
        stop,
        || limit.has_capacity(),
        || listener.inner().accept(),
        || {
            listener.wait_io();
        },
        |(stream, _)| {
            last_id += 1;
            spawn_connection(last_id, stream, mailbox.clone(), limit.acquire());
        },
    );
}

fn spawn_connection(
    id: ConnectionId,
    stream: std::net::TcpStream,
    mailbox: Arc<Mailbox>,
    permit: ConnectionPermit,
) {
    let _ = stream.set_nodelay(true);
    let stream: TcpStream = adopt(stream);
    let handle = Arc::new(ConnectionHandle::new(Some(MAX_OPEN_REQUESTS)));
    // Here and not in its coroutine, so that it is reported before the listening socket is reported as closed.
    mailbox.send_gateway_event(id, GatewayEvent::Connected(handle.clone()));
    may::go!(move || {
        let deliver = |request| mailbox.send_gateway_event(id, GatewayEvent::RequestReceived(request));
        let input_closed = |reason| mailbox.send_gateway_event(id, GatewayEvent::InputClosed(reason));
        let (stream, reason) =
            connection::drive(stream, &handle, RequestDecoder::default(), deliver, input_closed);
        mailbox.send_gateway_event(id, GatewayEvent::Disconnected(reason));
        connection::linger(stream, reason);
        drop(permit);
        mailbox.send_gateway_event(id, GatewayEvent::DescriptorClosed);
    });
}

#[cfg(test)]
mod tests;
