//! Loads the configuration and options files of a server, and compares two configurations.

use std::path::{Path, PathBuf};

use loomflow_settings::error::{OptionFaults, YamlError};
use loomflow_settings::guard::{self, Change, ReloadCheck, RuleViolation};
use loomflow_settings::{Config, ConfigError, Options};
use thiserror::Error;

/// Paths of the files that a server is started with.
pub struct Files {
    /// The configuration, as JSON.
    pub config: PathBuf,
    /// The options, as YAML; without them the defaults are used.
    pub options: Option<PathBuf>,
}

/// A file cannot be used. The message has one line for each fault, with the path of the file and the key.
#[derive(Debug, Error)]
pub enum FileError {
    /// The configuration cannot be read or is invalid.
    #[error(transparent)]
    Config(#[from] ConfigError),
    /// The options cannot be read or are invalid.
    #[error(transparent)]
    Options(#[from] YamlError),
    /// The options contradict the configuration or one another.
    #[error("{}", prefix_lines(path, &faults.0))]
    Contradictions {
        /// The options file.
        path: PathBuf,
        /// All contradictions.
        faults: OptionFaults,
    },
    /// A running server would reject a reload of the configuration.
    #[error("{}", prefix_lines(path, violations))]
    RejectedReload {
        /// The new configuration.
        path: PathBuf,
        /// All rule violations.
        violations: Vec<RuleViolation>,
    },
}

/// Formats each item as a line that begins with the path.
fn prefix_lines(path: &Path, items: &[impl std::fmt::Display]) -> String {
    let lines: Vec<String> = items.iter().map(|item| format!("{}: {item}", path.display())).collect();
    lines.join("\n")
}

impl Files {
    /// Reads and validates both files.
    pub fn load(&self) -> Result<(Config, Options), FileError> {
        let config = Config::load(&self.config)?;
        let Some(path) = &self.options else { return Ok((config, Options::default())) };
        let options = Options::load(path)?;
        options
            .check(&config.site, &config.name)
            .map_err(|faults| FileError::Contradictions { path: path.clone(), faults })?;
        Ok((config, options))
    }

    /// Returns what a server that runs with the configuration at `current` would change on a reload of `new`, which
    /// was loaded from these files. Assumes that all classes are in use, because the state of that server is not
    /// available here.
    pub fn changes(&self, current: &Path, new: &Config) -> Result<Vec<Change>, FileError> {
        let current = Config::load(current)?;
        guard::check_reload(&ReloadCheck { current: &current, new, is_class_in_use: &|_| true })
            .map_err(|violations| FileError::RejectedReload { path: self.config.clone(), violations })
    }
}
