//! The log on standard error. All lines are written by the macro `log!`, which limits their rate.

use std::io::Write;
use std::sync::{Mutex, PoisonError};
use std::time::Instant;

use loomflow_settings::options::LogFormat;

/// Sustained rate of the log.
const LINES_PER_SECOND: f64 = 5.0;
/// Number of lines that may be written at once after a quiet period.
const BURST_LINES: f64 = 20.0;

/// A token bucket; each line takes one token.
struct RateLimit {
    tokens: f64,
    refilled_at: Option<Instant>,
    /// Lines that were dropped since the last line that was written.
    dropped: u64,
}

static RATE_LIMIT: Mutex<RateLimit> =
    Mutex::new(RateLimit { tokens: BURST_LINES, refilled_at: None, dropped: 0 });

/// Starts the log in this format; lines logged before are discarded. Further calls have no effect.
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

/// Collects one line and writes it with a single `eprintln!` when dropped. `eprintln!` panics if standard error is
/// closed; the panic is caught, because a server without a log still serves.
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

/// Takes a token for a line that is logged now. Returns how many lines were dropped since the last one that was
/// written, or `None` if this line must be dropped, too.
pub fn admit() -> Option<u64> {
    let mut rate_limit = RATE_LIMIT.lock().unwrap_or_else(PoisonError::into_inner);
    rate_limit.admit(Instant::now())
}

impl RateLimit {
    fn admit(&mut self, now: Instant) -> Option<u64> {
        let elapsed = self.refilled_at.map_or(0.0, |at| now.duration_since(at).as_secs_f64());
        self.refilled_at = Some(now);
        self.tokens = (self.tokens + elapsed * LINES_PER_SECOND).min(BURST_LINES);
        if self.tokens < 1.0 {
            self.dropped += 1;
            return None;
        }
        self.tokens -= 1.0;
        Some(std::mem::take(&mut self.dropped))
    }
}

/// Logs a line of fields and a message in the syntax of `tracing`, as in `log!(why, "a request was not accepted")`,
/// unless the rate limit is exceeded.
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
