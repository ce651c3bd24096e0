//! A campaign of work, as a YAML file: which servers are to be taken out, why, and for how long.

use std::path::Path;
use std::time::Duration;

use garde::Validate;
use serde::Deserialize;

use crate::read::Read;

/// The whole file.
#[derive(Clone, Debug, Deserialize, Validate)]
#[serde(deny_unknown_fields)]
#[garde(allow_unvalidated)]
pub struct Campaign {
    #[garde(length(min = 1, max = 10_000), dive)]
    pub tickets: Vec<Work>,
}

/// One server's turn.
#[derive(Clone, Debug, Deserialize, Validate)]
#[serde(deny_unknown_fields)]
#[garde(allow_unvalidated)]
pub struct Work {
    #[garde(length(bytes, min = 1, max = 64))]
    pub server: String,
    #[garde(length(bytes, max = 256))]
    pub reason: String,
    #[serde(default)]
    pub urgency: Urgency,
    /// How long it is to be out, such as `20m`.
    #[garde(custom(a_span))]
    pub lasts: String,
    /// When it may be granted, from now on, such as `30m..4h`.
    #[garde(inner(custom(a_window)))]
    pub window: Option<String>,
}

#[derive(Clone, Copy, Debug, Default, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Urgency {
    #[default]
    Routine,
    Urgent,
    Broken,
}

/// A span such as `90s`, `20m` or `1h 30m`. Errors: in words.
pub fn duration(text: &str) -> Read<Duration> {
    humantime::parse_duration(text.trim()).map_err(|e| format!("{text:?} is no span of time: {e}"))
}

/// Two spans with two dots between them. Errors: in words.
pub fn span_of(text: &str) -> Read<(Duration, Duration)> {
    let (from, before) = text
        .split_once("..")
        .ok_or_else(|| format!("{text:?} is no window: FROM..BEFORE, such as 30m..4h"))?;
    Ok((duration(from)?, duration(before)?))
}

fn a_span(text: &str, _: &()) -> garde::Result {
    duration(text).map(|_| ()).map_err(garde::Error::new)
}

fn a_window(text: &str, _: &()) -> garde::Result {
    span_of(text).map(|_| ()).map_err(garde::Error::new)
}

impl Campaign {
    /// Errors name file, line and key.
    pub fn load(path: &Path) -> Read<Campaign> {
        let text =
            std::fs::read_to_string(path).map_err(|e| format!("{}: cannot be read: {e}", path.display()))?;
        let read = serde_saphyr::from_str_valid(&text).map_err(|e| e.without_snippet().to_string());
        read.map_err(|e| format!("{}: {e}", path.display()))
    }
}

#[cfg(test)]
mod tests;
