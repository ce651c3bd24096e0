//! The log on standard error, behind one macro that limits it to a few lines a second.

use std::io::Write;
use std::sync::{Mutex, PoisonError};
use std::time::Instant;

use loomflow_settings::options::LogFormat;

/// Lines a second, and the maximum number of lines in a burst.
const RATE: f64 = 5.0;
const BURST: f64 = 20.0;

/// A token bucket of lines.
struct RateLimit {
    tokens: f64,
    refilled_at: Option<Instant>,
    /// Lines that were dropped since the last one that was written.
    dropped: u64,
}

static RATE_LIMIT: Mutex<RateLimit> = Mutex::new(RateLimit { tokens: BURST, refilled_at: None, dropped: 0 });

/// Starts the log; lines before that go nowhere. Only the first call counts.
pub fn start(format: LogFormat) {
    let lines = tracing_subscriber::fmt().with_target(false);
    let writer = |prefix| move || LogLine { prefix, bytes: Vec::new() };
    let _ = match format {
        LogFormat::Text => {
            let lines = lines.without_time().with_level(false).with_ansi(false);
            lines.with_writer(writer("loomflow: ")).try_init()
        }
        LogFormat::Json => lines.json().flatten_event(true).with_writer(writer("")).try_init(),
    };
}

/// One line, written by a single `eprintln!`. It panics if standard error is closed, which is no reason to stop serving.
struct LogLine {
    prefix: &'static str,
    bytes: Vec<u8>,
}

impl Write for LogLine {
    fn write(&mut self, bytes: &[u8]) -> std::io::Result<usize> {
        self.bytes.extend_from_slice(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}

impl Drop for LogLine {
    fn drop(&mut self) {
        let text = String::from_utf8_lossy(&self.bytes);
        let line = text.trim();
        if !line.is_empty() {
            let write = || eprintln!("{}{line}", self.prefix);
            let _ = std::panic::catch_unwind(std::panic::AssertUnwindSafe(write));
        }
    }
}

/// Whether a line may be written now; then also how many were dropped since the last one.
pub fn admit() -> Option<u64> {
    let mut rate_limit = RATE_LIMIT.lock().unwrap_or_else(PoisonError::into_inner);
    rate_limit.admit(Instant::now())
}

impl RateLimit {
    fn admit(&mut self, now: Instant) -> Option<u64> {
        let elapsed = self.refilled_at.map_or(0.0, |at| now.duration_since(at).as_secs_f64());
        self.refilled_at = Some(now);
        self.tokens = (self.tokens + elapsed * RATE).min(BURST);
        if self.tokens < 1.0 {
            self.dropped += 1;
            return None;
        }
        self.tokens -= 1.0;
        Some(std::mem::take(&mut self.dropped))
    }
}

/// Writes a line of fields and a message, in the syntax of `tracing`: `log!(why, "a request was not accepted")`.
#[macro_export]
macro_rules! log {
    ($($line:tt)*) => {
        if let Some(lines) = $crate::log::admit() {
            if lines > 0 {
                ::tracing::info!(lines, "log lines were dropped");
            }
            ::tracing::info!($($line)*);
        }
    };
}

#[cfg(test)]
mod tests;
