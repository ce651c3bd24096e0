//! Errors of configuration, options and campaign files. Every message names the file and, if there is one, the key.

use std::fmt;
use std::io;
use std::path::{Path, PathBuf};

use thiserror::Error;

/// The value of a key is missing or invalid.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FieldError {
    /// Full path of the key; empty if the error concerns the whole document.
    key: String,
    problem: String,
}

impl FieldError {
    /// Creates an error about the key with the path `key`.
    pub fn new(key: impl Into<String>, problem: impl Into<String>) -> FieldError {
        FieldError { key: key.into(), problem: problem.into() }
    }

    /// Prepends the path of the enclosing object or array to the key.
    pub(crate) fn within(self, path: &str) -> FieldError {
        let is_element = self.key.starts_with('[');
        let separator = if path.is_empty() || self.key.is_empty() || is_element { "" } else { "." };
        FieldError { key: format!("{path}{separator}{}", self.key), problem: self.problem }
    }
}

impl fmt::Display for FieldError {
    fn fmt(&self, formatter: &mut fmt::Formatter) -> fmt::Result {
        if self.key.is_empty() {
            formatter.write_str(&self.problem)
        } else {
            write!(formatter, "{}: {}", self.key, self.problem)
        }
    }
}

impl std::error::Error for FieldError {}

/// An error in reading or validating a configuration file.
#[derive(Debug, Error)]
pub enum ConfigError {
    /// The file cannot be read.
    #[error("{}: cannot be read: {source}", path.display())]
    Unreadable {
        /// Path of the file.
        path: PathBuf,
        /// Error of the operating system.
        source: io::Error,
    },
    /// The path is a directory, a pipe or another special file.
    #[error("{}: cannot be read: not a regular file", path.display())]
    NotAFile {
        /// Path that was to be read.
        path: PathBuf,
    },
    /// The file exceeds the size limit.
    #[error("{}: cannot be read: longer than {max_mib} MiB", path.display())]
    TooLong {
        /// Path of the file.
        path: PathBuf,
        /// Largest size that is allowed, MiB.
        max_mib: u64,
    },
    /// The text is not JSON.
    #[error("not JSON: {0}")]
    NotJson(#[from] serde_json::Error),
    /// A key is missing or has an invalid value.
    #[error(transparent)]
    Invalid(#[from] FieldError),
    /// An error in the content of a file, with the path of the file.
    #[error("{}: {source}", path.display())]
    InFile {
        /// Path of the file.
        path: PathBuf,
        /// What is wrong with the content.
        source: Box<ConfigError>,
    },
}

impl ConfigError {
    /// Adds the path of the file to the message.
    pub(crate) fn in_file(self, path: &Path) -> ConfigError {
        ConfigError::InFile { path: path.to_owned(), source: Box::new(self) }
    }
}

/// An error in reading or validating a YAML file: options, credentials or a campaign.
#[derive(Debug, Error)]
pub enum YamlError {
    /// The file cannot be read.
    #[error("{}: cannot be read: {source}", path.display())]
    Unreadable {
        /// Path of the file.
        path: PathBuf,
        /// Error of the operating system.
        source: io::Error,
    },
    /// The text is not YAML, or a value is invalid. The parser's message gives line, column and key.
    #[error("{0}")]
    Invalid(String),
    /// The credentials are incomplete. The message never quotes the file, which holds a password.
    #[error("{}: must contain exactly the keys user and password, each a string", path.display())]
    InvalidCredentials {
        /// Path of the file.
        path: PathBuf,
    },
    /// An error in the content of a file, with the path of the file.
    #[error("{}: {source}", path.display())]
    InFile {
        /// Path of the file.
        path: PathBuf,
        /// What is wrong with the content.
        source: Box<YamlError>,
    },
}

impl YamlError {
    /// Adds the path of the file to the message.
    pub(crate) fn in_file(self, path: &Path) -> YamlError {
        YamlError::InFile { path: path.to_owned(), source: Box::new(self) }
    }
}

/// Reads a whole YAML file.
pub(crate) fn read_text(path: &Path) -> Result<String, YamlError> {
    std::fs::read_to_string(path).map_err(|source| YamlError::Unreadable { path: path.to_owned(), source })
}

/// A position in an options file.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Location {
    /// Line, from 1.
    pub line: u64,
    /// Column, from 1.
    pub column: u64,
}

/// An option that contradicts another option or the settings.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OptionFault {
    location: Option<Location>,
    error: FieldError,
}

impl OptionFault {
    /// Creates a fault of the option with the path `key`, without a position in the file.
    pub fn new(key: impl Into<String>, problem: impl Into<String>) -> OptionFault {
        OptionFault { location: None, error: FieldError::new(key, problem) }
    }

    /// Adds the position of the value in the file.
    pub(crate) fn at(self, location: Option<Location>) -> OptionFault {
        OptionFault { location, ..self }
    }
}

impl fmt::Display for OptionFault {
    fn fmt(&self, formatter: &mut fmt::Formatter) -> fmt::Result {
        if let Some(Location { line, column }) = self.location {
            write!(formatter, "line {line} column {column}: ")?;
        }
        self.error.fmt(formatter)
    }
}

/// All faults of an options file, displayed one per line.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OptionFaults(pub Vec<OptionFault>);

impl fmt::Display for OptionFaults {
    fn fmt(&self, formatter: &mut fmt::Formatter) -> fmt::Result {
        let lines: Vec<String> = self.0.iter().map(OptionFault::to_string).collect();
        formatter.write_str(&lines.join("\n"))
    }
}

impl std::error::Error for OptionFaults {}

/// A text that is neither a duration nor a window of two durations.
#[derive(Clone, Debug, PartialEq, Error)]
pub enum ParseDurationError {
    /// The text, or one half of a window, is not a duration such as `20m`.
    #[error("{text:?} is not a duration: {source}")]
    NotADuration {
        /// The text that was parsed.
        text: String,
        /// Reason given by the parser.
        source: humantime::DurationError,
    },
    /// The text has no `..` between two durations, as in `30m..4h`.
    #[error("{0:?} is not a window: expected FROM..BEFORE, such as 30m..4h")]
    NotAWindow(String),
}
