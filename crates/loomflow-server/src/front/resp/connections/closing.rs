//! How long the peer of a connection that is being closed has to read the last responses.

use loomflow::time::Millis;

/// A connection that is being closed is aborted after its peer has read nothing for this time. A slow reader is waited for, a
/// peer that does not read is not.
pub(super) const CLOSE_STALL_TIMEOUT_MS: Millis = 2_000.0;
/// It is aborted once its peer has not read everything after this time.
pub(super) const CLOSE_TIMEOUT_MS: Millis = 10_000.0;

/// A connection that is being closed.
#[derive(Clone, Copy, Debug)]
pub(super) struct Closing {
    started_at: Millis,
    /// How much was written at the last check, and since when no more has been.
    bytes_written: u64,
    stalled_since: Millis,
}

impl Closing {
    /// A close that starts now.
    pub(super) fn new(bytes_written: u64, now: Millis) -> Closing {
        Closing { started_at: now, bytes_written, stalled_since: now }
    }

    /// Whether the peer is no longer waited for. `last_response_at`: when the last response was queued.
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
