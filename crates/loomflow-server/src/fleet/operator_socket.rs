//! The operators' socket: a Unix socket that only the server's own user may connect to. One request per connection: a line
//! in, a line out.

use std::collections::BTreeMap;
use std::io::{self, ErrorKind, Read, Write};
use std::os::unix::fs::PermissionsExt;
use std::path::{Path, PathBuf};

use loomflow_fleet::duty::workers::WorkerId;
use loomflow_fleet::member::FleetRequestId;
use loomflow_fleet::operator::{LINE_END, MAX_LINE_BYTES, OperatorRequest, OperatorResponse, encode_line};
use loomflow_fleet::time::IntegerMillis;
use mio::net::{UnixListener, UnixStream};
use mio::{Interest, Registry, Token};
use nix::sys::socket::{getsockopt, sockopt};

use super::OPERATORS;
use crate::log;

/// Maximum number of open connections. Beyond it, the oldest without a complete request is closed; if there is none, the new
/// one is closed at once.
pub const MAX_CONNECTIONS: usize = 64;
/// Maximum memory of the incomplete requests of all connections, bytes: two requests of maximum length. Beyond it, the oldest
/// is closed.
const MAX_INCOMPLETE_BYTES: usize = 2 * MAX_LINE_BYTES;
/// Maximum time from the opening of a connection to the end of its request, and without progress in writing its response, ms.
const CLIENT_TIMEOUT_MILLIS: IntegerMillis = 5_000;
/// Bytes read by one system call.
const READ_BUFFER_BYTES: usize = 4_096;
/// File mode of the socket: only the server's own user may connect.
const SOCKET_MODE: u32 = 0o600;

/// Why a line is not a valid request.
#[derive(Debug, thiserror::Error)]
pub enum RequestError {
    /// Longer than [`MAX_LINE_BYTES`].
    #[error("the line of the request is longer than {MAX_LINE_BYTES} bytes")]
    TooLong,
    /// Not the JSON of an [`OperatorRequest`].
    #[error("the line is not a valid request: {0}")]
    Unreadable(#[from] serde_json::Error),
}

struct OperatorConnection {
    stream: UnixStream,
    /// Since when the server waits for the client: the opening, then the last progress of the response.
    waiting_since: IntegerMillis,
    /// Bytes read of the request's line; released once that is complete.
    line: Vec<u8>,
    /// Bytes of the response that are not written yet; the connection is closed after the last.
    response: Option<Vec<u8>>,
    /// The fleet request whose response is sent to this connection.
    awaited_request: Option<FleetRequestId>,
}

/// The listening socket with its connections. Dropping it removes the socket's file.
pub struct OperatorSocket {
    listener: UnixListener,
    path: PathBuf,
    next_token: usize,
    connections: BTreeMap<Token, OperatorConnection>,
}

impl OperatorSocket {
    /// Creates the socket, replacing the file of one that no process listens on.
    ///
    /// # Errors
    /// Another server listens on this path, or the socket cannot be created.
    pub fn listen(path: &Path, registry: &Registry) -> io::Result<OperatorSocket> {
        if std::os::unix::net::UnixStream::connect(path).is_ok() {
            return Err(io::Error::new(ErrorKind::AddrInUse, "another server listens on this socket"));
        }
        // No process listens, so a file at this path is stale: its server was killed.
        let _ = std::fs::remove_file(path);
        if let Some(directory) = path.parent() {
            std::fs::create_dir_all(directory)?;
        }
        let mut listener = UnixListener::bind(path)?;
        std::fs::set_permissions(path, std::fs::Permissions::from_mode(SOCKET_MODE))?;
        registry.register(&mut listener, OPERATORS, Interest::READABLE)?;
        let next_token = super::FIRST_CONNECTION;
        Ok(OperatorSocket { listener, path: path.to_owned(), next_token, connections: BTreeMap::new() })
    }

    /// Whether a token belongs to an operator's connection.
    pub fn is_connection(&self, token: Token) -> bool {
        self.connections.contains_key(&token)
    }

    /// Accepts all pending connections, within [`MAX_CONNECTIONS`].
    pub fn accept(&mut self, registry: &Registry, now: IntegerMillis) {
        while let Ok((mut stream, _)) = self.listener.accept() {
            if self.connections.len() >= MAX_CONNECTIONS && !self.close_oldest_incomplete() {
                continue;
            }
            self.next_token += 1;
            // Odd tokens: members' connections have even ones.
            let token = Token(self.next_token * 2 + 1);
            if registry.register(&mut stream, token, Interest::READABLE | Interest::WRITABLE).is_ok() {
                self.connections.insert(token, OperatorConnection::new(stream, now));
            }
        }
    }

    /// Closes the oldest connection without a complete request. Returns whether there was one.
    fn close_oldest_incomplete(&mut self) -> bool {
        // Tokens rise in the order of opening.
        let oldest = self.connections.iter().find(|(_, connection)| !connection.has_request());
        let Some(token) = oldest.map(|(token, _)| *token) else { return false };
        log!(
            part = "fleet",
            "a connection to the operators' socket was closed before its request: too many or too long ones are open"
        );
        self.connections.remove(&token);
        true
    }

    /// Closes the connections on which a request is incomplete, or a response cannot be written, for too long.
    pub fn close_timed_out(&mut self, now: IntegerMillis) {
        self.connections.retain(|_, connection| !connection.is_timed_out(now));
    }

