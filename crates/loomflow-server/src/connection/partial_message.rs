//! A message of which a part has been received.

use std::time::{Duration, Instant};

/// How long after its last byte the rest of a message is waited for: a slow peer is waited for, a stalled one is not.
const STALL_TIMEOUT: Duration = Duration::from_millis(1_500);
/// How long after its first byte the rest of a message is waited for.
const TIMEOUT: Duration = Duration::from_secs(10);

/// When a message began to arrive, and how much of it has.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PartialMessage {
    started_at: Instant,
    last_byte_at: Instant,
    /// Bytes received.
    length: usize,
}

impl PartialMessage {
    /// What is known once `length` bytes are unread; only more bytes are progress.
    pub(super) fn updated(
        former: Option<PartialMessage>,
        length: usize,
        now: Instant,
    ) -> Option<PartialMessage> {
        match former {
            _ if length == 0 => None,
            Some(same) if same.length == length => Some(same),
            Some(PartialMessage { started_at, .. }) => {
                Some(PartialMessage { started_at, last_byte_at: now, length })
            }
            None => Some(PartialMessage { started_at: now, last_byte_at: now, length }),
        }
    }

    /// Whether the rest is no longer waited for.
    pub fn is_stalled(&self, now: Instant) -> bool {
        now.saturating_duration_since(self.last_byte_at) >= STALL_TIMEOUT
            || now.saturating_duration_since(self.started_at) >= TIMEOUT
    }
}

#[cfg(test)]
mod tests;
