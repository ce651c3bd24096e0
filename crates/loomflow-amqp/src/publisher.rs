//! What we publish: on one channel, with confirms (extension), and mandatory, so that what cannot be routed comes back
//! (spec 1.8.3.7). Nothing counts as published before the broker has confirmed it.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use amq_protocol::protocol::basic::AMQPProperties;

/// A broker that has not confirmed by then never will, on this connection, ms.
const CONFIRM_TIMEOUT_MS: f64 = 15_000.0;

/// Names one publish, and travels with it in a header, so that one that is returned is known.
pub type PublishId = u64;

#[derive(Clone, Debug, PartialEq)]
pub struct Publish {
    pub exchange: String,
    pub routing_key: String,
    pub properties: AMQPProperties,
    pub body: Vec<u8>,
}

/// What became of a publish.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PublishResult {
    Confirmed,
    /// Nothing is bound where it was sent.
    Unroutable,
    /// The broker has said that it could not take it.
    Nacked,
    /// The channel closed before it said either.
    Unknown,
}

#[derive(Debug, Default)]
pub struct Publisher {
    /// A channel with confirms is open, and the broker lets content through on it and on the connection.
    is_ready: bool,
    is_flowing: bool,
    is_blocked: bool,
    max_unconfirmed: usize,
    /// The number that the broker counts the next publish by.
    next_number: u64,
    unconfirmed: BTreeMap<u64, PublishId>,
    /// When the broker last confirmed something, or had nothing to confirm.
    last_confirm_at: f64,
    returned: BTreeSet<PublishId>,
    queue: VecDeque<(PublishId, Publish)>,
}

impl Publisher {
    pub fn new(max_unconfirmed: usize) -> Publisher {
        Publisher { max_unconfirmed, is_flowing: true, ..Publisher::default() }
    }

    /// The channel confirms from now on.
    pub fn channel_opened(&mut self) {
        (self.is_ready, self.is_flowing, self.next_number) = (true, true, 1);
    }

    /// The channel is gone: all that was not confirmed may have been taken or not.
    pub fn channel_closed(&mut self) -> Vec<(PublishId, PublishResult)> {
        self.is_ready = false;
        self.returned.clear();
        std::mem::take(&mut self.unconfirmed).into_values().map(|id| (id, PublishResult::Unknown)).collect()
    }

    /// The connection is gone, and with it everyone who waits for a publish.
    pub fn connection_lost(&mut self) {
        let most = self.max_unconfirmed;
        *self = Publisher::new(most);
    }

    pub fn set_flow(&mut self, on: bool) {
        self.is_flowing = on;
    }

    pub fn set_blocked(&mut self, is: bool) {
        self.is_blocked = is;
    }

    pub fn enqueue(&mut self, id: PublishId, publish: Publish) {
        self.queue.push_back((id, publish));
    }

    /// The next to be written, counted as unconfirmed.
    pub fn write_next(&mut self, now: f64) -> Option<Publish> {
        if !self.is_ready
            || !self.is_flowing
            || self.is_blocked
            || self.unconfirmed.len() >= self.max_unconfirmed
        {
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
    pub fn has_timed_out(&self, now: f64) -> bool {
        !self.unconfirmed.is_empty() && !self.is_blocked && now - self.last_confirm_at >= CONFIRM_TIMEOUT_MS
    }

    /// Nothing more is to be taken in while what is done cannot be published.
    pub fn has_backpressure(&self) -> bool {
        !self.is_ready || !self.is_flowing || self.is_blocked || !self.queue.is_empty()
    }

    pub fn is_empty(&self) -> bool {
        self.unconfirmed.is_empty() && self.queue.is_empty()
    }

    /// A publish came back; its confirm follows.
    pub fn returned(&mut self, id: PublishId) {
        if self.unconfirmed.values().any(|one| *one == id) {
            self.returned.insert(id);
        }
    }

    /// The broker's `basic.ack` or `basic.nack` of ours. Numbers that are not open mean nothing.
    pub fn confirmed(
        &mut self,
        number: u64,
        multiple: bool,
        taken: bool,
        now: f64,
    ) -> Vec<(PublishId, PublishResult)> {
        self.last_confirm_at = now;
        let ids: Vec<PublishId> = if multiple {
            // 0 is all there are (spec 1.8.3.13).
            let later = if number == 0 { BTreeMap::new() } else { self.unconfirmed.split_off(&(number + 1)) };
            std::mem::replace(&mut self.unconfirmed, later).into_values().collect()
        } else {
            self.unconfirmed.remove(&number).into_iter().collect()
        };
        let returned = &mut self.returned;
        let mut fate = |id: PublishId| match (taken, returned.remove(&id)) {
            (false, _) => PublishResult::Nacked,
            (true, true) => PublishResult::Unroutable,
            (true, false) => PublishResult::Confirmed,
        };
        ids.into_iter().map(|id| (id, fate(id))).collect()
    }
}

#[cfg(test)]
mod tests;
