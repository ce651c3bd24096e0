//! Connections between members. Each is used in one direction: incoming ones are only read, outgoing ones only written. There
//! is one outgoing connection per address, opened when there is a message to send and closed when it is idle. Messages that
//! cannot be sent soon are dropped: every protocol of the fleet tolerates lost messages.

use std::collections::{BTreeMap, VecDeque};
use std::io::{self, ErrorKind, Read, Write};
use std::net::SocketAddr;

use loomflow_fleet::time::IntegerMillis;
use loomflow_fleet::wire::FrameError;
use mio::net::{TcpListener, TcpStream};
use mio::{Interest, Registry, Token};

use super::incoming_links::IncomingLinks;
use super::{FIRST_CONNECTION, LISTENER};

/// Maximum number of connections in each direction. Beyond it, the one idle for longest is closed first.
pub(super) const MAX_CONNECTIONS: usize = 1_024;
/// An outgoing connection is closed after this time without a message, ms.
pub(super) const IDLE_TIMEOUT_MILLIS: IntegerMillis = 15_000;
/// An outgoing connection is closed if nothing of its queue can be written for this time, ms.
const STALL_TIMEOUT_MILLIS: IntegerMillis = 3_000;
/// Messages to an address are dropped for this time after a connection to it failed, ms.
const RECONNECT_AFTER_MILLIS: IntegerMillis = 300;
/// Maximum number of messages queued for one connection.
const MAX_QUEUED_MESSAGES: usize = 512;
/// Maximum number of bytes queued for one connection; a single message may exceed it.
const MAX_QUEUED_BYTES: usize = 1024 * 1024;

struct OutgoingLink {
    stream: TcpStream,
    address: SocketAddr,
    queue: VecDeque<Vec<u8>>,
    queued_bytes: usize,
    /// Bytes of the first queued message that are written.
    written: usize,
    /// When bytes were last written, or a message was queued while the queue was empty.
    last_progress_at: IntegerMillis,
}

/// All connections to and from other members.
pub struct Links {
    listener: TcpListener,
    next_token: usize,
    incoming: IncomingLinks,
    outgoing: BTreeMap<Token, OutgoingLink>,
    token_by_address: BTreeMap<SocketAddr, Token>,
    /// Addresses to which a connection failed, with the time until which messages to them are dropped.
    unreachable_until: BTreeMap<SocketAddr, IntegerMillis>,
}

impl Links {
    /// Listens for other members.
    pub fn listen(address: SocketAddr, registry: &Registry) -> io::Result<Links> {
        let mut listener = TcpListener::bind(address)?;
        registry.register(&mut listener, LISTENER, Interest::READABLE)?;
        Ok(Links {
            listener,
            next_token: FIRST_CONNECTION,
            incoming: IncomingLinks::default(),
            outgoing: BTreeMap::new(),
            token_by_address: BTreeMap::new(),
            unreachable_until: BTreeMap::new(),
        })
    }

    fn new_token(&mut self) -> Token {
        self.next_token += 1;
        // Even tokens: the operators' connections have odd ones.
        Token(self.next_token * 2)
    }

    /// Accepts all pending connections.
    pub fn accept(&mut self, registry: &Registry, now: IntegerMillis) {
        while let Ok((mut stream, _)) = self.listener.accept() {
            let token = self.new_token();
            if registry.register(&mut stream, token, Interest::READABLE).is_ok() {
                self.incoming.insert(token, stream, now);
            }
        }
    }

    /// Handles a readiness event: writes to an outgoing connection, or passes each message read from an incoming one to
    /// `handle_message`. Returns the peer and the error if an invalid message closed the connection.
    pub fn ready(
        &mut self,
        token: Token,
        is_readable: bool,
        now: IntegerMillis,
        registry: &Registry,
        handle_message: &mut dyn FnMut(&[u8]) -> Result<(), FrameError>,
    ) -> Option<String> {
        if self.outgoing.contains_key(&token) {
            self.write(token, now);
            return None;
        }
        if !is_readable {
            return None;
        }
        self.incoming.read(token, now, registry, handle_message)
    }

