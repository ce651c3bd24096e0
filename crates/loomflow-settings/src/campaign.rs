//! Campaign file (YAML): the maintenance tickets of a campaign.

use std::path::Path;
use std::time::Duration;

use garde::Validate;
use serde::Deserialize;

use crate::error::{SpanError, YamlError, read_text};

/// The campaign file.
#[derive(Clone, Debug, Deserialize, Validate)]
#[serde(deny_unknown_fields)]
#[garde(allow_unvalidated)]
pub struct Campaign {
    /// The tickets to create, in order.
    #[garde(length(min = 1, max = 10_000), dive)]
    pub tickets: Vec<Ticket>,
}

/// The maintenance of one server.
#[derive(Clone, Debug, Deserialize, Validate)]
#[serde(deny_unknown_fields)]
#[garde(allow_unvalidated)]
pub struct Ticket {
    /// Name of the server.
    #[garde(length(bytes, min = 1, max = 64))]
    pub server: String,
    /// Why it is taken out of service.
    #[garde(length(bytes, max = 256))]
    pub reason: String,
    /// Urgency; routine by default.
    #[serde(default)]
    pub urgency: Urgency,
    /// How long it is to be out of service, such as `20m`.
    #[garde(custom(is_duration))]
    pub lasts: String,
    /// When it may be granted, counted from now, such as `30m..4h`.
    #[garde(inner(custom(is_window)))]
    pub window: Option<String>,
}

/// Urgency of a ticket.
#[derive(Clone, Copy, Debug, Default, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Urgency {
    /// Granted in turn.
    #[default]
    Routine,
    /// Granted before routine tickets.
    Urgent,
    /// The server is broken: out of service already.
    Broken,
}

/// Parses a duration such as `90s`, `20m` or `1h 30m`.
///
/// # Errors
///
/// The text is not a duration.
pub fn parse_duration(text: &str) -> Result<Duration, SpanError> {
    humantime::parse_duration(text.trim())
        .map_err(|source| SpanError::NotADuration { text: text.to_owned(), source })
}

/// Parses a window of two durations such as `30m..4h`.
///
/// # Errors
///
/// The text is not a window.
pub fn parse_window(text: &str) -> Result<(Duration, Duration), SpanError> {
    let (from, before) = text.split_once("..").ok_or_else(|| SpanError::NotAWindow(text.to_owned()))?;
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
    /// Reads and validates a file.
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
