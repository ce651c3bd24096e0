//! A gateway of the tests: sends requests and reads responses.

use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicU64, Ordering};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::base::{QUIET_PERIOD, RESPONSE_TIMEOUT};

/// An attempt id that was not used before.
pub fn next_attempt_id() -> String {
    static NEXT: AtomicU64 = AtomicU64::new(0x9b1f_03aa_0000_0000);
    format!("{:016x}", NEXT.fetch_add(1, Ordering::Relaxed))
}

/// Valid fields of a call, sent now.
pub fn fields(id: &str) -> String {
    let now = SystemTime::now().duration_since(UNIX_EPOCH).expect("a clock").as_millis();
    format!("req={id},ts={now},via=4,owner=acme,ms=12.50,need=24.5,level=0.6250")
}

/// An array of bulk strings.
pub fn array(words: &[&[u8]]) -> Vec<u8> {
    let mut out = format!("*{}\r\n", words.len()).into_bytes();
    for word in words {
        out.extend_from_slice(format!("${}\r\n", word.len()).as_bytes());
        out.extend_from_slice(word);
        out.extend_from_slice(b"\r\n");
    }
    out
}

/// A call.
pub fn call(tag: u64, class: &str, fields: &str, body: &[u8]) -> Vec<u8> {
    array(&[b"RPC.CALL", tag.to_string().as_bytes(), class.as_bytes(), fields.as_bytes(), body])
}

/// A health check.
pub fn health(tag: u64, real: bool) -> Vec<u8> {
    let fields: &[u8] = if real { b"real=1" } else { b"" };
    array(&[b"RPC.HEALTH", tag.to_string().as_bytes(), fields])
}

/// A response.
#[derive(Clone, Debug, PartialEq)]
pub struct GatewayResponse {
    /// Tag of the request.
    pub tag: u64,
    /// Status.
    pub status: String,
    /// Fields of the response.
    pub fields: String,
    /// Body of the response.
    pub body: Vec<u8>,
}

/// Nothing arrived in time.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Silence;

/// A gateway connection.
pub struct Gateway {
    /// Its socket.
    pub stream: TcpStream,
    unread: Vec<u8>,
}

impl Gateway {
    /// Connects to a server.
    pub fn open(to: SocketAddr) -> Gateway {
        let until = Instant::now() + RESPONSE_TIMEOUT;
        loop {
            match TcpStream::connect(to) {
                Ok(stream) => {
                    stream.set_nodelay(true).expect("no delay");
                    return Gateway { stream, unread: Vec::new() };
                }
                Err(e) => assert!(Instant::now() < until, "{to}: {e}"),
            }
            thread::sleep(Duration::from_millis(5));
        }
    }

    /// Wraps an open connection.
    pub fn of(stream: TcpStream) -> Gateway {
        Gateway { stream, unread: Vec::new() }
    }

    /// Sends bytes.
    pub fn send(&mut self, bytes: &[u8]) {
        self.stream.write_all(bytes).expect("the server reads");
    }

    /// Sends a request under a new attempt id, and returns the id.
    pub fn call(&mut self, tag: u64, class: &str, body: &[u8]) -> String {
        let id = next_attempt_id();
        self.send(&call(tag, class, &fields(&id), body));
        id
    }

    /// The next response, which must arrive in time.
    pub fn response(&mut self) -> GatewayResponse {
        self.next_response(RESPONSE_TIMEOUT).expect("an answer").expect("an open connection")
    }

    /// The next response; `None` at the end of the connection.
    ///
    /// # Errors
    ///
    /// Nothing arrived in time.
    pub fn next_response(&mut self, wait: Duration) -> Result<Option<GatewayResponse>, Silence> {
        let until = Instant::now() + wait;
        loop {
            if let Some((answer, used)) = parse(&self.unread) {
                self.unread.drain(..used);
                return Ok(Some(answer));
            }
            let left = until.saturating_duration_since(Instant::now()).max(Duration::from_millis(1));
            self.stream.set_read_timeout(Some(left)).expect("a time-out");
            let mut bytes = [0; 4096];
            match self.stream.read(&mut bytes) {
                Ok(0) => return Ok(None),
                Ok(count) => self.unread.extend_from_slice(&bytes[..count]),
                Err(e) if matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => {
                    return Err(Silence);
                }
                Err(e) if e.kind() == ErrorKind::ConnectionReset => return Ok(None),
                // Interrupted by a signal to the test process.
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(e) => panic!("{e}"),
            }
        }
    }

    /// Checks that nothing arrives.
    pub fn expect_quiet(&mut self) {
        assert_eq!(self.next_response(QUIET_PERIOD), Err(Silence));
    }

    /// Checks that the server closes the connection.
    pub fn expect_closed(&mut self) {
        assert_eq!(self.next_response(RESPONSE_TIMEOUT), Ok(None));
    }

    /// Resets the connection.
    pub fn reset(self) {
        socket2::SockRef::from(&self.stream).set_linger(Some(Duration::ZERO)).expect("a reset");
    }
}

fn parse(bytes: &[u8]) -> Option<(GatewayResponse, usize)> {
    fn line(bytes: &[u8]) -> Option<(&str, usize)> {
        let end = bytes.windows(2).position(|pair| pair == b"\r\n")?;
        Some((std::str::from_utf8(&bytes[..end]).expect("text"), end + 2))
    }
    let (head, mut at) = line(bytes)?;
    let count: usize = head.strip_prefix('*').expect("an array").parse().expect("a count");
    let mut words = Vec::new();
    for _ in 0..count {
        let (head, used) = line(&bytes[at..])?;
        let size: usize = head.strip_prefix('$').expect("a bulk string").parse().expect("a length");
        at += used;
        let word = bytes.get(at..at + size)?;
        assert_eq!(bytes.get(at + size..at + size + 2)?, b"\r\n");
        words.push(word.to_vec());
        at += size + 2;
    }
    let text =
        |at: usize| words.get(at).map(|w| String::from_utf8(w.clone()).expect("text")).unwrap_or_default();
    let body = words.get(3).cloned().unwrap_or_default();
    Some((
        GatewayResponse { tag: text(0).parse().expect("a tag"), status: text(1), fields: text(2), body },
        at,
    ))
}