    /// Reads and writes as much as possible without blocking. Returns the request once its line is complete, or an error if it
    /// is invalid.
    pub fn ready(
        &mut self,
        token: Token,
        now: IntegerMillis,
    ) -> Option<Result<OperatorRequest, RequestError>> {
        let connection = self.connections.get_mut(&token)?;
        if connection.has_request() {
            if connection.response.is_some() {
                self.write(token, now);
            } else if connection.is_closed_by_peer() {
                self.connections.remove(&token);
            }
            return None;
        }
        let request = match connection.read_line() {
            LineState::Complete(line) => serde_json::from_slice(&line).map_err(RequestError::Unreadable),
            LineState::TooLong => Err(RequestError::TooLong),
            LineState::Closed => {
                self.connections.remove(&token);
                return None;
            }
            LineState::Incomplete => {
                self.bound_incomplete();
                return None;
            }
        };
        Some(request)
    }

    fn bound_incomplete(&mut self) {
        let bytes = |socket: &OperatorSocket| -> usize {
            socket.connections.values().map(|connection| connection.line.capacity()).sum()
        };
        while bytes(self) > MAX_INCOMPLETE_BYTES && self.close_oldest_incomplete() {}
    }

    /// The process that opened a connection.
    pub fn peer_process(&self, token: Token) -> WorkerId {
        let connection = self.connections.get(&token);
        let credentials =
            connection.and_then(|connection| getsockopt(&connection.stream, sockopt::PeerCredentials).ok());
        credentials.map_or(WorkerId::UNKNOWN, |credentials| WorkerId(credentials.pid()))
    }

    /// Makes the connection wait for the response to a fleet request.
    pub fn await_response(&mut self, token: Token, id: FleetRequestId) {
        if let Some(connection) = self.connections.get_mut(&token) {
            connection.awaited_request = Some(id);
        }
    }

    /// Sends the response to the connection that waits for this fleet request, if it is still open.
    pub fn deliver(&mut self, id: FleetRequestId, response: &OperatorResponse, now: IntegerMillis) {
        let mut connections = self.connections.iter();
        let awaiting = connections.find(|(_, connection)| connection.awaited_request == Some(id));
        if let Some(token) = awaiting.map(|(token, _)| *token) {
            self.respond(token, response, now);
        }
    }

    /// Sends a response and then closes the connection.
    pub fn respond(&mut self, token: Token, response: &OperatorResponse, now: IntegerMillis) {
        if let Some(connection) = self.connections.get_mut(&token) {
            // A response that cannot be encoded becomes an empty line, which the client reports as an error.
            let line = encode_line(response).unwrap_or_else(|_| vec![LINE_END]);
            connection.response = Some(line);
            connection.waiting_since = now;
            self.write(token, now);
        }
    }

    /// Writes as much as possible without blocking. Closes the connection if it is finished or broken.
    fn write(&mut self, token: Token, now: IntegerMillis) {
        let Some(connection) = self.connections.get_mut(&token) else { return };
        if connection.write(now) {
            self.connections.remove(&token);
        }
    }
}

/// The state of a request's line after a read.
enum LineState {
    Complete(Vec<u8>),
    Incomplete,
    /// Longer than [`MAX_LINE_BYTES`].
    TooLong,
    /// The client has closed the connection before the end of the line, or reading failed.
    Closed,
}

impl OperatorConnection {
    fn new(stream: UnixStream, now: IntegerMillis) -> OperatorConnection {
        OperatorConnection {
            stream,
            waiting_since: now,
            line: Vec::new(),
            response: None,
            awaited_request: None,
        }
    }

    /// Whether the request was read, or rejected as too long. Further input is discarded.
    fn has_request(&self) -> bool {
        self.response.is_some() || self.awaited_request.is_some()
    }

    fn is_timed_out(&self, now: IntegerMillis) -> bool {
        let is_waiting_for_client = self.response.is_some() || !self.has_request();
        is_waiting_for_client && now >= self.waiting_since + CLIENT_TIMEOUT_MILLIS
    }

    /// Reads the bytes that are available, up to the end of the line.
    fn read_line(&mut self) -> LineState {
        let mut bytes = [0; READ_BUFFER_BYTES];
        loop {
            match self.stream.read(&mut bytes) {
                Ok(0) => return LineState::Closed,
                Ok(count) => {
                    let line_end = bytes[..count].iter().position(|byte| *byte == LINE_END);
                    self.line.extend_from_slice(&bytes[..line_end.unwrap_or(count)]);
                    if self.line.len() > MAX_LINE_BYTES {
                        self.line = Vec::new();
                        return LineState::TooLong;
                    }
                    if line_end.is_some() {
                        return LineState::Complete(std::mem::take(&mut self.line));
                    }
                }
                Err(error) if error.kind() == ErrorKind::WouldBlock => return LineState::Incomplete,
                Err(error) if error.kind() == ErrorKind::Interrupted => {}
                Err(_) => return LineState::Closed,
            }
        }
    }

    /// Whether the client has closed the connection. Input after the request is discarded.
    fn is_closed_by_peer(&mut self) -> bool {
        match self.stream.read(&mut [0; READ_BUFFER_BYTES]) {
            Ok(count) => count == 0,
            Err(error) => !matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::Interrupted),
        }
    }

    /// Writes as much as possible without blocking. Returns whether the response is written or the connection is broken.
    fn write(&mut self, now: IntegerMillis) -> bool {
        let Some(response) = &mut self.response else { return false };
        while !response.is_empty() {
            match self.stream.write(response) {
                Ok(count) => {
                    response.drain(..count);
                    self.waiting_since = now;
                }
                Err(error) if error.kind() == ErrorKind::WouldBlock => return false,
                Err(error) if error.kind() == ErrorKind::Interrupted => {}
                Err(_) => return true,
            }
        }
        true
    }
}

impl Drop for OperatorSocket {
    fn drop(&mut self) {
        let _ = std::fs::remove_file(&self.path);
    }
}
