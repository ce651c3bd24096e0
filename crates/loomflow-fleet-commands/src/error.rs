//! Errors of operator commands. Messages name the key or the value that is wrong.

use std::fmt::Debug;
use std::io;
use std::path::{Path, PathBuf};
use std::process::ExitStatus;

use loomflow_fleet::duty::DutyRejection;
use loomflow_fleet::duty::fence::FenceError;
use loomflow_fleet::maintenance::ticket::Rejection;
use loomflow_settings::error::{ParseDurationError, YamlError};

/// An unexpected response is printed only if its text is shorter than this, bytes.
const MAX_PRINTED_BYTES: usize = 300;

/// The command line is invalid.
#[derive(Debug, thiserror::Error)]
pub enum UsageError {
    /// An unknown option, or an option without its value.
    #[error(transparent)]
    Arguments(#[from] lexopt::Error),
    /// The value of `--batch` is not a number.
    #[error("--batch: {0:?} is not a whole number")]
    InvalidBatchSize(String),
    /// The value of `--token` is not a fencing token.
    #[error("--token: {0:?} is not a fencing token: expected a whole number")]
    InvalidToken(String),
    /// An argument is not a ticket's number.
    #[error("{0:?} is not a ticket: expected a whole number")]
    InvalidTicket(String),
    /// The value of `--urgency` is unknown.
    #[error("urgency: {0:?} is not one of routine, urgent, broken")]
    UnknownUrgency(String),
    /// A required argument is missing, or arguments exclude each other.
    #[error("{0}")]
    Missing(&'static str),
    /// A command follows `--`, but the subcommand takes none.
    #[error("-- COMMAND is only accepted by duty run and fence")]
    UnusedCommand,
    /// `recover` without `--yes`.
    #[error("recover discards what was committed only in the lost data directories: confirm with --yes")]
    NotConfirmed,
    /// The subcommand does not exist, or its arguments do not match.
    #[error("fleet: unknown command: {0}")]
    UnknownCommand(String),
    /// The subcommand of `duty` does not exist, or its arguments do not match.
    #[error("fleet duty: unknown command: {0}")]
    UnknownDutyCommand(String),
    /// The options file has no `fleet` section, which locates the operators' socket.
    #[error("{}: fleet: missing", .0.display())]
    NoFleet(PathBuf),
    /// A value is not a duration or a window.
    #[error(transparent)]
    InvalidDuration(#[from] ParseDurationError),
    /// The options file cannot be read or parsed.
    #[error(transparent)]
    Options(#[from] YamlError),
}

/// Why a command failed.
#[derive(Debug, thiserror::Error)]
pub enum CommandError {
    /// The server cannot be reached, or a file cannot be read or written.
    #[error("{}: cannot be reached, read or written: {source}", .path.display())]
    Io {
        /// The path of the socket or file.
        path: PathBuf,
        /// The error of the system.
        source: io::Error,
    },
    /// The server's response, or a fence file, is not JSON of the expected form.
    #[error("{}: not JSON of the expected form: {source}", .path.display())]
    Json {
        /// The path of the socket or file.
        path: PathBuf,
        /// The parser's error.
        source: serde_json::Error,
    },
    /// A value cannot be serialized as JSON.
    #[error(transparent)]
    Encode(#[from] serde_json::Error),
    /// A signal handler cannot be installed, or the state of a child process cannot be read.
    #[error(transparent)]
    System(#[from] io::Error),
    /// The server reported an error as text.
    #[error("{0}")]
    Server(String),
    /// The fleet rejected the command.
    #[error(transparent)]
    Rejected(#[from] Rejection),
    /// The fleet rejected a command on a duty, or the duty's name is invalid.
    #[error(transparent)]
    DutyRejected(#[from] DutyRejection),
    /// The response does not belong to the request.
    #[error("unexpected response from the server: {0}")]
    UnexpectedResponse(String),
    /// No member of the fleet has this name.
    #[error("{0}: no member of the fleet has this name")]
    UnknownServer(String),
    /// `--zone` or `--all` selects no member.
    #[error("--zone or --all selects no member of the fleet")]
    NoServers,
    /// No duty has this name.
    #[error("duty {0:?} does not exist")]
    UnknownDuty(String),
    /// The campaign file cannot be read or parsed.
    #[error(transparent)]
    Campaign(#[from] YamlError),
    /// A value in the campaign file is not a duration or a window.
    #[error(transparent)]
    InvalidDuration(#[from] ParseDurationError),
    /// `fence` without a command after `--`.
    #[error("fence FILE --duty NAME --token N -- COMMAND: COMMAND is missing")]
    MissingCommand,
    /// A program cannot be started.
    #[error("{program}: the program cannot be started: {source}")]
    Program {
        /// The program, as given on the command line.
        program: String,
        /// The error of the system.
        source: io::Error,
    },
    /// A duty's process was terminated because it ran longer than `--longest`.
    #[error("duty {duty}: its process was terminated because it ran longer than --longest; {status}")]
    TimedOut {
        /// The name of the duty.
        duty: String,
        /// The exit status of the process.
        status: ExitStatus,
    },
    /// A duty's process exited with a failure.
    #[error("duty {duty}: its process failed: {status}")]
    ProcessFailed {
        /// The name of the duty.
        duty: String,
        /// The exit status of the process.
        status: ExitStatus,
    },
    /// The fence file cannot record the duty's token: it has no room for the duty, or cannot be written.
    #[error("duty {duty}: the token cannot be recorded in the fence file: {source}")]
    Fence {
        /// The name of the duty.
        duty: String,
        /// The fence's error.
        source: FenceError<io::Error>,
    },
}

impl CommandError {
    /// An error for a response that does not belong to the request. Contains the response if it is short.
    pub fn unexpected(response: &impl Debug) -> CommandError {
        let text = format!("{response:?}");
        let is_short = text.len() < MAX_PRINTED_BYTES;
        CommandError::UnexpectedResponse(if is_short { text } else { "too long to be printed".into() })
    }

    /// Returns a function for `map_err` that adds the path of a socket or file to an I/O error.
    pub fn io(path: &Path) -> impl Fn(io::Error) -> CommandError {
        let path = path.to_owned();
        move |source| CommandError::Io { path: path.clone(), source }
    }

    /// Returns a function for `map_err` that adds the path of a socket or file to a JSON error.
    pub fn json(path: &Path) -> impl Fn(serde_json::Error) -> CommandError {
        let path = path.to_owned();
        move |source| CommandError::Json { path: path.clone(), source }
    }
}
