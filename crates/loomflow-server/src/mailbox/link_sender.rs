//! Back pressure for the links that this server opens. Their messages need no response, so no number of open requests bounds
//! them: each link may send a bounded number of messages for each batch that the owner takes. The bound holds for each link
//! alone, so that one whose peer sends at full speed does not hold up the others.

use std::sync::Arc;
use std::time::Duration;

use super::{Mailbox, OwnerEvent};
use crate::connection;

/// Number of messages after which a link waits until the owner has taken them.
const MAX_MESSAGES_PER_BATCH: usize = 256;
/// Interval at which a waiting link checks whether the owner has taken its messages.
const POLL_INTERVAL: Duration = Duration::from_millis(1);

/// Sends the messages of one link to the owner.
pub struct LinkSender {
    mailbox: Arc<Mailbox>,
    /// The batch that the last messages were sent for, as the number of batches taken before it.
    batch: u64,
    /// Messages sent for this batch.
    messages: usize,
}

impl LinkSender {
    /// Creates the sender of a link that has sent nothing.
    pub fn new(mailbox: Arc<Mailbox>) -> LinkSender {
        LinkSender { mailbox, batch: 0, messages: 0 }
    }

    /// Sends an event for `messages` messages. Suspends the calling coroutine while the link has sent
    /// [`MAX_MESSAGES_PER_BATCH`] or more that the owner has not taken, so that nothing more is read from the link.
    pub fn send(&mut self, event: OwnerEvent, messages: usize) {
        while !self.has_capacity() {
            connection::sleep(POLL_INTERVAL);
        }
        self.messages += messages;
        self.mailbox.send(event);
    }

    fn has_capacity(&mut self) -> bool {
        let batch = self.mailbox.batches_taken();
        if batch != self.batch {
            (self.batch, self.messages) = (batch, 0);
        }
        self.messages < MAX_MESSAGES_PER_BATCH
    }
}

#[cfg(test)]
mod tests;
