//! State machine of the broker: exchanges, queues, channels and consumers of the AMQP 0-9-1 specification, with the usual
//! extensions (confirms, nack, dead letters, blocked, consumer cancel). It owns no socket.

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

/// Number of a connection.
pub type ConnectionId = u64;

/// A message.
#[derive(Clone, Debug, PartialEq)]
pub struct Message {
    /// Exchange that it was published to.
    pub exchange: String,
    /// Routing key that it was published with.
    pub routing_key: String,
    /// Its properties.
    pub properties: AMQPProperties,
    /// Its body.
    pub body: Vec<u8>,
    /// Whether it was delivered before.
    pub redelivered: bool,
}

/// How a delivery was settled.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Settled {
    /// Acknowledged.
    Acked,
    /// Rejected and requeued.
    Requeued,
    /// Rejected without requeueing.
    Rejected,
}

#[derive(Default)]
struct Queue {
    ready: VecDeque<Message>,
    /// Exchange and routing key of rejected messages.
    dead_letter: Option<(String, String)>,
    consumers: VecDeque<ConsumerAddress>,
}

/// Where a consumer is: its connection, its channel there and its tag on that.
#[derive(Clone, Debug, PartialEq)]
struct ConsumerAddress {
    connection: ConnectionId,
    channel: u16,
    tag: String,
}

/// A publish whose content is received: its method, then the header, then the body.
struct Publishing {
    method: basic::Publish,
    header: Option<AMQPContentHeader>,
    body: Vec<u8>,
}

impl Publishing {
    fn new(method: basic::Publish) -> Publishing {
        Publishing { method, header: None, body: Vec::new() }
    }

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
    bindings: BTreeSet<(String, String)>,
}

struct Consumer {
    queue: String,
    prefetch: usize,
    no_ack: bool,
    unacked: usize,
}

struct Unacked {
    consumer: String,
    queue: String,
    message: Message,
}

#[derive(Default)]
struct Channel {
    prefetch: u16,
    consumers: BTreeMap<String, Consumer>,
    next_tag: u64,
    unacked: BTreeMap<u64, Unacked>,
    /// Sequence number of the next publish, if publishes are confirmed.
    confirms: Option<u64>,
    publishing: Option<Publishing>,
}

/// What the broker knows of a client's connection.
#[derive(Default)]
struct ClientConnection {
    channels: BTreeMap<u16, Channel>,
}

/// Faults to inject.
#[derive(Clone, Debug, Default)]
pub struct Faults {
    /// Number of publishes to nack.
    pub nack: usize,
    /// Number of messages to deliver twice.
    pub duplicate: usize,
    /// Number of publishes to accept without a confirm.
    pub unconfirmed: usize,
    /// Number of acknowledgements to ignore.
    pub forget_acks: usize,
}

/// The state of a broker, without sockets.
pub struct State {
    /// User name that is accepted.
    pub user: String,
    /// Password that is accepted.
    pub password: String,
    /// Heartbeat interval that is proposed, s.
    pub heartbeat_s: u16,
    /// Largest frame that is proposed, bytes.
    pub frame_max_bytes: u32,
    /// Highest channel number that is proposed.
    pub channel_max: u16,
    /// Faults to inject.
    pub faults: Faults,
    /// Number of deliveries.
    pub deliveries: u64,
    /// Queue and settlement of every settled delivery.
    pub settled: Vec<(String, Settled)>,
    /// Largest number of unacknowledged deliveries.
    pub max_unacked: usize,
    exchanges: BTreeMap<String, Exchange>,
    queues: BTreeMap<String, Queue>,
    connections: BTreeMap<ConnectionId, ClientConnection>,
    /// Frames to send, by connection; `None` closes it.
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
            settled: Vec::new(),
            max_unacked: 0,
            exchanges: BTreeMap::new(),
            queues: BTreeMap::new(),
            connections: BTreeMap::new(),
            out: Vec::new(),
        }
    }
}

/// A summary for failed tests.
impl std::fmt::Display for State {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        for (name, queue) in &self.queues {
            let (ready, unacked, consumers) = (queue.ready.len(), self.unacked(name), queue.consumers.len());
            write!(f, "{name}: {ready} ready, {unacked} unacknowledged, {consumers} consumers; ")?;
        }
        write!(f, "{} connections, {:?}", self.connections.len(), self.faults)
    }
}

fn id_of(message: &Message) -> String {
    message.properties.message_id().as_ref().map(ToString::to_string).unwrap_or_default()
}

impl State {
    /// Takes the frames to be sent; `None` closes the connection.
    pub fn take_out(&mut self) -> Vec<(ConnectionId, Option<AMQPFrame>)> {
        std::mem::take(&mut self.out)
    }

    fn send(&mut self, id: ConnectionId, channel: u16, class: AMQPClass) {
        self.out.push((id, Some(AMQPFrame::Method(channel, class))));
    }

    // ---- Commands of tests ----

    /// Declares a queue, optionally with the exchange and routing key of its dead letters.
    pub fn declare(&mut self, name: &str, dead_letter: Option<(&str, &str)>) {
        let queue = self.queues.entry(name.to_owned()).or_default();
        if let Some((exchange, key)) = dead_letter {
            queue.dead_letter = Some((exchange.to_owned(), key.to_owned()));
        }
    }