    /// Queues a message and writes as much as possible without blocking. Drops the message if the address is unreachable or
    /// the queue is full.
    pub fn send(&mut self, to: SocketAddr, bytes: Vec<u8>, now: IntegerMillis, registry: &Registry) {
        let token = match self.token_by_address.get(&to) {
            Some(token) => *token,
            None if self.unreachable_until.get(&to).is_some_and(|until| now < *until) => return,
            None => match self.open(to, now, registry) {
                Some(token) => token,
                None => return,
            },
        };
        let Some(link) = self.outgoing.get_mut(&token) else { return };
        if link.queue.is_empty() {
            link.last_progress_at = now;
        }
        let is_full =
            link.queue.len() >= MAX_QUEUED_MESSAGES || link.queued_bytes + bytes.len() > MAX_QUEUED_BYTES;
        if is_full && !link.queue.is_empty() {
            return;
        }
        link.queued_bytes += bytes.len();
        link.queue.push_back(bytes);
        self.write(token, now);
    }

    fn open(&mut self, to: SocketAddr, now: IntegerMillis, registry: &Registry) -> Option<Token> {
        if self.outgoing.len() >= MAX_CONNECTIONS
            && let Some(oldest) =
                self.outgoing.iter().min_by_key(|(_, link)| link.last_progress_at).map(|(t, _)| *t)
        {
            self.close(oldest);
        }
        let mut stream = TcpStream::connect(to).ok()?;
        let _ = stream.set_nodelay(true);
        let token = self.new_token();
        registry.register(&mut stream, token, Interest::READABLE | Interest::WRITABLE).ok()?;
        let link = OutgoingLink {
            stream,
            address: to,
            queue: VecDeque::new(),
            queued_bytes: 0,
            written: 0,
            last_progress_at: now,
        };
        self.outgoing.insert(token, link);
        self.token_by_address.insert(to, token);
        Some(token)
    }

    fn close(&mut self, token: Token) {
        if let Some(link) = self.outgoing.remove(&token) {
            self.token_by_address.remove(&link.address);
        }
    }

    fn write(&mut self, token: Token, now: IntegerMillis) {
        let Some(link) = self.outgoing.get_mut(&token) else { return };
        if let Ok(()) = write(link, now) {
            self.unreachable_until.remove(&link.address);
        } else {
            let address = link.address;
            self.unreachable_until.insert(address, now + RECONNECT_AFTER_MILLIS);
            self.close(token);
        }
    }

    /// Closes connections that are idle or stalled.
    pub fn close_timed_out(&mut self, now: IntegerMillis) {
        self.incoming.close_timed_out(now);
        let is_timed_out = |link: &OutgoingLink| {
            let timeout = if link.queue.is_empty() { IDLE_TIMEOUT_MILLIS } else { STALL_TIMEOUT_MILLIS };
            now >= link.last_progress_at + timeout
        };
        let closed: Vec<Token> =
            self.outgoing.iter().filter(|(_, link)| is_timed_out(link)).map(|(t, _)| *t).collect();
        for token in closed {
            self.close(token);
        }
        self.unreachable_until.retain(|_, until| now < *until);
    }

    /// Writes as much as possible of every queue without blocking.
    pub fn flush(&mut self) {
        for link in self.outgoing.values_mut() {
            let _ = write(link, 0);
        }
    }
}

/// Writes as much of the queue as possible without blocking.
///
/// # Errors
/// The connection is broken, or the peer closed it.
fn write(link: &mut OutgoingLink, now: IntegerMillis) -> io::Result<()> {
    if let Some(error) = link.stream.take_error()? {
        return Err(error);
    }
    // The peer never sends on this connection, so a read only detects that it was closed.
    match link.stream.read(&mut [0; 64]) {
        Ok(0) => return Err(ErrorKind::ConnectionReset.into()),
        Err(error)
            if !matches!(
                error.kind(),
                ErrorKind::WouldBlock | ErrorKind::NotConnected | ErrorKind::Interrupted
            ) =>
        {
            return Err(error);
        }
        _ => {}
    }
    while let Some(first) = link.queue.front() {
        match link.stream.write(&first[link.written..]) {
            Ok(0) => return Err(ErrorKind::WriteZero.into()),
            Ok(count) => {
                link.written += count;
                link.last_progress_at = link.last_progress_at.max(now);
                if link.written == first.len() {
                    link.queued_bytes -= first.len();
                    link.queue.pop_front();
                    link.written = 0;
                }
            }
            Err(error) if matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::NotConnected) => {
                return Ok(());
            }
            Err(error) if error.kind() == ErrorKind::Interrupted => {}
            Err(error) => return Err(error),
        }
    }
    Ok(())
}
