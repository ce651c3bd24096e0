//! Publishing on one channel with publisher confirms (extension). Messages are published as mandatory, so the broker
//! returns those that cannot be routed (specification 1.8.3.7). A message counts as published once the broker has
//! confirmed it.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::fmt;

use amq_protocol::protocol::basic::AMQPProperties;

use crate::Millis;

/// Time without a confirm after which the connection is dropped, ms. The broker is then assumed not to confirm any more.
const CONFIRM_TIMEOUT_MS: Millis = 15_000.0;

/// Identifies a publish. It is sent in a header, so that a returned message can be matched with its publish.
pub type PublishId = u64;

/// A message to publish.
#[derive(Clone, Debug, PartialEq)]
pub struct Publish {
    /// Name of the exchange; empty for the default exchange.
    pub exchange: String,
    /// Routing key within the exchange.
    pub routing_key: String,
    /// Message properties, including headers.
    pub properties: AMQPProperties,
    /// Message body.
    pub body: Vec<u8>,
}

/// Result of a publish.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PublishResult {
    /// The broker confirmed the message.
    Confirmed,
    /// The broker returned the message because it matches no queue.
    Unroutable,
    /// The broker could not accept the message.
    Nacked,
    /// The channel was closed before the broker confirmed or rejected the message.
    Unknown,
}

impl fmt::Display for PublishResult {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            PublishResult::Confirmed => "confirmed",
            PublishResult::Unroutable => "no route",
            PublishResult::Nacked => "rejected",
            PublishResult::Unknown => "no confirm",
        })
    }
}

/// Queue and unconfirmed messages of the publishing channel.
#[derive(Debug, Default)]
pub struct Publisher {
    /// Whether the channel is open with confirms enabled.
    is_ready: bool,
    /// Whether the broker allows content on the channel (`channel.flow`).
    is_flowing: bool,
    /// Whether the broker blocks publishing on the connection (`connection.blocked`).
    is_blocked: bool,
    max_unconfirmed: usize,
    /// Delivery tag that the broker assigns to the next publish.
    next_delivery_tag: u64,
    unconfirmed: BTreeMap<u64, PublishId>,
    /// When the broker last sent a confirm, or a message was published while none was unconfirmed.
    last_confirm_at: Millis,
    /// Returned messages whose confirm has not been received yet.
    returned: BTreeSet<PublishId>,
    queue: VecDeque<(PublishId, Publish)>,
}

impl Publisher {
    /// Creates a publisher that keeps at most `max_unconfirmed` messages unconfirmed.
    pub fn new(max_unconfirmed: usize) -> Publisher {
        Publisher { max_unconfirmed, is_flowing: true, ..Publisher::default() }
    }

    /// Records that the channel is open with confirms enabled.
    pub fn channel_opened(&mut self) {
        self.is_ready = true;
        self.is_flowing = true;
        self.next_delivery_tag = 1;
    }

    /// Records that the channel was closed. Returns the unconfirmed messages, whose result is unknown.
    pub fn channel_closed(&mut self) -> Vec<(PublishId, PublishResult)> {
        self.is_ready = false;
        self.returned.clear();
        let unconfirmed = std::mem::take(&mut self.unconfirmed);
        unconfirmed.into_values().map(|id| (id, PublishResult::Unknown)).collect()
    }

    /// Resets the publisher after the connection was lost. Queued and unconfirmed messages are dropped.
    pub fn connection_lost(&mut self) {
        *self = Publisher::new(self.max_unconfirmed);
    }

    /// Sets whether the broker allows content on the channel.
    pub fn set_flow(&mut self, is_flowing: bool) {
        self.is_flowing = is_flowing;
    }

    /// Sets whether the broker blocks publishing on the connection.
    pub fn set_blocked(&mut self, is_blocked: bool) {
        self.is_blocked = is_blocked;
    }

    /// Appends a message to the queue.
    pub fn enqueue(&mut self, id: PublishId, publish: Publish) {
        self.queue.push_back((id, publish));
    }

    fn may_write(&self) -> bool {
        self.is_ready && self.is_flowing && !self.is_blocked
    }

    /// Takes the next message to write, which counts as unconfirmed from now on; `None` if none may be written.
    pub fn write_next(&mut self, now: Millis) -> Option<Publish> {
        if !self.may_write() || self.unconfirmed.len() >= self.max_unconfirmed {
            return None;
        }
        let (id, publish) = self.queue.pop_front()?;
        if self.unconfirmed.is_empty() {
            self.last_confirm_at = now;
        }
        self.unconfirmed.insert(self.next_delivery_tag, id);
        self.next_delivery_tag += 1;
        Some(publish)
    }

    /// Whether confirms are overdue.
    pub fn has_timed_out(&self, now: Millis) -> bool {
        let is_waiting = !self.unconfirmed.is_empty() && !self.is_blocked;
        is_waiting && now - self.last_confirm_at >= CONFIRM_TIMEOUT_MS
    }

    /// Whether publishing is stalled, so that no more messages should be consumed.
    pub fn has_backpressure(&self) -> bool {
        !self.may_write() || !self.queue.is_empty()
    }

    /// Whether no message is queued or unconfirmed.
    pub fn is_empty(&self) -> bool {
        self.unconfirmed.is_empty() && self.queue.is_empty()
    }

    /// Records that the broker returned a message. Its confirm follows.
    pub fn returned(&mut self, id: PublishId) {
        if self.unconfirmed.values().any(|unconfirmed| *unconfirmed == id) {
            self.returned.insert(id);
        }
    }

    /// Handles `basic.ack` or `basic.nack` of published messages; returns their results. Unknown delivery tags are
    /// ignored.
    pub fn confirmed(
        &mut self,
        delivery_tag: u64,
        is_multiple: bool,
        is_ack: bool,
        now: Millis,
    ) -> Vec<(PublishId, PublishResult)> {
        self.last_confirm_at = now;
        let ids: Vec<PublishId> = if is_multiple {
            // 0 means all messages (specification 1.8.3.13).
            let later = if delivery_tag == 0 {
                BTreeMap::new()
            } else {
                self.unconfirmed.split_off(&(delivery_tag + 1))
            };
            std::mem::replace(&mut self.unconfirmed, later).into_values().collect()
        } else {
            self.unconfirmed.remove(&delivery_tag).into_iter().collect()
        };
        let returned = &mut self.returned;
        let mut result = |id: PublishId| match (is_ack, returned.remove(&id)) {
            (false, _) => PublishResult::Nacked,
            (true, true) => PublishResult::Unroutable,
            (true, false) => PublishResult::Confirmed,
        };
        ids.into_iter().map(|id| (id, result(id))).collect()
    }
}

#[cfg(test)]
mod tests;
