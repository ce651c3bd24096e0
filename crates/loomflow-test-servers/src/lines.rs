//! Connections with lines and bodies, as the engine and the downstream service use.

use std::io::{BufRead, BufReader, Write};
use std::net::{Shutdown, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::mpsc::{Receiver, RecvTimeoutError, Sender, channel};
use std::thread;

use crate::base::{QUIET_PERIOD, RESPONSE_TIMEOUT};

/// Ends each line and each body.
const LINE_END: &[u8] = b"\r\n";

/// A line and the body that follows it, if any.
#[derive(Clone, Debug, PartialEq)]
pub struct Line {
    /// The line without its end.
    pub text: String,
    /// The body; empty if there is none.
    pub body: Vec<u8>,
}

impl Line {
    /// A word of the line.
    pub fn word(&self, at: usize) -> &str {
        self.text.split(' ').nth(at).unwrap_or_default()
    }
}

/// A connection that the server opened. A thread reads it, and responds to gauge and health queries if it is to.
pub struct PeerConnection {
    stream: TcpStream,
    lines: Receiver<Line>,
}

impl PeerConnection {
    pub(crate) fn new(
        stream: TcpStream,
        with_body: &'static [&'static str],
        answers_queries: Arc<AtomicBool>,
    ) -> PeerConnection {
        stream.set_nodelay(true).expect("no delay");
        let (sender, lines) = channel();
        let reader = stream.try_clone().expect("a clone");
        let writer = stream.try_clone().expect("a clone");
        thread::spawn(move || read_lines(reader, writer, with_body, &answers_queries, &sender));
        PeerConnection { stream, lines }
    }

    /// The next line, which must arrive in time.
    pub fn line(&self) -> Line {
        self.lines.recv_timeout(RESPONSE_TIMEOUT).expect("a line")
    }

    /// The next line, without a timeout; `None` at the end of the connection.
    pub fn wait_for_line(&self) -> Option<Line> {
        self.lines.recv().ok()
    }

    /// The next line, which must start with `start`.
    pub fn expect(&self, start: &str) -> Line {
        let line = self.line();
        assert!(line.text == start || line.text.starts_with(&format!("{start} ")), "{start}: {line:?}");
        line
    }

    /// Checks that nothing arrives.
    pub fn expect_quiet(&self) {
        assert_eq!(self.lines.recv_timeout(QUIET_PERIOD), Err(RecvTimeoutError::Timeout));
    }

    /// Checks that the server closes the connection.
    pub fn expect_closed(&self) {
        assert_eq!(self.lines.recv_timeout(RESPONSE_TIMEOUT), Err(RecvTimeoutError::Disconnected));
    }

    /// Sends a line.
    pub fn send_line(&self, text: &str) {
        self.send_bytes(format!("{text}\r\n").as_bytes());
    }

    /// Sends bytes.
    pub fn send_bytes(&self, bytes: &[u8]) {
        (&self.stream).write_all(bytes).expect("the server reads");
    }

    /// Sends a line, with the length of the body added, and the body.
    pub fn send_with_body(&self, head: &str, body: &[u8]) {
        self.send_bytes(&with_body(head, body));
    }

    /// Expects this `ATTACH`, and responds that the engine is running.
    pub fn accept_attach(&self, attach: &str) {
        assert_eq!(self.line().text, attach);
        self.send_line("HELLO running 60000");
    }

    /// As [`accept_attach`](Self::accept_attach), with notices that the previous connection did not read, all in one write
    /// so that no other response can come in between.
    pub fn accept_attach_replaying(&self, attach: &str, notices: &[(String, &[u8])]) {
        assert_eq!(self.line().text, attach);
        let mut bytes = b"HELLO running 60000\r\n".to_vec();
        for (head, body) in notices {
            bytes.extend(with_body(head, body));
        }
        self.send_bytes(&bytes);
    }

    /// Sends the end of a successful run.
    pub fn send_done(&self, number: u64, id: &str, result: &[u8]) {
        self.send_with_body(&format!("DONE {number} {id} fine 5"), result);
    }

    /// Sends the request for a downstream call.
    pub fn send_need(&self, number: u64, id: &str, body: &[u8]) {
        self.send_with_body(&format!("NEED {number} {id}"), body);
    }

    /// Closes the connection.
    pub fn disconnect(self) {
        let _ = self.stream.shutdown(Shutdown::Both);
    }
}

/// Reads lines until the connection ends or nobody takes them, and responds to gauge and health queries if it is to.
fn read_lines(
    reader: TcpStream,
    mut writer: TcpStream,
    with_body: &[&str],
    answers_queries: &AtomicBool,
    lines: &Sender<Line>,
) {
    let mut reader = BufReader::new(reader);
    while let Some(line) = read_line(&mut reader, with_body) {
        let response = query_response(&line).filter(|_| answers_queries.load(Ordering::Acquire));
        if let Some(response) = response {
            let _ = writer.write_all(response.as_bytes());
        } else if lines.send(line).is_err() {
            return;
        }
    }
}

/// Reads a line and its body; `None` at the end of the connection.
fn read_line(reader: &mut impl BufRead, with_body: &[&str]) -> Option<Line> {
    let mut bytes = Vec::new();
    reader.read_until(b'\n', &mut bytes).ok()?;
    let text = bytes.strip_suffix(LINE_END)?;
    let text = String::from_utf8(text.to_vec()).expect("text");
    let mut line = Line { text, body: Vec::new() };
    if with_body.contains(&line.word(0)) {
        let size: usize = line.text.rsplit(' ').next().expect("a word").parse().expect("a length");
        line.body = vec![0; size + LINE_END.len()];
        reader.read_exact(&mut line.body).ok()?;
        assert!(line.body.ends_with(LINE_END), "{line:?}");
        line.body.truncate(size);
    }
    Some(line)
}

/// The response to a query for gauges or health, if the line is one.
fn query_response(line: &Line) -> Option<String> {
    match line.word(0) {
        "STAT" => Some(format!("STATS {} 0 1 0.1 4\r\n", line.word(1))),
        "TEST" => Some(format!("TESTED {} fine\r\n", line.word(1))),
        _ => None,
    }
}

/// A line that ends in the length of the body that follows it.
fn with_body(head: &str, body: &[u8]) -> Vec<u8> {
    let mut bytes = format!("{head} {}\r\n", body.len()).into_bytes();
    bytes.extend_from_slice(body);
    bytes.extend_from_slice(LINE_END);
    bytes
}

/// Accepts connections in a thread.
pub(crate) fn accepting(
    listener: TcpListener,
    with_body: &'static [&'static str],
    answers_queries: Arc<AtomicBool>,
) -> Receiver<PeerConnection> {
    let (sender, links) = channel();
    thread::spawn(move || {
        while let Ok((stream, _)) = listener.accept() {
            if sender.send(PeerConnection::new(stream, with_body, answers_queries.clone())).is_err() {
                return;
            }
        }
    });
    links
}
