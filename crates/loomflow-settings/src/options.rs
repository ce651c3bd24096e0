//! The options file (YAML): features beyond the platform, all of which are off without it.
//!
//! Parsed by `serde`, validated by `garde`, published as a schema by `schemars`. Errors name line, column and key.

use std::path::Path;

use garde::Validate;
use schemars::JsonSchema;
use serde::Deserialize;

use crate::amqp::Amqp;
use crate::error::{OptionFaults, YamlError, read_text};
use crate::fleet::Fleet;
use crate::site::Site;

/// The options file.
#[derive(Clone, Debug, Default, Deserialize, JsonSchema, Validate)]
#[serde(deny_unknown_fields)]
#[garde(allow_unvalidated)]
pub struct Options {
    /// Logging.
    #[serde(default)]
    pub log: Log,
    /// Work from the queues of AMQP 0-9-1 brokers. Off if absent.
    #[garde(dive)]
    pub amqp: Option<Amqp>,
    /// Membership in a fleet of servers. Off if absent.
    #[garde(dive)]
    pub fleet: Option<Fleet>,
}

/// Options of logging.
#[derive(Clone, Debug, Default, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct Log {
    /// Format of the log.
    pub format: LogFormat,
}

/// Format of the log.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize, JsonSchema)]
#[serde(rename_all = "lowercase")]
pub enum LogFormat {
    /// Messages and fields as text.
    #[default]
    Text,
    /// One JSON object per line, with its time.
    Json,
}

impl Options {
    /// Reads and validates an options file. Relative paths in it are resolved against its directory.
    ///
    /// # Errors
    ///
    /// The file cannot be read or is invalid; the message names file, line and key.
    pub fn load(path: &Path) -> Result<Options, YamlError> {
        let text = read_text(path)?;
        let mut options = Options::parse(&text).map_err(|error| error.in_file(path))?;
        if let Some(directory) = path.parent() {
            if let Some(amqp) = &mut options.amqp {
                amqp.credentials = directory.join(&amqp.credentials);
            }
            if let Some(fleet) = &mut options.fleet {
                fleet.state = directory.join(&fleet.state);
            }
        }
        Ok(options)
    }

    /// Parses and validates the text of an options file.
    ///
    /// # Errors
    ///
    /// The text is not YAML or has invalid values. The message has a line for each of them, with its position and key.
    pub fn parse(text: &str) -> Result<Options, YamlError> {
        if text.trim().is_empty() {
            return Ok(Options::default());
        }
        serde_saphyr::from_str_valid(text)
            .map_err(|error| YamlError::Invalid(error.without_snippet().to_string()))
    }

    /// Checks the options against each other, the settings of the site and the name of the server.
    ///
    /// # Errors
    ///
    /// All contradictions that were found.
    pub fn check(&self, site: &Site, server: &str) -> Result<(), OptionFaults> {
        let mut faults = self.amqp.as_ref().map_or_else(Vec::new, |amqp| amqp.faults(site));
        faults.extend(self.fleet.iter().flat_map(|fleet| fleet.faults(server)));
        if faults.is_empty() { Ok(()) } else { Err(OptionFaults(faults)) }
    }

    /// Returns the JSON schema of the options file, as `loomflow schema` prints it.
    pub fn schema() -> String {
        let schema = schemars::schema_for!(Options);
        serde_json::to_string_pretty(&schema).unwrap_or_default()
    }
}

#[cfg(test)]
mod tests;
