//! The settings of a consumer. Plain data; read and checked where configuration is read.

use std::net::SocketAddr;

use crate::Millis;
use crate::idempotency::Capacity;

/// The settings of a consumer.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Tried in turn, one connection at a time.
    pub brokers: Vec<SocketAddr>,
    /// The virtual host.
    pub vhost: String,
    /// The user.
    pub user: String,
    /// The user's password.
    pub password: Password,
    /// Time between heartbeats that is proposed, s; 0 is none.
    pub heartbeat_s: u16,
    /// Longer bodies are not accepted, octets.
    pub max_body_bytes: usize,
    /// How long what ran is remembered, so that a redelivery is answered from it.
    pub retention: Millis,
    /// How much is remembered.
    pub capacity: Capacity,
    /// Messages in flight at the same time, over all queues.
    pub max_in_flight: usize,
    /// Unconfirmed publishes from which on no more is consumed.
    pub max_unconfirmed: usize,
    /// How often a message is requeued after a rejection.
    pub max_retries: u32,
    /// Where dead letters go, with the reason in a header.
    pub dead_letter: Option<Target>,
    /// Where results go of messages that name no `reply-to`.
    pub results: Option<Target>,
    /// The queues.
    pub queues: Vec<Queue>,
    /// The classes; messages name them by name.
    pub classes: Vec<Class>,
    /// The tenants; empty where messages name none.
    pub tenants: Vec<String>,
}

/// A class of messages.
#[derive(Clone, Debug, PartialEq)]
pub struct Class {
    /// Its name.
    pub name: String,
    /// Its messages must not run twice.
    pub has_effect: bool,
    /// Senders wait no longer than this.
    pub timeout: Millis,
}

/// A password; never printed.
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
    /// The exchange.
    pub exchange: String,
    /// The routing key.
    pub routing_key: String,
}

/// A queue that is consumed.
#[derive(Clone, Debug, PartialEq)]
pub struct Queue {
    /// Its name.
    pub name: String,
    /// Where a message's class is read.
    pub class: NameFrom,
    /// Where a message's tenant is read; none where there are no tenants.
    pub tenant: Option<NameFrom>,
    /// Where a message's idempotency key is read.
    pub key: KeyFrom,
    /// Where the sending time of a message is read; none where its time begins with its delivery.
    pub sent_from: Option<SentFrom>,
    /// Expected work of a message on one core, where there is an estimate.
    pub estimated_work: Option<Millis>,
    /// Memory that a message takes while it is queued.
    pub memory_kb: f64,
    /// Its messages' place by weight among all requests, 0 to under 1.
    pub rank: f64,
    /// The priority weight of a message, for the division among queues: that of its class, or the lowest of several.
    pub priority_weight: f64,
}

/// Where a name is read: the same for all messages of a queue, or in a header.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum NameFrom {
    /// This name.
    Fixed(String),
    /// The text of this header.
    Header(String),
}

/// Where the idempotency key of a message is read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum KeyFrom {
    /// `message-id`, within `app-id` where that is set.
    MessageId,
    /// The text of this header.
    Header(String),
}

/// Where the sending time of a message is read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SentFrom {
    /// The property `timestamp`: whole seconds since 1970.
    Timestamp,
    /// A header with ms since 1970; where it is missing, the property.
    Header(String),
}
