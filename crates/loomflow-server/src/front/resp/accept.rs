//! Accepts gateways: one coroutine for the listening socket, one for each connection.

#[cfg(test)]
mod tests;

use std::io::ErrorKind;
use std::net::SocketAddr;
use std::os::fd::{FromRawFd, IntoRawFd};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use loomflow_protocol::gateway::{MOST_OPEN, Requests};
use may::io::{WaitIo, WaitIoWaker};
use may::net::{TcpListener, TcpStream};
use socket2::{Domain, Socket, Type};

use crate::link::{self, Outbox};
use crate::log;
use crate::mailbox::{ConnectionId, FromFront, FromGateway, Input, Mailbox};

/// Pause after there was no descriptor or memory for a connection.
const EXHAUSTED: Duration = Duration::from_millis(5);
/// The server's last life may hold the address for as long as it has for its end, and this.
const FREED_WITHIN: Duration = Duration::from_secs(1);
/// A failure to accept that goes on is reported again after this.
const REPORT_AGAIN: Duration = Duration::from_secs(60);
/// Connections that the system holds until they are accepted.
const BACKLOG: i32 = 1024;

pub struct Accepting {
    stop: Arc<AtomicBool>,
    waker: WaitIoWaker,
}

impl Accepting {
    /// `most`: connections held at the same time.
    pub fn start(listener: Listener, most: usize, mailbox: Arc<Mailbox>) -> Accepting {
        let listener = adopt::<TcpListener>(listener.0);
        let accepting = Accepting { stop: Arc::new(AtomicBool::new(false)), waker: listener.waker() };
        let stop = accepting.stop.clone();
        may::go!(move || {
            accept(&listener, &mailbox, &stop, most);
            drop(listener);
            mailbox.put(Input::Front(FromFront::NotListening));
        });
        accepting
    }

    /// Takes what has been accepted by the system and closes the listening socket.
    pub fn stop(&self) {
        self.stop.store(true, Ordering::Release);
        self.waker.wakeup();
    }
}

/// The listening socket, which nobody accepts from yet.
pub struct Listener(Socket);

impl Listener {
    /// Waits for an address that is in use: the server's last life may not be gone yet, which has `stop_ms` for its
    /// end. None where it is told to leave meanwhile.
    pub fn bind(
        listen: SocketAddr,
        stop_ms: f64,
        told_to_leave: impl Fn() -> bool,
    ) -> Result<Option<Listener>, String> {
        let until = Instant::now() + FREED_WITHIN + Duration::from_secs_f64(stop_ms / 1000.0);
        let mut said = false;
        loop {
            match bind(listen) {
                _ if told_to_leave() => return Ok(None),
                Ok(socket) => return Ok(Some(Listener(socket))),
                Err(e) if e.kind() == ErrorKind::AddrInUse && Instant::now() < until => {
                    if !std::mem::replace(&mut said, true) {
                        log!(part = "accept", %listen, "the address is in use: waiting for it");
                    }
                    std::thread::sleep(EXHAUSTED);
                }
                Err(e) => return Err(format!("listen: cannot bind {listen}: {e}")),
            }
        }
    }
}

/// Not by `may`'s own bind: that shares the port with whoever listens there already.
fn bind(listen: SocketAddr) -> std::io::Result<Socket> {
    let socket = Socket::new(Domain::for_address(listen), Type::STREAM, None)?;
    socket.set_reuse_address(true)?;
    socket.set_nonblocking(true)?;
    socket.bind(&listen.into())?;
    socket.listen(BACKLOG)?;
    Ok(socket)
}

/// Gives a descriptor to `may`, which offers no other way for one that it has not opened itself.
fn adopt<T: FromRawFd>(from: impl IntoRawFd) -> T {
    // SAFETY: the descriptor is open, and its former owner has just given it up.
    unsafe { T::from_raw_fd(from.into_raw_fd()) }
}

/// Takes what the system has accepted, while there is room, until told to stop and nothing is left: what stood in the
/// queue as the word came was received. The word is looked at before the queue, so that what comes between the two
/// looks is still found.
fn take_all<S>(
    stop: &AtomicBool,
    has_room: impl Fn() -> bool,
    mut next: impl FnMut() -> std::io::Result<S>,
    mut wait: impl FnMut(),
    mut take: impl FnMut(S),
) {
    let mut failures = FailureReports::default();
    loop {
        // Also once it is over: who was accepted by the system is told so, as soon as others have left.
        if !has_room() {
            link::sleep(EXHAUSTED);
            continue;
        }
        let stopped = stop.load(Ordering::Acquire);
        match next() {
            Ok(accepted) => take(accepted),
            Err(e) if e.kind() == ErrorKind::WouldBlock && stopped => return,
            Err(e) if e.kind() == ErrorKind::WouldBlock => wait(),
            Err(e) if matches!(e.kind(), ErrorKind::Interrupted | ErrorKind::ConnectionAborted) => {}
            Err(e) => {
                if failures.is_due(Instant::now()) {
                    log!(part = "accept", why = %e, "a connection could not be taken");
                }
                link::sleep(EXHAUSTED);
            }
        }
    }
}

/// Keeps a failure that comes back with every attempt from filling the log.
#[derive(Default)]
struct FailureReports {
    last: Option<Instant>,
}

impl FailureReports {
    /// Whether a failure is to be reported now: the first, and then one after each `REPORT_AGAIN`.
    fn is_due(&mut self, now: Instant) -> bool {
        let is_due = self.last.is_none_or(|last| now.saturating_duration_since(last) >= REPORT_AGAIN);
        if is_due {
            self.last = Some(now);
        }
        is_due
    }
}

fn accept(listener: &TcpListener, mailbox: &Arc<Mailbox>, stop: &AtomicBool, most: usize) {
    let mut number: ConnectionId = 0;
    // Each connection holds a part of this.
    let connected = Arc::new(());
    take_all(
        stop,
        || Arc::strong_count(&connected) <= most,
        || listener.inner().accept(),
        || {
            listener.wait_io();
        },
        |(stream, _)| {
            number += 1;
            serve(number, stream, mailbox.clone(), connected.clone());
        },
    );
}

fn serve(number: ConnectionId, stream: std::net::TcpStream, mailbox: Arc<Mailbox>, connected: Arc<()>) {
    let _ = stream.set_nodelay(true);
    let stream: TcpStream = adopt(stream);
    let outbox = Arc::new(Outbox::new(Some(MOST_OPEN)));
    // Here and not in its coroutine, so that it is known before the listening socket is known to be closed.
    mailbox.put_gateway(number, FromGateway::Opened(outbox.clone()));
    may::go!(move || {
        let requests = Requests::default();
        let deliver = |request| mailbox.put_gateway(number, FromGateway::Said(request));
        let stopped = |ending| mailbox.put_gateway(number, FromGateway::Stopped(ending));
        let (stream, ending) = link::drive(stream, &outbox, requests, deliver, stopped);
        mailbox.put_gateway(number, FromGateway::Ended(ending));
        link::linger(stream, ending);
        drop(connected);
        mailbox.put_gateway(number, FromGateway::Closed);
    });
}
