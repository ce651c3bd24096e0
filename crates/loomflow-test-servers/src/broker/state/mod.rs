//! State machine of the broker, without I/O: exchanges, queues, channels and consumers of the AMQP 0-9-1 specification, and
//! the usual extensions (publisher confirms, `basic.nack`, dead lettering, `connection.blocked`, consumer cancellation).

mod delivery;
mod frames;
mod reply_code;

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use amq_protocol::frame::{AMQPContentHeader, AMQPFrame};
use amq_protocol::protocol::AMQPClass;
use amq_protocol::protocol::basic::{self, AMQPMethod as Basic, AMQPProperties};
use amq_protocol::protocol::channel::{self, AMQPMethod as Channels};
use amq_protocol::protocol::connection::{self, AMQPMethod as Connections};
use amq_protocol::types::FieldTable;

/// Id of a client connection, in order of acceptance.
pub type ConnectionId = u64;

/// A message in a queue, or as a test publishes or takes it.
#[derive(Clone, Debug, PartialEq)]
pub struct Message {
    /// Exchange that the message was published to; empty for the default exchange.
    pub exchange: String,
    /// Routing key that the message was published with.
    pub routing_key: String,
    /// Properties, including the headers.
    pub properties: AMQPProperties,
    /// Complete body.
    pub body: Vec<u8>,
    /// Whether the message was delivered before and requeued.
    pub redelivered: bool,
}

/// How a delivery was settled.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Settled {
    /// Acknowledged (`basic.ack`).
    Acked,
    /// Rejected with `requeue` set.
    Requeued,
    /// Rejected without `requeue`: dead-lettered or dropped.
    Rejected,
}

#[derive(Default)]
struct Queue {
    ready: VecDeque<Message>,
    /// Exchange and routing key for rejected messages; `None` drops them.
    dead_letter: Option<(String, String)>,
    /// Consumers in the order of their next turn.
    consumers: VecDeque<ConsumerAddress>,
}

/// Identifies a consumer: its tag is unique on its channel.
#[derive(Clone, Debug, PartialEq)]
struct ConsumerAddress {
    connection: ConnectionId,
    channel: u16,
    tag: String,
}

/// A publish whose content frames (a header, then the body) are being received.
struct Publishing {
    method: basic::Publish,
    header: Option<AMQPContentHeader>,
    body: Vec<u8>,
}

impl Publishing {
    fn new(method: basic::Publish) -> Publishing {
        Publishing { method, header: None, body: Vec::new() }
    }

    /// Whether the header and the whole body have arrived.
    fn is_complete(&self) -> bool {
        self.header.as_ref().is_some_and(|header| self.body.len() as u64 >= header.body_size)
    }
}

#[derive(Clone, Copy, PartialEq)]
enum ExchangeKind {
    Direct,
    Fanout,
}

struct Exchange {
    kind: ExchangeKind,
    /// Pairs of routing key and queue.
    bindings: BTreeSet<(String, String)>,
}

struct Consumer {
    queue: String,
    /// Maximum number of unacknowledged deliveries; 0 for no limit.
    prefetch: usize,
    no_ack: bool,
    unacked: usize,
}

/// A delivery that is not settled.
struct Unacked {
    consumer: String,
    queue: String,
    message: Message,
}

#[derive(Default)]
struct Channel {
    /// Prefetch count of consumers that are started from now on (`basic.qos`).
    prefetch: u16,
    consumers: BTreeMap<String, Consumer>,
    next_tag: u64,
    /// Unsettled deliveries by delivery tag.
    unacked: BTreeMap<u64, Unacked>,
    /// Sequence number of the next publish in confirm mode; `None` outside it.
    next_publish_number: Option<u64>,
    publishing: Option<Publishing>,
}

/// State of a client connection.
#[derive(Default)]
struct ClientConnection {
    channels: BTreeMap<u16, Channel>,
    /// Heartbeat interval that the client has agreed to, s; 0 for none.
    heartbeat_s: u16,
}

