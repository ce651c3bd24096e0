//! The protocol of engine and ledger: lines, some of which are followed by a body.

use std::io::{BufRead, BufReader, Write};
use std::net::{Shutdown, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::mpsc::{Receiver, RecvTimeoutError, Sender, channel};
use std::thread;

use crate::base::{QUIET_PERIOD, RESPONSE_TIMEOUT};

/// Terminator of each line and each body.
const LINE_END: &[u8] = b"\r\n";

/// A received line and the body that follows it, if any.
#[derive(Clone, Debug, PartialEq)]
pub struct Line {
    /// Text of the line without its terminator.
    pub text: String,
    /// Body without its terminator; empty if the command has none.
    pub body: Vec<u8>,
}

impl Line {
    /// Returns the word at this index, counted from 0; empty if the line has fewer.
    pub fn word(&self, index: usize) -> &str {
        self.text.split(' ').nth(index).unwrap_or_default()
    }
}

/// A connection that the server opened to a scripted peer. A thread reads its lines and, if enabled, replies to gauge and
/// health queries.
pub struct PeerConnection {
    stream: TcpStream,
    lines: Receiver<Line>,
}

impl PeerConnection {
    /// Starts the thread that reads the connection. `commands_with_body` are the commands whose lines end in the length of a
    /// body that follows.
    pub(crate) fn new(
        stream: TcpStream,
        commands_with_body: &'static [&'static str],
        replies_to_queries: Arc<AtomicBool>,
    ) -> PeerConnection {
        stream.set_nodelay(true).expect("Nagle's algorithm can be disabled");
        let (sender, lines) = channel();
        let reader = stream.try_clone().expect("the socket is cloned");
        let writer = stream.try_clone().expect("the socket is cloned");
        thread::spawn(move || read_lines(reader, writer, commands_with_body, &replies_to_queries, &sender));
        PeerConnection { stream, lines }
    }

    /// Returns the next line, which must arrive within [`RESPONSE_TIMEOUT`].
    pub fn line(&self) -> Line {
        self.lines.recv_timeout(RESPONSE_TIMEOUT).expect("the server sends a line")
    }

    /// Waits for the next line without a timeout; `None` at the end of the connection.
    pub fn wait_for_line(&self) -> Option<Line> {
        self.lines.recv().ok()
    }

    /// Returns the next line, whose first words must be `start`.
    pub fn expect(&self, start: &str) -> Line {
        let line = self.line();
        assert!(
            line.text == start || line.text.starts_with(&format!("{start} ")),
            "expected a line that starts with {start:?}, got {line:?}"
        );
        line
    }

    /// Checks that no line arrives within [`QUIET_PERIOD`] and that the connection stays open.
    pub fn expect_quiet(&self) {
        assert_eq!(self.lines.recv_timeout(QUIET_PERIOD), Err(RecvTimeoutError::Timeout));
    }

    /// Checks that the server closes the connection within [`RESPONSE_TIMEOUT`], without another line.
    pub fn expect_closed(&self) {
        assert_eq!(self.lines.recv_timeout(RESPONSE_TIMEOUT), Err(RecvTimeoutError::Disconnected));
    }

    /// Sends a line and its terminator.
    pub fn send_line(&self, text: &str) {
        self.send_bytes(format!("{text}\r\n").as_bytes());
    }

    /// Sends bytes as they are.
    pub fn send_bytes(&self, bytes: &[u8]) {
        (&self.stream).write_all(bytes).expect("the bytes are written to the connection");
    }

    /// Sends a line that consists of `head` and the length of `body`, then the body.
    pub fn send_with_body(&self, head: &str, body: &[u8]) {
        self.send_bytes(&with_body(head, body));
    }

    /// Expects the line `attach`, and replies that the engine is running.
    pub fn accept_attach(&self, attach: &str) {
        assert_eq!(self.line().text, attach);
        self.send_line("HELLO running 60000");
    }

    /// Like [`accept_attach`](Self::accept_attach), followed by `notices` that were not read on the previous connection. All
    /// is sent in one write, so that no automatic reply is written in between.
    pub fn accept_attach_replaying(&self, attach: &str, notices: &[(String, &[u8])]) {
        assert_eq!(self.line().text, attach);
        let mut bytes = b"HELLO running 60000\r\n".to_vec();
        for (head, body) in notices {
            bytes.extend(with_body(head, body));
        }
        self.send_bytes(&bytes);
    }

    /// Sends notice `number`: run `id` has succeeded.
    pub fn send_done(&self, number: u64, id: &str, result: &[u8]) {
        self.send_with_body(&format!("DONE {number} {id} fine 5"), result);
    }

    /// Sends notice `number`: run `id` needs a downstream call with this body.
    pub fn send_need(&self, number: u64, id: &str, body: &[u8]) {
        self.send_with_body(&format!("NEED {number} {id}"), body);
    }

    /// Shuts the connection down in both directions.
    pub fn disconnect(self) {
        let _ = self.stream.shutdown(Shutdown::Both);
    }
}

