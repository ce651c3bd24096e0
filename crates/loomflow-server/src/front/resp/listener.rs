//! Accepts gateway connections: one coroutine accepts from the listening socket, one drives each connection.

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

/// Interval between attempts to bind or accept, after a failure or while the connection limit is reached.
const RETRY_INTERVAL: Duration = Duration::from_millis(5);
/// How long the address may remain in use after the server's previous process was killed.
const ADDRESS_RELEASE_MARGIN: Duration = Duration::from_secs(1);
/// Minimum time between two log lines about failures to accept.
const FAILURE_LOG_INTERVAL: Duration = Duration::from_secs(60);
/// Length of the kernel's queue of connections to be accepted.
const BACKLOG: i32 = 1024;

/// Error when binding the listen address for gateways.
#[derive(Debug, thiserror::Error)]
#[error("listen: cannot bind {address}: {source}")]
pub struct ListenError {
    address: SocketAddr,
    source: io::Error,
}

/// Handle of the coroutine that accepts connections.
pub struct Acceptor {
    stop: Arc<AtomicBool>,
    waker: WaitIoWaker,
}

impl Acceptor {
    /// Starts accepting; at most `max_connections` are open at the same time.
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

    /// Stops the coroutine: it accepts the connections that the kernel has queued, then closes the listening socket.
    pub fn stop(&self) {
        self.stop.store(true, Ordering::Release);
        self.waker.wakeup();
    }
}

/// A bound listening socket, before [`Acceptor::start`].
pub struct Listener(Socket);

impl Listener {
    /// Binds an address. While the address is in use, retries until the server's previous process must have ended, which
    /// takes up to `stop_ms` after its SIGTERM. Returns `None` if a shutdown is requested meanwhile.
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

/// How long to retry binding an address in use: until the server's previous process is killed, plus a margin.
fn release_timeout(stop_ms: Millis) -> Duration {
    ADDRESS_RELEASE_MARGIN + exact_duration(stop_ms)
}

/// Binds with `socket2`: `may`'s own bind would share the port with another process that listens on it.
fn bind(address: SocketAddr) -> io::Result<Socket> {
    let socket = Socket::new(Domain::for_address(address), Type::STREAM, None)?;
    socket.set_reuse_address(true)?;
    socket.set_nonblocking(true)?;
    socket.bind(&address.into())?;
    socket.listen(BACKLOG)?;
    Ok(socket)
}

/// Transfers an open descriptor to `may`, which has no safe constructor for sockets that it has not opened itself.
#[allow(unsafe_code, reason = "`may` has no safe constructor for an open descriptor")]
fn adopt<T: FromRawFd>(from: impl IntoRawFd) -> T {
    // SAFETY: `into_raw_fd` returns an open descriptor and gives up its ownership.
    unsafe { T::from_raw_fd(from.into_raw_fd()) }
}

/// Accepts connections, while there is capacity, until `stop` is set and the kernel's queue is empty: connections in the queue
/// at the stop count as received. `stop` is read before the queue is polled, so that a connection that arrives between the
/// two is still accepted.
fn accept_until_drained<S>(
    stop: &AtomicBool,
    has_capacity: impl Fn() -> bool,
    mut next: impl FnMut() -> io::Result<S>,
    mut wait: impl FnMut(),
    mut accept: impl FnMut(S),
) {
    let mut failures = FailureLog::default();
    loop {
        // The limit applies after the stop as well: queued connections are accepted as soon as others have
        // been closed.
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

/// Rate limit for log lines about a failure that recurs at every attempt.
#[derive(Default)]
struct FailureLog {
    last_logged_at: Option<Instant>,
}

impl FailureLog {
    /// Whether to log a failure at `now`: the first, and then at most one per [`FAILURE_LOG_INTERVAL`].
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
        |(stream, _peer_address)| {
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
    // `Connected` is sent here and not in the coroutine, so that the owner receives it before
    // `FrontEvent::ListenerClosed`.
    mailbox.send_gateway_event(id, GatewayEvent::Connected(handle.clone()));
    may::go!(move || {
        let deliver = |request| mailbox.send_gateway_event(id, GatewayEvent::RequestReceived(request));
        let input_closed = |reason| mailbox.send_gateway_event(id, GatewayEvent::InputClosed(reason));
        let (stream, reason) =
            connection::drive(stream, &handle, RequestDecoder::default(), deliver, input_closed);
        mailbox.send_gateway_event(id, GatewayEvent::Disconnected(reason));
        connection::lingering_close(stream, reason);
        drop(permit);
        mailbox.send_gateway_event(id, GatewayEvent::DescriptorClosed);
    });
}

#[cfg(test)]
mod tests;
