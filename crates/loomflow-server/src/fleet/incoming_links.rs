//! Connections from other members, which are only read. Whoever can reach the listener can open one, so the number of
//! unknown senders and the memory of messages received in part are bounded; `incoming_limits` decides which of them are closed.

use std::collections::BTreeMap;
use std::io::{ErrorKind, Read};

use loomflow_fleet::time::IntegerMillis;
use loomflow_fleet::wire::{FrameError, FrameReader};
use mio::net::TcpStream;
use mio::{Interest, Registry, Token};

use super::incoming_limits::{self, LinkProgress};
use super::links::{IDLE_TIMEOUT_MILLIS, MAX_CONNECTIONS};
use crate::log;

/// A connection is closed after this time without a message, ms: later than its sender closes it.
const INCOMING_IDLE_TIMEOUT_MILLIS: IntegerMillis = 4 * IDLE_TIMEOUT_MILLIS;
/// Bytes read from one connection before the other connections get their turn.
const MAX_READ_BYTES: usize = 64 * 1024;
/// Bytes read by one system call.
const READ_BUFFER_BYTES: usize = 16 * 1024;

struct IncomingLink {
    stream: TcpStream,
    frames: FrameReader,
    opened_at: IntegerMillis,
    last_read_at: IntegerMillis,
    /// Whether a valid message of this fleet was received.
    is_member: bool,
    /// When the first bytes of the message were read that is received in part; `None` if there is none.
    message_started_at: Option<IntegerMillis>,
}

impl IncomingLink {
    fn progress(&self) -> LinkProgress {
        LinkProgress {
            buffer_bytes: self.frames.buffer_bytes(),
            opened_at: self.opened_at,
            is_member: self.is_member,
            last_read_at: self.last_read_at,
            message_started_at: self.message_started_at,
        }
    }
}

/// All connections from other members.
#[derive(Default)]
pub struct IncomingLinks {
    links: BTreeMap<Token, IncomingLink>,
}

impl IncomingLinks {
    /// Adds an accepted connection. Beyond the maximum of unknown senders the oldest of them is closed, and beyond that of all
    /// connections the one idle for longest.
    pub fn insert(&mut self, token: Token, stream: TcpStream, now: IntegerMillis) {
        let links = self.links.iter().map(|(token, link)| (*token, link.progress()));
        if let Some(unknown) = incoming_limits::excess_unknown_sender(links) {
            self.links.remove(&unknown);
        }
        if self.links.len() >= MAX_CONNECTIONS
            && let Some(oldest) = self.links.iter().min_by_key(|(_, link)| link.last_read_at).map(|(t, _)| *t)
        {
            self.links.remove(&oldest);
        }
        let link = IncomingLink {
            stream,
            frames: FrameReader::default(),
            opened_at: now,
            last_read_at: now,
            is_member: false,
            message_started_at: None,
        };
        self.links.insert(token, link);
    }

    /// Reads from a connection and passes each complete message to `handle_message`. Returns the peer and the error if an
    /// invalid message closed the connection.
    pub fn read(
        &mut self,
        token: Token,
        now: IntegerMillis,
        registry: &Registry,
        handle_message: &mut dyn FnMut(&[u8]) -> Result<(), FrameError>,
    ) -> Option<String> {
        let link = self.links.get_mut(&token)?;
        match read(link, now, handle_message) {
            Ok(ReadResult::Drained) => {}
            Ok(ReadResult::HasMore) => {
                // Readiness is edge-triggered: reregistering reports it again, after that of the other links.
                let _ = registry.reregister(&mut link.stream, token, Interest::READABLE);
            }
            Ok(ReadResult::Closed) => drop(self.links.remove(&token)),
            Err(error) => {
                let peer = link.stream.peer_addr().map_or_else(|_| "?".into(), |peer| peer.to_string());
                self.links.remove(&token);
                return Some(format!("{peer}: {error:?}"));
            }
        }
        self.bound_buffers();
        None
    }

    /// Memory of the buffers of all connections, bytes.
    fn buffer_bytes(&self) -> usize {
        self.links.values().map(|link| link.frames.buffer_bytes()).sum()
    }

    /// Closes connections while the buffers of all together exceed their bound.
    fn bound_buffers(&mut self) {
        while self.buffer_bytes() > incoming_limits::MAX_BUFFER_BYTES {
            let links = self.links.iter().map(|(token, link)| (*token, link.progress()));
            let Some(token) = incoming_limits::least_progress(links) else { return };
            log!(
                part = "fleet",
                "a connection from another member was closed: all messages received in part exceed the limit"
            );
            self.links.remove(&token);
        }
    }

    /// Closes connections that are idle, those on which a message is stalled, and those of unknown senders.
    pub fn close_timed_out(&mut self, now: IntegerMillis) {
        let is_timed_out = |link: &IncomingLink| {
            now >= link.last_read_at + INCOMING_IDLE_TIMEOUT_MILLIS || link.progress().is_timed_out(now)
        };
        self.links.retain(|_, link| !is_timed_out(link));
    }
}

impl IncomingLink {
    /// Passes on the messages that are complete with these bytes.
    fn receive(
        &mut self,
        bytes: &[u8],
        now: IntegerMillis,
        handle_message: &mut dyn FnMut(&[u8]) -> Result<(), FrameError>,
    ) -> Result<(), FrameError> {
        self.last_read_at = now;
        self.frames.feed(bytes);
        let mut is_any_complete = false;
        while let Some(frame) = self.frames.next_frame()? {
            handle_message(frame)?;
            self.is_member = true;
            is_any_complete = true;
        }
        self.frames.release_consumed();
        let started_at = self.message_started_at.filter(|_| !is_any_complete).unwrap_or(now);
        self.message_started_at = self.frames.has_partial_message().then_some(started_at);
        Ok(())
    }
}

/// The state of an incoming connection after a bounded read.
enum ReadResult {
    /// All available bytes are read.
    Drained,
    /// [`MAX_READ_BYTES`] are read, and more may be available.
    HasMore,
    /// The peer closed the connection, or reading failed.
    Closed,
}

/// Reads up to [`MAX_READ_BYTES`], so that one link does not starve the others, and passes on each complete message.
///
/// # Errors
/// A message is invalid.
fn read(
    link: &mut IncomingLink,
    now: IntegerMillis,
    handle_message: &mut dyn FnMut(&[u8]) -> Result<(), FrameError>,
) -> Result<ReadResult, FrameError> {
    let mut bytes = [0; READ_BUFFER_BYTES];
    let mut read_bytes = 0;
    while read_bytes < MAX_READ_BYTES {
        match link.stream.read(&mut bytes) {
            Ok(0) => return Ok(ReadResult::Closed),
            Ok(count) => {
                link.receive(&bytes[..count], now, handle_message)?;
                read_bytes += count;
            }
            Err(error) if error.kind() == ErrorKind::WouldBlock => return Ok(ReadResult::Drained),
            Err(error) if error.kind() == ErrorKind::Interrupted => {}
            Err(_) => return Ok(ReadResult::Closed),
        }
    }
    Ok(ReadResult::HasMore)
}
