//! What a consumer is told. Plain data; read and checked where configuration is read.

use std::net::SocketAddr;

use crate::idempotency::Capacity;

#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Tried in turn, one connection at a time.
    pub brokers: Vec<SocketAddr>,
    pub vhost: String,
    pub user: String,
    pub password: Password,
    /// Time between heartbeats that is proposed, s; 0 is none.
    pub heartbeat: u16,
    /// A longer body is not taken, octets.
    pub max_body_bytes: usize,
    /// How long what ran is remembered, ms, so that a redelivery is answered from it.
    pub retention: f64,
    pub capacity: Capacity,
    /// Messages in hand at the same time, over all queues.
    pub max_in_flight: usize,
    /// Publishes that the broker may leave unconfirmed before no more is taken.
    pub max_unconfirmed: usize,
    /// A message is put back so often at the most after a refusal.
    pub max_retries: u32,
    /// Where messages go that are given up, with the reason in a header.
    pub dead_letter: Option<Target>,
    /// Where results go of messages that name no `reply-to`.
    pub results: Option<Target>,
    pub queues: Vec<Queue>,
    pub classes: Vec<Class>,
    /// None: there are no tenants to tell apart.
    pub tenants: Vec<String>,
}

#[derive(Clone, Debug, PartialEq)]
pub struct Class {
    pub name: String,
    /// Running a message of it twice is one time too many.
    pub has_effect: bool,
    /// Whoever sent one waits no longer than this, ms.
    pub timeout: f64,
}

/// Never printed.
#[derive(Clone, PartialEq, Eq)]
pub struct Password(pub String);

impl std::fmt::Debug for Password {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("***")
    }
}

/// Where something is published.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Target {
    pub exchange: String,
    pub routing_key: String,
}

#[derive(Clone, Debug, PartialEq)]
pub struct Queue {
    pub name: String,
    pub class: NameFrom,
    /// None where there are no tenants.
    pub tenant: Option<NameFrom>,
    pub key: KeyFrom,
    /// Where a message says when it was sent. None: its time begins with its delivery.
    pub sent_from: Option<SentFrom>,
    /// Expected work of a message, ms on one core, where there is an estimate.
    pub estimated_work: Option<f64>,
    /// Memory booked for a message while it is held, KB.
    pub memory_kb: f64,
    /// Its messages' place by worth among all requests, 0 to under 1.
    pub rank: f64,
    /// What a message is worth, for the share among queues: that of its class, or the least of several.
    pub priority_weight: f64,
}

/// Where a name is read: the same for a whole queue, or in a header.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum NameFrom {
    Fixed(String),
    Header(String),
}

/// Where the key of a message is read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum KeyFrom {
    /// `message-id`, within `app-id` where that is set.
    MessageId,
    Header(String),
}

/// Where a message says when it was sent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SentFrom {
    /// The property `timestamp`: whole seconds since 1970.
    Timestamp,
    /// A header with ms since 1970; where it is missing, the property.
    Header(String),
}
