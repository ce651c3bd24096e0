//! Test gateway: encodes requests, sends them and parses responses.

use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicU64, Ordering};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::base::{QUIET_PERIOD, RESPONSE_TIMEOUT};

/// Returns an attempt id that is unique in the test process.
pub fn next_attempt_id() -> String {
    static NEXT: AtomicU64 = AtomicU64::new(0x9b1f_03aa_0000_0000);
    format!("{:016x}", NEXT.fetch_add(1, Ordering::Relaxed))
}

/// Returns valid fields of a call with this attempt id and the current time as its `ts`.
pub fn fields(id: &str) -> String {
    let now = SystemTime::now().duration_since(UNIX_EPOCH).expect("the clock is past 1970").as_millis();
    format!("req={id},ts={now},via=4,owner=acme,ms=12.50,need=24.5,level=0.6250")
}

/// Encodes an array of bulk strings.
pub fn array(strings: &[&[u8]]) -> Vec<u8> {
    let mut out = format!("*{}\r\n", strings.len()).into_bytes();
    for string in strings {
        out.extend_from_slice(format!("${}\r\n", string.len()).as_bytes());
        out.extend_from_slice(string);
        out.extend_from_slice(b"\r\n");
    }
    out
}

/// Encodes a call.
pub fn call(tag: u64, class: &str, fields: &str, body: &[u8]) -> Vec<u8> {
    array(&[b"RPC.CALL", tag.to_string().as_bytes(), class.as_bytes(), fields.as_bytes(), body])
}

/// Encodes a health check; with `real` it asks the server to check the engine.
pub fn health(tag: u64, real: bool) -> Vec<u8> {
    let fields: &[u8] = if real { b"real=1" } else { b"" };
    array(&[b"RPC.HEALTH", tag.to_string().as_bytes(), fields])
}

/// A parsed response.
#[derive(Clone, Debug, PartialEq)]
pub struct GatewayResponse {
    /// Tag of the request that is responded to.
    pub tag: u64,
    /// Status, such as `OK`, `BUSY` or `FAILED`; empty if absent.
    pub status: String,
    /// Undecoded `name=value` list; empty if absent.
    pub fields: String,
    /// Body; empty if absent.
    pub body: Vec<u8>,
}

/// No complete response arrived before the timeout.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct NoResponse;

/// A connection of a gateway to the server.
pub struct Gateway {
    /// Socket of the connection.
    pub stream: TcpStream,
    /// Received bytes that are not parsed yet.
    unread: Vec<u8>,
}

impl Gateway {
    /// Connects to a server, with retries for up to [`RESPONSE_TIMEOUT`].
    pub fn open(to: SocketAddr) -> Gateway {
        let until = Instant::now() + RESPONSE_TIMEOUT;
        loop {
            match TcpStream::connect(to) {
                Ok(stream) => {
                    stream.set_nodelay(true).expect("Nagle's algorithm can be disabled");
                    return Gateway { stream, unread: Vec::new() };
                }
                Err(e) => {
                    assert!(
                        Instant::now() < until,
                        "cannot connect to {to} within {RESPONSE_TIMEOUT:?}: {e}"
                    );
                }
            }
            thread::sleep(Duration::from_millis(5));
        }
    }

    /// Wraps an open connection.
    pub fn from_stream(stream: TcpStream) -> Gateway {
        Gateway { stream, unread: Vec::new() }
    }

    /// Sends bytes as they are.
    pub fn send(&mut self, bytes: &[u8]) {
        self.stream.write_all(bytes).expect("the bytes are written to the connection");
    }

    /// Sends a call with a new attempt id; returns the id.
    pub fn call(&mut self, tag: u64, class: &str, body: &[u8]) -> String {
        let id = next_attempt_id();
        self.send(&call(tag, class, &fields(&id), body));
        id
    }

    /// Returns the next response, which must arrive within [`RESPONSE_TIMEOUT`].
    pub fn response(&mut self) -> GatewayResponse {
        self.next_response(RESPONSE_TIMEOUT)
            .expect("a response before the timeout")
            .expect("the connection stays open")
    }

    /// Returns the next response; `None` if the connection was closed or reset.
    ///
    /// # Errors
    ///
    /// [`NoResponse`] if no complete response arrives within `wait`.
    pub fn next_response(&mut self, wait: Duration) -> Result<Option<GatewayResponse>, NoResponse> {
        let until = Instant::now() + wait;
        loop {
            if let Some((response, used)) = parse(&self.unread) {
                self.unread.drain(..used);
                return Ok(Some(response));
            }
            let left = until.saturating_duration_since(Instant::now()).max(Duration::from_millis(1));
            self.stream.set_read_timeout(Some(left)).expect("the read timeout is set");
            let mut bytes = [0; 4096];
            match self.stream.read(&mut bytes) {
                Ok(0) => return Ok(None),
                Ok(count) => self.unread.extend_from_slice(&bytes[..count]),
                Err(e) if matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => {
                    return Err(NoResponse);
                }
                Err(e) if e.kind() == ErrorKind::ConnectionReset => return Ok(None),
                // A signal to the test process interrupted the read.
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(e) => panic!("cannot read from the server: {e}"),
            }
        }
    }

    /// Checks that no response arrives within [`QUIET_PERIOD`] and that the connection stays open.
    pub fn expect_quiet(&mut self) {
        assert_eq!(self.next_response(QUIET_PERIOD), Err(NoResponse));
    }

    /// Checks that the server closes the connection within [`RESPONSE_TIMEOUT`], without another response.
    pub fn expect_closed(&mut self) {
        assert_eq!(self.next_response(RESPONSE_TIMEOUT), Ok(None));
    }

    /// Closes the connection with a reset (RST).
    pub fn reset(self) {
        socket2::SockRef::from(&self.stream).set_linger(Some(Duration::ZERO)).expect("SO_LINGER is set");
    }
}

/// Parses the response at the start of `bytes`; returns it with its length, or `None` if it is incomplete.
fn parse(bytes: &[u8]) -> Option<(GatewayResponse, usize)> {
    fn line(bytes: &[u8]) -> Option<(&str, usize)> {
        let end = bytes.windows(2).position(|pair| pair == b"\r\n")?;
        Some((std::str::from_utf8(&bytes[..end]).expect("the line is UTF-8"), end + 2))
    }
    let (head, mut at) = line(bytes)?;
    let count: usize =
        head.strip_prefix('*').expect("the response is an array").parse().expect("the array has a length");
    let mut strings = Vec::new();
    for _ in 0..count {
        let (head, used) = line(&bytes[at..])?;
        let size: usize = head
            .strip_prefix('$')
            .expect("the item is a bulk string")
            .parse()
            .expect("the string has a length");
        at += used;
        let string = bytes.get(at..at + size)?;
        assert_eq!(bytes.get(at + size..at + size + 2)?, b"\r\n");
        strings.push(string.to_vec());
        at += size + 2;
    }
    let text = |at: usize| {
        strings
            .get(at)
            .map(|string| String::from_utf8(string.clone()).expect("the string is UTF-8"))
            .unwrap_or_default()
    };
    let body = strings.get(3).cloned().unwrap_or_default();
    Some((
        GatewayResponse {
            tag: text(0).parse().expect("the tag is a number"),
            status: text(1),
            fields: text(2),
            body,
        },
        at,
    ))
}
