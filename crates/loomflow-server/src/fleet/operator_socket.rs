//! The operators' socket: a Unix socket that only the server's own user may connect to. One request per connection: a line
//! in, a line out.

use std::collections::BTreeMap;
use std::io::{self, ErrorKind, Read, Write};
use std::os::unix::fs::PermissionsExt;
use std::path::{Path, PathBuf};

use loomflow_fleet::duty::workers::WorkerId;
use loomflow_fleet::member::FleetRequestId;
use loomflow_fleet::operator::{LINE_END, MAX_LINE_BYTES, OperatorRequest, OperatorResponse, encode_line};
use mio::net::{UnixListener, UnixStream};
use mio::{Interest, Registry, Token};
use nix::sys::socket::{getsockopt, sockopt};

use super::OPERATORS;

/// Maximum number of open connections; further ones are closed at once.
const MAX_CONNECTIONS: usize = 64;
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
    /// Bytes read of the request's line.
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

    /// Accepts all pending connections; closes those beyond [`MAX_CONNECTIONS`].
    pub fn accept(&mut self, registry: &Registry) {
        while let Ok((mut stream, _)) = self.listener.accept() {
            if self.connections.len() >= MAX_CONNECTIONS {
                continue;
            }
            self.next_token += 1;
            // Odd tokens: members' connections have even ones.
            let token = Token(self.next_token * 2 + 1);
            if registry.register(&mut stream, token, Interest::READABLE | Interest::WRITABLE).is_ok() {
                let (line, response, awaited_request) = (Vec::new(), None, None);
                self.connections
                    .insert(token, OperatorConnection { stream, line, response, awaited_request });
            }
        }
    }

    /// Reads and writes as much as possible without blocking. Returns the request once its line is complete, or an error if it
    /// is invalid.
    pub fn ready(&mut self, token: Token) -> Option<Result<OperatorRequest, RequestError>> {
        let connection = self.connections.get_mut(&token)?;
        let is_closed = match connection.read() {
            Ok(is_closed) => is_closed,
            Err(error) => return Some(Err(error)),
        };
        if is_closed && connection.line.is_empty() {
            self.connections.remove(&token);
            return None;
        }
        if connection.response.is_some() {
            self.write(token);
            return None;
        }
        let end = connection.line.iter().position(|byte| *byte == LINE_END)?;
        let line: Vec<u8> = connection.line.drain(..=end).collect();
        Some(serde_json::from_slice(&line).map_err(RequestError::Unreadable))
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
    pub fn deliver(&mut self, id: FleetRequestId, response: &OperatorResponse) {
        let mut connections = self.connections.iter();
        let awaiting = connections.find(|(_, connection)| connection.awaited_request == Some(id));
        if let Some(token) = awaiting.map(|(token, _)| *token) {
            self.respond(token, response);
        }
    }

    /// Sends a response and then closes the connection.
    pub fn respond(&mut self, token: Token, response: &OperatorResponse) {
        if let Some(connection) = self.connections.get_mut(&token) {
            // A response that cannot be encoded becomes an empty line, which the client reports as an error.
            let line = encode_line(response).unwrap_or_else(|_| vec![LINE_END]);
            connection.response = Some(line);
            self.write(token);
        }
    }

    /// Writes as much as possible without blocking. Closes the connection if it is finished or broken.
    fn write(&mut self, token: Token) {
        let Some(connection) = self.connections.get_mut(&token) else { return };
        if connection.write() {
            self.connections.remove(&token);
        }
    }
}

impl OperatorConnection {
    /// Reads all available bytes. Returns whether the client has closed the connection before its response.
    fn read(&mut self) -> Result<bool, RequestError> {
        let mut bytes = [0; 4096];
        loop {
            match self.stream.read(&mut bytes) {
                Ok(0) => return Ok(self.response.is_none()),
                Ok(count) if self.line.len() + count > MAX_LINE_BYTES => {
                    self.line.clear();
                    return Err(RequestError::TooLong);
                }
                Ok(count) => self.line.extend_from_slice(&bytes[..count]),
                Err(error) if error.kind() == ErrorKind::WouldBlock => return Ok(false),
                Err(error) if error.kind() == ErrorKind::Interrupted => {}
                Err(_) => return Ok(true),
            }
        }
    }

    /// Writes as much as possible without blocking. Returns whether the response is written or the connection is broken.
    fn write(&mut self) -> bool {
        let Some(response) = &mut self.response else { return false };
        while !response.is_empty() {
            match self.stream.write(response) {
                Ok(count) => drop(response.drain(..count)),
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
