//! Decides which connections from other members are closed: a sender that has written most of a long message and stops would
//! otherwise hold its memory for as long as it likes, and senders that are no members would use up the descriptors. A member
//! opens a connection when it has a message to send, so its first message follows at once.

use loomflow_fleet::time::IntegerMillis;
use loomflow_fleet::wire::MAX_MESSAGE_BYTES;

/// Maximum memory of the buffers of all connections together, bytes: two messages of maximum length at once.
pub const MAX_BUFFER_BYTES: usize = 2 * MAX_MESSAGE_BYTES;
/// Maximum time between two bytes of a message, ms.
const STALL_TIMEOUT_MILLIS: IntegerMillis = 3_000;
/// Maximum time from the first byte of a message to its last, ms.
const MESSAGE_TIMEOUT_MILLIS: IntegerMillis = 30_000;

/// Maximum number of connections on which no valid message was received.
pub const MAX_UNKNOWN_SENDERS: usize = 64;
/// Maximum time from the opening of a connection to its first valid message, ms.
const FIRST_MESSAGE_TIMEOUT_MILLIS: IntegerMillis = MESSAGE_TIMEOUT_MILLIS;

/// The progress of a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LinkProgress {
    /// Memory of the buffer, bytes.
    pub buffer_bytes: usize,
    /// When the connection was accepted, ms.
    pub opened_at: IntegerMillis,
    /// Whether a valid message of this fleet was received.
    pub is_member: bool,
    /// When bytes were read last, ms.
    pub last_read_at: IntegerMillis,
    /// When the first bytes of the partial message were read, ms; `None` if there is none.
    pub message_started_at: Option<IntegerMillis>,
}

impl LinkProgress {
    /// Whether a partial message, or the first one, has timed out.
    pub fn is_timed_out(&self, now: IntegerMillis) -> bool {
        self.is_stalled(now) || (!self.is_member && now >= self.opened_at + FIRST_MESSAGE_TIMEOUT_MILLIS)
    }

    /// Whether a partial message has timed out.
    fn is_stalled(&self, now: IntegerMillis) -> bool {
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

/// The connection to close before another one is added: the oldest of an unknown sender, if there are
/// [`MAX_UNKNOWN_SENDERS`].
pub fn excess_unknown_sender<Id>(links: impl Iterator<Item = (Id, LinkProgress)>) -> Option<Id> {
    let unknown: Vec<(Id, LinkProgress)> = links.filter(|(_, link)| !link.is_member).collect();
    let is_full = unknown.len() >= MAX_UNKNOWN_SENDERS;
    let oldest = unknown.into_iter().min_by_key(|(_, link)| link.opened_at).filter(|_| is_full);
    oldest.map(|(id, _)| id)
}

#[cfg(test)]
mod tests;
