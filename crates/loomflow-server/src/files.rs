//! The configuration and options files that a server is started with.

use std::path::{Path, PathBuf};

use loomflow_settings::error::{OptionFaults, YamlError};
use loomflow_settings::guard::{self, Change, ReloadCheck, RuleViolation};
use loomflow_settings::{Config, ConfigError, Options};
use thiserror::Error;

/// Paths of the files.
pub struct Files {
    /// The configuration.
    pub config: PathBuf,
    /// The options, if any.
    pub options: Option<PathBuf>,
}

/// A file cannot be used. The message names file and key, with a line for each fault.
#[derive(Debug, Error)]
pub enum FileError {
    /// The configuration is invalid.
    #[error(transparent)]
    Config(#[from] ConfigError),
    /// The options are invalid.
    #[error(transparent)]
    Options(#[from] YamlError),
    /// The options contradict the configuration or each other.
    #[error("{}", prefix_lines(path, &faults.0))]
    Contradictions {
        /// The options file.
        path: PathBuf,
        /// All contradictions.
        faults: OptionFaults,
    },
    /// A reload of the configuration would be rejected.
    #[error("{}", prefix_lines(path, violations))]
    RejectedReload {
        /// The new configuration.
        path: PathBuf,
        /// All rule violations.
        violations: Vec<RuleViolation>,
    },
}

/// Puts each item on a line that begins with the path.
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

    /// What a server that runs with the configuration `current` would change if it reloaded `new`, which was read from
    /// these files. All classes count as in use, because the state of that server is unknown here.
    pub fn changes(&self, current: &Path, new: &Config) -> Result<Vec<Change>, FileError> {
        let current = Config::load(current)?;
        guard::check_reload(&ReloadCheck { current: &current, new, is_class_in_use: &|_| true })
            .map_err(|violations| FileError::RejectedReload { path: self.config.clone(), violations })
    }
}
