//! The operators' end of the socket: one request a connection, a line of JSON each way.

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

/// A response is waited for this long: longer than the server itself waits for the leader.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(15);

/// Speaks with the server on this machine, and prints what it answers.
pub struct Client {
    /// The operators' socket.
    pub socket: PathBuf,
    /// Whether values are printed as JSON, and not as tables.
    pub is_json: bool,
}

/// What the fleet tells of its tickets.
pub struct TicketLists {
    /// Open tickets, by their number.
    pub open: Vec<Ticket>,
    /// Closed tickets, the last first.
    pub closed: Vec<Ticket>,
    /// The history, the last first.
    pub events: Vec<TicketEvent>,
}

impl Client {
    /// Sends one request to the server.
    pub fn call(&self, request: &OperatorRequest) -> Result<OperatorResponse, CommandError> {
        call(&self.socket, request)
    }

    /// Sends one request to the leader.
    pub fn request(&self, request: FleetRequest) -> Result<FleetResponse, CommandError> {
        match self.call(&OperatorRequest::Fleet(request))? {
            OperatorResponse::Response(FleetResponse::Rejected(rejection)) => Err(rejection.into()),
            OperatorResponse::Response(response) => Ok(response),
            other => Err(CommandError::unexpected(&other)),
        }
    }

    /// Puts a command into the log, in the name of the account.
    pub fn execute(&self, command: FleetCommand) -> Result<FleetResponse, CommandError> {
        let account = std::env::var("USER").unwrap_or_else(|_| "operator".into());
        self.request(FleetRequest::Execute { issuer: Issuer::Operator(account), command })
    }

    /// The fleet as its leader sees it.
    pub fn status(&self) -> Result<Box<FleetStatus>, CommandError> {
        match self.request(FleetRequest::Status)? {
            FleetResponse::Status(status) => Ok(status),
            other => Err(CommandError::unexpected(&other)),
        }
    }

    /// All tickets.
    pub fn tickets(&self) -> Result<TicketLists, CommandError> {
        match self.request(FleetRequest::Tickets)? {
            FleetResponse::Tickets { open, closed, events } => Ok(TicketLists { open, closed, events }),
            other => Err(CommandError::unexpected(&other)),
        }
    }

    /// Whether a server listens on the socket.
    pub fn is_reachable(&self) -> bool {
        UnixStream::connect(&self.socket).is_ok()
    }

    /// Prints a value, as JSON or as the text that `table` gives.
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
/// Nobody listens there, or the server does not answer or reports an error.
pub fn call(socket: &Path, request: &OperatorRequest) -> Result<OperatorResponse, CommandError> {
    let io_error = CommandError::io(socket);
    let mut stream = UnixStream::connect(socket).map_err(&io_error)?;
    stream.set_read_timeout(Some(RESPONSE_TIMEOUT)).map_err(&io_error)?;
    let line = encode_line(request)?;
    stream.write_all(&line).map_err(&io_error)?;
    let mut answer = String::new();
    BufReader::new(stream).read_line(&mut answer).map_err(&io_error)?;
    match serde_json::from_str(&answer).map_err(CommandError::json(socket))? {
        OperatorResponse::Error(message) => Err(CommandError::Server(message)),
        response => Ok(response),
    }
}
