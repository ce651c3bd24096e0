//! Errors of reading configuration, options and campaign files. Every message names the file, and the key if there is
//! one.

use std::fmt;
use std::io;
use std::path::{Path, PathBuf};

use thiserror::Error;

/// A key whose value is missing or cannot be used.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FieldError {
    /// Full path of the key; empty for the whole document.
    key: String,
    problem: String,
}

impl FieldError {
    /// Creates an error about the key at `key`.
    pub fn new(key: impl Into<String>, problem: impl Into<String>) -> FieldError {
        FieldError { key: key.into(), problem: problem.into() }
    }

    /// The same error, with the key as seen from outside the object or the array at `path`.
    pub(crate) fn within(self, path: &str) -> FieldError {
        let is_member = self.key.starts_with('[');
        let separator = if path.is_empty() || self.key.is_empty() || is_member { "" } else { "." };
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

/// A configuration that cannot be used.
#[derive(Debug, Error)]
pub enum ConfigError {
    /// The file cannot be read.
    #[error("{}: cannot be read: {source}", path.display())]
    Unreadable {
        /// The file.
        path: PathBuf,
        /// The error of the system.
        source: io::Error,
    },
    /// The path is not that of a regular file.
    #[error("{}: cannot be read: not a file", path.display())]
    NotAFile {
        /// The path.
        path: PathBuf,
    },
    /// The file exceeds the size limit.
    #[error("{}: cannot be read: longer than {max_mib} MiB", path.display())]
    TooLong {
        /// The file.
        path: PathBuf,
        /// The limit, MiB.
        max_mib: u64,
    },
    /// The text is not JSON.
    #[error("not JSON: {0}")]
    NotJson(#[from] serde_json::Error),
    /// A key has a value that cannot be used.
    #[error(transparent)]
    Invalid(#[from] FieldError),
    /// The text of a file has an error.
    #[error("{}: {source}", path.display())]
    InFile {
        /// The file.
        path: PathBuf,
        /// The error.
        source: Box<ConfigError>,
    },
}

impl ConfigError {
    /// Adds the name of the file whose text has this error.
    pub(crate) fn in_file(self, path: &Path) -> ConfigError {
        ConfigError::InFile { path: path.to_owned(), source: Box::new(self) }
    }
}

/// A YAML file (options, credentials or campaign) that cannot be used.
#[derive(Debug, Error)]
pub enum YamlError {
    /// The file cannot be read.
    #[error("{}: cannot be read: {source}", path.display())]
    Unreadable {
        /// The file.
        path: PathBuf,
        /// The error of the system.
        source: io::Error,
    },
    /// The text is not YAML, or a value is invalid. The message of the parser names line, column and key.
    #[error("{0}")]
    Invalid(String),
    /// The credentials are incomplete. The message never quotes the file.
    #[error("{}: needs user and password, each a text, and nothing else", path.display())]
    InvalidCredentials {
        /// The file.
        path: PathBuf,
    },
    /// The text of a file has an error.
    #[error("{}: {source}", path.display())]
    InFile {
        /// The file.
        path: PathBuf,
        /// The error.
        source: Box<YamlError>,
    },
}

impl YamlError {
    pub(crate) fn in_file(self, path: &Path) -> YamlError {
        YamlError::InFile { path: path.to_owned(), source: Box::new(self) }
    }
}

/// Reads the text of a YAML file.
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

/// An option that contradicts another one or the settings.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OptionFault {
    location: Option<Location>,
    error: FieldError,
}

impl OptionFault {
    /// Creates a fault of the option at `key`.
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

/// All faults of an options file, displayed as one line each.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OptionFaults(pub Vec<OptionFault>);

impl fmt::Display for OptionFaults {
    fn fmt(&self, formatter: &mut fmt::Formatter) -> fmt::Result {
        let lines: Vec<String> = self.0.iter().map(OptionFault::to_string).collect();
        formatter.write_str(&lines.join("\n"))
    }
}

impl std::error::Error for OptionFaults {}

/// A text that is not a span of time.
#[derive(Clone, Debug, PartialEq, Error)]
pub enum SpanError {
    /// Not a duration such as `20m`.
    #[error("{text:?} is no span of time: {source}")]
    NotADuration {
        /// The text.
        text: String,
        /// The error of the parser.
        source: humantime::DurationError,
    },
    /// Not two durations such as `30m..4h`.
    #[error("{0:?} is no window: FROM..BEFORE, such as 30m..4h")]
    NotAWindow(String),
}
