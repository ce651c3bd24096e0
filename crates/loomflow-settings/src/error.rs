//! Errors of reading a configuration file.

use std::path::PathBuf;

use thiserror::Error;

/// Why a configuration cannot be used.
#[derive(Debug, Error)]
pub enum ConfigError {
    #[error("{}: cannot be read: {source}", path.display())]
    Unreadable { path: PathBuf, source: std::io::Error },
    #[error("{}: cannot be read: not a file", path.display())]
    NotAFile { path: PathBuf },
    #[error("{}: cannot be read: longer than {max_mib} MiB", path.display())]
    TooLong { path: PathBuf, max_mib: u64 },
    #[error("not JSON: {0}")]
    NotJson(#[from] serde_json::Error),
    /// A key with a value that cannot be used; the message names the key.
    #[error("{0}")]
    Invalid(String),
    /// Any fault of the text of a file.
    #[error("{}: {source}", path.display())]
    InFile { path: PathBuf, source: Box<ConfigError> },
}

impl ConfigError {
    /// Names the file whose text has this fault.
    pub(crate) fn in_file(self, path: &std::path::Path) -> ConfigError {
        ConfigError::InFile { path: path.to_owned(), source: Box::new(self) }
    }
}

/// Messages of the key-by-key readers.
impl From<String> for ConfigError {
    fn from(message: String) -> ConfigError {
        ConfigError::Invalid(message)
    }
}

/// For callers that pass messages on as text.
impl From<ConfigError> for String {
    fn from(error: ConfigError) -> String {
        error.to_string()
    }
}
