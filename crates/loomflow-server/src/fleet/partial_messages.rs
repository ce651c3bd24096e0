//! Decides which connections from other members are closed because of messages received in part: a sender that has written
//! most of a long message and stops would otherwise hold its memory for as long as it likes.

use loomflow_fleet::time::IntegerMillis;
use loomflow_fleet::wire::MAX_MESSAGE_BYTES;

/// Maximum memory of the buffers of all connections together, bytes: two messages of maximum length at once.
pub const MAX_BUFFER_BYTES: usize = 2 * MAX_MESSAGE_BYTES;
/// Maximum time between two bytes of a message, ms.
const STALL_TIMEOUT_MILLIS: IntegerMillis = 3_000;
/// Maximum time from the first byte of a message to its last, ms.
const MESSAGE_TIMEOUT_MILLIS: IntegerMillis = 30_000;

/// The progress of a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LinkProgress {
    /// Memory of the buffer, bytes.
    pub buffer_bytes: usize,
    /// When bytes were read last, ms.
    pub last_read_at: IntegerMillis,
    /// When the first bytes of the partial message were read, ms; `None` if there is none.
    pub message_started_at: Option<IntegerMillis>,
}

impl LinkProgress {
    /// Whether a partial message has timed out.
    pub fn is_stalled(&self, now: IntegerMillis) -> bool {
        self.message_started_at.is_some_and(|started_at| {
            now >= self.last_read_at + STALL_TIMEOUT_MILLIS || now >= started_at + MESSAGE_TIMEOUT_MILLIS
        })
    }
}

/// The connection to close when the buffers exceed [`MAX_BUFFER_BYTES`]: among those that hold a partial message the one
/// without bytes for longest, and of several the one with the largest buffer. A member that is sending loses its connection
/// last.
pub fn least_progress<Id>(links: impl Iterator<Item = (Id, LinkProgress)>) -> Option<Id> {
    let partial = links.filter(|(_, link)| link.message_started_at.is_some());
    let order = |link: &LinkProgress| (link.last_read_at, usize::MAX - link.buffer_bytes);
    partial.min_by_key(|(_, link)| order(link)).map(|(id, _)| id)
}

#[cfg(test)]
mod tests;