/// Numbers of faults that are still to be injected.
#[derive(Clone, Debug, Default)]
pub struct Faults {
    /// Number of publishes to reject with `basic.nack`.
    pub nack: usize,
    /// Number of messages to deliver twice.
    pub duplicate: usize,
    /// Number of publishes to handle without sending a confirm.
    pub unconfirmed: usize,
    /// Number of acknowledgements to ignore.
    pub forget_acks: usize,
    /// Number of methods that settle a delivery at which the connection breaks; the broker does not receive them.
    pub lose_settlements: usize,
}

/// The state of a broker, without sockets.
pub struct State {
    /// User name that clients must log in with.
    pub user: String,
    /// Password that clients must log in with.
    pub password: String,
    /// Heartbeat interval that the broker proposes, s.
    pub heartbeat_s: u16,
    /// Frame size limit that the broker proposes, bytes.
    pub frame_max_bytes: u32,
    /// Highest channel number that the broker proposes.
    pub channel_max: u16,
    /// Faults that are still to be injected.
    pub faults: Faults,
    /// Number of deliveries so far.
    pub deliveries: u64,
    /// Number of heartbeats that clients sent.
    pub heartbeats: u64,
    /// Message id and settlement of every settled delivery, in order of settlement.
    pub settled: Vec<(String, Settled)>,
    /// Highest number of unsettled deliveries on all connections at any time.
    pub max_unacked: usize,
    exchanges: BTreeMap<String, Exchange>,
    queues: BTreeMap<String, Queue>,
    connections: BTreeMap<ConnectionId, ClientConnection>,
    /// Frames to send with the connection that they go to; `None` closes the connection.
    out: Vec<(ConnectionId, Option<AMQPFrame>)>,
}

impl Default for State {
    fn default() -> State {
        State {
            user: "guest".into(),
            password: "guest".into(),
            heartbeat_s: 10,
            frame_max_bytes: 131_072,
            channel_max: 2_047,
            faults: Faults::default(),
            deliveries: 0,
            heartbeats: 0,
            settled: Vec::new(),
            max_unacked: 0,
            exchanges: BTreeMap::new(),
            queues: BTreeMap::new(),
            connections: BTreeMap::new(),
            out: Vec::new(),
        }
    }
}

/// Summarizes queues, connections and pending faults for messages of failed tests.
impl std::fmt::Display for State {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        for (name, queue) in &self.queues {
            let (ready, unacked, consumers) = (queue.ready.len(), self.unacked(name), queue.consumers.len());
            write!(f, "{name}: {ready} ready, {unacked} unacknowledged, {consumers} consumers; ")?;
        }
        write!(f, "{} connections, {:?}", self.connections.len(), self.faults)
    }
}

fn message_id(message: &Message) -> String {
    message.properties.message_id().as_ref().map(ToString::to_string).unwrap_or_default()
}

impl State {
    /// Takes the frames to send, each with its connection; `None` closes the connection.
    pub fn take_outgoing(&mut self) -> Vec<(ConnectionId, Option<AMQPFrame>)> {
        std::mem::take(&mut self.out)
    }

    fn send(&mut self, id: ConnectionId, channel: u16, class: AMQPClass) {
        self.out.push((id, Some(AMQPFrame::Method(channel, class))));
    }

    // ---- Control by tests ----

    /// Declares a queue, optionally with the exchange and routing key of its dead letters.
    pub fn declare(&mut self, name: &str, dead_letter: Option<(&str, &str)>) {
        let queue = self.queues.entry(name.to_owned()).or_default();
        if let Some((exchange, key)) = dead_letter {
            queue.dead_letter = Some((exchange.to_owned(), key.to_owned()));
        }
    }

    /// Declares an exchange and adds bindings of routing key to queue. Any `kind` but `fanout` makes a direct exchange.
    pub fn declare_exchange(&mut self, name: &str, kind: &str, bindings: &[(&str, &str)]) {
        let kind = if kind == "fanout" { ExchangeKind::Fanout } else { ExchangeKind::Direct };
        let exchange = self
            .exchanges
            .entry(name.to_owned())
            .or_insert_with(|| Exchange { kind, bindings: BTreeSet::new() });
        exchange.bindings.extend(bindings.iter().map(|(key, queue)| (key.to_string(), queue.to_string())));
    }

