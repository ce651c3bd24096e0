//! Connections of members: those that others opened are read, those that we opened are written. One for each address, opened
//! when something is to be said and closed after a while of silence. What cannot be said soon is dropped: every message of
//! the fleet is made up for by its protocol.

use std::collections::{BTreeMap, VecDeque};
use std::io::{self, ErrorKind, Read, Write};
use std::net::SocketAddr;

use loomflow_fleet::member::Ms;
use loomflow_fleet::wire::{Incoming, Malformed};
use mio::net::{TcpListener, TcpStream};
use mio::{Interest, Registry, Token};

use super::{FIRST_LINK, LISTENER};

/// Connections in each direction; those that were silent for longest go first.
const MOST_LINKS: usize = 1_024;
/// A connection on which nothing is said is closed, ms.
const SILENT: Ms = 15_000;
/// One that takes nothing for so long is broken, ms.
const STALLED: Ms = 3_000;
/// After one could not be opened, ms.
const AGAIN: Ms = 300;
/// What may wait for one: messages, and bytes beyond the first message.
const MOST_WAITING: usize = 512;
const MOST_BYTES: usize = 1024 * 1024;
/// Bytes read from one connection before the others have their turn.
const TURN: usize = 64 * 1024;

struct In {
    stream: TcpStream,
    incoming: Incoming,
    heard_at: Ms,
}

struct Out {
    stream: TcpStream,
    address: SocketAddr,
    waiting: VecDeque<Vec<u8>>,
    bytes: usize,
    /// How much of the first that waits is written.
    at: usize,
    /// When something was last written, or nothing waited.
    moved_at: Ms,
}

pub struct Links {
    listener: TcpListener,
    next: usize,
    incoming: BTreeMap<Token, In>,
    outgoing: BTreeMap<Token, Out>,
    to: BTreeMap<SocketAddr, Token>,
    /// Addresses that could not be reached, until when they are left alone.
    failed: BTreeMap<SocketAddr, Ms>,
}

impl Links {
    pub fn listen(address: SocketAddr, registry: &Registry) -> io::Result<Links> {
        let mut listener = TcpListener::bind(address)?;
        registry.register(&mut listener, LISTENER, Interest::READABLE)?;
        Ok(Links {
            listener,
            next: FIRST_LINK,
            incoming: BTreeMap::new(),
            outgoing: BTreeMap::new(),
            to: BTreeMap::new(),
            failed: BTreeMap::new(),
        })
    }

    fn token(&mut self) -> Token {
        self.next += 1;
        // Even ones: odd ones are the operators'.
        Token(self.next * 2)
    }

    pub fn accept(&mut self, registry: &Registry, now: Ms) {
        while let Ok((mut stream, _)) = self.listener.accept() {
            if self.incoming.len() >= MOST_LINKS
                && let Some(oldest) =
                    self.incoming.iter().min_by_key(|(_, one)| one.heard_at).map(|(t, _)| *t)
            {
                self.incoming.remove(&oldest);
            }
            let token = self.token();
            if registry.register(&mut stream, token, Interest::READABLE).is_ok() {
                self.incoming.insert(token, In { stream, incoming: Incoming::default(), heard_at: now });
            }
        }
    }

