//! What is published: on one channel, with confirms (extension), and mandatory, so that what cannot be routed comes back
//! (specification 1.8.3.7). Nothing counts as published before the broker has confirmed it.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use amq_protocol::protocol::basic::AMQPProperties;

use crate::Millis;

/// A broker that has not confirmed by then never will, on this connection.
const CONFIRM_TIMEOUT_MS: Millis = 15_000.0;

/// Names one publish, and travels with it in a header, so that one that is returned is recognized.
pub type PublishId = u64;

/// A message to be published.
#[derive(Clone, Debug, PartialEq)]
pub struct Publish {
    /// The exchange.
    pub exchange: String,
    /// The routing key.
    pub routing_key: String,
    /// The properties, with their headers.
    pub properties: AMQPProperties,
    /// The body.
    pub body: Vec<u8>,
}

/// What became of a publish.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PublishResult {
    /// The broker has it.
    Confirmed,
    /// Nothing is bound where it was sent.
    Unroutable,
    /// The broker could not take it.
    Nacked,
    /// The channel was closed before the broker confirmed or rejected it.
    Unknown,
}

/// The publishing channel.
#[derive(Debug, Default)]
pub struct Publisher {
    /// The channel is open, with confirms.
    is_ready: bool,
    /// The broker lets content through on the channel, and on the connection.
    is_flowing: bool,
    is_blocked: bool,
    max_unconfirmed: usize,
    /// The number that the broker counts the next publish by.
    next_number: u64,
    unconfirmed: BTreeMap<u64, PublishId>,
    /// When the broker last confirmed something, or had nothing to confirm.
    last_confirm_at: Millis,
    returned: BTreeSet<PublishId>,
    queue: VecDeque<(PublishId, Publish)>,
}

impl Publisher {
    /// At most `max_unconfirmed` publishes are written that the broker has not confirmed.
    pub fn new(max_unconfirmed: usize) -> Publisher {
        Publisher { max_unconfirmed, is_flowing: true, ..Publisher::default() }
    }

    /// The channel confirms from now on.
    pub fn channel_opened(&mut self) {
        self.is_ready = true;
        self.is_flowing = true;
        self.next_number = 1;
    }

    /// The channel is closed: everything unconfirmed may have been taken or not.
    pub fn channel_closed(&mut self) -> Vec<(PublishId, PublishResult)> {
        self.is_ready = false;
        self.returned.clear();
        let unconfirmed = std::mem::take(&mut self.unconfirmed);
        unconfirmed.into_values().map(|id| (id, PublishResult::Unknown)).collect()
    }

    /// The connection is lost, and with it everyone who waits for a publish.
    pub fn connection_lost(&mut self) {
        *self = Publisher::new(self.max_unconfirmed);
    }

    /// The broker stops content on the channel, or lets it through.
    pub fn set_flow(&mut self, is_flowing: bool) {
        self.is_flowing = is_flowing;
    }

    /// The broker stops content on the connection, or lets it through.
    pub fn set_blocked(&mut self, is_blocked: bool) {
        self.is_blocked = is_blocked;
    }

    /// Adds a publish.
    pub fn enqueue(&mut self, id: PublishId, publish: Publish) {
        self.queue.push_back((id, publish));
    }

    fn may_write(&self) -> bool {
        self.is_ready && self.is_flowing && !self.is_blocked
    }

    /// The next to be written, counted as unconfirmed.
    pub fn write_next(&mut self, now: Millis) -> Option<Publish> {
        if !self.may_write() || self.unconfirmed.len() >= self.max_unconfirmed {
            return None;
        }
        let (id, publish) = self.queue.pop_front()?;
        if self.unconfirmed.is_empty() {
            self.last_confirm_at = now;
        }
        self.unconfirmed.insert(self.next_number, id);
        self.next_number += 1;
        Some(publish)
    }

    /// Whether confirms have been waited for in vain.
    pub fn has_timed_out(&self, now: Millis) -> bool {
        let is_waiting = !self.unconfirmed.is_empty() && !self.is_blocked;
        is_waiting && now - self.last_confirm_at >= CONFIRM_TIMEOUT_MS
    }

    /// Whether no more is to be consumed, while what has ended cannot be published.
    pub fn has_backpressure(&self) -> bool {
        !self.may_write() || !self.queue.is_empty()
    }

    /// Whether everything was published and confirmed.
    pub fn is_empty(&self) -> bool {
        self.unconfirmed.is_empty() && self.queue.is_empty()
    }

    /// A publish was returned; its confirm follows.
    pub fn returned(&mut self, id: PublishId) {
        if self.unconfirmed.values().any(|unconfirmed| *unconfirmed == id) {
            self.returned.insert(id);
        }
    }

    /// The broker's `basic.ack` or `basic.nack` of a publish. Numbers that are not open are ignored.
    pub fn confirmed(
        &mut self,
        number: u64,
        is_multiple: bool,
        is_ack: bool,
        now: Millis,
    ) -> Vec<(PublishId, PublishResult)> {
        self.last_confirm_at = now;
        let ids: Vec<PublishId> = if is_multiple {
            // 0 is all (specification 1.8.3.13).
            let later = if number == 0 { BTreeMap::new() } else { self.unconfirmed.split_off(&(number + 1)) };
            std::mem::replace(&mut self.unconfirmed, later).into_values().collect()
        } else {
            self.unconfirmed.remove(&number).into_iter().collect()
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