/// Passes lines on until the connection or their receiver is closed; replies to gauge and health queries if enabled.
fn read_lines(
    reader: TcpStream,
    mut writer: TcpStream,
    commands_with_body: &[&str],
    replies_to_queries: &AtomicBool,
    lines: &Sender<Line>,
) {
    let mut reader = BufReader::new(reader);
    while let Some(line) = read_line(&mut reader, commands_with_body) {
        let response = query_reply(&line).filter(|_| replies_to_queries.load(Ordering::Acquire));
        if let Some(response) = response {
            let _ = writer.write_all(response.as_bytes());
        } else if lines.send(line).is_err() {
            return;
        }
    }
}

/// Reads a line and its body; `None` at the end of the connection.
fn read_line(reader: &mut impl BufRead, commands_with_body: &[&str]) -> Option<Line> {
    let mut bytes = Vec::new();
    reader.read_until(b'\n', &mut bytes).ok()?;
    let text = bytes.strip_suffix(LINE_END)?;
    let text = String::from_utf8(text.to_vec()).expect("the line is UTF-8");
    let mut line = Line { text, body: Vec::new() };
    if commands_with_body.contains(&line.word(0)) {
        let size: usize = line
            .text
            .rsplit(' ')
            .next()
            .expect("the line has a word")
            .parse()
            .expect("the last word is a length");
        line.body = vec![0; size + LINE_END.len()];
        reader.read_exact(&mut line.body).ok()?;
        assert!(line.body.ends_with(LINE_END), "the body does not end with CRLF: {line:?}");
        line.body.truncate(size);
    }
    Some(line)
}

/// Returns the automatic reply to a gauge or health query; `None` for other lines.
fn query_reply(line: &Line) -> Option<String> {
    match line.word(0) {
        "STAT" => Some(format!("STATS {} 0 1 0.1 4\r\n", line.word(1))),
        "TEST" => Some(format!("TESTED {} fine\r\n", line.word(1))),
        _ => None,
    }
}

/// Encodes a line that ends in the length of its body, and the body.
fn with_body(head: &str, body: &[u8]) -> Vec<u8> {
    let mut bytes = format!("{head} {}\r\n", body.len()).into_bytes();
    bytes.extend_from_slice(body);
    bytes.extend_from_slice(LINE_END);
    bytes
}

/// Accepts connections in a thread until their receiver is dropped.
pub(crate) fn accept_connections(
    listener: TcpListener,
    commands_with_body: &'static [&'static str],
    replies_to_queries: Arc<AtomicBool>,
) -> Receiver<PeerConnection> {
    let (sender, connections) = channel();
    thread::spawn(move || {
        while let Ok((stream, _)) = listener.accept() {
            if sender
                .send(PeerConnection::new(stream, commands_with_body, replies_to_queries.clone()))
                .is_err()
            {
                return;
            }
        }
    });
    connections
}
