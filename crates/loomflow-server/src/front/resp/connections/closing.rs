//! Timeouts for the peer of a connection that is being closed to read the last responses.

use loomflow::time::Millis;

/// A connection that is being closed is aborted once its peer has read nothing for this time. Tolerates a slow reader, but not
/// a peer that does not read.
pub(super) const CLOSE_STALL_TIMEOUT_MS: Millis = 2_000.0;
/// A connection that is being closed is aborted if its peer has not read everything within this time.
pub(super) const CLOSE_TIMEOUT_MS: Millis = 10_000.0;

/// Progress of a connection that is being closed.
#[derive(Clone, Copy, Debug)]
pub(super) struct CloseProgress {
    started_at: Millis,
    /// Total bytes written to the socket, as of the last check.
    bytes_written: u64,
    /// When a check last found that more bytes had been written.
    stalled_since: Millis,
}

impl CloseProgress {
    /// Starts a close.
    pub(super) fn new(bytes_written: u64, now: Millis) -> CloseProgress {
        CloseProgress { started_at: now, bytes_written, stalled_since: now }
    }

    /// Whether a timeout has expired. Both count from `last_response_at`, when the last response was queued, if that is later
    /// than the start of the close.
    pub(super) fn is_stalled(&mut self, bytes_written: u64, last_response_at: Millis, now: Millis) -> bool {
        if bytes_written != self.bytes_written {
            self.bytes_written = bytes_written;
            self.stalled_since = now;
        }
        let started_at = self.started_at.max(last_response_at);
        let is_stalled = now - started_at.max(self.stalled_since) >= CLOSE_STALL_TIMEOUT_MS;
        is_stalled || now - started_at >= CLOSE_TIMEOUT_MS
    }
}

#[cfg(test)]
mod tests;
