//! Connections of members: those that others opened are read, those that we opened are written. One for each address, opened
//! when something is to be sent and closed after a while of silence. What cannot be sent soon is dropped: every protocol of the
//! fleet makes up for lost messages.

use std::collections::{BTreeMap, VecDeque};
use std::io::{self, ErrorKind, Read, Write};
use std::net::SocketAddr;

use loomflow_fleet::time::IntegerMillis;
use loomflow_fleet::wire::{FrameError, FrameReader};
use mio::net::{TcpListener, TcpStream};
use mio::{Interest, Registry, Token};

use super::{FIRST_CONNECTION, LISTENER};

/// Connections in each direction; beyond it those that were silent for longest are closed first.
const MAX_CONNECTIONS: usize = 1_024;
/// A connection that we opened is closed after this long without a message, ms.
const IDLE_TIMEOUT_MILLIS: IntegerMillis = 15_000;
/// One that others opened, ms: later than they close it themselves.
const INCOMING_IDLE_TIMEOUT_MILLIS: IntegerMillis = 4 * IDLE_TIMEOUT_MILLIS;
/// One that takes nothing of what is queued for this long is broken, ms.
const STALL_TIMEOUT_MILLIS: IntegerMillis = 3_000;
/// An address that could not be reached is tried again after this, ms.
const RECONNECT_AFTER_MILLIS: IntegerMillis = 300;
/// Messages that may be queued for one connection, and bytes beyond the first message.
const MAX_QUEUED_MESSAGES: usize = 512;
const MAX_QUEUED_BYTES: usize = 1024 * 1024;
/// Bytes read from one connection before the others are served, and at once.
const MAX_READ_BYTES: usize = 64 * 1024;
const READ_BUFFER_BYTES: usize = 16 * 1024;

struct IncomingLink {
    stream: TcpStream,
    frames: FrameReader,
    last_read_at: IntegerMillis,
}

struct OutgoingLink {
    stream: TcpStream,
    address: SocketAddr,
    queue: VecDeque<Vec<u8>>,
    queued_bytes: usize,
    /// How much of the first that waits is written.
    written: usize,
    /// When something was last written, or nothing waited.
    last_progress_at: IntegerMillis,
}

