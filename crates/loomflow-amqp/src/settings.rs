//! Settings of a consumer. Plain data: the caller reads and validates them.

use std::net::SocketAddr;

use crate::Millis;
use crate::idempotency::Capacity;

/// Settings of a [`Consumer`](crate::Consumer).
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Broker addresses, tried in turn. Only one connection is open at a time.
    pub brokers: Vec<SocketAddr>,
    /// Virtual host that is opened on the broker.
    pub vhost: String,
    /// User name for the PLAIN mechanism.
    pub user: String,
    /// Password of the user.
    pub password: Password,
    /// Proposed heartbeat interval, s; 0 disables heartbeats.
    pub heartbeat_s: u16,
    /// Maximum body size, bytes. Messages with larger bodies are dead-lettered.
    pub max_body_bytes: usize,
    /// How long the idempotency record of a finished message is retained, ms.
    pub retention: Millis,
    /// Limits on the idempotency records.
    pub capacity: Capacity,
    /// Maximum number of messages in flight, over all queues.
    pub max_in_flight: usize,
    /// Maximum number of unconfirmed publishes. While more are queued, nothing is consumed.
    pub max_unconfirmed: usize,
    /// How often a rejected message is requeued before it is dead-lettered.
    pub max_retries: u32,
    /// Destination of dead letters, which state the reason in a header; `None` leaves dead-lettering to the queue.
    pub dead_letter: Option<Target>,
    /// Destination of replies to messages without `reply-to`; `None` if they get no reply.
    pub results: Option<Target>,
    /// Queues that are consumed.
    pub queues: Vec<Queue>,
    /// Classes that a message can state by name.
    pub classes: Vec<Class>,
    /// Names of the tenants; empty if messages state no tenant.
    pub tenants: Vec<String>,
}

/// A class of messages.
#[derive(Clone, Debug, PartialEq)]
pub struct Class {
    /// Name by which messages state the class.
    pub name: String,
    /// Whether its messages have an external effect and therefore must not run twice.
    pub has_effect: bool,
    /// How long senders wait for a reply, ms.
    pub timeout: Millis,
}

/// A password. `Debug` output hides it.
#[derive(Clone, PartialEq, Eq)]
pub struct Password(pub String);

impl std::fmt::Debug for Password {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("***")
    }
}

/// Destination of a publish.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Target {
    /// Name of the exchange; empty for the default exchange.
    pub exchange: String,
    /// Routing key within the exchange.
    pub routing_key: String,
}

/// Settings of one consumed queue.
#[derive(Clone, Debug, PartialEq)]
pub struct Queue {
    /// Name of the queue at the broker.
    pub name: String,
    /// Source of the class of a message.
    pub class: NameFrom,
    /// Source of the tenant of a message; `None` if no tenants are configured.
    pub tenant: Option<NameFrom>,
    /// Source of the idempotency key of a message.
    pub key: KeyFrom,
    /// Source of the sending time of a message; `None` if its waiting time is counted from delivery.
    pub sent_from: Option<SentFrom>,
    /// Estimated work of a message on one core, ms; `None` without an estimate.
    pub estimated_work: Option<Millis>,
    /// Memory that a message takes while it is queued, kB.
    pub memory_kb: f64,
    /// Rank of its messages by weight among all requests, 0 (inclusive) to 1 (exclusive).
    pub rank: f64,
    /// Weight of the queue when messages in flight are divided among queues: the priority weight of its class, or the
    /// lowest one if its messages have several classes.
    pub priority_weight: f64,
}

/// Source of a class or tenant name.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum NameFrom {
    /// The same name for all messages of the queue.
    Fixed(String),
    /// The value of this header.
    Header(String),
}

/// Source of the idempotency key of a message.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum KeyFrom {
    /// The property `message-id`, prefixed with `app-id` if that is set.
    MessageId,
    /// The value of this header.
    Header(String),
}

/// Source of the sending time of a message.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SentFrom {
    /// The property `timestamp`: Unix time in whole seconds.
    Timestamp,
    /// A header with the Unix time in ms; if it is missing, the property `timestamp`.
    Header(String),
}