    /// Routes a message to queues; returns false if no queue matches. An unknown exchange is treated as the default exchange.
    pub fn publish(&mut self, message: Message) -> bool {
        let names: Vec<String> = match self.exchanges.get(&message.exchange) {
            Some(exchange) => {
                let matches_binding =
                    |key: &str| exchange.kind == ExchangeKind::Fanout || key == message.routing_key;
                exchange
                    .bindings
                    .iter()
                    .filter(|(key, _)| matches_binding(key))
                    .map(|(_, queue)| queue.clone())
                    .collect()
            }
            None => vec![message.routing_key.clone()],
        };
        let mut routed = false;
        for name in names {
            if let Some(queue) = self.queues.get_mut(&name) {
                queue.ready.push_back(message.clone());
                routed = true;
            }
        }
        self.deliver_ready();
        routed
    }

    /// Returns the number of messages of a queue that are ready for delivery.
    pub fn ready(&self, queue: &str) -> usize {
        self.queues.get(queue).map_or(0, |queue| queue.ready.len())
    }

    /// Returns the number of unsettled deliveries of a queue.
    pub fn unacked(&self, queue: &str) -> usize {
        let channels = self.connections.values().flat_map(|c| c.channels.values());
        channels.flat_map(|c| c.unacked.values()).filter(|delivery| delivery.queue == queue).count()
    }

    /// Returns the number of consumers of a queue.
    pub fn consumers(&self, queue: &str) -> usize {
        self.queues.get(queue).map_or(0, |queue| queue.consumers.len())
    }

    /// Returns the sum of the prefetch counts of the consumers of a queue.
    pub fn total_prefetch(&self, queue: &str) -> usize {
        let channels = self.connections.values().flat_map(|c| c.channels.values());
        channels.flat_map(|c| c.consumers.values()).filter(|c| c.queue == queue).map(|c| c.prefetch).sum()
    }

    /// Returns the ids of the open connections.
    pub fn connections(&self) -> Vec<ConnectionId> {
        self.connections.keys().copied().collect()
    }

    /// Returns the heartbeat interval of a connection, s; 0 if it has none.
    pub fn heartbeat_s(&self, id: ConnectionId) -> u16 {
        self.connections.get(&id).map_or(0, |connection| connection.heartbeat_s)
    }

    /// Takes all ready messages of a queue.
    pub fn take(&mut self, queue: &str) -> Vec<Message> {
        self.queues.get_mut(queue).map(|queue| queue.ready.drain(..).collect()).unwrap_or_default()
    }

    /// Closes every channel that consumes from a queue, with `code` as its reply code.
    pub fn close_channels(&mut self, queue: &str, code: u16) {
        let all: Vec<(ConnectionId, u16)> = self
            .queues
            .get(queue)
            .map(|queue| {
                queue.consumers.iter().map(|consumer| (consumer.connection, consumer.channel)).collect()
            })
            .unwrap_or_default();
        for (id, number) in all {
            self.close_channel(id, number, code, "channel closed by the test");
        }
        self.deliver_ready();
    }

    /// Closes every channel in confirm mode, with `code` as its reply code. Publishes without a confirm get none.
    pub fn close_publishing_channels(&mut self, code: u16) {
        for id in self.connections() {
            let channels = self.connections[&id].channels.iter();
            let publishing =
                |(number, channel): (&u16, &Channel)| channel.next_publish_number.map(|_| *number);
            for number in channels.filter_map(publishing).collect::<Vec<_>>() {
                self.close_channel(id, number, code, "channel closed by the test");
            }
        }
    }

    /// Cancels every consumer of a queue, as a broker does when the queue is deleted.
    pub fn cancel_consumers(&mut self, queue: &str) {
        let all = self.queues.get_mut(queue).map(|q| std::mem::take(&mut q.consumers)).unwrap_or_default();
        for ConsumerAddress { connection: id, channel: number, tag } in all {
            if let Some(channel) = self.connections.get_mut(&id).and_then(|c| c.channels.get_mut(&number)) {
                channel.consumers.remove(&tag);
            }
            let consumer_tag = tag.as_str().into();
            self.send(
                id,
                number,
                AMQPClass::Basic(Basic::Cancel(basic::Cancel { consumer_tag, nowait: true })),
            );
        }
    }