/// All connections of members.
pub struct Links {
    listener: TcpListener,
    next_token: usize,
    incoming: BTreeMap<Token, IncomingLink>,
    outgoing: BTreeMap<Token, OutgoingLink>,
    token_by_address: BTreeMap<SocketAddr, Token>,
    /// Addresses that could not be reached, until when they are left alone.
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
            incoming: BTreeMap::new(),
            outgoing: BTreeMap::new(),
            token_by_address: BTreeMap::new(),
            unreachable_until: BTreeMap::new(),
        })
    }

    fn new_token(&mut self) -> Token {
        self.next_token += 1;
        // Even ones: odd ones are the operators'.
        Token(self.next_token * 2)
    }

    /// Accepts what is there.
    pub fn accept(&mut self, registry: &Registry, now: IntegerMillis) {
        while let Ok((mut stream, _)) = self.listener.accept() {
            if self.incoming.len() >= MAX_CONNECTIONS
                && let Some(oldest) =
                    self.incoming.iter().min_by_key(|(_, link)| link.last_read_at).map(|(t, _)| *t)
            {
                self.incoming.remove(&oldest);
            }
            let token = self.new_token();
            if registry.register(&mut stream, token, Interest::READABLE).is_ok() {
                self.incoming.insert(
                    token,
                    IncomingLink { stream, frames: FrameReader::default(), last_read_at: now },
                );
            }
        }
    }

    /// Something may be read or written. What is read goes to `handle_message`, message by message. Returns why a link was
    /// ended, where a message did it.
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
        let link = self.incoming.get_mut(&token)?;
        match read(link, now, handle_message) {
            Ok(ReadResult::Drained) => None,
            Ok(ReadResult::HasMore) => {
                // Readiness is reported once; registered anew it is reported again, after that of the other links.
                let _ = registry.reregister(&mut link.stream, token, Interest::READABLE);
                None
            }
            Ok(ReadResult::Closed) => {
                self.incoming.remove(&token);
                None
            }
            Err(why) => {
                let peer = link.stream.peer_addr().map_or_else(|_| "?".into(), |peer| peer.to_string());
                self.incoming.remove(&token);
                Some(format!("{peer}: {why:?}"))
            }
        }
    }

    /// Queues a message and writes what the system takes, or drops the message.
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
        let out = OutgoingLink {
            stream,
            address: to,
            queue: VecDeque::new(),
            queued_bytes: 0,
            written: 0,
            last_progress_at: now,
        };
        self.outgoing.insert(token, out);
        self.token_by_address.insert(to, token);
        Some(token)
    }

    fn close(&mut self, token: Token) {
        if let Some(out) = self.outgoing.remove(&token) {
            self.token_by_address.remove(&out.address);
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

    /// Closes what is silent or takes nothing.
    pub fn sweep(&mut self, now: IntegerMillis) {
        self.incoming.retain(|_, link| now < link.last_read_at + INCOMING_IDLE_TIMEOUT_MILLIS);
        let is_over = |link: &OutgoingLink| {
            let timeout = if link.queue.is_empty() { IDLE_TIMEOUT_MILLIS } else { STALL_TIMEOUT_MILLIS };
            now >= link.last_progress_at + timeout
        };
        let closed: Vec<Token> =
            self.outgoing.iter().filter(|(_, link)| is_over(link)).map(|(t, _)| *t).collect();
        for token in closed {
            self.close(token);
        }
        self.unreachable_until.retain(|_, until| now < *until);
    }

    /// Writes what the system takes of all that is queued.
    pub fn flush(&mut self) {
        for link in self.outgoing.values_mut() {
            let _ = write(link, 0);
        }
    }
}

/// What is left of a connection after a bounded read.
enum ReadResult {
    Drained,
    HasMore,
    Closed,
}

/// Reads what is there, up to a bound, so that one link does not hold up the others.
fn read(
    link: &mut IncomingLink,
    now: IntegerMillis,
    handle_message: &mut dyn FnMut(&[u8]) -> Result<(), FrameError>,
) -> Result<ReadResult, FrameError> {
    let mut bytes = [0; READ_BUFFER_BYTES];
    let mut taken = 0;
    while taken < MAX_READ_BYTES {
        match link.stream.read(&mut bytes) {
            Ok(0) => return Ok(ReadResult::Closed),
            Ok(count) => {
                link.last_read_at = now;
                link.frames.feed(&bytes[..count]);
                while let Some(frame) = link.frames.next_frame()? {
                    handle_message(frame)?;
                }
                taken += count;
            }
            Err(error) if error.kind() == ErrorKind::WouldBlock => return Ok(ReadResult::Drained),
            Err(error) if error.kind() == ErrorKind::Interrupted => {}
            Err(_) => return Ok(ReadResult::Closed),
        }
    }
    Ok(ReadResult::HasMore)
}

/// Writes what the system takes. Errors: the link is broken, or its peer closed it.
fn write(link: &mut OutgoingLink, now: IntegerMillis) -> io::Result<()> {
    if let Some(e) = link.stream.take_error()? {
        return Err(e);
    }
    // Members say nothing on links that others opened: all that may come is the end.
    match link.stream.read(&mut [0; 64]) {
        Ok(0) => return Err(ErrorKind::ConnectionReset.into()),
        Err(e)
            if !matches!(
                e.kind(),
                ErrorKind::WouldBlock | ErrorKind::NotConnected | ErrorKind::Interrupted
            ) =>
        {
            return Err(e);
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
            Err(e) if matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::NotConnected) => return Ok(()),
            Err(error) if error.kind() == ErrorKind::Interrupted => {}
            Err(e) => return Err(e),
        }
    }
    Ok(())
}
