//! The client of the operators' socket: one request per connection, one line of JSON in each direction.

use std::io::{BufRead, BufReader, Write};
use std::os::unix::net::UnixStream;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::time::Duration;

use loomflow_fleet::command::{FleetCommand, FleetRequest, FleetResponse, Issuer};
use loomflow_fleet::maintenance::state::TicketEvent;
use loomflow_fleet::maintenance::ticket::Ticket;
use loomflow_fleet::operator::{OperatorRequest, OperatorResponse, encode_line};
use loomflow_fleet::status::FleetStatus;
use serde::Serialize;

use crate::error::CommandError;

/// Read timeout for a response: longer than the server itself waits for the leader.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(15);

/// Sends requests to the server on this machine and prints the results.
pub struct Client {
    /// The path of the operators' socket.
    pub socket: PathBuf,
    /// Whether to print JSON instead of tables.
    pub is_json: bool,
}

/// The fleet's tickets, open and closed, with their history.
pub struct TicketLists {
    /// Open tickets, in order of their ids.
    pub open: Vec<Ticket>,
    /// Recently closed tickets, latest first.
    pub closed: Vec<Ticket>,
    /// Recent events, latest first.
    pub events: Vec<TicketEvent>,
}

impl Client {
    /// Sends a request to the server and returns its response.
    pub fn call(&self, request: &OperatorRequest) -> Result<OperatorResponse, CommandError> {
        call(&self.socket, request)
    }

    /// Sends a request to the leader through the server. A rejection is returned as an error.
    pub fn request(&self, request: FleetRequest) -> Result<FleetResponse, CommandError> {
        match self.call(&OperatorRequest::Fleet(request))? {
            OperatorResponse::Response(FleetResponse::Rejected(rejection)) => Err(rejection.into()),
            OperatorResponse::Response(response) => Ok(response),
            other => Err(CommandError::unexpected(&other)),
        }
    }

    /// Submits a command to the log, issued by the user named in `USER`.
    pub fn execute(&self, command: FleetCommand) -> Result<FleetResponse, CommandError> {
        let account = std::env::var("USER").unwrap_or_else(|_| "operator".into());
        self.request(FleetRequest::Execute { issuer: Issuer::Operator(account), command })
    }

    /// Returns the fleet's status as its leader sees it.
    pub fn status(&self) -> Result<Box<FleetStatus>, CommandError> {
        match self.request(FleetRequest::Status)? {
            FleetResponse::Status(status) => Ok(status),
            other => Err(CommandError::unexpected(&other)),
        }
    }

    /// Returns the fleet's tickets and their history.
    pub fn tickets(&self) -> Result<TicketLists, CommandError> {
        match self.request(FleetRequest::Tickets)? {
            FleetResponse::Tickets { open, closed, events } => Ok(TicketLists { open, closed, events }),
            other => Err(CommandError::unexpected(&other)),
        }
    }

    /// Whether a server accepts connections on the socket.
    pub fn is_reachable(&self) -> bool {
        UnixStream::connect(&self.socket).is_ok()
    }

    /// Prints a value as JSON, or as the text that `table` returns.
    pub fn print<T: Serialize>(
        &self,
        value: &T,
        table: impl FnOnce() -> String,
    ) -> Result<ExitCode, CommandError> {
        if self.is_json {
            println!("{}", serde_json::to_string_pretty(value)?);
        } else {
            println!("{}", table().trim_end());
        }
        Ok(ExitCode::SUCCESS)
    }
}

/// Sends one request on an operators' socket and returns the response.
///
/// # Errors
/// The socket does not accept a connection, no response arrives within [`RESPONSE_TIMEOUT`], or the server reports an
/// error.
pub fn call(socket: &Path, request: &OperatorRequest) -> Result<OperatorResponse, CommandError> {
    let io_error = CommandError::io(socket);
    let mut stream = UnixStream::connect(socket).map_err(&io_error)?;
    stream.set_read_timeout(Some(RESPONSE_TIMEOUT)).map_err(&io_error)?;
    let line = encode_line(request)?;
    stream.write_all(&line).map_err(&io_error)?;
    let mut response = String::new();
    BufReader::new(stream).read_line(&mut response).map_err(&io_error)?;
    match serde_json::from_str(&response).map_err(CommandError::json(socket))? {
        OperatorResponse::Error(message) => Err(CommandError::Server(message)),
        response => Ok(response),
    }
}