    /// Declares an exchange with its bindings of routing key to queue.
    pub fn exchange(&mut self, name: &str, kind: &str, bindings: &[(&str, &str)]) {
        let kind = if kind == "fanout" { ExchangeKind::Fanout } else { ExchangeKind::Direct };
        let exchange = self
            .exchanges
            .entry(name.to_owned())
            .or_insert_with(|| Exchange { kind, bindings: BTreeSet::new() });
        exchange.bindings.extend(bindings.iter().map(|(key, queue)| (key.to_string(), queue.to_string())));
    }

    /// Routes a message; returns false if no queue takes it.
    pub fn publish(&mut self, message: Message) -> bool {
        let names: Vec<String> = match self.exchanges.get(&message.exchange) {
            Some(exchange) => {
                let fits = |key: &str| exchange.kind == ExchangeKind::Fanout || key == message.routing_key;
                exchange
                    .bindings
                    .iter()
                    .filter(|(key, _)| fits(key))
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
        self.pump();
        routed
    }

    /// Number of messages of a queue that are ready for delivery.
    pub fn ready(&self, queue: &str) -> usize {
        self.queues.get(queue).map_or(0, |queue| queue.ready.len())
    }

    /// Number of deliveries of a queue that are not settled.
    pub fn unacked(&self, queue: &str) -> usize {
        let channels = self.connections.values().flat_map(|c| c.channels.values());
        channels.flat_map(|c| c.unacked.values()).filter(|one| one.queue == queue).count()
    }

    /// Number of consumers of a queue.
    pub fn consumers(&self, queue: &str) -> usize {
        self.queues.get(queue).map_or(0, |queue| queue.consumers.len())
    }

    /// Sum of the prefetch counts of the consumers of a queue.
    pub fn credit(&self, queue: &str) -> usize {
        let channels = self.connections.values().flat_map(|c| c.channels.values());
        channels.flat_map(|c| c.consumers.values()).filter(|c| c.queue == queue).map(|c| c.prefetch).sum()
    }

    /// The open connections.
    pub fn connections(&self) -> Vec<ConnectionId> {
        self.connections.keys().copied().collect()
    }

    /// Takes all ready messages of a queue.
    pub fn take(&mut self, queue: &str) -> Vec<Message> {
        self.queues.get_mut(queue).map(|queue| queue.ready.drain(..).collect()).unwrap_or_default()
    }

    /// Closes every channel that consumes from a queue.
    pub fn close_channels(&mut self, queue: &str, code: u16) {
        let all: Vec<(ConnectionId, u16)> = self
            .queues
            .get(queue)
            .map(|queue| {
                queue.consumers.iter().map(|consumer| (consumer.connection, consumer.channel)).collect()
            })
            .unwrap_or_default();
        for (id, number) in all {
            self.close_channel(id, number, code, "told to");
        }
        self.pump();
    }

    /// Cancels every consumer of a queue, as if it were deleted.
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

    /// Blocks or unblocks publishing on all connections.
    pub fn block(&mut self, is_blocked: bool) {
        for id in self.connections() {
            let method = if is_blocked {
                Connections::Blocked(connection::Blocked { reason: "told to".into() })
            } else {
                Connections::Unblocked(connection::Unblocked {})
            };
            self.send(id, 0, AMQPClass::Connection(method));
        }
    }

    /// Starts or stops the flow on all channels.
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

    /// Sends frames on all connections.
    pub fn send_raw(&mut self, frames: &[AMQPFrame]) {
        for id in self.connections() {
            self.out.extend(frames.iter().map(|frame| (id, Some(frame.clone()))));
        }
    }

    // ---- Connections ----

    /// A client has opened a connection.
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

    /// A connection was closed: its unacknowledged messages return to the head of their queues.
    pub fn connection_closed(&mut self, id: ConnectionId) {
        let numbers: Vec<u16> =
            self.connections.get(&id).map(|c| c.channels.keys().copied().collect()).unwrap_or_default();
        for number in numbers {
            self.drop_channel(id, number);
        }
        self.connections.remove(&id);
        self.pump();
    }

    fn close_connection(&mut self, id: ConnectionId, code: u16, why: &str) {
        let close = connection::Close { reply_code: code, reply_text: why.into(), class_id: 0, method_id: 0 };
        self.send(id, 0, AMQPClass::Connection(Connections::Close(close)));
        self.out.push((id, None));
    }

    fn close_channel(&mut self, id: ConnectionId, number: u16, code: u16, why: &str) {
        self.drop_channel(id, number);
        let close = channel::Close { reply_code: code, reply_text: why.into(), class_id: 0, method_id: 0 };
        self.send(id, number, AMQPClass::Channel(Channels::Close(close)));
    }

    fn drop_channel(&mut self, id: ConnectionId, number: u16) {
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

    fn requeue(&mut self, delivery: Unacked) {
        if let Some(queue) = self.queues.get_mut(&delivery.queue) {
            queue.ready.push_front(Message { redelivered: true, ..delivery.message });
        }
    }
}
