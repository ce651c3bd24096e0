//! Progress of a partially received message, for the detection of stalled peers.

use std::time::{Duration, Instant};

/// Maximum time between two bytes of a message: tolerates a slow peer, but not a stalled one.
const STALL_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Maximum time from the first byte of a message to its last.
const TIMEOUT: Duration = Duration::from_secs(10);

/// A message whose first bytes have been received.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PartialMessage {
    started_at: Instant,
    last_byte_at: Instant,
    /// Bytes received so far.
    length: usize,
}

impl PartialMessage {
    /// The state after a read that left `length` undecoded bytes in the buffer: `None` without any, `previous` if the length
    /// has not changed.
    pub(super) fn updated(
        previous: Option<PartialMessage>,
        length: usize,
        now: Instant,
    ) -> Option<PartialMessage> {
        match previous {
            _ if length == 0 => None,
            Some(unchanged) if unchanged.length == length => Some(unchanged),
            Some(PartialMessage { started_at, .. }) => {
                Some(PartialMessage { started_at, last_byte_at: now, length })
            }
            None => Some(PartialMessage { started_at: now, last_byte_at: now, length }),
        }
    }

    /// Whether one of the two timeouts has expired.
    pub fn is_stalled(&self, now: Instant) -> bool {
        now.saturating_duration_since(self.last_byte_at) >= STALL_TIMEOUT
            || now.saturating_duration_since(self.started_at) >= TIMEOUT
    }
}

#[cfg(test)]
mod tests;
