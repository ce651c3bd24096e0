//! What can go wrong with a command of an operator. Messages name the key or the value that is wrong.

use std::fmt::Debug;
use std::io;
use std::path::{Path, PathBuf};
use std::process::ExitStatus;

use loomflow_fleet::duty::DutyRejection;
use loomflow_fleet::duty::fence::FenceError;
use loomflow_fleet::maintenance::ticket::Rejection;
use loomflow_settings::error::{ParseDurationError, YamlError};

/// An unexpected response is printed up to this length, bytes.
const MAX_PRINTED_BYTES: usize = 300;

/// The command line is wrong.
#[derive(Debug, thiserror::Error)]
pub enum UsageError {
    /// An unknown option, or one without its value.
    #[error(transparent)]
    Arguments(#[from] lexopt::Error),
    /// A value is not a number.
    #[error("{0:?} is no number")]
    NotANumber(String),
    /// A value is not a fencing token.
    #[error("{0:?} is no token")]
    NotAToken(String),
    /// A value is not the number of a ticket.
    #[error("{0:?} is no ticket")]
    NotATicket(String),
    /// A value of `--urgency`.
    #[error("urgency: {0:?} is none of routine, urgent, broken")]
    UnknownUrgency(String),
    /// Something that the command needs is not there.
    #[error("{0}")]
    Missing(&'static str),
    /// A command after `--` where none is used.
    #[error("-- COMMAND is for duty run and fence")]
    UnusedCommand,
    /// Recovery was not confirmed.
    #[error("recover loses what only the lost folders had agreed on: say --yes if that is meant")]
    NotConfirmed,
    /// No such command.
    #[error("fleet: unknown: {0}")]
    UnknownCommand(String),
    /// No such command of `duty`.
    #[error("fleet duty: unknown: {0}")]
    UnknownDutyCommand(String),
    /// The options file does not name a fleet.
    #[error("{}: fleet: missing", .0.display())]
    NoFleet(PathBuf),
    /// A value is not a span of time.
    #[error(transparent)]
    Span(#[from] ParseDurationError),
    /// The options file cannot be used.
    #[error(transparent)]
    Options(#[from] YamlError),
}

/// The command failed.
#[derive(Debug, thiserror::Error)]
pub enum CommandError {
    /// The server cannot be reached, or a file cannot be used.
    #[error("{}: {source}", .path.display())]
    Io {
        /// The socket or file.
        path: PathBuf,
        /// Why.
        source: io::Error,
    },
    /// The server's answer, or a file, is not JSON that is known.
    #[error("{}: {source}", .path.display())]
    Json {
        /// The socket or file.
        path: PathBuf,
        /// Why.
        source: serde_json::Error,
    },
    /// A value cannot be written as JSON.
    #[error(transparent)]
    Encode(#[from] serde_json::Error),
    /// The system refuses.
    #[error(transparent)]
    System(#[from] io::Error),
    /// The server says what went wrong, in words.
    #[error("{0}")]
    Server(String),
    /// The fleet refuses.
    #[error(transparent)]
    Rejected(#[from] Rejection),
    /// The fleet refuses a command on a duty.
    #[error(transparent)]
    DutyRejected(#[from] DutyRejection),
    /// A response to something else.
    #[error("{0}")]
    UnexpectedResponse(String),
    /// The fleet does not know the server.
    #[error("{0}: no such server")]
    UnknownServer(String),
    /// No server is meant.
    #[error("no server stands there")]
    NoServers,
    /// No duty has that name.
    #[error("no duty is called {0:?}")]
    UnknownDuty(String),
    /// The campaign file cannot be used.
    #[error(transparent)]
    Campaign(#[from] YamlError),
    /// A value in the campaign file is not a span of time.
    #[error(transparent)]
    Span(#[from] ParseDurationError),
    /// `fence` was given no command.
    #[error("fence FILE --duty D --token N -- COMMAND: which command?")]
    MissingCommand,
    /// A program cannot be started.
    #[error("{program}: {source}")]
    Program {
        /// The program.
        program: String,
        /// Why.
        source: io::Error,
    },
    /// A duty's process ran longer than it may.
    #[error("{duty}: it took longer than it may; {status}")]
    TimedOut {
        /// The duty.
        duty: String,
        /// How the process ended.
        status: ExitStatus,
    },
    /// A duty's process failed.
    #[error("{duty}: {status}")]
    ProcessFailed {
        /// The duty.
        duty: String,
        /// How the process ended.
        status: ExitStatus,
    },
    /// The fence of a duty cannot be used.
    #[error("{duty}: {source}")]
    Fence {
        /// The duty.
        duty: String,
        /// Why.
        source: FenceError<io::Error>,
    },
}

impl CommandError {
    /// A response to something else, printed where it is short.
    pub fn unexpected(response: &impl Debug) -> CommandError {
        let text = format!("{response:?}");
        let is_short = text.len() < MAX_PRINTED_BYTES;
        CommandError::UnexpectedResponse(if is_short { text } else { "an answer to something else".into() })
    }

    /// For `map_err`: an I/O error of a socket or file.
    pub fn io(path: &Path) -> impl Fn(io::Error) -> CommandError {
        let path = path.to_owned();
        move |source| CommandError::Io { path: path.clone(), source }
    }

    /// For `map_err`: JSON of a socket or file that cannot be read.
    pub fn json(path: &Path) -> impl Fn(serde_json::Error) -> CommandError {
        let path = path.to_owned();
        move |source| CommandError::Json { path: path.clone(), source }
    }
}
