//! The campaign file (YAML): a list of maintenance tickets that are created together.

use std::path::Path;
use std::time::Duration;

use garde::Validate;
use serde::Deserialize;

use crate::error::{ParseDurationError, YamlError, read_text};

/// A validated campaign file.
#[derive(Clone, Debug, Deserialize, Validate)]
#[serde(deny_unknown_fields)]
#[garde(allow_unvalidated)]
pub struct Campaign {
    /// The tickets to create, in order.
    #[garde(length(min = 1, max = 10_000), dive)]
    pub tickets: Vec<Ticket>,
}

/// A request to take one server out of service for maintenance.
#[derive(Clone, Debug, Deserialize, Validate)]
#[serde(deny_unknown_fields)]
#[garde(allow_unvalidated)]
pub struct Ticket {
    /// Name of the server, as in its configuration.
    #[garde(length(bytes, min = 1, max = 64))]
    pub server: String,
    /// Reason for the maintenance, for display to operators.
    #[garde(length(bytes, max = 256))]
    pub reason: String,
    /// Urgency of the ticket, which determines whether it is granted before others; routine by default.
    #[serde(default)]
    pub urgency: Urgency,
    /// Expected duration of the maintenance, such as `20m`.
    #[garde(custom(is_duration))]
    pub lasts: String,
    /// Window in which the maintenance may be granted, relative to the creation of the ticket, such as `30m..4h`; no limits
    /// if absent.
    #[garde(inner(custom(is_window)))]
    pub window: Option<String>,
}

/// Urgency of a ticket, which determines when it is granted.
#[derive(Clone, Copy, Debug, Default, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Urgency {
    /// Granted in turn with other routine tickets.
    #[default]
    Routine,
    /// Granted before routine tickets.
    Urgent,
    /// The server is broken, and therefore already out of service.
    Broken,
}

/// Parses a duration such as `90s`, `20m` or `1h 30m`.
///
/// # Errors
///
/// [`ParseDurationError::NotADuration`] if the text is not a duration.
pub fn parse_duration(text: &str) -> Result<Duration, ParseDurationError> {
    humantime::parse_duration(text.trim())
        .map_err(|source| ParseDurationError::NotADuration { text: text.to_owned(), source })
}

/// Parses a window of two durations such as `30m..4h`.
///
/// # Errors
///
/// The text has no `..`, or one of its halves is not a duration.
pub fn parse_window(text: &str) -> Result<(Duration, Duration), ParseDurationError> {
    let (from, before) =
        text.split_once("..").ok_or_else(|| ParseDurationError::NotAWindow(text.to_owned()))?;
    Ok((parse_duration(from)?, parse_duration(before)?))
}

#[expect(clippy::trivially_copy_pass_by_ref, reason = "garde passes its context by reference")]
fn is_duration(text: &str, _: &()) -> garde::Result {
    parse_duration(text).map(|_| ()).map_err(garde::Error::new)
}

#[expect(clippy::trivially_copy_pass_by_ref, reason = "garde passes its context by reference")]
fn is_window(text: &str, _: &()) -> garde::Result {
    parse_window(text).map(|_| ()).map_err(garde::Error::new)
}

impl Campaign {
    /// Reads and validates a campaign file.
    ///
    /// # Errors
    ///
    /// The file cannot be read or is invalid; the message names file, line and key.
    pub fn load(path: &Path) -> Result<Campaign, YamlError> {
        let text = read_text(path)?;
        serde_saphyr::from_str_valid(&text)
            .map_err(|error| YamlError::Invalid(error.without_snippet().to_string()).in_file(path))
    }
}

#[cfg(test)]
mod tests;
