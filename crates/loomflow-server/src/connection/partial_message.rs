//! A message of which a part has been received.

use std::time::{Duration, Instant};

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

    /// Whether the rest is not to be waited for: nothing came for `stall_timeout`, or it has taken longer than `timeout`.
    pub fn is_stalled(&self, stall_timeout: Duration, timeout: Duration) -> bool {
        self.last_byte_at.elapsed() >= stall_timeout || self.started_at.elapsed() >= timeout
    }
}
