//! The operators' socket: a Unix socket that only its owner may use. One request a connection: a line in, a line out.

use std::collections::BTreeMap;
use std::io::{self, ErrorKind, Read, Write};
use std::os::unix::fs::PermissionsExt;
use std::path::{Path, PathBuf};

use loomflow_fleet::member::FleetRequestId;
use loomflow_fleet::operator::{LINE_END, MAX_LINE_BYTES, OperatorRequest, OperatorResponse, encode_line};
use mio::net::{UnixListener, UnixStream};
use mio::{Interest, Registry, Token};

use super::OPERATORS;

/// Connections at once; further ones are closed.
const MAX_CONNECTIONS: usize = 64;
/// Only the server's own user may connect.
const SOCKET_MODE: u32 = 0o600;

/// Why a line is not a request.
#[derive(Debug, thiserror::Error)]
pub enum RequestError {
    /// Longer than [`MAX_LINE_BYTES`].
    #[error("the line is too long")]
    TooLong,
    /// Not JSON that is known.
    #[error("not a command: {0}")]
    Unreadable(#[from] serde_json::Error),
}

struct OperatorConnection {
    stream: UnixStream,
    line: Vec<u8>,
    /// What is still to be written; the connection ends after it.
    response: Option<Vec<u8>>,
    awaited_request: Option<FleetRequestId>,
}

/// The socket and its connections.
pub struct OperatorSocket {
    listener: UnixListener,
    path: PathBuf,
    next_token: usize,
    connections: BTreeMap<Token, OperatorConnection>,
}

impl OperatorSocket {
    /// Creates the socket.
    ///
    /// # Errors
    /// Another server listens there, or it cannot be created.
    pub fn listen(path: &Path, registry: &Registry) -> io::Result<OperatorSocket> {
        if std::os::unix::net::UnixStream::connect(path).is_ok() {
            return Err(io::Error::new(ErrorKind::AddrInUse, "another server listens there"));
        }
        // What a process that died left behind.
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

    /// Whether a token is of a connection here.
    pub fn is_connection(&self, token: Token) -> bool {
        self.connections.contains_key(&token)
    }

    /// Accepts what is there.
    pub fn accept(&mut self, registry: &Registry) {
        while let Ok((mut stream, _)) = self.listener.accept() {
            if self.connections.len() >= MAX_CONNECTIONS {
                continue;
            }
            self.next_token += 1;
            // Odd tokens: even ones are of members' connections.
            let token = Token(self.next_token * 2 + 1);
            if registry.register(&mut stream, token, Interest::READABLE | Interest::WRITABLE).is_ok() {
                let (line, response, awaited_request) = (Vec::new(), None, None);
                self.connections
                    .insert(token, OperatorConnection { stream, line, response, awaited_request });
            }
        }
    }

    /// Reads and writes what can be. Returns the request of a line that is whole, or what is wrong with it.
    pub fn ready(&mut self, token: Token) -> Option<Result<OperatorRequest, RequestError>> {
        let connection = self.connections.get_mut(&token)?;
        let has_ended = match connection.read() {
            Ok(has_ended) => has_ended,
            Err(error) => return Some(Err(error)),
        };
        if has_ended && connection.line.is_empty() {
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

    /// The connection's response comes with that request's.
    pub fn await_response(&mut self, token: Token, id: FleetRequestId) {
        if let Some(connection) = self.connections.get_mut(&token) {
            connection.awaited_request = Some(id);
        }
    }

    /// Responds to the connection that awaits this request, if it is still there.
    pub fn deliver(&mut self, id: FleetRequestId, response: &OperatorResponse) {
        let mut connections = self.connections.iter();
        let awaiting = connections.find(|(_, connection)| connection.awaited_request == Some(id));
        if let Some(token) = awaiting.map(|(token, _)| *token) {
            self.respond(token, response);
        }
    }

    /// Responds to a connection.
    pub fn respond(&mut self, token: Token, response: &OperatorResponse) {
        if let Some(connection) = self.connections.get_mut(&token) {
            // An empty line is no response that a client knows: it reports an error.
            let line = encode_line(response).unwrap_or_else(|_| vec![LINE_END]);
            connection.response = Some(line);
            self.write(token);
        }
    }

    /// Writes what the system takes; a connection that is finished or broken is closed.
    fn write(&mut self, token: Token) {
        let Some(connection) = self.connections.get_mut(&token) else { return };
        if connection.write() {
            self.connections.remove(&token);
        }
    }
}

impl OperatorConnection {
    /// Reads what is there. Returns whether the operator has closed the connection.
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

    /// Writes what the system takes. Returns whether nothing more can be written.
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