    /// Something may be read or written. What is read goes to `hear`, message by message. Gives why a link was ended, where
    /// a message did it.
    pub fn ready(
        &mut self,
        token: Token,
        readable: bool,
        now: Ms,
        registry: &Registry,
        hear: &mut dyn FnMut(&[u8]) -> Result<(), Malformed>,
    ) -> Option<String> {
        if self.outgoing.contains_key(&token) {
            self.write(token, now);
            return None;
        }
        if !readable {
            return None;
        }
        let link = self.incoming.get_mut(&token)?;
        match read(link, now, hear) {
            Ok(After::AllRead) => None,
            Ok(After::More) => {
                // Readiness is told once: asked for anew it is told again, after the others have had their turn.
                let _ = registry.reregister(&mut link.stream, token, Interest::READABLE);
                None
            }
            Ok(After::End) => {
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

    /// Puts a message on its way, or drops it.
    pub fn send(&mut self, to: SocketAddr, bytes: Vec<u8>, now: Ms, registry: &Registry) {
        let token = match self.to.get(&to) {
            Some(token) => *token,
            None if self.failed.get(&to).is_some_and(|until| now < *until) => return,
            None => match self.open(to, now, registry) {
                Some(token) => token,
                None => return,
            },
        };
        let Some(link) = self.outgoing.get_mut(&token) else { return };
        if link.waiting.is_empty() {
            link.moved_at = now;
        }
        let full = link.waiting.len() >= MOST_WAITING || link.bytes + bytes.len() > MOST_BYTES;
        if full && !link.waiting.is_empty() {
            return;
        }
        link.bytes += bytes.len();
        link.waiting.push_back(bytes);
        self.write(token, now);
    }

    fn open(&mut self, to: SocketAddr, now: Ms, registry: &Registry) -> Option<Token> {
        if self.outgoing.len() >= MOST_LINKS
            && let Some(oldest) = self.outgoing.iter().min_by_key(|(_, one)| one.moved_at).map(|(t, _)| *t)
        {
            self.close(oldest);
        }
        let mut stream = TcpStream::connect(to).ok()?;
        let _ = stream.set_nodelay(true);
        let token = self.token();
        registry.register(&mut stream, token, Interest::READABLE | Interest::WRITABLE).ok()?;
        let out = Out { stream, address: to, waiting: VecDeque::new(), bytes: 0, at: 0, moved_at: now };
        self.outgoing.insert(token, out);
        self.to.insert(to, token);
        Some(token)
    }

    fn close(&mut self, token: Token) {
        if let Some(out) = self.outgoing.remove(&token) {
            self.to.remove(&out.address);
        }
    }

    fn write(&mut self, token: Token, now: Ms) {
        let Some(link) = self.outgoing.get_mut(&token) else { return };
        match write(link, now) {
            Ok(()) => {
                self.failed.remove(&link.address);
            }
            Err(_) => {
                let address = link.address;
                self.failed.insert(address, now + AGAIN);
                self.close(token);
            }
        }
    }

    /// Closes what is silent or takes nothing.
    pub fn sweep(&mut self, now: Ms) {
        self.incoming.retain(|_, one| now < one.heard_at + 4 * SILENT);
        let over = |one: &Out| {
            let patience = if one.waiting.is_empty() { SILENT } else { STALLED };
            now >= one.moved_at + patience
        };
        let gone: Vec<Token> = self.outgoing.iter().filter(|(_, one)| over(one)).map(|(t, _)| *t).collect();
        gone.into_iter().for_each(|token| self.close(token));
        self.failed.retain(|_, until| now < *until);
    }

    /// Gives what waits a last chance to be written.
    pub fn flush(&mut self) {
        for link in self.outgoing.values_mut() {
            let _ = write(link, 0);
        }
    }
}

/// What is left of a connection after its turn.
enum After {
    AllRead,
    More,
    End,
}

/// Reads what is there, or a turn's worth of it.
fn read(
    link: &mut In,
    now: Ms,
    hear: &mut dyn FnMut(&[u8]) -> Result<(), Malformed>,
) -> Result<After, Malformed> {
    let mut bytes = [0; 16 * 1024];
    let mut taken = 0;
    while taken < TURN {
        match link.stream.read(&mut bytes) {
            Ok(0) => return Ok(After::End),
            Ok(count) => {
                link.heard_at = now;
                link.incoming.feed(&bytes[..count]);
                while let Some(frame) = link.incoming.frame()? {
                    hear(frame)?;
                }
                taken += count;
            }
            Err(e) if e.kind() == ErrorKind::WouldBlock => return Ok(After::AllRead),
            Err(e) if e.kind() == ErrorKind::Interrupted => {}
            Err(_) => return Ok(After::End),
        }
    }
    Ok(After::More)
}

/// Writes what the system takes. Errors: the link is broken, or its peer closed it.
fn write(link: &mut Out, now: Ms) -> io::Result<()> {
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
    while let Some(first) = link.waiting.front() {
        match link.stream.write(&first[link.at..]) {
            Ok(0) => return Err(ErrorKind::WriteZero.into()),
            Ok(count) => {
                link.at += count;
                link.moved_at = link.moved_at.max(now);
                if link.at == first.len() {
                    link.bytes -= first.len();
                    link.waiting.pop_front();
                    link.at = 0;
                }
            }
            Err(e) if matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::NotConnected) => return Ok(()),
            Err(e) if e.kind() == ErrorKind::Interrupted => {}
            Err(e) => return Err(e),
        }
    }
    Ok(())
}