    /// Announces on all connections that publishing is blocked or unblocked. The broker still accepts publishes.
    pub fn block(&mut self, is_blocked: bool) {
        for id in self.connections() {
            let method = if is_blocked {
                Connections::Blocked(connection::Blocked { reason: "publishing blocked by the test".into() })
            } else {
                Connections::Unblocked(connection::Unblocked {})
            };
            self.send(id, 0, AMQPClass::Connection(method));
        }
    }

    /// Sends `channel.flow` on all channels. The broker still delivers and accepts publishes.
    pub fn flow(&mut self, is_active: bool) {
        for id in self.connections() {
            let numbers: Vec<u16> = self.connections[&id].channels.keys().copied().collect();
            for number in numbers {
                self.send(
                    id,
                    number,
                    AMQPClass::Channel(Channels::Flow(channel::Flow { active: is_active })),
                );
            }
        }
    }

    /// Sends the same frames on all connections.
    pub fn send_raw(&mut self, frames: &[AMQPFrame]) {
        for id in self.connections() {
            self.out.extend(frames.iter().map(|frame| (id, Some(frame.clone()))));
        }
    }

    // ---- Client connections ----

    /// Registers a connection that a client opened, and sends `connection.start`.
    pub fn connection_opened(&mut self, id: ConnectionId) {
        self.connections.insert(id, ClientConnection::default());
        self.send(
            id,
            0,
            AMQPClass::Connection(Connections::Start(connection::Start {
                version_major: 0,
                version_minor: 9,
                server_properties: FieldTable::default(),
                mechanisms: "PLAIN AMQPLAIN".into(),
                locales: "en_US".into(),
            })),
        );
    }

    /// Removes a connection that was closed. Its unsettled messages return to the heads of their queues.
    pub fn connection_closed(&mut self, id: ConnectionId) {
        let numbers: Vec<u16> =
            self.connections.get(&id).map(|c| c.channels.keys().copied().collect()).unwrap_or_default();
        for number in numbers {
            self.remove_channel(id, number);
        }
        self.connections.remove(&id);
        self.deliver_ready();
    }

    fn close_connection(&mut self, id: ConnectionId, code: u16, reply_text: &str) {
        let close =
            connection::Close { reply_code: code, reply_text: reply_text.into(), class_id: 0, method_id: 0 };
        self.send(id, 0, AMQPClass::Connection(Connections::Close(close)));
        self.out.push((id, None));
    }

    /// Breaks a connection without a close. What its client sends from now on is ignored.
    fn break_connection(&mut self, id: ConnectionId) {
        self.connection_closed(id);
        self.out.push((id, None));
    }

    fn close_channel(&mut self, id: ConnectionId, number: u16, code: u16, reply_text: &str) {
        self.remove_channel(id, number);
        let close =
            channel::Close { reply_code: code, reply_text: reply_text.into(), class_id: 0, method_id: 0 };
        self.send(id, number, AMQPClass::Channel(Channels::Close(close)));
    }

    /// Removes a channel and its consumers. Its unsettled messages return to the heads of their queues in their former order.
    fn remove_channel(&mut self, id: ConnectionId, number: u16) {
        let Some(channel) = self.connections.get_mut(&id).and_then(|c| c.channels.remove(&number)) else {
            return;
        };
        for queue in self.queues.values_mut() {
            queue.consumers.retain(|consumer| (consumer.connection, consumer.channel) != (id, number));
        }
        for delivery in channel.unacked.into_values().rev() {
            self.requeue(delivery);
        }
    }

    /// Returns a message to the head of its queue, marked as redelivered.
    fn requeue(&mut self, delivery: Unacked) {
        if let Some(queue) = self.queues.get_mut(&delivery.queue) {
            queue.ready.push_front(Message { redelivered: true, ..delivery.message });
        }
    }
}
